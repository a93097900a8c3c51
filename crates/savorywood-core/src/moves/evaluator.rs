//! Sequential tests of a new version against the old one.
//!
//! Both versions are compared within slots of a few seconds, route by route: what daemons saw of
//! both in the same periods. A hot room slows both and leaves their ratio alone. For each route, and for all together, two
//! kinds of statistics run over the log-likelihood ratio between "like the old" and some kind of
//! bad: a cumulative sum that never falls below zero finds a version that turns bad at any time
//! (Page's test); a plain sum since the stage began proves a version good (Wald's test).

mod likelihood;

use likelihood::{
    OldBaseline, error_ratio, has_control, paired_error_ratio, speed_ratio, trouble_rate,
};
use savorywood_protocol::{
    MonotonicTime,
    peer::moves::{RouteStatistics, VersionStatistics},
};
use std::{collections::BTreeMap, time::Duration};

/// A cumulative sum above this shows the version to be bad. For one statistic the mean number of
/// requests between two false alarms is at least `exp(16)`, some nine million.
const BAD_ABOVE: f64 = 16.0;

/// A plain sum below this proves the version good: a bad one passes once in a hundred times.
const GOOD_BELOW: f64 = -4.6;

/// Excess failure rates that are tested for. A small one needs many requests to be seen, a large
/// one must be seen after a few.
const EXCESS_FAILURES: [f64; 3] = [0.03, 0.2, 0.7];

/// Odds of failing, relative to the old version, that are tested for where it is a control.
const FAILURE_ODDS: [f64; 3] = [4.0, 25.0, 300.0];

/// Slots without a control that must speak against the version. Seconds in which something fails
/// that both versions need would otherwise take back a good version in its soak, when hardly any
/// request meets the old one.
const LONE_SLOTS: u32 = 8;

/// Slowdowns that are tested for, as factors.
const SLOWDOWNS: [f64; 2] = [1.3, 2.0];

/// Requests of the new version that each larger route must have shown in a stage.
const ROUTE_REQUESTS: u32 = 3;

/// Part of the new version's requests above which a route counts as larger.
const LARGER_ROUTE: f64 = 0.1;

/// A plain sum below this proves that the version fails hardly more often. Weaker than for gross
/// faults: what slips through is still found by the cumulative sums at the larger shares.
const SUBTLE_BELOW: f64 = -3.0;

/// What the evidence says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvaluationResult {
    /// The new version is worse than the old one.
    Worse {
        /// What was seen, for a person.
        reason: String,
    },
    /// Not enough is known.
    Inconclusive,
    /// No gross fault: enough for the next share, not for a large one.
    NoLargeRegression,
    /// As good as the old one.
    NoRegression,
}

/// Statistics of one route, or of all.
#[derive(Debug, Clone, Default)]
struct RouteSums {
    bad_errors: [f64; 3],
    lone_errors: [f64; 3],
    lone_slots: u32,
    bad_speeds: [f64; 2],
    good_errors: [f64; 3],
    good_speed: f64,
    finished: u32,
    timed: u32,
}

/// One route.
#[derive(Debug, Clone, Default)]
struct RouteRecord {
    baseline: OldBaseline,
    sums: RouteSums,
    old: VersionStatistics,
    new: VersionStatistics,
}

/// Log-likelihood ratios of one slot.
#[derive(Debug, Clone, Copy, Default)]
struct SlotRatios {
    /// Where the old version is a control.
    paired: [f64; 3],
    /// Where it is none: by its record.
    lone: [f64; 3],
    /// By its record, everywhere.
    errors: [f64; 3],
    speeds: [f64; 2],
}

impl SlotRatios {
    fn add(&mut self, other: &Self) {
        sum(&mut self.paired, &other.paired);
        sum(&mut self.lone, &other.lone);
        sum(&mut self.errors, &other.errors);
        sum(&mut self.speeds, &other.speeds);
    }
}

/// Compares a new version with an old one.
#[derive(Debug, Clone)]
pub struct VersionEvaluator {
    slot: Duration,
    slot_at: Option<MonotonicTime>,
    routes: BTreeMap<String, RouteRecord>,
    all: RouteSums,
    bad: Option<String>,
    old_requests: u64,
}

impl VersionEvaluator {
    /// A judge that compares within slots of that length.
    #[must_use]
    pub fn new(slot: Duration) -> Self {
        Self {
            slot,
            slot_at: None,
            routes: BTreeMap::new(),
            all: RouteSums::default(),
            bad: None,
            old_requests: 0,
        }
    }

    /// Requests of the old version seen so far.
    #[must_use]
    pub fn old_requests(&self) -> u64 {
        self.old_requests
    }

    /// Adds what one daemon saw in one period to the slot.
    pub fn add(&mut self, now: MonotonicTime, statistics: &RouteStatistics) {
        self.slot_at.get_or_insert(now);
        self.old_requests += u64::from(statistics.old.finished);
        let record = self.routes.entry(statistics.route.clone()).or_default();
        merge(&mut record.old, &statistics.old);
        merge(&mut record.new, &statistics.new);
    }

    /// Judges the slot, if its time is over.
    pub fn close_window(&mut self, now: MonotonicTime) {
        let due = self.slot_at.is_some_and(|at| now.since(at) >= self.slot);
        if !due {
            return;
        }
        self.slot_at = None;
        let mut old = VersionStatistics::default();
        for record in self.routes.values() {
            merge(&mut old, &record.old);
        }
        let trouble = trouble_rate(&old);
        let mut total = SlotRatios::default();
        let mut requests = VersionStatistics::default();
        for (route, record) in &mut self.routes {
            let Some(ratios) = record.close(trouble) else {
                continue;
            };
            let new = std::mem::take(&mut record.new);
            record.sums.add(&new, &ratios);
            total.add(&ratios);
            merge(&mut requests, &new);
            if self.bad.is_none() {
                self.bad = record.sums.fault(route);
            }
        }
        self.all.add(&requests, &total);
        if self.bad.is_none() {
            self.bad = self.all.fault("all routes");
        }
    }

    /// Begins a new proof; what speaks against the version is kept.
    pub fn begin_stage(&mut self) {
        let routes = self.routes.values_mut().map(|record| &mut record.sums);
        for sums in routes.chain([&mut self.all]) {
            sums.good_errors = [0.0; 3];
            sums.good_speed = 0.0;
            sums.finished = 0;
            sums.timed = 0;
        }
    }

    /// What the evidence says so far.
    #[must_use]
    pub fn result(&self) -> EvaluationResult {
        if let Some(reason) = &self.bad {
            let reason = reason.clone();
            return EvaluationResult::Worse { reason };
        }
        let speed_proved = self.all.timed == 0 || self.all.good_speed < GOOD_BELOW;
        if !speed_proved || !self.routes_seen() {
            return EvaluationResult::Inconclusive;
        }
        let [small, medium, _] = self.all.good_errors;
        match (small < SUBTLE_BELOW, medium < GOOD_BELOW) {
            (true, _) => EvaluationResult::NoRegression,
            (false, true) => EvaluationResult::NoLargeRegression,
            (false, false) => EvaluationResult::Inconclusive,
        }
    }

    /// A version may be bad on one route only, so that each larger one must have shown itself.
    fn routes_seen(&self) -> bool {
        let total = f64::from(self.all.finished);
        let olds: f64 = self
            .routes
            .values()
            .map(|route| route.baseline.weight())
            .sum();
        self.routes.values().all(|route| {
            let part = route.baseline.weight() / olds.max(1.0);
            let larger = part >= LARGER_ROUTE && total > 0.0;
            !larger || route.sums.finished >= ROUTE_REQUESTS
        })
    }
}

impl RouteRecord {
    /// Ratios of the slot; `None` when the new version had no request in it.
    fn close(&mut self, trouble: f64) -> Option<SlotRatios> {
        let old = std::mem::take(&mut self.old);
        self.baseline.add(&old);
        let (baseline, new) = (&self.baseline, &self.new);
        if new.finished == 0 {
            return None;
        }
        let paired = |odds| paired_error_ratio(&old, new, odds);
        let errors = EXCESS_FAILURES.map(|excess| error_ratio(baseline, trouble, new, excess));
        let speeds = SLOWDOWNS.map(|factor| speed_ratio(baseline, &old, new, factor));
        let ratios = SlotRatios {
            errors,
            speeds,
            ..SlotRatios::default()
        };
        Some(if has_control(&old, new) {
            let paired = FAILURE_ODDS.map(paired);
            SlotRatios { paired, ..ratios }
        } else {
            let lone = errors;
            SlotRatios { lone, ..ratios }
        })
    }
}

impl RouteSums {
    fn add(&mut self, new: &VersionStatistics, ratios: &SlotRatios) {
        self.finished += new.finished;
        self.timed += new.timed;
        self.good_speed += ratios.speeds[0];
        sum(&mut self.good_errors, &ratios.errors);
        accumulate(&mut self.bad_speeds, &ratios.speeds);
        accumulate(&mut self.bad_errors, &ratios.paired);
        accumulate(&mut self.lone_errors, &ratios.lone);
        let worse = ratios.lone.iter().any(|ratio| *ratio > 0.0);
        self.lone_slots = if worse { self.lone_slots + 1 } else { 0 };
    }

    fn fault(&self, route: &str) -> Option<String> {
        let over = |sums: &[f64; 3]| sums.iter().any(|sum| *sum > BAD_ABOVE);
        let lone = self.lone_slots >= LONE_SLOTS && over(&self.lone_errors);
        if lone || over(&self.bad_errors) {
            return Some(format!(
                "it fails more often than the old version on {route}"
            ));
        }
        let speeds = self.bad_speeds.iter().zip(SLOWDOWNS);
        let mut speeds = speeds.filter(|(sum, _)| **sum > BAD_ABOVE);
        speeds.next().map(|(_, factor)| {
            format!("it is slower than the old version on {route}, by a factor of about {factor}")
        })
    }
}

fn sum<const N: usize>(sums: &mut [f64; N], ratios: &[f64; N]) {
    for (sum, ratio) in sums.iter_mut().zip(ratios) {
        *sum += ratio;
    }
}

/// Page's cumulative sums.
fn accumulate<const N: usize>(sums: &mut [f64; N], ratios: &[f64; N]) {
    for (sum, ratio) in sums.iter_mut().zip(ratios) {
        *sum = (*sum + ratio).max(0.0);
    }
}

fn merge(total: &mut VersionStatistics, part: &VersionStatistics) {
    total.finished = total.finished.saturating_add(part.finished);
    total.failed = total.failed.saturating_add(part.failed);
    total.timed = total.timed.saturating_add(part.timed);
    total.log_sum += part.log_sum;
    total.log_square += part.log_square;
}
