//! Digest by which repeats of a request are recognised at all daemons.

use crate::wire::RequestHead;
use savorywood_gateway::ContentDigest;

/// Digest of method, host, path and body. The query counts only where there is no body: it may
/// carry what differs from repeat to repeat.
pub fn content_digest(head: &RequestHead, body: &[u8]) -> ContentDigest {
    let host = head.headers.get("Host").unwrap_or_default();
    let path = if body.is_empty() {
        head.target.as_str()
    } else {
        head.path()
    };
    let mut hasher = blake3::Hasher::new();
    for part in [
        head.method.as_bytes(),
        host.as_bytes(),
        path.as_bytes(),
        body,
    ] {
        // Lengths keep a byte at the end of one part from counting as the next one's.
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    let mut digest = [0; 8];
    hasher.finalize_xof().fill(&mut digest);
    ContentDigest(u64::from_le_bytes(digest))
}

#[cfg(test)]
mod tests;
