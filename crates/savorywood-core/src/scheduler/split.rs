//! Exact shares of two versions, route by route.

use crate::view::VersionSplit;
use std::collections::BTreeMap;

/// Thousandths of one whole request.
const ONE_REQUEST: i64 = 1_000;
/// Requests that the new version may be behind its share before the rest is forgiven. Without
/// this bound a version that was full for a while would then get everything at once.
const MAX_DEFICIT: i64 = 2 * ONE_REQUEST;
/// Routes told apart; further ones share a meter.
const MAX_ROUTES: usize = 256;

/// Which of two versions is meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SplitSide {
    /// The version that has the rest.
    Old,
    /// The version that has the share.
    New,
}

/// Counts, for each route, how far the new version is behind its share. The share is met to
/// within one request on each route, at any time: no random number is drawn, so that a small
/// share of few requests is not by chance none, or twice as much.
#[derive(Debug, Default)]
pub struct SplitMeter {
    move_name: String,
    deficits: BTreeMap<String, i64>,
}

impl SplitMeter {
    /// Version whose turn it is on a route.
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

    /// Notes which version a request of a route went to.
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

/// Where a route begins: between nothing and one request, different in each daemon, so that many
/// daemons with little traffic don't all give their first request to the same version.
fn initial_deficit(route: &str, seed: u64) -> i64 {
    let mut hash = seed ^ 0xcbf2_9ce4_8422_2325;
    for byte in route.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^= hash >> 29;
    (hash.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as i64 % ONE_REQUEST
}
