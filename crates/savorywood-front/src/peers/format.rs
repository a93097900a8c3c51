//! Encoding of datagrams between daemons.
//!
//! Postcard is not self-describing: a message of another build could decode to other values. Each
//! datagram therefore starts with the version of its format, and other versions are rejected.

use serde::{Serialize, de::DeserializeOwned};
use snafu::Snafu;

/// First byte of every datagram.
const MAGIC_BYTE: u8 = 0xd5;
/// Must be incremented when any type that is sent between daemons changes.
const FORMAT_VERSION: u8 = 8;

/// A datagram could not be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum DatagramError {
    /// The datagram does not start with the magic byte: it does not come from a daemon, or from one
    /// of a build without format versions.
    #[snafu(display("it does not start with the magic byte of a daemon"))]
    UnknownFormat,
    /// The datagram comes from a daemon of another build.
    #[snafu(display("its format has version {version}, supported is {FORMAT_VERSION}"))]
    OtherVersion {
        /// Version in the datagram.
        version: u8,
    },
    /// The datagram is truncated or its content is invalid.
    #[snafu(display("its content is truncated or invalid"))]
    Malformed,
}

/// Encodes a message; returns `None` when it can't be encoded.
pub fn encode<T: Serialize>(message: &T) -> Option<Vec<u8>> {
    postcard::to_extend(message, vec![MAGIC_BYTE, FORMAT_VERSION]).ok()
}

/// Decodes a message.
///
/// # Errors
///
/// Returns an error when the bytes are not of this format.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DatagramError> {
    match bytes {
        [MAGIC_BYTE, FORMAT_VERSION, message @ ..] => {
            postcard::from_bytes(message).map_err(|_| DatagramError::Malformed)
        }
        [MAGIC_BYTE, version, ..] => Err(DatagramError::OtherVersion { version: *version }),
        _ => Err(DatagramError::UnknownFormat),
    }
}

#[cfg(test)]
mod tests;
