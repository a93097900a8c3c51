//! Names of prompt prefixes, agreed between daemons and engines (`docs/UPSTREAM.md`).

/// Bytes of prompt text in one block.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Blocks that are named at most: a longer shared prefix makes no further difference.
pub const MAX_PREFIX_BLOCKS: usize = 256;

/// Names each whole block of a prompt by a hash that also covers all blocks before it, so that
/// equal names mean equal prefixes.
#[must_use]
pub fn prefix_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut previous = 0_u64;
    let blocks = prompt.chunks_exact(PREFIX_BLOCK_BYTES);
    blocks
        .take(MAX_PREFIX_BLOCKS)
        .map(|block| {
            previous = chain(previous, block);
            previous
        })
        .collect()
}

fn chain(previous: u64, block: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&previous.to_le_bytes());
    hasher.update(block);
    let mut name = [0; 8];
    name.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(name)
}
