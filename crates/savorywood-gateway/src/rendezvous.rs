//! Choices that all daemons make alike without messages, by rendezvous hashing.

use crate::peer::name_digest;
use std::net::SocketAddr;

/// A number for an address, the same at all daemons.
#[must_use]
pub fn address_hash(address: SocketAddr) -> u64 {
    name_digest(&address.to_string())
}

/// Evenly spread weight of a pair, the same at all daemons (SplitMix64's mixing). Whoever weighs
/// most for something is chosen for it.
#[must_use]
pub fn rendezvous_weight(chooser: u64, chosen: u64) -> u64 {
    let mut mixed = chooser ^ chosen.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
