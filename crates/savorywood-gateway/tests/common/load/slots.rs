//! Conditions under which daemons share the slots of engines: uneven demand, daemons that are cut
//! off from the others or restart, and load reports in responses.

use super::{LoadEnvironment, calls::RandomSource, returns::ReturnSettings};
use savorywood_gateway::{OverloadOptions, ReportedLoad, ReservationPolicy, ResponseMetadata};
use savorywood_protocol::MonotonicTime;

/// A period in which some daemons exchange no messages with the others.
#[derive(Debug, Clone, Copy)]
pub struct CutOff {
    pub from: MonotonicTime,
    pub until: MonotonicTime,
    /// Numbers of the daemons below which they are cut off.
    pub daemons: usize,
    /// Whether they exchange none among themselves either.
    pub isolated: bool,
}

/// Conditions of one run, and what was counted.
#[derive(Debug, Clone)]
pub struct SlotConditions {
    pub seed: u64,
    pub overload: OverloadOptions,
    /// Settings of the store, and of teams.
    pub returns: ReturnSettings,
    pub policy: ReservationPolicy,
    /// Engines report their load with the first event of a response and with each rejection.
    pub reports_load: bool,
    pub cut_off: Option<CutOff>,
    /// Times of restarts, with the number of the daemon.
    pub restarts_at: Vec<(MonotonicTime, usize)>,
    pub restarts: u64,
    /// Fraction of requests that go to the first quarter of the daemons; `None` divides evenly.
    pub first_quarter: Option<f64>,
    /// Requests that engines turned away.
    pub rejected: u32,
}

impl Default for SlotConditions {
    fn default() -> Self {
        Self {
            seed: 42,
            overload: OverloadOptions::default(),
            returns: ReturnSettings::default(),
            policy: ReservationPolicy::default(),
            reports_load: false,
            cut_off: None,
            restarts_at: Vec::new(),
            restarts: 0,
            first_quarter: None,
            rejected: 0,
        }
    }
}

impl SlotConditions {
    pub fn metadata(&self, load: ReportedLoad) -> ResponseMetadata {
        ResponseMetadata {
            load: self.reports_load.then_some(load),
            ..ResponseMetadata::default()
        }
    }

    pub fn choose_daemon(&self, random: &mut RandomSource, daemons: usize) -> usize {
        let Some(fraction) = self.first_quarter else {
            return (random.next() * daemons as f64) as usize;
        };
        let first = daemons / 4;
        if random.next() < fraction {
            (random.next() * first as f64) as usize
        } else {
            first + (random.next() * (daemons - first) as f64) as usize
        }
    }

    /// Returns whether messages between two daemons are lost.
    pub fn is_cut(&self, now: MonotonicTime, sender: usize, receiver: usize) -> bool {
        self.cut_off.is_some_and(|cut| {
            let is_in = |daemon: usize| daemon < cut.daemons;
            let is_between = is_in(sender) != is_in(receiver);
            let is_among = cut.isolated && is_in(sender) && is_in(receiver);
            now >= cut.from && now < cut.until && (is_between || is_among)
        })
    }
}

impl LoadEnvironment {
    /// Restarts the daemons whose time has come. Their requests end without a response.
    pub(super) fn restart_due(&mut self) {
        let now = self.now;
        let due = self
            .conditions
            .restarts_at
            .extract_if(.., |due| due.0 <= now);
        let due: Vec<usize> = due.map(|(_, daemon)| daemon).collect();
        for number in due {
            self.conditions.restarts += 1;
            let keys: Vec<_> = self.calls.keys().copied().collect();
            for key in keys.into_iter().filter(|key| key.0 == number) {
                if let Some(call) = self.calls.remove(&key) {
                    self.tallies[call.kind].record_unserved(&call);
                    if let Some(name) = &call.engine {
                        self.engine(name).cancel(key.0, key.1);
                    }
                }
            }
            let slots = self.engines[0].reported_load().slots;
            self.daemons[number] = self.start_daemon(number, self.daemons.len(), slots);
        }
    }
}
