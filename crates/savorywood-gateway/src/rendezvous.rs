//! Rendezvous hashing, by which all daemons make the same choice without messages.

use crate::peer::name_digest;
use std::net::SocketAddr;

/// Returns a hash of an address that is the same at all daemons.
#[must_use]
pub fn address_hash(address: SocketAddr) -> u64 {
    name_digest(&address.to_string())
}

/// Returns the weight of a pair, which is uniformly distributed and the same at all daemons
/// (SplitMix64 finaliser). The candidate with the highest weight for a key is its holder.
#[must_use]
pub fn rendezvous_weight(chooser: u64, chosen: u64) -> u64 {
    let mut mixed = chooser ^ chosen.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
