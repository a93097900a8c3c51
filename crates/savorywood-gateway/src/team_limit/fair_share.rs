//! What of a team's bucket a daemon spends between two of its messages.
//!
//! The load that this answers: a team at its limit whose requests come to several daemons, each of
//! which learns of the others' use a message later.

use super::{LimitQuery, TeamLimiter, bucket::TokenBucket};

/// Part of what comes into a bucket until the next message that is spent before it: others' use of
/// that time is learned later still.
const INFLOW_FRACTION: f64 = 0.5;
/// Part of a bucket that requests of a rank leave to those of the rank before it.
const RANK_RESERVE_FRACTION: f64 = 0.12;
/// A request of a smaller part of the bucket leaves less of it.
const SMALL_REQUEST_FRACTION: f64 = 0.01;
/// Ranks for which this is done.
const MAX_RESERVED_RANKS: u32 = 3;
/// Part of a bucket that daemons spend without regard to their shares.
const UNSHARED_FRACTION: f64 = 0.25;
/// With more daemons than this it is smaller.
const UNSHARED_FULL_DAEMONS: f64 = 16.0;
/// How many times its share a daemon may spend: use moves between daemons.
const SHARE_FACTOR: f64 = 1.2;

impl TeamLimiter {
    /// A bucket has room for this daemon.
    ///
    /// Between two of its messages a daemon spends its share of what is left and of what comes in
    /// meanwhile: with all of it in reach of each, many daemons overdraw it before they learn of
    /// each other. A share that is less than a request lets one pass as often as it is worth, large
    /// ones as often as usual ones. Less urgent requests leave a part of the bucket to more urgent
    /// ones of their team, small ones less of it.
    pub(super) fn has_room(&self, bucket: &TokenBucket, query: &LimitQuery) -> bool {
        let steps = f64::from(query.rank.min(MAX_RESERVED_RANKS));
        let size = query.units / (bucket.capacity * SMALL_REQUEST_FRACTION).max(f64::MIN_POSITIVE);
        let level = bucket.level - bucket.capacity * RANK_RESERVE_FRACTION * steps * size.min(1.0);
        if level < 0.0 {
            return false;
        }
        let even = self.even_share();
        let free = UNSHARED_FRACTION * (UNSHARED_FULL_DAEMONS * even).min(1.0);
        if bucket.level >= bucket.capacity * (1.0 - free) {
            return true;
        }
        // What was not reported yet is left out: others' use of the same time is not known either,
        // and a daemon that saw its own alone would take the whole bucket.
        let reported = (self.own_recent - self.unreported).max(0.0);
        let used = reported + self.others_recent;
        let share = if used > 0.0 { reported / used } else { even };
        let inflow = self.inflow_units(bucket);
        let share = share.max(even);
        let left = (level + self.unreported) * (share * SHARE_FACTOR).min(1.0) + inflow * share;
        let room = left - self.unreported;
        query.sample * self.typical_units.min(query.units) < room
    }

    /// Units that come into a bucket until the next message and may be spent before it. Daemons that
    /// the directory does not name wait for them: callers may come to many of these at once.
    fn inflow_units(&self, bucket: &TokenBucket) -> f64 {
        if self.members.is_none() {
            return 0.0;
        }
        let pause = self.staleness.times().interval;
        bucket.rate * pause.as_secs_f64() * INFLOW_FRACTION
    }

    /// Share that this daemon may take without having seen callers before. One that the directory
    /// does not name may be one of many to which callers come all at once.
    fn even_share(&self) -> f64 {
        let daemons = self.daemons().max(self.expected_daemons);
        1.0 / f64::from(self.members.unwrap_or(daemons).clamp(1, daemons))
    }
}
