//! Rate limits of teams, enforced over all daemons together.

mod bucket;
mod fair_share;
mod presence;
mod staleness;

pub use bucket::LimitTolerance;
pub use presence::{PeerPresence, PresenceReport};

use crate::{config::TeamLimit, gossip::MAX_DIRECT_DAEMONS};
use bucket::{
    TOLERANCE_FRACTION, TokenBucket, ZONED_TOLERANCE_FRACTION, strict_bucket, tolerated_bucket,
};
use presence::AssumedUse;
use savorywood_protocol::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// Time after a start in which bucket levels of peers with a longer uptime are adopted.
const ADOPTION_WINDOW: Duration = Duration::from_secs(3);

/// Fraction of the burst that a restarted daemon begins with.
const RESTART_FILL_FRACTION: f64 = 0.3;
/// Time after a start until all other daemons are discovered.
const DISCOVERY_WINDOW: Duration = Duration::from_millis(900);
/// Multiple of its even share of burst and rate that a daemon may use until then.
const DISCOVERY_FACTOR: f64 = 2.0;
/// The whole use of a peer's incarnation is counted at its first report if the incarnation is
/// younger than this.
const MAX_YOUNG_UPTIME: Duration = Duration::from_secs(5);

/// Use of a team's limit that a peer reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerUsage {
    /// Message that reports the use.
    pub message: PresenceReport,
    /// Units used by the peer's incarnation so far.
    pub total: u64,
    /// Levels of the peer's buckets.
    pub levels: BucketLevels,
}

/// Levels of the token buckets of one team, in units; negative if overdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketLevels {
    /// Level of the bucket that enforces the limit.
    pub strict: i64,
    /// Level of the bucket that enforces the tolerance on top of the limit.
    pub tolerated: i64,
}

#[derive(Debug, Clone, Copy)]
struct PeerRecord {
    incarnation: u64,
    total: u64,
}

/// Weight of the newest request in the moving average of the request size.
const REQUEST_SIZE_WEIGHT: f64 = 0.05;
/// Time constant of the decay of recent use, by which shares are computed.
const USAGE_DECAY_WINDOW: Duration = Duration::from_secs(1);

/// A request to be checked against the limit of a team.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitQuery {
    /// Units that the request would be charged.
    pub units: f64,
    /// Rank of its route; 0 is the most urgent.
    pub rank: u32,
    /// Random sample, uniformly distributed between 0 and 1.
    pub sample: f64,
}

/// Result of checking a request against the limit of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitVerdict {
    /// Within the limit.
    Within,
    /// Beyond the limit, but within the tolerance.
    Tolerated,
    /// Beyond both limit and tolerance.
    Exceeded {
        /// Time until the limit is expected to have room again.
        retry_after: Duration,
    },
}

/// Token buckets of one team as seen by this daemon: its own use is exact, that of peers is as they
/// report it.
///
/// Each daemon keeps a copy of the same two buckets. The first enforces the limit. The second holds
/// the tolerance that operators allow on top of it: daemons learn of each other's use with a delay,
/// so enforcing the limit strictly at each of them would refuse requests that are within it. A
/// burst that reaches several daemons within the latency of a datagram overdraws the buckets once;
/// the debt then restrains all of them until it is repaid.
#[derive(Debug, Clone)]
pub struct TeamLimiter {
    limit: TeamLimit,
    tolerance: LimitTolerance,
    strict: TokenBucket,
    tolerated: TokenBucket,
    created_at: MonotonicTime,
    filled_at: MonotonicTime,
    /// Assumed use of unheard peers as of the last refill.
    assumed: AssumedUse,
    discovery_until: MonotonicTime,
    own_total: u64,
    /// Bucket levels of peers are adopted until this time.
    adopt_until: MonotonicTime,
    /// Units used in this daemon's zone since it began to count, including the use assumed for
    /// daemons that are not heard from.
    zone_total: f64,
    /// Own use that has not been reported to peers yet.
    unreported: f64,
    /// Moving average of the units per request.
    typical_units: f64,
    /// Recent use of this daemon, with exponential decay.
    own_recent: f64,
    /// Recent use of all other daemons, with exponential decay.
    others_recent: f64,
    /// Number of entry set members if this daemon is one of them; `None` otherwise.
    members: Option<u32>,
    /// Share of the limit that this daemon keeps to, as it does not receive the use of most others;
    /// `None` otherwise.
    lone_share: Option<f64>,
    /// Units that the next request checked leaves to returning ones.
    held: f64,
    /// Peers that have reported use of this team.
    peers: BTreeMap<u64, PeerRecord>,
}

impl TeamLimiter {
    /// Creates a limiter. `fresh` states that no use of the limit can have preceded.
    ///
    /// A restarted daemon does not know what its previous incarnation admitted, and after a restart
    /// of all daemons none of them knows. Each therefore begins with a small fraction of the burst
    /// and fills slowly until it can have discovered the others: with half of the burst each, seven
    /// daemons would admit several bursts at once.
    #[must_use]
    pub fn new(
        presence: &PeerPresence,
        limit: TeamLimit,
        tolerance: LimitTolerance,
        fresh: bool,
    ) -> Self {
        let now = presence.now();
        let mut strict = strict_bucket(limit);
        let mut tolerated = tolerated_bucket(limit, tolerance, tolerance_fraction(presence));
        if !fresh {
            strict.level *= RESTART_FILL_FRACTION;
            tolerated.level *= RESTART_FILL_FRACTION;
        }
        Self {
            limit,
            tolerance,
            strict,
            tolerated,
            created_at: now,
            filled_at: now,
            assumed: presence.assumed(),
            discovery_until: if fresh { now } else { now + DISCOVERY_WINDOW },
            own_total: 0,
            adopt_until: if fresh { now } else { now + ADOPTION_WINDOW },
            zone_total: 0.0,
            unreported: 0.0,
            typical_units: 0.0,
            own_recent: 0.0,
            others_recent: 0.0,
            members: None,
            lone_share: None,
            held: 0.0,
            peers: BTreeMap::new(),
        }
    }

    /// Replaces the limit; units that are in use count against the new one.
    pub fn set_limit(&mut self, presence: &PeerPresence, limit: TeamLimit) {
        self.refill(presence);
        let strict_used = self.strict.capacity - self.strict.level;
        let tolerated_used = self.tolerated.capacity - self.tolerated.level;
        self.limit = limit;
        self.strict = strict_bucket(limit);
        self.strict.level -= strict_used.min(limit.burst);
        self.tolerated = tolerated_bucket(limit, self.tolerance, tolerance_fraction(presence));
        self.tolerated.level -= tolerated_used.min(limit.burst);
    }

    /// Returns the limit in force.
    #[must_use]
    pub fn limit(&self) -> TeamLimit {
        self.limit
    }

    /// Returns the units that this incarnation of the daemon has used.
    #[must_use]
    pub fn own_total(&self) -> u64 {
        self.own_total
    }

    /// Returns the units that the daemons of this zone have used since this daemon began to count.
    #[must_use]
    pub fn zone_total(&self) -> u64 {
        self.zone_total.max(0.0) as u64
    }

    /// Checks whether a request is admitted now, without charging it.
    pub fn check(&mut self, presence: &PeerPresence, query: &LimitQuery) -> LimitVerdict {
        self.refill(presence);
        self.typical_units += (query.units - self.typical_units) * REQUEST_SIZE_WEIGHT;
        // The debt of the strict bucket is bounded, that of the tolerance is not. So the strict
        // bucket may be full again while the tolerance is nearly exhausted.
        if !self.has_room(presence, &self.tolerated, query) {
            return LimitVerdict::Exceeded {
                retry_after: self.retry_after(),
            };
        }
        if self.has_room(presence, &self.strict, query) {
            LimitVerdict::Within
        } else {
            LimitVerdict::Tolerated
        }
    }

    /// Sets the units of this daemon's share that requests checked from now on leave to those that
    /// were promised them.
    pub(crate) fn set_held(&mut self, units: f64) {
        self.held = units;
    }

    /// Records that a message has reported all use so far.
    pub fn mark_reported(&mut self) {
        self.unreported = 0.0;
    }

    /// Returns the time until the limit has room again, between 0.05 and 30 s.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        let wait = -self.strict.level / self.strict.rate.max(1e-6);
        Duration::from_secs_f64(wait.clamp(0.05, 30.0))
    }

    /// Charges a request. Units beyond the limit are charged to the tolerance only.
    pub fn charge(&mut self, units: f64, verdict: LimitVerdict) {
        if verdict == LimitVerdict::Within {
            self.strict.level -= units;
        }
        self.tolerated.level -= units;
        self.own_total += units as u64;
        self.zone_total += units;
        self.unreported += units;
        self.own_recent += units;
    }

    /// Refunds the units of a request that was not executed.
    pub fn refund(&mut self, units: f64) {
        self.strict.add(units);
        self.tolerated.add(units);
        self.own_total = self.own_total.saturating_sub(units as u64);
        self.zone_total -= units;
    }

    /// Records the use that a peer reports. `presence` does not include the message yet.
    pub fn record_peer_usage(&mut self, presence: &PeerPresence, report: &PeerUsage) {
        self.refill(presence);
        let message = &report.message;
        let used = (report.total as f64) - self.reported_before(presence, report);
        if message.same_zone {
            self.zone_total += used;
        }
        self.others_recent += used.max(0.0);
        // A share is kept apart from what the members use; they subtract what is used of it.
        if self.lone_share.is_none() {
            self.strict.add(-used);
            self.tolerated.add(-used);
            self.adopt_levels(presence.now(), report);
        }
        let min_level = -self.strict.capacity.max(self.limit.per_second);
        self.strict.level = self.strict.level.max(min_level);
        let updated = PeerRecord {
            incarnation: message.incarnation,
            total: report.total,
        };
        self.peers.insert(message.peer, updated);
    }

    /// Returns the part of the reported total that the buckets already include, or that was used
    /// too long ago to matter.
    fn reported_before(&self, presence: &PeerPresence, report: &PeerUsage) -> f64 {
        let message = &report.message;
        match self.peers.get(&message.peer) {
            Some(record) if record.incarnation == message.incarnation => record.total as f64,
            Some(_) => 0.0,
            None if message.uptime < MAX_YOUNG_UPTIME => 0.0,
            // Earlier messages of the incarnation reported no use.
            None if presence
                .last_message_at(message)
                .is_some_and(|at| at >= self.created_at) =>
            {
                0.0
            }
            // Use of a peer with a longer uptime is not recent.
            None => report.total as f64,
        }
    }

    /// Adopts the bucket levels that a peer with a longer uptime reports.
    ///
    /// All copies of the buckets should have the same levels. If each daemon that joins or returns
    /// while a team is at its limit began with levels of its own, it would admit a part of the
    /// burst once more; ten of them would admit several times the limit.
    fn adopt_levels(&mut self, now: MonotonicTime, report: &PeerUsage) {
        if now >= self.adopt_until || report.message.uptime < ADOPTION_WINDOW {
            return;
        }
        let levels = report.levels;
        self.strict.level = self.strict.level.min(levels.strict as f64);
        self.tolerated.level = self.tolerated.level.min(levels.tolerated as f64);
    }

    /// Returns the bucket levels as of the last refill.
    #[must_use]
    pub fn levels(&self) -> BucketLevels {
        BucketLevels {
            strict: self.strict.level as i64,
            tolerated: self.tolerated.level as i64,
        }
    }

    /// Sets the number of entry set members; `None` if this daemon is not one of them.
    pub fn set_members(&mut self, members: Option<u32>) {
        self.members = members;
    }

    /// Sets the share of the limit that this daemon keeps to while it does not receive the use of
    /// most others; `None` if it does.
    pub fn set_lone_share(&mut self, presence: &PeerPresence, share: Option<f64>) {
        self.refill(presence);
        self.lone_share = share;
    }

    /// Starts over with a part of the burst, as the use of other daemons was not received so far.
    pub fn rejoin(&mut self, presence: &PeerPresence) {
        self.refill(presence);
        let now = presence.now();
        for bucket in [&mut self.strict, &mut self.tolerated] {
            bucket.level = bucket.capacity * RESTART_FILL_FRACTION;
        }
        self.adopt_until = now + ADOPTION_WINDOW;
        self.peers.clear();
        self.created_at = now;
    }

    /// Removes a peer that has ended or was not heard from for long.
    pub fn remove_peer(&mut self, peer: u64) {
        self.peers.remove(&peer);
    }

    /// Applies a changed number of daemons to the tolerance.
    pub fn daemons_changed(&mut self, presence: &PeerPresence) {
        let fraction = tolerance_fraction(presence);
        let bucket = tolerated_bucket(self.limit, self.tolerance, fraction);
        self.tolerated.rate = bucket.rate;
    }

    /// Fills the buckets up to the time of `presence`.
    ///
    /// What peers that are not heard from are assumed to use is not available here.
    pub fn refill(&mut self, presence: &PeerPresence) {
        let now = presence.now();
        let elapsed = now.since(self.filled_at);
        let mut fraction = self.reachable_fraction(presence);
        let mut elapsed_s = elapsed.as_secs_f64();
        if now < self.discovery_until {
            elapsed_s *= fraction;
        }
        if let Some(share) = self.lone_share {
            elapsed_s *= share;
            fraction = fraction.min(share);
        }
        let decay = (-elapsed.as_secs_f64() / USAGE_DECAY_WINDOW.as_secs_f64()).exp();
        self.own_recent *= decay;
        self.others_recent *= decay;
        let assumed = presence.assumed();
        self.zone_total += (assumed.same_zone_s - self.assumed.same_zone_s) * self.strict.rate;
        let assumed_s = match self.lone_share {
            Some(_) => 0.0,
            None => assumed.total_s - self.assumed.total_s,
        };
        let refill_s = elapsed_s - assumed_s;
        for bucket in [&mut self.strict, &mut self.tolerated] {
            bucket.add(refill_s * bucket.rate);
            bucket.cap_to_fraction(fraction);
        }
        self.assumed = assumed;
        self.filled_at = now;
    }

    /// Returns the fraction of the burst that this daemon and the peers it reaches may hold.
    ///
    /// A partitioned daemon holds a copy of the whole burst. If each partitioned daemon spent it
    /// alone, they would admit many bursts; so each group of daemons that reach each other keeps to
    /// its fraction. A daemon that has just started knows only the number of the others.
    fn reachable_fraction(&self, presence: &PeerPresence) -> f64 {
        let expected = presence.expected_daemons();
        if presence.now() < self.discovery_until && expected > presence.daemons() {
            let fraction = f64::from(presence.reachable_daemons()) / f64::from(expected);
            return (fraction * DISCOVERY_FACTOR).min(1.0);
        }
        presence.reachable_fraction()
    }
}

fn tolerance_fraction(presence: &PeerPresence) -> f64 {
    if presence.expected_daemons() > MAX_DIRECT_DAEMONS {
        ZONED_TOLERANCE_FRACTION
    } else {
        TOLERANCE_FRACTION
    }
}
