//! Rendezvous hashing: all daemons assign a key to the same candidate without coordination.
//!
//! The score of a candidate depends only on the candidate and the key, so when a member leaves,
//! only the keys that were assigned to it move. The hash must be identical in every build and
//! process, which the standard library does not guarantee for its hasher. FNV-1a with a finalizing
//! bit mix is sufficient here.

/// Offset basis of 64-bit FNV-1a.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the hash of a sequence of texts. Different divisions of the same text into parts give
/// different hashes.
#[must_use]
pub fn hash_parts(parts: &[&str]) -> u64 {
    let mut hash = FNV_OFFSET;
    for part in parts {
        for byte in part.as_bytes() {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
        // Byte 0xff does not occur in UTF-8, so it separates the parts unambiguously.
        hash = (hash ^ 0xff).wrapping_mul(FNV_PRIME);
    }
    mix_bits(hash)
}

/// Mixes the bits of a number, so that small differences affect all bits (the finalizer of
/// SplitMix64).
#[must_use]
pub fn mix_bits(number: u64) -> u64 {
    let mut mixed = number;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the score of a candidate for a key. The key is assigned to the candidate with the
/// highest score.
#[must_use]
pub fn score(key: u64, candidate: &str) -> u64 {
    mix_bits(key ^ hash_parts(&[candidate]))
}
