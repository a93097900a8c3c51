//! How datagrams between daemons are encoded.
//!
//! Postcard's bytes do not say what they are: a summary of another build may be read as one with other
//! figures. So each datagram names the version of its format, and no other one is read.

use serde::{Serialize, de::DeserializeOwned};
use snafu::Snafu;

/// First byte of each datagram of a daemon.
const MAGIC_BYTE: u8 = 0xd5;
/// Changes with every type that travels between daemons.
const FORMAT_VERSION: u8 = 1;

/// Why a datagram can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum DatagramError {
    /// No daemon's, or one of a build before formats had versions.
    #[snafu(display("it names no format"))]
    UnknownFormat,
    /// A daemon's of another build.
    #[snafu(display("its format has version {version}, read is {FORMAT_VERSION}"))]
    OtherVersion {
        /// Version that it names.
        version: u8,
    },
    /// It ends early, or holds no such message.
    #[snafu(display("it holds no message"))]
    Malformed,
}

/// Bytes of a message; `None` when it can't be encoded.
pub fn encode<T: Serialize>(message: &T) -> Option<Vec<u8>> {
    postcard::to_extend(message, vec![MAGIC_BYTE, FORMAT_VERSION]).ok()
}

/// Reads a message.
///
/// # Errors
///
/// When the bytes are not of this format.
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
