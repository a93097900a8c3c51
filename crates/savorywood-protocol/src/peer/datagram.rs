//! One authenticated datagram between two daemons.

use super::PeerMessage;
use crate::{HostIncarnation, HostName};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Bytes of the authentication tag that ends a datagram.
const TAG_BYTES: usize = 16;

/// Shared key of all daemons, read from a file that the settings name.
#[derive(Clone)]
pub struct DatagramKey([u8; 32]);

impl DatagramKey {
    /// Derives the key from the bytes of the key file.
    #[must_use]
    pub fn derive(secret: &[u8]) -> Self {
        Self(blake3::derive_key("savorywood peer datagram v1", secret))
    }
}

/// Content of one datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerDatagram {
    /// Sender.
    pub from: HostName,
    /// Life of the sender.
    pub incarnation: HostIncarnation,
    /// Counted up by the sender over all its datagrams.
    pub sequence: u64,
    /// What is said.
    pub message: PeerMessage,
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum DatagramError {
    /// Shorter than a tag.
    #[snafu(display("the datagram has {bytes} bytes, fewer than its tag"))]
    TooShort {
        /// Length received.
        bytes: usize,
    },
    /// The tag does not fit: another key, or changed on the way.
    #[snafu(display("the datagram's tag does not fit its content"))]
    BadTag,
    /// The content is not a datagram of this version.
    #[snafu(display("the datagram can't be decoded: {reason}"))]
    Undecodable {
        /// What the codec said.
        reason: String,
    },
}

impl PeerDatagram {
    /// Encodes and authenticates the datagram.
    ///
    /// # Errors
    ///
    /// When the codec can't encode the message.
    pub fn seal(&self, key: &DatagramKey) -> Result<Vec<u8>, DatagramError> {
        let mut bytes = postcard::to_stdvec(self).map_err(|error| undecodable(&error))?;
        let tag = blake3::keyed_hash(&key.0, &bytes);
        bytes.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
        Ok(bytes)
    }

    /// Checks the tag and decodes the datagram.
    ///
    /// # Errors
    ///
    /// Says why the datagram must be dropped.
    pub fn open(bytes: &[u8], key: &DatagramKey) -> Result<Self, DatagramError> {
        let Some(split) = bytes.len().checked_sub(TAG_BYTES) else {
            return TooShortSnafu { bytes: bytes.len() }.fail();
        };
        let (content, tag) = bytes.split_at(split);
        let expected = blake3::keyed_hash(&key.0, content);
        let same = subtle::ConstantTimeEq::ct_eq(&expected.as_bytes()[..TAG_BYTES], tag);
        if !bool::from(same) {
            return BadTagSnafu.fail();
        }
        postcard::from_bytes(content).map_err(|error| undecodable(&error))
    }
}

fn undecodable(error: &postcard::Error) -> DatagramError {
    DatagramError::Undecodable {
        reason: error.to_string(),
    }
}
