//! Transfer of a complete configuration between daemons over TCP: one authenticated request, one
//! authenticated response.

use super::datagram::DatagramKey;
use crate::{ConfigRevision, HostName, table::CommitRevision};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::Snafu;

/// Maximum size of a frame, in bytes: enough for about 100,000 resources.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// Size of the authentication tag at the end of a frame, in bytes.
const TAG_BYTES: usize = 32;

/// Requests the configuration that the receiver has in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRequest {
    /// Host of the requesting daemon.
    pub from: HostName,
    /// Random number, repeated in the response so that an old response can't be replayed.
    pub nonce: u128,
}

/// Response to a [`SnapshotRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotResponse {
    /// Nonce of the request.
    pub nonce: u128,
    /// Configuration in force; `None` while the responding daemon has none.
    pub content: Option<SnapshotContent>,
}

/// All resources of the configuration at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotContent {
    /// Configuration revision.
    pub revision: ConfigRevision,
    /// Revision of the newest table commit that the configuration includes.
    pub table_revision: CommitRevision,
    /// All resources as a JSON array, as in the API for operators. `postcard` can't encode
    /// [`crate::resource::ResourceDocument`], whose JSON form has flattened and tagged parts.
    pub documents: String,
}

/// Reason why a frame can't be sent or is dropped.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum FrameError {
    /// The frame can't be encoded or decoded.
    #[snafu(display("the frame can't be encoded or decoded: {reason}"))]
    Codec {
        /// Error of the encoder or decoder.
        reason: String,
    },
    /// The frame is shorter than a tag, or the tag doesn't match.
    #[snafu(display("the frame's tag does not match its content"))]
    BadTag,
}

/// Encodes and authenticates a frame for one receiver.
///
/// # Errors
///
/// [`FrameError::Codec`] when the frame can't be encoded.
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

/// Checks the tag and decodes a frame. `to` is the host of the receiver, which calls this.
///
/// # Errors
///
/// Returns why the frame has to be dropped.
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
