//! One authenticated datagram between two daemons.

mod replay;

pub use replay::{ReplayDecision, ReplayGuard, ReplayWindow};

use super::PeerMessage;
use crate::{HostIncarnation, HostName};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::fmt;

/// Longest datagram sent, in bytes: it passes every path without being cut into fragments.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Bytes of the authentication tag that ends a datagram.
const TAG_BYTES: usize = 16;

/// Shared key of all daemons, read from a file that the settings name.
#[derive(Clone)]
pub struct DatagramKey([u8; 32]);

impl fmt::Debug for DatagramKey {
    /// Hides the key, so that no log line can show it.
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

    /// Tag over the content and the receiver's name.
    ///
    /// Without the name, a datagram copied off the wire could be played to another daemon: a
    /// grant of seats would then be used by two. The name is not sent, so it costs no byte.
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
    /// Longer than [`MAX_DATAGRAM_BYTES`].
    #[snafu(display("the datagram to {to} has {bytes} bytes; {MAX_DATAGRAM_BYTES} are allowed"))]
    TooLong {
        /// Length encoded.
        bytes: usize,
        /// Who should have had it.
        to: HostName,
    },
    /// The tag does not fit: another key, another receiver, or changed on the way.
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
    /// Encodes and authenticates the datagram for one receiver.
    ///
    /// # Errors
    ///
    /// When the codec can't encode the message, or it is too long.
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

    /// Checks the tag for the receiver `to`, which is the caller itself, and decodes the datagram.
    ///
    /// # Errors
    ///
    /// Says why the datagram must be dropped.
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

/// Bytes on the wire beside the message: IPv4 and UDP heads, tag, sender, life and sequence.
const OVERHEAD_BYTES: usize = 20 + 8 + TAG_BYTES + 1 + 6 + 5;

impl PeerMessage {
    /// Bytes that this message takes on the wire when `from` sends it, heads included.
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
