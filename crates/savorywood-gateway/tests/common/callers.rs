//! Callers that ask the directory of a field of daemons which addresses to use, and keep the answer.
#![allow(dead_code, reason = "each test uses a part of the callers")]

use crate::{
    field::{DaemonField, ZONES},
    scene::arrival,
};
use savorywood_gateway::CallerLocation;
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Daemons that a caller asks in turn for addresses.
const DIRECTORY_TRIES: usize = 3;
const MOST_ADDRESSES: usize = 64;

/// Numbers that follow from a seed.
#[derive(Debug, Clone)]
pub struct SeededDraws(pub u64);

impl SeededDraws {
    /// A number below a bound.
    pub fn below(&mut self, bound: usize) -> usize {
        let Self(state) = self;
        *state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(99);
        (*state >> 33) as usize % bound
    }
}

/// What became of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallerTally {
    pub asked: usize,
    pub served: usize,
    /// Answered that the daemon can't serve now.
    pub refused: usize,
    /// Sent to a host that is down.
    pub failed: usize,
}

#[derive(Debug, Clone, Default)]
struct ZoneCaller {
    zone: usize,
    addresses: Vec<usize>,
    asked_at: MonotonicTime,
}

/// Callers of all zones.
#[derive(Debug, Clone)]
pub struct CallerGroup {
    callers: Vec<ZoneCaller>,
    /// Time for which they keep an answer.
    keep: Duration,
    draws: SeededDraws,
    pub tally: CallerTally,
    /// When a request last went wrong.
    pub last_trouble: Option<MonotonicTime>,
}

impl CallerGroup {
    pub fn new(count: usize, keep: Duration) -> Self {
        let callers = (0..count).map(|number| ZoneCaller {
            zone: number % ZONES,
            ..ZoneCaller::default()
        });
        Self {
            callers: callers.collect(),
            keep,
            draws: SeededDraws(1),
            tally: CallerTally::default(),
            last_trouble: None,
        }
    }

    /// Every caller sends one request.
    pub fn ask_all(&mut self, field: &mut DaemonField) {
        for number in 0..self.callers.len() {
            self.ask(field, number);
        }
    }

    fn ask(&mut self, field: &mut DaemonField, number: usize) {
        let now = field.now;
        let caller = &self.callers[number];
        if caller.addresses.is_empty() || now.since(caller.asked_at) >= self.keep {
            self.look_up(field, number);
        }
        self.tally.asked += 1;
        let count = self.callers[number].addresses.len();
        if count == 0 {
            self.tally.refused += 1;
            self.last_trouble = Some(now);
            return;
        }
        let chosen = self.draws.below(count);
        let daemon = self.callers[number].addresses[chosen];
        if field.down.contains(&daemon) {
            self.tally.failed += 1;
            self.last_trouble = Some(now);
            self.callers[number].addresses.remove(chosen);
            return;
        }
        let scene = &mut field.daemons[daemon];
        scene.now = now;
        let request = scene.arrive(arrival("/safe/1"));
        if scene.refusal(request).is_some() {
            self.tally.refused += 1;
            self.last_trouble = Some(now);
            self.callers[number].addresses.remove(chosen);
        } else {
            self.tally.served += 1;
            scene.deliver(request);
        }
        scene.effects.clear();
    }

    /// Asks daemons of the caller's own zone first.
    fn look_up(&mut self, field: &mut DaemonField, number: usize) {
        let zone = self.callers[number].zone;
        let up = |number: &usize| !field.down.contains(number);
        let all = 0..field.daemons.len();
        let near: Vec<usize> = all
            .clone()
            .filter(up)
            .filter(|n| n % ZONES == zone)
            .collect();
        let known = if near.is_empty() {
            all.filter(up).collect()
        } else {
            near
        };
        if known.is_empty() {
            return;
        }
        for _ in 0..DIRECTORY_TRIES {
            let daemon = known[self.draws.below(known.len())];
            let gateway = &field.daemons[daemon].gateway;
            let name = format!("zone-{zone}");
            let addresses =
                gateway.caller_addresses(field.now, CallerLocation::in_zone(&name), MOST_ADDRESSES);
            if !addresses.is_empty() {
                let numbers = addresses
                    .iter()
                    .filter_map(|address| field.number_of(*address));
                self.callers[number].addresses = numbers.collect();
                self.callers[number].asked_at = field.now;
                return;
            }
        }
    }
}
