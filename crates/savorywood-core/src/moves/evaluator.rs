//! Sequential tests of a new version against the old one.
//!
//! Both versions are compared within slots of a few seconds, route by route: what daemons saw of
//! both in the same periods. A hot room slows both and leaves their ratio alone. For each route, and for all together, two
//! kinds of statistics run over the log-likelihood ratio between "like the old" and some kind of
//! bad: a cumulative sum that never falls below zero finds a version that turns bad at any time
//! (Page's test); a plain sum since the stage began proves a version good (Wald's test).

mod likelihood;

use likelihood::{
    BaselineStatistics, failure_ratio, has_control, paired_failure_ratio, shared_failure_rate,
    slowdown_ratio,
};
use savorywood_protocol::{
    MonotonicTime,
    peer::moves::{RouteStatistics, VersionStatistics},
};
use std::{collections::BTreeMap, time::Duration};

/// A cumulative sum above this shows the version to be bad. For one statistic the mean number of
/// requests between two false alarms is at least `exp(16)`, some nine million.
const WORSE_THRESHOLD: f64 = 16.0;

/// A plain sum below this proves the version good: a bad one passes once in a hundred times.
const PASS_THRESHOLD: f64 = -4.6;

/// Excess failure rates that are tested for. A small one needs many requests to be seen, a large
/// one must be seen after a few.
const EXCESS_FAILURE_RATES: [f64; 3] = [0.03, 0.2, 0.7];

/// Odds of failing, relative to the old version, that are tested for where it is a control.
const FAILURE_ODDS_RATIOS: [f64; 3] = [4.0, 25.0, 300.0];

/// Slots without a control that must speak against the version. Seconds in which something fails
/// that both versions need would otherwise take back a good version in its soak, when hardly any
/// request meets the old one.
const MIN_UNPAIRED_WINDOWS: u32 = 8;

/// Slowdowns that are tested for, as factors.
const SLOWDOWN_FACTORS: [f64; 2] = [1.3, 2.0];

/// Requests of the new version that each larger route must have shown in a stage.
const MIN_ROUTE_REQUESTS: u32 = 3;

/// Part of the new version's requests above which a route counts as larger.
const MAJOR_ROUTE_FRACTION: f64 = 0.1;

/// A plain sum below this proves that the version fails hardly more often. Weaker than for gross
/// faults: what slips through is still found by the cumulative sums at the larger shares.
const SMALL_EXCESS_THRESHOLD: f64 = -3.0;

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
struct TestStatistics {
    paired_failure_cusums: [f64; 3],
    unpaired_failure_cusums: [f64; 3],
    unpaired_windows: u32,
    slowdown_cusums: [f64; 2],
    failure_sums: [f64; 3],
    slowdown_sum: f64,
    finished: u32,
    timed: u32,
}

/// One route.
#[derive(Debug, Clone, Default)]
struct RouteEvaluation {
    baseline: BaselineStatistics,
    sums: TestStatistics,
    old: VersionStatistics,
    new: VersionStatistics,
}

/// Log-likelihood ratios of one slot.
#[derive(Debug, Clone, Copy, Default)]
struct WindowRatios {
    /// Where the old version is a control.
    paired: [f64; 3],
    /// Where it is none: by its record.
    unpaired: [f64; 3],
    /// By its record, everywhere.
    failures: [f64; 3],
    slowdowns: [f64; 2],
}

impl WindowRatios {
    fn add(&mut self, other: &Self) {
        sum(&mut self.paired, &other.paired);
        sum(&mut self.unpaired, &other.unpaired);
        sum(&mut self.failures, &other.failures);
        sum(&mut self.slowdowns, &other.slowdowns);
    }
}

/// Compares a new version with an old one.
#[derive(Debug, Clone)]
pub struct VersionEvaluator {
    window: Duration,
    window_started_at: Option<MonotonicTime>,
    routes: BTreeMap<String, RouteEvaluation>,
    all_routes: TestStatistics,
    regression: Option<String>,
    old_requests: u64,
}

impl VersionEvaluator {
    /// A judge that compares within slots of that length.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            window_started_at: None,
            routes: BTreeMap::new(),
            all_routes: TestStatistics::default(),
            regression: None,
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
        self.window_started_at.get_or_insert(now);
        self.old_requests += u64::from(statistics.old.finished);
        let record = self.routes.entry(statistics.route.clone()).or_default();
        merge(&mut record.old, &statistics.old);
        merge(&mut record.new, &statistics.new);
    }

    /// Judges the slot, if its time is over.
    pub fn close_window(&mut self, now: MonotonicTime) {
        let due = self
            .window_started_at
            .is_some_and(|at| now.since(at) >= self.window);
        if !due {
            return;
        }
        self.window_started_at = None;
        let mut old = VersionStatistics::default();
        for record in self.routes.values() {
            merge(&mut old, &record.old);
        }
        let shared_rate = shared_failure_rate(&old);
        let mut total = WindowRatios::default();
        let mut requests = VersionStatistics::default();
        for (route, record) in &mut self.routes {
            let Some(ratios) = record.close(shared_rate) else {
                continue;
            };
            let new = std::mem::take(&mut record.new);
            record.sums.add(&new, &ratios);
            total.add(&ratios);
            merge(&mut requests, &new);
            if self.regression.is_none() {
                self.regression = record.sums.regression(route);
            }
        }
        self.all_routes.add(&requests, &total);
        if self.regression.is_none() {
            self.regression = self.all_routes.regression("all routes");
        }
    }

    /// Begins a new proof; what speaks against the version is kept.
    pub fn begin_stage(&mut self) {
        let routes = self.routes.values_mut().map(|record| &mut record.sums);
        for sums in routes.chain([&mut self.all_routes]) {
            sums.failure_sums = [0.0; 3];
            sums.slowdown_sum = 0.0;
            sums.finished = 0;
            sums.timed = 0;
        }
    }

    /// What the evidence says so far.
    #[must_use]
    pub fn result(&self) -> EvaluationResult {
        if let Some(reason) = &self.regression {
            let reason = reason.clone();
            return EvaluationResult::Worse { reason };
        }
        let speed_passed =
            self.all_routes.timed == 0 || self.all_routes.slowdown_sum < PASS_THRESHOLD;
        if !speed_passed || !self.routes_covered() {
            return EvaluationResult::Inconclusive;
        }
        let [small, medium, _] = self.all_routes.failure_sums;
        match (small < SMALL_EXCESS_THRESHOLD, medium < PASS_THRESHOLD) {
            (true, _) => EvaluationResult::NoRegression,
            (false, true) => EvaluationResult::NoLargeRegression,
            (false, false) => EvaluationResult::Inconclusive,
        }
    }

    /// A version may be bad on one route only, so that each larger one must have shown itself.
    fn routes_covered(&self) -> bool {
        let total = f64::from(self.all_routes.finished);
        let old_requests_total: f64 = self
            .routes
            .values()
            .map(|route| route.baseline.requests())
            .sum();
        self.routes.values().all(|route| {
            let fraction = route.baseline.requests() / old_requests_total.max(1.0);
            let is_major = fraction >= MAJOR_ROUTE_FRACTION && total > 0.0;
            !is_major || route.sums.finished >= MIN_ROUTE_REQUESTS
        })
    }
}

impl RouteEvaluation {
    /// Ratios of the slot; `None` when the new version had no request in it.
    fn close(&mut self, shared_rate: f64) -> Option<WindowRatios> {
        let old = std::mem::take(&mut self.old);
        self.baseline.add(&old);
        let (baseline, new) = (&self.baseline, &self.new);
        if new.finished == 0 {
            return None;
        }
        let paired = |odds| paired_failure_ratio(&old, new, odds);
        let failures =
            EXCESS_FAILURE_RATES.map(|excess| failure_ratio(baseline, shared_rate, new, excess));
        let slowdowns = SLOWDOWN_FACTORS.map(|factor| slowdown_ratio(baseline, &old, new, factor));
        let ratios = WindowRatios {
            failures,
            slowdowns,
            ..WindowRatios::default()
        };
        Some(if has_control(&old, new) {
            let paired = FAILURE_ODDS_RATIOS.map(paired);
            WindowRatios { paired, ..ratios }
        } else {
            let unpaired = failures;
            WindowRatios { unpaired, ..ratios }
        })
    }
}

impl TestStatistics {
    fn add(&mut self, new: &VersionStatistics, ratios: &WindowRatios) {
        self.finished += new.finished;
        self.timed += new.timed;
        self.slowdown_sum += ratios.slowdowns[0];
        sum(&mut self.failure_sums, &ratios.failures);
        accumulate(&mut self.slowdown_cusums, &ratios.slowdowns);
        accumulate(&mut self.paired_failure_cusums, &ratios.paired);
        accumulate(&mut self.unpaired_failure_cusums, &ratios.unpaired);
        let worse = ratios.unpaired.iter().any(|ratio| *ratio > 0.0);
        self.unpaired_windows = if worse { self.unpaired_windows + 1 } else { 0 };
    }

    fn regression(&self, route: &str) -> Option<String> {
        let exceeds = |sums: &[f64; 3]| sums.iter().any(|sum| *sum > WORSE_THRESHOLD);
        let unpaired =
            self.unpaired_windows >= MIN_UNPAIRED_WINDOWS && exceeds(&self.unpaired_failure_cusums);
        if unpaired || exceeds(&self.paired_failure_cusums) {
            return Some(format!(
                "it fails more often than the old version on {route}"
            ));
        }
        let slowdowns = self.slowdown_cusums.iter().zip(SLOWDOWN_FACTORS);
        let mut slowdowns = slowdowns.filter(|(sum, _)| **sum > WORSE_THRESHOLD);
        slowdowns.next().map(|(_, factor)| {
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

fn merge(total: &mut VersionStatistics, batch: &VersionStatistics) {
    total.finished = total.finished.saturating_add(batch.finished);
    total.failed = total.failed.saturating_add(batch.failed);
    total.timed = total.timed.saturating_add(batch.timed);
    total.log_sum += batch.log_sum;
    total.log_square += batch.log_square;
}
