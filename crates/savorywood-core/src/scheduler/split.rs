//! Deterministic traffic split between two versions, per route.

use crate::view::VersionSplit;
use std::collections::BTreeMap;

/// Deficit of one request, in thousandths.
const ONE_REQUEST: i64 = 1_000;
/// Maximum deficit of the new version. Without this bound a version that had no capacity for a
/// while would then get all requests at once.
const MAX_DEFICIT: i64 = 2 * ONE_REQUEST;
/// Maximum number of routes counted separately; further ones share a counter.
const MAX_ROUTES: usize = 256;

/// Side of a traffic split.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SplitSide {
    /// Old version, which gets the rest of the traffic.
    Old,
    /// New version, which gets the configured share.
    New,
}

/// Deficit counters that keep the new version's share exact to within one request per route at any
/// time. No random numbers are used, because with few requests a small share would by chance be
/// none or twice as much.
#[derive(Debug, Default)]
pub struct SplitMeter {
    move_name: String,
    deficits: BTreeMap<String, i64>,
}

impl SplitMeter {
    /// Returns the side whose turn it is on a route.
    pub fn next_side(&self, split: &VersionSplit, route: &str, seed: u64) -> SplitSide {
        let deficit = self.deficit_of(split, route, seed);
        match split.new_per_mille {
            0 => SplitSide::Old,
            share if deficit + i64::from(share) >= ONE_REQUEST => SplitSide::New,
            _ => SplitSide::Old,
        }
    }

    fn deficit_of(&self, split: &VersionSplit, route: &str, seed: u64) -> i64 {
        let known = self.deficits.get(self.label(route));
        let known = known.filter(|_| self.move_name == split.move_name.as_str());
        known
            .copied()
            .unwrap_or_else(|| initial_deficit(route, seed))
    }

    fn label<'a>(&self, route: &'a str) -> &'a str {
        let known = self.deficits.contains_key(route);
        if known || self.deficits.len() < MAX_ROUTES {
            route
        } else {
            ""
        }
    }

    /// Records the side that a request of a route was dispatched to.
    pub fn record(&mut self, split: &VersionSplit, route: &str, seed: u64, side: SplitSide) {
        let deficit = self.deficit_of(split, route, seed);
        let label = self.label(route).to_owned();
        if self.move_name != split.move_name.as_str() {
            self.deficits.clear();
            split.move_name.as_str().clone_into(&mut self.move_name);
        }
        let used = match side {
            SplitSide::Old => 0,
            SplitSide::New => ONE_REQUEST,
        };
        let next = deficit + i64::from(split.new_per_mille) - used;
        self.deficits
            .insert(label, next.clamp(-ONE_REQUEST, MAX_DEFICIT));
    }
}

/// Returns the deficit at which a route starts: between zero and one request, different in each
/// daemon, so that many daemons with little traffic don't all send their first request to the same
/// version.
fn initial_deficit(route: &str, seed: u64) -> i64 {
    let mut hash = seed ^ 0xcbf2_9ce4_8422_2325;
    for byte in route.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^= hash >> 29;
    (hash.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as i64 % ONE_REQUEST
}
