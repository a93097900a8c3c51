//! What teams may use, over all daemons together.

use crate::declared::TeamLimit;
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};

/// A peer that was not heard for this long is taken to use its even share.
const UNHEARD_TIME: Duration = Duration::from_millis(1_500);
/// A peer that was not heard for this long is taken to be gone.
const GONE_TIME: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy)]
struct PeerUse {
    incarnation: u64,
    total: u64,
    heard_at: MonotonicTime,
}

/// Token bucket of one team as this daemon sees it: own use exactly, that of peers as they tell.
///
/// Each daemon keeps a copy of the one bucket. A burst that reaches several daemons within the
/// time of a datagram overdraws it once; the debt then holds all of them back until it is paid,
/// so the sum over a window exceeds the limit by that one overdraft at most.
#[derive(Debug, Clone)]
pub struct TeamMeter {
    limit: TeamLimit,
    level: f64,
    filled_at: MonotonicTime,
    own_total: u64,
    peers: BTreeMap<u64, PeerUse>,
}

impl TeamMeter {
    /// A meter that starts with a part of the burst: the life before this one is not known.
    #[must_use]
    pub fn new(now: MonotonicTime, limit: TeamLimit, full_part: f64) -> Self {
        Self {
            limit,
            level: limit.burst * full_part,
            filled_at: now,
            own_total: 0,
            peers: BTreeMap::new(),
        }
    }

    /// Puts another limit in force; what was used stays used.
    pub fn set_limit(&mut self, now: MonotonicTime, limit: TeamLimit) {
        self.fill(now);
        let used = self.limit.burst - self.level;
        self.limit = limit;
        self.level = limit.burst - used.min(limit.burst);
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

    /// Takes units for a request.
    ///
    /// # Errors
    ///
    /// The time after which they may be there.
    pub fn take(&mut self, now: MonotonicTime, units: f64) -> Result<(), Duration> {
        self.fill(now);
        if self.level < 0.0 {
            let wait = -self.level / self.limit.per_second.max(1e-6);
            return Err(Duration::from_secs_f64(wait.clamp(0.05, 30.0)));
        }
        self.level -= units;
        self.own_total += units as u64;
        Ok(())
    }

    /// Gives back what a request did not use, because it never ran.
    pub fn give_back(&mut self, units: f64) {
        self.level = (self.level + units).min(self.limit.burst);
        self.own_total = self.own_total.saturating_sub(units as u64);
    }

    /// A peer tells what it has used in its life.
    pub fn heard(&mut self, now: MonotonicTime, peer: u64, incarnation: u64, total: u64) {
        self.fill(now);
        let known = self.peers.get(&peer).copied();
        let news = match known {
            Some(known) if known.incarnation == incarnation => {
                // What was assumed while it was silent is settled against what it tells.
                let assumed = self.assumed(known, now);
                total as f64 - known.total as f64 - assumed
            }
            Some(_) => total as f64,
            // Of a peer met for the first time only the newest use matters.
            None => 0.0,
        };
        self.level = (self.level - news).min(self.limit.burst);
        let heard = PeerUse {
            incarnation,
            total,
            heard_at: now,
        };
        self.peers.insert(peer, heard);
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
        let elapsed = now.since(self.filled_at).as_secs_f64();
        let silent = self.silent_use(now) - self.silent_use(self.filled_at);
        self.level += elapsed * self.limit.per_second - silent;
        self.level = self.level.min(self.limit.burst);
        self.filled_at = now;
        self.peers.retain(|_, peer| now.since(peer.heard_at) < GONE_TIME);
    }

    fn silent_use(&self, now: MonotonicTime) -> f64 {
        self.peers.values().map(|peer| self.assumed(*peer, now)).sum()
    }
}
