//! Share of a team's bucket that a daemon may spend between two of its messages.
//!
//! A team at its limit may send requests to several daemons, each of which learns of the others'
//! use one message later.

use super::{LimitQuery, PeerPresence, TeamLimiter, bucket::TokenBucket};
use std::time::Duration;

/// Fraction of the units that flow into a bucket until the next message which may be spent before
/// it: the use of other daemons in that time is learned even later.
const INFLOW_FRACTION: f64 = 0.5;
/// Fraction of the bucket that requests of a rank leave to those of the next more urgent rank.
const RANK_RESERVE_FRACTION: f64 = 0.12;
/// A request that is smaller than this fraction of the bucket leaves proportionally less.
const SMALL_REQUEST_FRACTION: f64 = 0.01;
/// Number of ranks that are distinguished in this way.
const MAX_RESERVED_RANKS: u32 = 3;
/// Fraction of the bucket that daemons may spend regardless of their shares.
const UNSHARED_FRACTION: f64 = 0.25;
/// With more daemons than this, that fraction is smaller.
const UNSHARED_FULL_DAEMONS: f64 = 16.0;
/// Factor by which a daemon may exceed its share, as traffic moves between daemons.
const SHARE_FACTOR: f64 = 1.2;

impl TeamLimiter {
    /// Returns true if the bucket has room for a request at this daemon.
    ///
    /// Between two of its messages a daemon spends its share of the current level and of the units
    /// that flow in meanwhile. If each daemon could use all of it, many daemons would overdraw the
    /// bucket before they learn of each other's use. If the share is smaller than a request,
    /// requests are admitted at random in proportion to the share, large ones as often as those of
    /// typical size. Less urgent requests leave a fraction of the bucket to more urgent ones of
    /// their team, small requests proportionally less.
    pub(super) fn has_room(
        &self,
        presence: &PeerPresence,
        bucket: &TokenBucket,
        query: &LimitQuery,
    ) -> bool {
        if self.lone_share.is_some() {
            // The bucket holds this daemon's share only.
            return query.sample * query.units < bucket.level - self.held;
        }
        let level = bucket.level - rank_reserve(bucket, query);
        if level < 0.0 {
            return false;
        }
        let even = self.even_share(presence);
        let unshared = UNSHARED_FRACTION * (UNSHARED_FULL_DAEMONS * even).min(1.0);
        if bucket.level >= bucket.capacity * (1.0 - unshared) {
            return true;
        }
        // Unreported use is excluded: the use of others in the same time is unknown too, and a
        // daemon that counted only its own would take the whole bucket.
        let reported = (self.own_recent - self.unreported).max(0.0);
        let used = reported + self.others_recent;
        let share = if used > 0.0 { reported / used } else { even };
        let inflow = self.inflow_units(presence, bucket);
        let share = share.max(even);
        let available =
            (level + self.unreported) * (share * SHARE_FACTOR).min(1.0) + inflow * share;
        let room = available - self.unreported - self.held;
        query.sample * self.typical_units.min(query.units) < room
    }

    /// Returns the time until the limit has room for a request, if no other uses it until then.
    /// `tolerated`: the tolerance on top of the limit may be used.
    pub(crate) fn room_delay(&self, query: &LimitQuery, tolerated: bool) -> Duration {
        let bucket = if tolerated {
            &self.tolerated
        } else {
            &self.strict
        };
        let needed = rank_reserve(bucket, query) + query.units.min(bucket.capacity) - bucket.level;
        let wait_s = needed / self.limit.per_second.max(1e-6);
        Duration::from_secs_f64(wait_s.clamp(0.0, 30.0))
    }

    /// Returns the units that flow into a bucket until the next message and may be spent before it.
    /// Daemons outside the entry set spend none in advance, as callers may reach many of them at
    /// once.
    fn inflow_units(&self, presence: &PeerPresence, bucket: &TokenBucket) -> f64 {
        if self.members.is_none() {
            return 0.0;
        }
        let message_interval = presence.message_interval();
        bucket.rate * message_interval.as_secs_f64() * INFLOW_FRACTION
    }

    /// Returns the share that this daemon may use without recent traffic. A daemon outside the
    /// entry set may be one of many that callers reach all at once.
    fn even_share(&self, presence: &PeerPresence) -> f64 {
        let daemons = presence.daemons().max(presence.expected_daemons());
        1.0 / f64::from(self.members.unwrap_or(daemons).clamp(1, daemons))
    }
}

/// Returns the units of a bucket that a request leaves to more urgent ones of its team.
fn rank_reserve(bucket: &TokenBucket, query: &LimitQuery) -> f64 {
    let steps = f64::from(query.rank.min(MAX_RESERVED_RANKS));
    let size = query.units / (bucket.capacity * SMALL_REQUEST_FRACTION).max(f64::MIN_POSITIVE);
    bucket.capacity * RANK_RESERVE_FRACTION * steps * size.min(1.0)
}
