//! Hashes of prompt prefixes, computed alike by daemons and engines (`docs/UPSTREAM.md`).

/// Size of a block of prompt text, in bytes.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Largest number of blocks of a prompt that are hashed. A longer shared prefix makes no further
/// difference to routing.
pub const MAX_PREFIX_BLOCKS: usize = 256;

/// Returns a hash for each complete block of a prompt. A hash also covers all earlier blocks, so
/// that equal hashes mean equal prefixes.
#[must_use]
pub fn prefix_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut previous = 0_u64;
    let blocks = prompt.chunks_exact(PREFIX_BLOCK_BYTES);
    blocks
        .take(MAX_PREFIX_BLOCKS)
        .map(|block| {
            previous = chain_hash(previous, block);
            previous
        })
        .collect()
}

fn chain_hash(previous: u64, block: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&previous.to_le_bytes());
    hasher.update(block);
    let mut hash = [0; 8];
    hash.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(hash)
}
