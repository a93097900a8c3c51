//! Rendezvous hashing: every daemon finds the same holder of a thing without asking anybody.
//!
//! The score of each candidate depends on the candidate and the thing alone, so when a member
//! goes only what it held moves. The hash must be the same in every build and process, which
//! the standard library's does not promise; FNV-1a with a finishing mix is enough here.

/// Offset of FNV-1a with 64 bits.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of FNV-1a with 64 bits.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hash of several texts; the same texts divided otherwise give another hash.
#[must_use]
pub fn hash_parts(parts: &[&str]) -> u64 {
    let mut hash = FNV_OFFSET;
    for part in parts {
        for byte in part.as_bytes() {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
        // Byte 0xff is in no UTF-8 text, so it divides them.
        hash = (hash ^ 0xff).wrapping_mul(FNV_PRIME);
    }
    mix_bits(hash)
}

/// Spreads small differences of a number over all its bits.
#[must_use]
pub fn mix_bits(number: u64) -> u64 {
    let mut mixed = number;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Score of a candidate for a thing; the highest holds it.
#[must_use]
pub fn score(thing: u64, candidate: &str) -> u64 {
    mix_bits(thing ^ hash_parts(&[candidate]))
}
