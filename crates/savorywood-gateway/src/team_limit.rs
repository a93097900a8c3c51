//! What teams may use, over all daemons together.

mod bucket;
mod fair_share;
mod staleness;

pub use bucket::LimitTolerance;

use crate::{config::TeamLimit, gossip::MOST_DIRECT};
use bucket::{
    TOLERANCE_FRACTION, TokenBucket, ZONED_TOLERANCE_FRACTION, strict_bucket, tolerated_bucket,
};
use savorywood_protocol::MonotonicTime;
use serde::{Deserialize, Serialize};
use staleness::{StalenessIndex, StalenessThresholds, TrackedPeer};
use std::{collections::BTreeMap, time::Duration};

/// Time between two messages of a peer where nothing else is known.
const DEFAULT_MESSAGE_INTERVAL: Duration = Duration::from_millis(250);
/// A peer that sent nothing for this long is taken to be gone, if most others are seen.
const PEER_TTL: Duration = Duration::from_secs(20);
/// A daemon that is out of reach of nearly all is cut off, and the others live: they are not taken to be
/// gone before this time.
const PARTITIONED_PEER_TTL: Duration = Duration::from_secs(60);
/// For so long after a start the levels of those that have run longer are taken over.
const ADOPTION_WINDOW: Duration = Duration::from_secs(3);

/// Part of the burst with which a daemon begins that starts again.
const RESTART_FILL_FRACTION: f64 = 0.3;
/// After a start the other daemons may be unknown for so long.
const DISCOVERY_WINDOW: Duration = Duration::from_millis(900);
/// Meanwhile a daemon takes so many times its even part of burst and rate.
const DISCOVERY_FACTOR: f64 = 2.0;
/// What a peer has used in a life of less than this is counted when it is met.
const MAX_YOUNG_UPTIME: Duration = Duration::from_secs(5);

/// A peer as a meter sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerUsage {
    /// Digest of its name.
    pub peer: u64,
    /// Its life.
    pub incarnation: u64,
    /// Age of that life.
    pub age: Duration,
    /// Units used in it.
    pub total: u64,
    /// Daemons whose use that is.
    pub daemons: u32,
    /// It is of this daemon's own zone.
    pub same_zone: bool,
    /// Levels of its buckets, where it reports them.
    pub levels: Option<BucketLevels>,
}

/// Levels of the buckets of one team, in units; below zero they are overdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketLevels {
    /// Bucket of the limit.
    pub strict: i64,
    /// Bucket of what is tolerated on top.
    pub tolerated: i64,
}

#[derive(Debug, Clone, Copy)]
struct PeerRecord {
    incarnation: u64,
    total: u64,
    tracked: TrackedPeer,
}

/// Weight of the newest request in the usual size.
const REQUEST_SIZE_WEIGHT: f64 = 0.05;
/// Time in which old use loses most of its weight in the shares.
const USAGE_DECAY_WINDOW: Duration = Duration::from_secs(1);

/// A request that a team's meter is asked about.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitQuery {
    /// Units that it would take.
    pub units: f64,
    /// Rank of its route, 0 is the most urgent.
    pub rank: u32,
    /// A number drawn evenly from 0 to 1.
    pub sample: f64,
}

/// What a meter says of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitVerdict {
    /// It is within the limit.
    Within,
    /// It is beyond the limit and within the tolerance.
    Tolerated,
    /// It is beyond both.
    Exceeded {
        /// Time after which the limit may have room.
        retry_after: Duration,
    },
}

/// Token buckets of one team as this daemon sees it: own use exactly, that of peers as they report.
///
/// Each daemon keeps a copy of the same two buckets. The first is the limit. The second holds
/// what operators tolerate on top of it: daemons learn of each other late, and a limit kept to the
/// token by each of them would refuse what is within it. A burst that reaches several daemons
/// within the time of a datagram overdraws the buckets once; the debt then holds all of them back
/// until it is paid.
#[derive(Debug, Clone)]
pub struct TeamLimiter {
    limit: TeamLimit,
    tolerance: LimitTolerance,
    strict: TokenBucket,
    tolerated: TokenBucket,
    filled_at: MonotonicTime,
    discovery_until: MonotonicTime,
    own_total: u64,
    /// Until then levels of peers are taken over.
    adopt_until: MonotonicTime,
    /// Units used in this daemon's zone since it began to count, those that silent daemons are
    /// taken to use included.
    zone_total: f64,
    /// Own use that no message reported yet.
    unreported: f64,
    /// Units of a request, on the average of the newest.
    typical_units: f64,
    /// Own use lately, fading.
    own_recent: f64,
    /// Use of all others lately, fading.
    others_recent: f64,
    /// Daemons that there are, as far as they are known by other means than their messages.
    expected_daemons: u32,
    /// Daemons that the directory names to callers, if this one is among them.
    members: Option<u32>,
    peers: BTreeMap<u64, PeerRecord>,
    staleness: StalenessIndex,
}

impl TeamLimiter {
    /// A meter of a daemon. `fresh` means that nothing can have been used before.
    ///
    /// A daemon that starts again does not know what its last life admitted. When all of them
    /// start again together, nobody does: each begins with a small part of the burst and fills
    /// slowly until it can have seen the others. Begun with half of it each, seven daemons would
    /// admit several bursts at once.
    #[must_use]
    pub fn new(
        now: MonotonicTime,
        limit: TeamLimit,
        tolerance: LimitTolerance,
        fresh: bool,
    ) -> Self {
        let mut strict = strict_bucket(limit);
        let mut tolerated = tolerated_bucket(limit, tolerance, TOLERANCE_FRACTION);
        if !fresh {
            strict.level *= RESTART_FILL_FRACTION;
            tolerated.level *= RESTART_FILL_FRACTION;
        }
        Self {
            limit,
            tolerance,
            strict,
            tolerated,
            filled_at: now,
            discovery_until: if fresh { now } else { now + DISCOVERY_WINDOW },
            own_total: 0,
            adopt_until: if fresh { now } else { now + ADOPTION_WINDOW },
            zone_total: 0.0,
            unreported: 0.0,
            typical_units: 0.0,
            own_recent: 0.0,
            others_recent: 0.0,
            expected_daemons: 1,
            members: None,
            peers: BTreeMap::new(),
            staleness: StalenessIndex::new(StalenessThresholds::for_interval(
                DEFAULT_MESSAGE_INTERVAL,
            )),
        }
    }

    /// Puts another limit in force; what was used stays used.
    pub fn set_limit(&mut self, now: MonotonicTime, limit: TeamLimit) {
        self.refill(now);
        let strict_used = self.strict.capacity - self.strict.level;
        let tolerated_used = self.tolerated.capacity - self.tolerated.level;
        self.limit = limit;
        self.strict = strict_bucket(limit);
        self.strict.level -= strict_used.min(limit.burst);
        self.tolerated = tolerated_bucket(limit, self.tolerance, self.tolerance_fraction());
        self.tolerated.level -= tolerated_used.min(limit.burst);
    }

    /// Limit in force.
    #[must_use]
    pub fn limit(&self) -> TeamLimit {
        self.limit
    }

    /// Units that this daemon has used in its life.
    #[must_use]
    pub fn own_total(&self) -> u64 {
        self.own_total
    }

    /// Units that the daemons of this daemon's zone have used since it began to count.
    #[must_use]
    pub fn zone_total(&self) -> u64 {
        self.zone_total.max(0.0) as u64
    }

    /// Says whether a request may pass now; nothing is taken yet.
    pub fn check(&mut self, now: MonotonicTime, query: &LimitQuery) -> LimitVerdict {
        self.refill(now);
        self.typical_units += (query.units - self.typical_units) * REQUEST_SIZE_WEIGHT;
        // The debt of the strict bucket is cut off, that of the tolerance never is: the strict one
        // may be full again while the tolerance is all but spent.
        if !self.has_room(&self.tolerated, query) {
            return LimitVerdict::Exceeded {
                retry_after: self.retry_after(),
            };
        }
        if self.has_room(&self.strict, query) {
            LimitVerdict::Within
        } else {
            LimitVerdict::Tolerated
        }
    }

    /// A message reports all that was used so far.
    pub fn mark_reported(&mut self) {
        self.unreported = 0.0;
    }

    /// Time after which the limit has room again.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        let wait = -self.strict.level / self.strict.rate.max(1e-6);
        Duration::from_secs_f64(wait.clamp(0.05, 30.0))
    }

    /// Takes units for a request. Beyond the limit they count only against the tolerance.
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

    /// Gives back what a request did not use, because it never ran.
    pub fn refund(&mut self, units: f64) {
        self.strict.add(units);
        self.tolerated.add(units);
        self.own_total = self.own_total.saturating_sub(units as u64);
        self.zone_total -= units;
    }

    /// A peer reports what it has used in its life.
    pub fn record_peer_usage(&mut self, now: MonotonicTime, reading: PeerUsage) {
        self.refill(now);
        let known = self.peers.get(&reading.peer).copied();
        let total = reading.total as f64;
        let used = match known {
            Some(known) if known.incarnation == reading.incarnation => total - known.total as f64,
            Some(_) => total,
            None if reading.age < MAX_YOUNG_UPTIME => total,
            // What an old peer used long ago is over.
            None => 0.0,
        };
        // What was assumed while it was silent is settled against what it reports.
        let same_incarnation = known.filter(|known| known.incarnation == reading.incarnation);
        let assumed_s =
            same_incarnation.map_or(0.0, |known| self.assumed_use_s(known.tracked, now));
        if reading.same_zone {
            self.zone_total += used - assumed_s * self.strict.rate;
        }
        self.others_recent += used.max(0.0);
        self.strict.add(assumed_s * self.strict.rate - used);
        self.tolerated.add(assumed_s * self.tolerated.rate - used);
        self.adopt_levels(now, reading);
        let least = -self.strict.capacity.max(self.limit.per_second);
        self.strict.level = self.strict.level.max(least);
        self.remove_peer(reading.peer);
        let silence = TrackedPeer {
            peer: reading.peer,
            received_at: now,
            daemons: reading.daemons,
            same_zone: reading.same_zone,
        };
        self.staleness.insert(silence);
        let received = PeerRecord {
            incarnation: reading.incarnation,
            total: reading.total,
            tracked: silence,
        };
        self.peers.insert(reading.peer, received);
    }

    fn remove_peer(&mut self, peer: u64) {
        if let Some(known) = self.peers.remove(&peer) {
            self.staleness.remove(known.tracked);
        }
    }

    /// A daemon that starts beside others takes over what they know of the team.
    ///
    /// Each copy of the buckets is meant to be the same. Begun with a level of its own, every
    /// daemon that joins or comes back while a team is at its limit would let through a part of
    /// the burst once more; ten of them would let through several limits.
    fn adopt_levels(&mut self, now: MonotonicTime, reading: PeerUsage) {
        if now >= self.adopt_until || reading.age < ADOPTION_WINDOW {
            return;
        }
        if let Some(levels) = reading.levels {
            self.strict.level = self.strict.level.min(levels.strict as f64);
            self.tolerated.level = self.tolerated.level.min(levels.tolerated as f64);
        }
    }

    /// Levels of the buckets as of the last look.
    #[must_use]
    pub fn levels(&self) -> BucketLevels {
        BucketLevels {
            strict: self.strict.level as i64,
            tolerated: self.tolerated.level as i64,
        }
    }

    /// The directory names so many daemons to callers; `None` where this one is not among them.
    pub fn set_members(&mut self, members: Option<u32>) {
        self.members = members;
    }

    /// A peer is known to have ended.
    pub fn record_peer_ended(&mut self, now: MonotonicTime, peer: u64) {
        self.refill(now);
        self.remove_peer(peer);
    }

    /// There are so many daemons, seen or not, and each sends a message after each pause.
    pub fn set_expected_daemons(&mut self, now: MonotonicTime, daemons: u32, pause: Duration) {
        let times = StalenessThresholds::for_interval(pause);
        if self.staleness.times() != times {
            self.refill(now);
            self.staleness = StalenessIndex::new(times);
            for peer in self.peers.values() {
                self.staleness.insert(peer.tracked);
            }
            let peers = &self.peers;
            let find = |peer| peers.get(&peer).map(|known| known.tracked);
            self.staleness.advance(now, find);
        }
        self.expected_daemons = daemons;
        let bucket = tolerated_bucket(self.limit, self.tolerance, self.tolerance_fraction());
        self.tolerated.rate = bucket.rate;
    }

    fn tolerance_fraction(&self) -> f64 {
        if self.expected_daemons > MOST_DIRECT {
            ZONED_TOLERANCE_FRACTION
        } else {
            TOLERANCE_FRACTION
        }
    }

    /// Daemons that the meter counts, this one included.
    fn daemons(&self) -> u32 {
        self.staleness.daemons() + 1
    }

    /// What a silent peer is taken to have used: its even share, in seconds of the whole rate.
    fn assumed_use_s(&self, peer: TrackedPeer, now: MonotonicTime) -> f64 {
        let share = f64::from(peer.daemons) / f64::from(self.daemons());
        self.staleness.staleness_of(peer, now).as_secs_f64() * share
    }

    fn refill(&mut self, now: MonotonicTime) {
        let before = self.staleness.stale_time(self.filled_at);
        let peers = &self.peers;
        let find = |peer| peers.get(&peer).map(|known| known.tracked);
        self.staleness.advance(now, find);
        let after = self.staleness.stale_time(now);
        let part = self.reachable_fraction(now);
        let mut elapsed_s = now.since(self.filled_at).as_secs_f64();
        if now < self.discovery_until {
            elapsed_s *= part;
        }
        let fading =
            (-now.since(self.filled_at).as_secs_f64() / USAGE_DECAY_WINDOW.as_secs_f64()).exp();
        self.own_recent *= fading;
        self.others_recent *= fading;
        let share = 1.0 / f64::from(self.daemons());
        self.zone_total += (after.same_zone_s - before.same_zone_s) * share * self.strict.rate;
        let left_s = elapsed_s - (after.all_s - before.all_s) * share;
        for bucket in [&mut self.strict, &mut self.tolerated] {
            bucket.add(left_s * bucket.rate);
            bucket.cap_to_fraction(part);
        }
        self.filled_at = now;
        let ttl = if part > 0.5 {
            PEER_TTL
        } else {
            PARTITIONED_PEER_TTL
        };
        while let Some(peer) = self.staleness.stale_for(now, ttl) {
            self.remove_peer(peer);
        }
    }

    /// Part of the burst that this daemon and those that it sees may hold.
    ///
    /// A daemon that is cut off holds a copy of the whole burst. Spending it alone, as every other
    /// one that is cut off would, they let through many bursts; so each group of daemons that see
    /// each other keeps to its part. One that has just started knows only how many there are.
    fn reachable_fraction(&self, now: MonotonicTime) -> f64 {
        let seen = self.staleness.reachable_daemons() + 1;
        let all = self.daemons();
        if now < self.discovery_until && self.expected_daemons > all {
            let part = f64::from(seen) / f64::from(self.expected_daemons);
            return (part * DISCOVERY_FACTOR).min(1.0);
        }
        f64::from(seen) / f64::from(all)
    }
}
