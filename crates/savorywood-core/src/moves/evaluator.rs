//! Sequential tests of a new version against the old one.
//!
//! Both versions are compared by route within windows of a few seconds, so that conditions which
//! affect both, such as thermal throttling of the engines, leave their ratio unchanged. For each
//! route and for all routes together, two kinds of statistics accumulate the log-likelihood ratio
//! between "like the old version" and a given kind of regression. A cumulative sum with a lower
//! bound of zero detects a version that becomes worse at any time (Page's CUSUM test). A plain sum
//! since the start of the stage accepts a version (Wald's sequential probability ratio test).
//!
//! Engines take longer under more load. Where those of the new version bear more, only a large
//! slowdown counts.

mod likelihood;

use super::relative_load::RelativeLoad;
use likelihood::{
    BaselineStatistics, DurationRecord, failure_ratio, has_control, paired_failure_ratio,
    shared_failure_rate, slowdown_ratio,
};
use savorywood_protocol::{
    MonotonicTime,
    peer::moves::{RouteStatistics, VersionStatistics},
};
use std::{collections::BTreeMap, f64::consts::LN_10, time::Duration};

/// CUSUM above which the new version counts as worse. For one statistic the mean number of requests
/// between two false alarms is at least `exp(16)`, about nine million.
const WORSE_THRESHOLD: f64 = 16.0;

/// Plain sum below which the tested regression is rejected; a version with it passes with a
/// probability of 1 in 100.
const PASS_THRESHOLD: f64 = -2.0 * LN_10;

/// Excess failure rates that are tested for. Detecting a small one takes many requests; a large one
/// must be detected after a few.
const EXCESS_FAILURE_RATES: [f64; 3] = [0.03, 0.2, 0.7];

/// Odds ratios of failure, new to old version, that are tested for in windows with a control.
const FAILURE_ODDS_RATIOS: [f64; 3] = [4.0, 25.0, 300.0];

/// Consecutive windows without a control that must indicate a regression. During the soak hardly
/// any request runs on the old version; with fewer windows, a failure of a shared dependency for
/// some seconds would roll back a good version.
const MIN_UNPAIRED_WINDOWS: u32 = 8;

/// Limit on the log-likelihood ratio of one window in the tests for slowdowns, in both directions:
/// the logarithm of 100, for one window in 100 whose durations say nothing of the version. The
/// requests of a window are not independent. An engine that stops for a moment delays all of them.
const MAX_SLOWDOWN_RATIO: f64 = 2.0 * LN_10;

/// Slowdown factor that is tested for where the conditions of the two versions differ: all engines
/// may have become slower since, or those of the new version bear more load.
const LARGE_SLOWDOWN_FACTOR: f64 = 2.0;

/// Slowdown factors that are tested for.
const SLOWDOWN_FACTORS: [f64; 2] = [1.3, LARGE_SLOWDOWN_FACTOR];

/// Requests to the new version that each major route must have had in a stage.
const MIN_ROUTE_REQUESTS: u32 = 3;

/// Fraction of the old version's recent requests from which a route counts as major.
const MAJOR_ROUTE_FRACTION: f64 = 0.1;

/// Plain sum below which the smallest excess failure rate is rejected. Less strict than
/// [`PASS_THRESHOLD`], since the CUSUM tests still detect a missed small excess at the larger
/// shares.
const SMALL_EXCESS_THRESHOLD: f64 = -3.0;

/// Result of the comparison so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvaluationResult {
    /// The new version is worse than the old one.
    Worse {
        /// Human-readable description of the regression, with the route.
        reason: String,
    },
    /// There are too few samples to decide.
    Inconclusive,
    /// A large regression is ruled out. Suffices to advance from a small share.
    NoLargeRegression,
    /// Large and small regressions are ruled out.
    NoRegression,
}

/// Test statistics of one route or of all routes together.
#[derive(Debug, Clone, Default)]
struct TestStatistics {
    /// CUSUMs of the windows with a control, one for each odds ratio.
    paired_failure_cusums: [f64; 3],
    /// CUSUMs of the windows without a control, one for each excess failure rate.
    unpaired_failure_cusums: [f64; 3],
    /// Consecutive windows without a control that indicate a regression.
    unpaired_windows: u32,
    /// CUSUMs for each slowdown factor.
    slowdown_cusums: [f64; 2],
    /// Plain sums since the start of the stage, one for each excess failure rate.
    failure_sums: [f64; 3],
    /// Plain sum since the start of the stage for the smallest slowdown factor tested in each window
    /// with requests to the old version.
    slowdown_sum: f64,
    /// Requests to the new version since the start of the stage.
    finished: u32,
    /// Those of them with a measured speed.
    timed: u32,
}

/// Evaluation of one route, with the counts of the open window.
#[derive(Debug, Clone, Default)]
struct RouteEvaluation {
    baseline: BaselineStatistics,
    /// Durations of the old version in windows without a request to the new one.
    old_alone: DurationRecord,
    /// Durations of the new version in windows with requests to the old one.
    new_beside_old: DurationRecord,
    sums: TestStatistics,
    old: VersionStatistics,
    new: VersionStatistics,
}

/// Log-likelihood ratios of one window.
#[derive(Debug, Clone, Copy, Default)]
struct WindowRatios {
    /// Failures against the old version in the same window, if it had enough requests.
    paired: [f64; 3],
    /// Failures against the baseline, if the window has no control.
    unpaired: [f64; 3],
    /// Failures against the baseline in every window.
    failures: [f64; 3],
    slowdown: SlowdownRatios,
}

/// Log-likelihood ratios of slowdowns in one window.
#[derive(Debug, Clone, Copy, Default)]
struct SlowdownRatios {
    /// One for each factor; zero for a factor that is not tested for.
    factors: [f64; 2],
    /// That of the smallest factor tested against requests of the same window.
    smallest: f64,
}

impl WindowRatios {
    fn add(&mut self, other: &Self) {
        sum(&mut self.paired, &other.paired);
        sum(&mut self.unpaired, &other.unpaired);
        sum(&mut self.failures, &other.failures);
        sum(&mut self.slowdown.factors, &other.slowdown.factors);
        self.slowdown.smallest += other.slowdown.smallest;
    }
}

/// Compares the new version of a move with the old one. A detected regression is final.
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
    /// Creates an evaluator that compares within windows of at least that length.
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

    /// Returns the total of requests to the old version so far.
    #[must_use]
    pub fn old_requests(&self) -> u64 {
        self.old_requests
    }

    /// Adds the statistics of one daemon and one route to the open window, or opens one.
    pub fn add(&mut self, now: MonotonicTime, statistics: &RouteStatistics) {
        self.window_started_at.get_or_insert(now);
        self.old_requests += u64::from(statistics.old.finished);
        let record = self.routes.entry(statistics.route.clone()).or_default();
        merge(&mut record.old, &statistics.old);
        merge(&mut record.new, &statistics.new);
    }

    /// Updates the tests from the open window if its length has elapsed. Only then is `load` asked
    /// for the load in the window.
    pub fn close_window(&mut self, now: MonotonicTime, load: impl FnOnce() -> RelativeLoad) {
        let due = self
            .window_started_at
            .is_some_and(|at| now.since(at) >= self.window);
        if !due {
            return;
        }
        self.window_started_at = None;
        let load = load();
        let mut old = VersionStatistics::default();
        for record in self.routes.values() {
            merge(&mut old, &record.old);
        }
        let shared_rate = shared_failure_rate(&old);
        let mut total = WindowRatios::default();
        let mut requests = VersionStatistics::default();
        for (route, record) in &mut self.routes {
            let Some(ratios) = record.close(shared_rate, load) else {
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

    /// Resets the plain sums for a new stage. The CUSUMs and a detected regression remain.
    pub fn begin_stage(&mut self) {
        let routes = self.routes.values_mut().map(|record| &mut record.sums);
        for sums in routes.chain([&mut self.all_routes]) {
            sums.failure_sums = [0.0; 3];
            sums.slowdown_sum = 0.0;
            sums.finished = 0;
            sums.timed = 0;
        }
    }

    /// Returns the result over all windows closed so far.
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

    /// Whether each major route had enough requests on the new version in this stage, since a
    /// version may be worse on one route only.
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
    /// Returns the ratios of the window and updates the baseline; `None` if the new version had no
    /// request in the window.
    fn close(&mut self, shared_rate: f64, load: RelativeLoad) -> Option<WindowRatios> {
        let old = std::mem::take(&mut self.old);
        self.baseline.add(&old);
        if self.new.finished == 0 {
            self.old_alone.add(&old);
            return None;
        }
        if old.timed > 0 {
            self.new_beside_old.add(&self.new);
        }
        let (baseline, new) = (&self.baseline, &self.new);
        let paired = |odds| paired_failure_ratio(&old, new, odds);
        let failures =
            EXCESS_FAILURE_RATES.map(|excess| failure_ratio(baseline, shared_rate, new, excess));
        let ratios = WindowRatios {
            failures,
            slowdown: self.slowdown_ratios(&old, load),
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

    fn slowdown_ratios(&self, old: &VersionStatistics, load: RelativeLoad) -> SlowdownRatios {
        let has_old = old.timed > 0;
        let reference = if has_old {
            DurationRecord::of_window(old)
        } else {
            self.reference_without_old()
        };
        let variance = self.baseline.variance();
        let [small, large] =
            SLOWDOWN_FACTORS.map(|factor| slowdown_ratio(reference, variance, &self.new, factor));
        let (factors, smallest) = match load {
            _ if !has_old => ([0.0, large], 0.0),
            RelativeLoad::AtMostEqual => ([small, large], small),
            RelativeLoad::Higher => ([0.0, large], large),
        };
        SlowdownRatios { factors, smallest }
    }

    /// Returns what replaces the old version in a window without a request to it: the slowest of
    /// its recent durations, those when it had all traffic as the new version has now, and the new
    /// version's own when requests of the same window were there to compare with.
    fn reference_without_old(&self) -> DurationRecord {
        let others = [self.old_alone, self.new_beside_old];
        let slowest = others
            .into_iter()
            .fold(self.baseline.durations(), DurationRecord::slower);
        slowest.limited()
    }
}

impl TestStatistics {
    fn add(&mut self, new: &VersionStatistics, ratios: &WindowRatios) {
        self.finished += new.finished;
        self.timed += new.timed;
        let limited = |ratio: f64| ratio.clamp(-MAX_SLOWDOWN_RATIO, MAX_SLOWDOWN_RATIO);
        let slowdowns = ratios.slowdown.factors.map(limited);
        self.slowdown_sum += limited(ratios.slowdown.smallest);
        sum(&mut self.failure_sums, &ratios.failures);
        accumulate(&mut self.slowdown_cusums, &slowdowns);
        accumulate(&mut self.paired_failure_cusums, &ratios.paired);
        accumulate(&mut self.unpaired_failure_cusums, &ratios.unpaired);
        let worse = ratios.unpaired.iter().any(|ratio| *ratio > 0.0);
        self.unpaired_windows = if worse { self.unpaired_windows + 1 } else { 0 };
    }

    /// Describes the first test that is above its threshold.
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

/// Adds to CUSUMs, which never fall below zero.
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
