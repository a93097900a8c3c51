//! Digest that identifies repeats of a request, equal at all daemons.

use crate::wire::RequestHead;
use savorywood_gateway::ContentDigest;

/// Returns the digest of method, host, path and body. The query counts only when there is no body,
/// because it may hold values that differ between repeats.
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
        // The length prefix separates the parts: without it a byte could move from one part to the
        // next without a change of the digest.
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    let mut digest = [0; 8];
    hasher.finalize_xof().fill(&mut digest);
    ContentDigest(u64::from_le_bytes(digest))
}

#[cfg(test)]
mod tests;
