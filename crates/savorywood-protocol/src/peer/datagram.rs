//! Authenticated datagrams between daemons.

mod replay;

pub use replay::{ReplayDecision, ReplayGuard, ReplayWindow};

use super::PeerMessage;
use crate::{HostIncarnation, HostName};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::fmt;

/// Maximum size of a datagram, in bytes. Datagrams of this size aren't fragmented on common
/// network paths.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Size of the authentication tag at the end of a datagram, in bytes.
const TAG_BYTES: usize = 16;

/// Key that authenticates messages between daemons. All daemons share it; it is read from the
/// file named in the settings (`keys.peer_key_file`).
#[derive(Clone)]
pub struct DatagramKey([u8; 32]);

impl fmt::Debug for DatagramKey {
    /// Hides the key, so that it can't appear in logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DatagramKey(hidden)")
    }
}

impl DatagramKey {
    /// Derives the key from the bytes of the key file.
    #[must_use]
    pub fn derive(secret: &[u8]) -> Self {
        Self(blake3::derive_key("savorywood peer datagram v1", secret))
    }

    /// Computes the tag over the content and the receiver's name.
    ///
    /// The name keeps a captured datagram from being replayed to another daemon, where a grant of
    /// slots would be used a second time. It is not transmitted.
    pub(super) fn tag(&self, content: &[u8], to: &HostName) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(to.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(content);
        hasher.finalize()
    }
}

/// Content of one datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerDatagram {
    /// Host of the sender.
    pub from: HostName,
    /// Incarnation of the sender.
    pub incarnation: HostIncarnation,
    /// Sequence number, increased by the sender with each datagram to any receiver.
    pub sequence: u64,
    /// Payload.
    pub message: PeerMessage,
}

/// Reason why a datagram can't be sent or is dropped.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum DatagramError {
    /// The datagram is shorter than a tag.
    #[snafu(display("the datagram has {bytes} bytes, fewer than the {TAG_BYTES} of a tag"))]
    TooShort {
        /// Received size, in bytes.
        bytes: usize,
    },
    /// The encoded datagram is longer than [`MAX_DATAGRAM_BYTES`].
    #[snafu(display("the datagram to {to} has {bytes} bytes; {MAX_DATAGRAM_BYTES} are allowed"))]
    TooLong {
        /// Encoded size, in bytes.
        bytes: usize,
        /// Intended receiver.
        to: HostName,
    },
    /// The tag doesn't match: another key, another receiver, or changed content.
    #[snafu(display("the datagram's tag does not match its content"))]
    BadTag,
    /// The content is not a datagram in this version's format, or can't be encoded.
    #[snafu(display("the datagram can't be encoded or decoded: {reason}"))]
    Undecodable {
        /// Error of the encoder or decoder.
        reason: String,
    },
}

impl PeerDatagram {
    /// Encodes and authenticates the datagram for one receiver.
    ///
    /// # Errors
    ///
    /// [`DatagramError::Undecodable`] when the message can't be encoded,
    /// [`DatagramError::TooLong`] when it exceeds [`MAX_DATAGRAM_BYTES`].
    pub fn seal(&self, to: &HostName, key: &DatagramKey) -> Result<Vec<u8>, DatagramError> {
        let mut bytes = postcard::to_stdvec(self).map_err(|error| undecodable(&error))?;
        let tag = key.tag(&bytes, to);
        bytes.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
        if bytes.len() > MAX_DATAGRAM_BYTES {
            let to = to.clone();
            return TooLongSnafu {
                bytes: bytes.len(),
                to,
            }
            .fail();
        }
        Ok(bytes)
    }

    /// Checks the tag and decodes a datagram. `to` is the host of the receiver, which calls this.
    ///
    /// # Errors
    ///
    /// Returns why the datagram has to be dropped.
    pub fn open(bytes: &[u8], to: &HostName, key: &DatagramKey) -> Result<Self, DatagramError> {
        let Some(split) = bytes.len().checked_sub(TAG_BYTES) else {
            return TooShortSnafu { bytes: bytes.len() }.fail();
        };
        let (content, tag) = bytes.split_at(split);
        let expected = key.tag(content, to);
        let same = subtle::ConstantTimeEq::ct_eq(&expected.as_bytes()[..TAG_BYTES], tag);
        if !bool::from(same) {
            return BadTagSnafu.fail();
        }
        postcard::from_bytes(content).map_err(|error| undecodable(&error))
    }
}

/// Bytes on the wire besides the message and the sender's name: the IPv4 (20) and UDP (8) headers,
/// the tag, and the encoded length of the name (1), incarnation (6) and sequence number (5).
const OVERHEAD_BYTES: usize = 20 + 8 + TAG_BYTES + 1 + 6 + 5;

impl PeerMessage {
    /// Returns the bytes that this message takes on the wire when `from` sends it, including the
    /// IP and UDP headers.
    #[must_use]
    pub fn wire_bytes(&self, from: &HostName) -> usize {
        let size = postcard::ser_flavors::Size::default();
        let message = postcard::serialize_with_flavor(self, size).unwrap_or(MAX_DATAGRAM_BYTES);
        message + from.as_str().len() + OVERHEAD_BYTES
    }
}

fn undecodable(error: &postcard::Error) -> DatagramError {
    DatagramError::Undecodable {
        reason: error.to_string(),
    }
}
