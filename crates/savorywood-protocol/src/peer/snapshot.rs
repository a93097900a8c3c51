//! A whole configuration between two daemons, by TCP: one sealed request, one sealed reply.

use super::datagram::DatagramKey;
use crate::{ConfigRevision, HostName, table::CommitRevision};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::Snafu;

/// Largest frame, in bytes: some 100,000 resources.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// Bytes of the authentication tag that ends a frame.
const TAG_BYTES: usize = 32;

/// Asks for a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRequest {
    /// Who asks.
    pub from: HostName,
    /// Random; the reply repeats it, so that an old reply can't be played back.
    pub nonce: u128,
}

/// A configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotResponse {
    /// Of the request.
    pub nonce: u128,
    /// What the daemon has in force; `None` while it has read none.
    pub content: Option<SnapshotContent>,
}

/// Resources in force at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotContent {
    /// Revision in force.
    pub revision: ConfigRevision,
    /// Newest commit of the table that it covers.
    pub table_revision: CommitRevision,
    /// All resources as a JSON array: their form is that of the operators' interface, which the
    /// binary codec can't express.
    pub documents: String,
}

/// Why a frame was dropped.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum FrameError {
    /// The codec can't encode or decode it.
    #[snafu(display("the frame can't be coded: {reason}"))]
    Codec {
        /// What the codec said.
        reason: String,
    },
    /// Shorter than its tag, or the tag does not fit.
    #[snafu(display("the frame's tag does not fit its content"))]
    BadTag,
}

/// Encodes and authenticates a frame for one receiver.
///
/// # Errors
///
/// When the codec can't encode it.
pub fn seal_frame<T: Serialize>(
    frame: &T,
    to: &HostName,
    key: &DatagramKey,
) -> Result<Vec<u8>, FrameError> {
    let mut bytes = postcard::to_stdvec(frame).map_err(|error| codec(&error))?;
    let tag = key.tag(&bytes, to);
    bytes.extend_from_slice(tag.as_bytes());
    Ok(bytes)
}

/// Checks the tag for the receiver `to` and decodes a frame.
///
/// # Errors
///
/// Says why the frame must be dropped.
pub fn open_frame<T: DeserializeOwned>(
    bytes: &[u8],
    to: &HostName,
    key: &DatagramKey,
) -> Result<T, FrameError> {
    let Some(split) = bytes.len().checked_sub(TAG_BYTES) else {
        return BadTagSnafu.fail();
    };
    let (content, tag) = bytes.split_at(split);
    let expected = key.tag(content, to);
    let same = subtle::ConstantTimeEq::ct_eq(&expected.as_bytes()[..], tag);
    if !bool::from(same) {
        return BadTagSnafu.fail();
    }
    postcard::from_bytes(content).map_err(|error| codec(&error))
}

fn codec(error: &postcard::Error) -> FrameError {
    FrameError::Codec {
        reason: error.to_string(),
    }
}
