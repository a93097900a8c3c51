//! Simulated callers that resolve daemon addresses through the directory and cache them.
#![allow(dead_code, reason = "each test file uses a part of the module")]

use crate::{
    cluster::{DaemonCluster, ZONES},
    harness::arrival,
};
use savorywood_gateway::CallerLocation;
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Daemons that a caller queries for addresses before it gives up.
const DIRECTORY_ATTEMPTS: usize = 3;
const MAX_ADDRESSES: usize = 64;

/// Deterministic pseudo-random numbers (a linear congruential generator) from a seed.
#[derive(Debug, Clone)]
pub struct SeededRandom(pub u64);

impl SeededRandom {
    /// Returns a number from 0 to `bound` - 1.
    pub fn below(&mut self, bound: usize) -> usize {
        let Self(state) = self;
        *state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(99);
        (*state >> 33) as usize % bound
    }
}

/// Counts of requests by result, over all callers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallerTally {
    pub requests: usize,
    pub served: usize,
    /// Refused by a daemon that was not able to serve.
    pub refused: usize,
    /// Sent to a host that is down.
    pub failed: usize,
}

/// One caller, with the addresses that it has cached.
#[derive(Debug, Clone, Default)]
struct ZoneCaller {
    /// Number of the caller's zone.
    zone: usize,
    /// Daemons that it may use, by number.
    addresses: Vec<usize>,
    /// When the addresses were read from the directory.
    resolved_at: MonotonicTime,
}

/// Callers spread evenly over all zones.
#[derive(Debug, Clone)]
pub struct CallerGroup {
    callers: Vec<ZoneCaller>,
    /// Time for which resolved addresses are cached.
    address_ttl: Duration,
    random: SeededRandom,
    pub tally: CallerTally,
    /// When a request was last refused, failed or found no address; `None` if all were served.
    pub last_failure: Option<MonotonicTime>,
}

impl CallerGroup {
    pub fn new(count: usize, address_ttl: Duration) -> Self {
        let callers = (0..count).map(|number| ZoneCaller {
            zone: number % ZONES,
            ..ZoneCaller::default()
        });
        Self {
            callers: callers.collect(),
            address_ttl,
            random: SeededRandom(1),
            tally: CallerTally::default(),
            last_failure: None,
        }
    }

    /// Sends one request from every caller.
    pub fn send_all(&mut self, cluster: &mut DaemonCluster) {
        for number in 0..self.callers.len() {
            self.send_request(cluster, number);
        }
    }

    /// Sends a request to a random cached address; an address that refuses or is down leaves the
    /// cache.
    fn send_request(&mut self, cluster: &mut DaemonCluster, number: usize) {
        let now = cluster.now;
        let caller = &self.callers[number];
        if caller.addresses.is_empty() || now.since(caller.resolved_at) >= self.address_ttl {
            self.resolve(cluster, number);
        }
        self.tally.requests += 1;
        let count = self.callers[number].addresses.len();
        if count == 0 {
            self.tally.refused += 1;
            self.last_failure = Some(now);
            return;
        }
        let chosen = self.random.below(count);
        let daemon = self.callers[number].addresses[chosen];
        if cluster.down.contains(&daemon) {
            self.tally.failed += 1;
            self.last_failure = Some(now);
            self.callers[number].addresses.remove(chosen);
            return;
        }
        let harness = &mut cluster.daemons[daemon];
        harness.now = now;
        let request = harness.arrive(arrival("/safe/1"));
        if harness.refusal(request).is_some() {
            self.tally.refused += 1;
            self.last_failure = Some(now);
            self.callers[number].addresses.remove(chosen);
        } else {
            self.tally.served += 1;
            harness.deliver(request);
        }
        harness.effects.clear();
    }

    /// Reads the addresses from a daemon of the caller's own zone, or of any zone if none there is
    /// up.
    fn resolve(&mut self, cluster: &mut DaemonCluster, number: usize) {
        let zone = self.callers[number].zone;
        let up = |number: &usize| !cluster.down.contains(number);
        let all = 0..cluster.daemons.len();
        let same_zone: Vec<usize> = all
            .clone()
            .filter(up)
            .filter(|n| n % ZONES == zone)
            .collect();
        let candidates = if same_zone.is_empty() {
            all.filter(up).collect()
        } else {
            same_zone
        };
        if candidates.is_empty() {
            return;
        }
        for _ in 0..DIRECTORY_ATTEMPTS {
            let daemon = candidates[self.random.below(candidates.len())];
            let gateway = &cluster.daemons[daemon].gateway;
            let name = format!("zone-{zone}");
            let addresses = gateway.caller_addresses(
                cluster.now,
                CallerLocation::in_zone(&name),
                MAX_ADDRESSES,
            );
            if !addresses.is_empty() {
                let numbers = addresses
                    .iter()
                    .filter_map(|address| cluster.daemon_at(*address));
                self.callers[number].addresses = numbers.collect();
                self.callers[number].resolved_at = cluster.now;
                return;
            }
        }
    }
}
