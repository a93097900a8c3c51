//! Token buckets that keep each duty within its share of the platform's rate.

use crate::duty::{CallKind, DutyRate, PlatformDuty};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Least calls a second that one daemon gets of a rate that is split. With more daemons than the
/// rate has calls a duty would otherwise never be served.
const MIN_RATE: f64 = 0.05;

/// Whether a call may be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeVerdict {
    /// Now.
    Taken,
    /// After this wait, unless others come first.
    Wait(Duration),
    /// Not at all.
    Never,
}

/// Calls that may be made at a steady rate, with a burst after a pause.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// A full bucket.
    #[must_use]
    pub fn new(per_second: f64, burst: f64, now: Instant) -> Self {
        Self {
            per_second,
            burst,
            tokens: burst,
            filled_at: now,
        }
    }

    /// Changes the rate from now on.
    pub fn set_rate(&mut self, per_second: f64, now: Instant) {
        self.fill(now);
        self.per_second = per_second;
    }

    /// Takes one call, if there is one.
    pub fn take(&mut self, now: Instant) -> TakeVerdict {
        let verdict = self.look(now);
        if verdict == TakeVerdict::Taken {
            self.tokens -= 1.0;
        }
        verdict
    }

    /// Whether a call could be taken now.
    pub fn look(&mut self, now: Instant) -> TakeVerdict {
        self.fill(now);
        if self.tokens >= 1.0 {
            return TakeVerdict::Taken;
        }
        if self.per_second <= 0.0 {
            return TakeVerdict::Never;
        }
        let wait = (1.0 - self.tokens) / self.per_second;
        TakeVerdict::Wait(Duration::from_secs_f64(wait))
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at);
        let fresh = elapsed.as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + fresh).min(self.burst);
        self.filled_at = now;
    }
}

/// Names one bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct BucketKey {
    duty: PlatformDuty,
    write: bool,
}

/// Buckets of all duties of one daemon.
#[derive(Debug)]
pub struct DutyBudgets {
    members: u32,
    buckets: BTreeMap<BucketKey, TokenBucket>,
    /// Writes of all duties together, where the settings bound them.
    writes: Option<TokenBucket>,
}

impl DutyBudgets {
    /// Full buckets for one of so many daemons.
    #[must_use]
    pub fn new(members: u32) -> Self {
        let members = members.max(1);
        Self {
            members,
            buckets: BTreeMap::new(),
            writes: None,
        }
    }

    /// The same budgets with a bound on the writes of all duties together.
    #[must_use]
    pub fn with_write_bound(self, per_second: u32, now: Instant) -> Self {
        let rate = f64::from(per_second);
        let writes = Some(TokenBucket::new(rate, rate.max(1.0), now));
        Self { writes, ..self }
    }

    /// Tells how many daemons share the rates.
    pub fn set_members(&mut self, members: u32, now: Instant) {
        self.members = members.max(1);
        for (key, bucket) in &mut self.buckets {
            let rate = key.duty.rate(kind_of(key.write));
            bucket.set_rate(own_rate(rate, self.members), now);
        }
    }

    /// Takes one call of a duty.
    pub fn take(&mut self, duty: PlatformDuty, kind: CallKind, now: Instant) -> TakeVerdict {
        let rate = duty.rate(kind);
        let per_second = own_rate(rate, self.members);
        let write = kind == CallKind::Write;
        let bucket = self
            .buckets
            .entry(BucketKey { duty, write })
            .or_insert_with(|| TokenBucket::new(per_second, rate.burst, now));
        let Some(writes) = self.writes.as_mut().filter(|_| write) else {
            return bucket.take(now);
        };
        // Both or neither: a duty that must wait would otherwise use up the writes of the others.
        match (bucket.look(now), writes.look(now)) {
            (TakeVerdict::Taken, TakeVerdict::Taken) => {
                bucket.take(now);
                writes.take(now)
            }
            (TakeVerdict::Taken, verdict) | (verdict, _) => verdict,
        }
    }
}

fn kind_of(write: bool) -> CallKind {
    if write {
        CallKind::Write
    } else {
        CallKind::Read
    }
}

fn own_rate(rate: DutyRate, members: u32) -> f64 {
    if !rate.split {
        return rate.per_second;
    }
    (rate.per_second / f64::from(members)).max(MIN_RATE)
}
