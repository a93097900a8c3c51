//! Store rows that keep the crashes under a request across a restart of all daemons.

use super::RequestFingerprint;

/// A crash as the store keeps it, without its time. Rows hold them in the order of their times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredCrash {
    /// Half of the digest of the upstream's name.
    pub upstream: u32,
    /// Number of the crash among those of this upstream under the request, from 1.
    pub number: u8,
}

/// Row of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineRow {
    /// Fingerprint of the request; the key of the row.
    pub fingerprint: RequestFingerprint,
    /// Crashes of upstreams under the request.
    pub crashes: Vec<StoredCrash>,
}

/// A write to the row of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineWrite {
    /// Fingerprint of the request; the key of the row.
    pub fingerprint: RequestFingerprint,
    /// Crashes to store; `None` removes the row.
    pub crashes: Option<Vec<StoredCrash>>,
}

impl QuarantineRow {
    /// Parses a row from its key and its value; returns `None` if it is malformed.
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
    /// Returns the value to be written; `None` removes the row.
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
