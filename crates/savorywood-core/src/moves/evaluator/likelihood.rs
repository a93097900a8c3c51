//! Log-likelihood ratios of the statistics of one window.

use savorywood_protocol::peer::moves::VersionStatistics;

/// Approximate number of requests that the baseline of the old version averages over.
const BASELINE_REQUESTS: f64 = 2_000.0;

/// Failure rate that is always accepted as normal.
const MIN_FAILURE_RATE: f64 = 0.002;

/// Maximum failure rate that is tested for.
const MAX_FAILURE_RATE: f64 = 0.98;

/// Minimum standard deviation of the log duration between requests.
const MIN_LOG_DEVIATION: f64 = 0.1;

/// Standard deviation of the log duration between engines of one kind, which more requests on one
/// engine do not average out.
const ENGINE_LOG_DEVIATION: f64 = 0.05;

/// Limit on the difference of mean log durations, so that one stalled stream weighs less.
const MAX_LOG_DIFFERENCE: f64 = 1.0;

/// Failures of the old version in one window from which a cause common to both versions is assumed.
const MIN_SHARED_FAILURES: u32 = 2;

/// Minimum requests to the old version for a window to have a control.
const MIN_CONTROL_REQUESTS: u32 = 5;

/// Maximum number of requests that a record of other windows counts as.
const MAX_RECORD_REQUESTS: f64 = 20.0;

/// Recent mean of durations, as natural logarithms of microseconds, and the weighted number of
/// requests that it averages over.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DurationRecord {
    timed: f64,
    mean: f64,
}

impl DurationRecord {
    /// Returns the durations of one window.
    pub(super) fn of_window(statistics: &VersionStatistics) -> Self {
        let timed = f64::from(statistics.timed);
        let mean = f64::from(statistics.log_sum) / timed.max(1.0);
        Self { timed, mean }
    }

    pub(super) fn add(&mut self, statistics: &VersionStatistics) {
        if statistics.timed == 0 {
            return;
        }
        let window = Self::of_window(statistics);
        let retained = 1.0 - (f64::from(statistics.finished) / BASELINE_REQUESTS).min(1.0);
        self.timed = self.timed * retained + window.timed;
        self.mean += (window.mean - self.mean) * (window.timed / self.timed).clamp(0.05, 1.0);
    }

    /// Returns the record with at most [`MAX_RECORD_REQUESTS`], as the conditions of its windows
    /// differ from those of another window.
    pub(super) fn limited(self) -> Self {
        Self {
            timed: self.timed.min(MAX_RECORD_REQUESTS),
            ..self
        }
    }

    /// Returns the record with the longer durations. One without requests is ignored.
    pub(super) fn slower(self, other: Self) -> Self {
        let is_slower = other.timed > 0.0 && (self.timed == 0.0 || other.mean > self.mean);
        if is_slower { other } else { self }
    }
}

/// Recent behaviour of the old version, as exponentially weighted counts and moments. Durations are
/// natural logarithms of microseconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct BaselineStatistics {
    finished: f64,
    failed: f64,
    durations: DurationRecord,
    deviation_sum: f64,
    degrees_of_freedom: f64,
}

impl BaselineStatistics {
    pub(super) fn add(&mut self, old: &VersionStatistics) {
        let retained = 1.0 - (f64::from(old.finished) / BASELINE_REQUESTS).min(1.0);
        self.finished = self.finished * retained + f64::from(old.finished);
        self.failed = self.failed * retained + f64::from(old.failed);
        if old.timed == 0 {
            return;
        }
        self.durations.add(old);
        let DurationRecord { timed, mean } = DurationRecord::of_window(old);
        let squared_deviations = (f64::from(old.log_square) - timed * mean * mean).max(0.0);
        self.deviation_sum = self.deviation_sum * retained + squared_deviations;
        self.degrees_of_freedom = self.degrees_of_freedom * retained + (timed - 1.0);
    }

    /// Returns the weighted number of requests in the baseline.
    pub(super) fn requests(&self) -> f64 {
        self.finished
    }

    /// Returns the recent durations.
    pub(super) fn durations(&self) -> DurationRecord {
        self.durations
    }

    /// Returns the failure rate, smoothed with a prior of half a failure in 50 requests.
    fn failure_rate(&self) -> f64 {
        (self.failed + 0.5) / (self.finished + 50.0)
    }

    /// Returns the variance of the log duration between requests of one window. A prior of four
    /// degrees of freedom with a standard deviation of 0.3 stands in until there are samples.
    pub(super) fn variance(&self) -> f64 {
        let deviations = self.deviation_sum + 4.0 * 0.3 * 0.3;
        (deviations / (self.degrees_of_freedom + 4.0)).max(MIN_LOG_DEVIATION * MIN_LOG_DEVIATION)
    }
}

/// Whether the old version had enough requests in the window to serve as a control.
pub(super) fn has_control(old: &VersionStatistics, new: &VersionStatistics) -> bool {
    old.finished >= MIN_CONTROL_REQUESTS.max(new.finished / 20)
}

/// Returns the log-likelihood ratio of "the odds of failure are `odds` times those of the old
/// version" to "they are the same", conditional on the total of failures in the window. If the odds
/// are the same, the failures of the new version follow a hypergeometric distribution whatever the
/// common failure rate, so a failure of a shared dependency does not count against the new version.
pub(super) fn paired_failure_ratio(
    old: &VersionStatistics,
    new: &VersionStatistics,
    odds: f64,
) -> f64 {
    let failed = old.failed + new.failed;
    let min_count = failed.saturating_sub(old.finished);
    let max_count = failed.min(new.finished);
    if failed == 0 || min_count >= max_count {
        return 0.0;
    }
    let (failed, new_finished, old_finished) = (
        f64::from(failed),
        f64::from(new.finished),
        f64::from(old.finished),
    );
    // Unnormalized hypergeometric weights, each computed from the previous one.
    let mut weight = 1.0;
    let mut weights = 0.0;
    let mut weighted_odds = 0.0;
    for count in min_count..=max_count {
        let count = f64::from(count);
        weights += weight;
        weighted_odds += weight * odds.powf(count - f64::from(new.failed));
        let step = (new_finished - count) * (failed - count);
        weight *= step / ((count + 1.0) * (old_finished - failed + count + 1.0));
    }
    -(weighted_odds / weights).ln()
}

/// Returns the failure rate of the old version in the window, or zero if it had fewer failures than
/// [`MIN_SHARED_FAILURES`].
pub(super) fn shared_failure_rate(old: &VersionStatistics) -> f64 {
    let rate = f64::from(old.failed) / f64::from(old.finished.max(1));
    if old.failed >= MIN_SHARED_FAILURES {
        rate
    } else {
        0.0
    }
}

/// Returns the log-likelihood ratio of "the failure rate exceeds that of the old version by
/// `excess`" to "it is the same", measured against the baseline. `shared_rate` is the failure rate
/// of the old version in the same window: if it is higher than the baseline, a shared dependency
/// fails, and a comparison with the baseline would roll back a good version.
pub(super) fn failure_ratio(
    baseline: &BaselineStatistics,
    shared_rate: f64,
    new: &VersionStatistics,
    excess: f64,
) -> f64 {
    let expected_rate = baseline
        .failure_rate()
        .max(shared_rate)
        .max(MIN_FAILURE_RATE);
    let regressed_rate = (expected_rate + excess).min(MAX_FAILURE_RATE);
    if regressed_rate <= expected_rate {
        return 0.0;
    }
    let failed = f64::from(new.failed);
    let passed = f64::from(new.finished) - failed;
    failed * (regressed_rate / expected_rate).ln()
        + passed * ((1.0 - regressed_rate) / (1.0 - expected_rate)).ln()
}

/// Returns the log-likelihood ratio of "slower than the reference by `factor`" to "equally fast".
/// `variance` is that of the log duration between requests.
pub(super) fn slowdown_ratio(
    reference: DurationRecord,
    variance: f64,
    new: &VersionStatistics,
    factor: f64,
) -> f64 {
    let new = DurationRecord::of_window(new);
    if new.timed == 0.0 || reference.timed == 0.0 {
        return 0.0;
    }
    let difference = (new.mean - reference.mean).clamp(-MAX_LOG_DIFFERENCE, MAX_LOG_DIFFERENCE);
    let sampling_variance = variance * (1.0 / new.timed + 1.0 / reference.timed);
    let variance = sampling_variance + 2.0 * ENGINE_LOG_DEVIATION * ENGINE_LOG_DEVIATION;
    let shift = factor.ln();
    (shift * difference - shift * shift / 2.0) / variance
}
