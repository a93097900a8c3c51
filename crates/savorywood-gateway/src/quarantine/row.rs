//! Rows of the store on crashes: what a start of all daemons must not forget.

use super::RequestFingerprint;

/// A crash as the store keeps it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredCrash {
    /// Half of the digest of the upstream's name.
    pub upstream: u32,
    /// Which of its crashes under the request, from 1.
    pub number: u8,
}

/// Crashes under a request as the store keeps them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineRow {
    /// Which request.
    pub fingerprint: RequestFingerprint,
    /// The crashes.
    pub crashes: Vec<StoredCrash>,
}

/// A row to be written, or removed where nothing must be kept any more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineWrite {
    /// Which request.
    pub fingerprint: RequestFingerprint,
    /// The crashes; `None` removes the row.
    pub crashes: Option<Vec<StoredCrash>>,
}

impl QuarantineRow {
    /// Reads a row by its key and its value; `None` when it can't be read.
    #[must_use]
    pub fn parse(key: &str, value: &str) -> Option<Self> {
        let crashes = value.split_whitespace().map(StoredCrash::parse);
        Some(Self {
            fingerprint: RequestFingerprint::parse(key)?,
            crashes: crashes.collect::<Option<_>>()?,
        })
    }
}

impl QuarantineWrite {
    /// Value of the row, if it is not removed.
    #[must_use]
    pub fn value(&self) -> Option<String> {
        let crashes = self.crashes.as_ref()?.iter();
        let texts: Vec<String> = crashes
            .map(|crash| format!("{:08x}.{}", crash.upstream, crash.number))
            .collect();
        Some(texts.join(" "))
    }
}

impl StoredCrash {
    fn parse(text: &str) -> Option<Self> {
        let (upstream, number) = text.split_once('.')?;
        Some(Self {
            upstream: u32::from_str_radix(upstream, 16).ok()?,
            number: number.parse().ok()?,
        })
    }
}
