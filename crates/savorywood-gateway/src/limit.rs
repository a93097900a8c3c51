//! What teams may use, over all daemons together.

use crate::declared::TeamLimit;
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};

/// A peer that was not heard for this long is taken to use its even share.
const UNHEARD_TIME: Duration = Duration::from_millis(1_500);
/// A peer that was not heard for this long is taken to be gone.
const GONE_TIME: Duration = Duration::from_secs(10);

/// Part of the burst with which a daemon begins that starts again.
const START_PART: f64 = 0.3;
/// After a start the other daemons may be unknown for so long.
const UNKNOWN_TIME: Duration = Duration::from_millis(900);
/// Part of the rate that a daemon takes meanwhile.
const UNKNOWN_PART: f64 = 0.4;
/// What a peer has used in a life of less than this is counted when it is met.
const YOUNG_TIME: Duration = Duration::from_secs(5);

/// A peer as a meter hears it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerReading {
    /// Digest of its name.
    pub peer: u64,
    /// Its life.
    pub incarnation: u64,
    /// Age of that life.
    pub age: Duration,
    /// Units used in it.
    pub total: u64,
}

#[derive(Debug, Clone, Copy)]
struct PeerUse {
    incarnation: u64,
    total: u64,
    heard_at: MonotonicTime,
}

/// By how much the sum of what all daemons admit may exceed a limit, as operators allow it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitTolerance {
    /// Span over which use is summed up.
    pub window: Duration,
    /// Share of the limit that may come on top.
    pub overage: f64,
    /// Units that may come on top.
    pub slack: f64,
}

impl Default for LimitTolerance {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(8),
            overage: 0.0,
            slack: 0.0,
        }
    }
}

/// Part of the tolerated use that is admitted knowingly; the rest covers what daemons admit
/// before they hear of each other, and what those that ended had admitted.
const KNOWING_PART: f64 = 0.65;

/// One token bucket.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    rate: f64,
    capacity: f64,
    level: f64,
}

impl TokenBucket {
    fn fill(&mut self, units: f64) {
        self.level = (self.level + units).min(self.capacity);
    }
}

/// What a meter says of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MeterVerdict {
    /// It is within the limit.
    Within,
    /// It is beyond the limit and within the tolerance.
    Tolerated,
    /// It is beyond both.
    Beyond {
        /// Time after which the limit may have room.
        wait: Duration,
    },
}

/// Token buckets of one team as this daemon sees it: own use exactly, that of peers as they tell.
///
/// Each daemon keeps a copy of the same two buckets. The first is the limit. The second holds
/// what operators tolerate on top of it: daemons hear of each other late, and a limit kept to the
/// token by each of them would refuse what is within it. A burst that reaches several daemons
/// within the time of a datagram overdraws the buckets once; the debt then holds all of them back
/// until it is paid.
#[derive(Debug, Clone)]
pub struct TeamMeter {
    limit: TeamLimit,
    tolerance: LimitTolerance,
    strict: TokenBucket,
    tolerated: TokenBucket,
    filled_at: MonotonicTime,
    slow_until: MonotonicTime,
    own_total: u64,
    peers: BTreeMap<u64, PeerUse>,
}

fn strict_bucket(limit: TeamLimit) -> TokenBucket {
    TokenBucket {
        rate: limit.per_second,
        capacity: limit.burst,
        level: limit.burst,
    }
}

/// A bucket that lets through the knowing part of the tolerated use within any window.
fn tolerated_bucket(limit: TeamLimit, tolerance: LimitTolerance) -> TokenBucket {
    let window = tolerance.window.as_secs_f64().max(0.1);
    let declared = limit.per_second * window + limit.burst;
    let tolerated = declared * (1.0 + tolerance.overage) + tolerance.slack;
    let most = declared + (tolerated - declared) * KNOWING_PART;
    TokenBucket {
        rate: (most - limit.burst) / window,
        capacity: limit.burst,
        level: limit.burst,
    }
}

impl TeamMeter {
    /// A meter of a daemon. `fresh` means that nothing can have been used before.
    ///
    /// A daemon that starts again does not know what its last life admitted. When all of them
    /// start again together, nobody does: each begins with a small part of the burst and fills
    /// slowly until it can have heard the others. Begun with half of it each, seven daemons would
    /// admit several bursts at once.
    #[must_use]
    pub fn new(
        now: MonotonicTime,
        limit: TeamLimit,
        tolerance: LimitTolerance,
        fresh: bool,
    ) -> Self {
        let mut strict = strict_bucket(limit);
        let mut tolerated = tolerated_bucket(limit, tolerance);
        if !fresh {
            strict.level *= START_PART;
            tolerated.level *= START_PART;
        }
        Self {
            limit,
            tolerance,
            strict,
            tolerated,
            filled_at: now,
            slow_until: if fresh { now } else { now + UNKNOWN_TIME },
            own_total: 0,
            peers: BTreeMap::new(),
        }
    }

    /// Puts another limit in force; what was used stays used.
    pub fn set_limit(&mut self, now: MonotonicTime, limit: TeamLimit) {
        self.fill(now);
        let strict_used = self.strict.capacity - self.strict.level;
        let tolerated_used = self.tolerated.capacity - self.tolerated.level;
        self.limit = limit;
        self.strict = strict_bucket(limit);
        self.strict.level -= strict_used.min(limit.burst);
        self.tolerated = tolerated_bucket(limit, self.tolerance);
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

    /// Says whether a request may pass now; nothing is taken yet.
    pub fn look(&mut self, now: MonotonicTime) -> MeterVerdict {
        self.fill(now);
        if self.strict.level >= 0.0 {
            return MeterVerdict::Within;
        }
        if self.tolerated.level >= 0.0 {
            return MeterVerdict::Tolerated;
        }
        MeterVerdict::Beyond { wait: self.wait() }
    }

    /// Time after which the limit has room again.
    #[must_use]
    pub fn wait(&self) -> Duration {
        let wait = -self.strict.level / self.strict.rate.max(1e-6);
        Duration::from_secs_f64(wait.clamp(0.05, 30.0))
    }

    /// Takes units for a request. Beyond the limit they count only against the tolerance.
    pub fn take(&mut self, units: f64, verdict: MeterVerdict) {
        if verdict == MeterVerdict::Within {
            self.strict.level -= units;
        }
        self.tolerated.level -= units;
        self.own_total += units as u64;
    }

    /// Gives back what a request did not use, because it never ran.
    pub fn give_back(&mut self, units: f64) {
        self.strict.fill(units);
        self.tolerated.fill(units);
        self.own_total = self.own_total.saturating_sub(units as u64);
    }

    /// A peer tells what it has used in its life.
    pub fn heard(&mut self, now: MonotonicTime, reading: PeerReading) {
        self.fill(now);
        let known = self.peers.get(&reading.peer).copied();
        let total = reading.total as f64;
        let news = match known {
            Some(known) if known.incarnation == reading.incarnation => {
                // What was assumed while it was silent is settled against what it tells.
                total - known.total as f64 - self.assumed(known, now)
            }
            Some(_) => total,
            None if reading.age < YOUNG_TIME => total,
            // What an old peer used long ago is no news.
            None => 0.0,
        };
        self.strict.fill(-news);
        self.tolerated.fill(-news);
        let least = -self.strict.capacity.max(self.limit.per_second);
        self.strict.level = self.strict.level.max(least);
        let heard = PeerUse {
            incarnation: reading.incarnation,
            total: reading.total,
            heard_at: now,
        };
        self.peers.insert(reading.peer, heard);
    }

    /// A peer is known to have ended.
    pub fn ended(&mut self, now: MonotonicTime, peer: u64) {
        self.fill(now);
        self.peers.remove(&peer);
    }

    fn share_rate(&self) -> f64 {
        self.limit.per_second / (self.peers.len() + 1) as f64
    }

    fn assumed(&self, peer: PeerUse, now: MonotonicTime) -> f64 {
        let silent = now.since(peer.heard_at).min(GONE_TIME);
        silent.saturating_sub(UNHEARD_TIME).as_secs_f64() * self.share_rate()
    }

    fn fill(&mut self, now: MonotonicTime) {
        let mut elapsed = now.since(self.filled_at).as_secs_f64();
        if now < self.slow_until {
            elapsed *= UNKNOWN_PART;
        }
        let silent = self.silent_use(now) - self.silent_use(self.filled_at);
        self.strict.fill(elapsed * self.strict.rate - silent);
        self.tolerated.fill(elapsed * self.tolerated.rate - silent);
        self.filled_at = now;
        self.peers
            .retain(|_, peer| now.since(peer.heard_at) < GONE_TIME);
    }

    fn silent_use(&self, now: MonotonicTime) -> f64 {
        self.peers
            .values()
            .map(|peer| self.assumed(*peer, now))
            .sum()
    }
}
