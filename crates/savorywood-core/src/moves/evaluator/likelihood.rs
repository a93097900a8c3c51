//! Log-likelihood ratios of one period's evidence.

use savorywood_protocol::peer::moves::VersionStatistics;

/// Requests over which the old version's record is kept, about.
const BASELINE_REQUESTS: f64 = 2_000.0;

/// Failure rate that any version is granted.
const MIN_FAILURE_RATE: f64 = 0.002;

/// Largest failure rate that is tested for.
const MAX_FAILURE_RATE: f64 = 0.98;

/// Least spread of the logarithm of the speed between two requests.
const MIN_LOG_DEVIATION: f64 = 0.1;

/// Spread between two engines of one kind, which more requests on one engine don't average out.
const ENGINE_LOG_DEVIATION: f64 = 0.05;

/// A difference of logarithms beyond this counts as this: one stuck stream is no proof.
const MAX_LOG_DIFFERENCE: f64 = 1.0;

/// Failures of the old version in one slot from which the slot counts as a bad moment for both.
const MIN_SHARED_FAILURES: u32 = 2;

/// Requests of the old version that a slot must have to serve as a control.
const MIN_CONTROL_REQUESTS: u32 = 5;

/// What the old version did lately, with older requests counting less.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct BaselineStatistics {
    finished: f64,
    failed: f64,
    timed: f64,
    mean: f64,
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
        let timed = f64::from(old.timed);
        let mean = f64::from(old.log_sum) / timed;
        self.timed = self.timed * retained + timed;
        self.mean += (mean - self.mean) * (timed / self.timed).clamp(0.05, 1.0);
        let squared_deviations = (f64::from(old.log_square) - timed * mean * mean).max(0.0);
        self.deviation_sum = self.deviation_sum * retained + squared_deviations;
        self.degrees_of_freedom = self.degrees_of_freedom * retained + (timed - 1.0);
    }

    /// Requests behind it.
    pub(super) fn requests(&self) -> f64 {
        self.finished
    }

    fn failure_rate(&self) -> f64 {
        (self.failed + 0.5) / (self.finished + 50.0)
    }

    /// Variance of the logarithm of the speed between requests of one period.
    fn variance(&self) -> f64 {
        let deviations = self.deviation_sum + 4.0 * 0.3 * 0.3;
        (deviations / (self.degrees_of_freedom + 4.0)).max(MIN_LOG_DEVIATION * MIN_LOG_DEVIATION)
    }
}

/// Whether the old version had enough requests in the slot to compare with.
pub(super) fn has_control(old: &VersionStatistics, new: &VersionStatistics) -> bool {
    old.finished >= MIN_CONTROL_REQUESTS.max(new.finished / 20)
}

/// For "the odds of failing are `odds` times those of the old one" against "they are the same",
/// given how many requests failed in the slot over both versions. Under the second the failures
/// fall on the versions like balls drawn from one urn, at whatever rate both fail, so that
/// trouble which both share is no evidence at all.
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
    // Relative weights of the hypergeometric distribution, from one count to the next.
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

/// Failure rate of the old version in a slot in which it fails more than now and then, else zero.
pub(super) fn shared_failure_rate(old: &VersionStatistics) -> f64 {
    let rate = f64::from(old.failed) / f64::from(old.finished.max(1));
    if old.failed >= MIN_SHARED_FAILURES {
        rate
    } else {
        0.0
    }
}

/// For "fails more often than the old one by `excess`" against "fails as often", by the old one's
/// record. When the old version fails as well in the same slot, at the rate `trouble`, something
/// that both need is broken; judging the new one by the old one's better days would take back a
/// good version.
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

/// For "slower than the old one by `factor`" against "as fast".
pub(super) fn slowdown_ratio(
    baseline: &BaselineStatistics,
    old: &VersionStatistics,
    new: &VersionStatistics,
    factor: f64,
) -> f64 {
    if new.timed == 0 {
        return 0.0;
    }
    let new_timed = f64::from(new.timed);
    let new_mean = f64::from(new.log_sum) / new_timed;
    // Without requests of the old version in the same period its last speed stands in, and only a
    // gross slowdown counts: the room may have grown hotter since.
    let (old_mean, old_timed) = if old.timed > 0 {
        let timed = f64::from(old.timed);
        (f64::from(old.log_sum) / timed, timed)
    } else if baseline.timed > 0.0 && factor >= 2.0 {
        (baseline.mean, baseline.timed.min(20.0))
    } else {
        return 0.0;
    };
    let difference = (new_mean - old_mean).clamp(-MAX_LOG_DIFFERENCE, MAX_LOG_DIFFERENCE);
    let sampling_variance = baseline.variance() * (1.0 / new_timed + 1.0 / old_timed);
    let variance = sampling_variance + 2.0 * ENGINE_LOG_DEVIATION * ENGINE_LOG_DEVIATION;
    let shift = factor.ln();
    (shift * difference - shift * shift / 2.0) / variance
}
