//! Limits of the input that an upstream, the store or a peer may send.

use std::{error, fmt, io};
use strum::IntoStaticStr;

/// Limit that received input exceeded. The text form is part of the log and the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum InputLimit {
    /// A response head has too many bytes.
    Head,
    /// Too many interim responses precede the final one.
    InterimHeads,
    /// Too many responses to earlier requests precede the expected one.
    StaleResponses,
    /// A body has too many bytes.
    Body,
    /// The chunk headers or trailers of a body have too many bytes.
    ChunkCoding,
    /// A single event of a stream has too many bytes.
    Event,
    /// A stream has too many bytes or events.
    Stream,
    /// A relayed response has too many bytes.
    Relay,
    /// A table of the store has too many pages or rows.
    Pages,
}

impl InputLimit {
    /// Returns the limit that an error of a read reports, if it reports one.
    #[must_use]
    pub fn of(error: &io::Error) -> Option<Self> {
        error.get_ref()?.downcast_ref::<Self>().copied()
    }
}

impl fmt::Display for InputLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name: &'static str = self.into();
        write!(formatter, "the input exceeds the limit \"{name}\"")
    }
}

impl error::Error for InputLimit {}

impl From<InputLimit> for io::Error {
    fn from(limit: InputLimit) -> Self {
        Self::new(io::ErrorKind::InvalidData, limit)
    }
}
