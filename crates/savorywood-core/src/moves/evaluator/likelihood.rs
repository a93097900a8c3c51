//! Log-likelihood ratios of one period's evidence.

use savorywood_protocol::peer::moves::VersionStatistics;

/// Requests over which the old version's record is kept, about.
const BASELINE_REQUESTS: f64 = 2_000.0;

/// Failure rate that any version is granted.
const LEAST_RATE: f64 = 0.002;

/// Largest failure rate that is tested for.
const MOST_RATE: f64 = 0.98;

/// Least spread of the logarithm of the speed between two requests.
const LEAST_SPREAD: f64 = 0.1;

/// Spread between two engines of one kind, which more requests on one engine don't average out.
const ENGINE_SPREAD: f64 = 0.05;

/// A difference of logarithms beyond this counts as this: one stuck stream is no proof.
const MOST_DIFFERENCE: f64 = 1.0;

/// Failures of the old version in one slot from which the slot counts as a bad moment for both.
const SHARED_FAILURES: u32 = 2;

/// Requests of the old version that a slot must have to serve as a control.
const LEAST_CONTROLS: u32 = 5;

/// What the old version did lately, with older requests counting less.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct OldBaseline {
    finished: f64,
    failed: f64,
    timed: f64,
    mean: f64,
    spread_sum: f64,
    spread_count: f64,
}

impl OldBaseline {
    pub(super) fn add(&mut self, old: &VersionStatistics) {
        let keep = 1.0 - (f64::from(old.finished) / BASELINE_REQUESTS).min(1.0);
        self.finished = self.finished * keep + f64::from(old.finished);
        self.failed = self.failed * keep + f64::from(old.failed);
        if old.timed == 0 {
            return;
        }
        let timed = f64::from(old.timed);
        let mean = f64::from(old.log_sum) / timed;
        self.timed = self.timed * keep + timed;
        self.mean += (mean - self.mean) * (timed / self.timed).clamp(0.05, 1.0);
        let around = (f64::from(old.log_square) - timed * mean * mean).max(0.0);
        self.spread_sum = self.spread_sum * keep + around;
        self.spread_count = self.spread_count * keep + (timed - 1.0);
    }

    /// Requests behind it.
    pub(super) fn weight(&self) -> f64 {
        self.finished
    }

    fn failure_rate(&self) -> f64 {
        (self.failed + 0.5) / (self.finished + 50.0)
    }

    /// Variance of the logarithm of the speed between requests of one period.
    fn variance(&self) -> f64 {
        let recorded = self.spread_sum + 4.0 * 0.3 * 0.3;
        (recorded / (self.spread_count + 4.0)).max(LEAST_SPREAD * LEAST_SPREAD)
    }
}

/// Whether the old version had enough requests in the slot to compare with.
pub(super) fn has_control(old: &VersionStatistics, new: &VersionStatistics) -> bool {
    old.finished >= LEAST_CONTROLS.max(new.finished / 20)
}

/// For "the odds of failing are `odds` times those of the old one" against "they are the same",
/// given how many requests failed in the slot over both versions. Under the second the failures
/// fall on the versions like balls drawn from one urn, at whatever rate both fail, so that
/// trouble which both share is no evidence at all.
pub(super) fn paired_error_ratio(
    old: &VersionStatistics,
    new: &VersionStatistics,
    odds: f64,
) -> f64 {
    let failed = old.failed + new.failed;
    let least = failed.saturating_sub(old.finished);
    let most = failed.min(new.finished);
    if failed == 0 || least >= most {
        return 0.0;
    }
    let (failed, ours, theirs) = (
        f64::from(failed),
        f64::from(new.finished),
        f64::from(old.finished),
    );
    // Relative weights of the hypergeometric distribution, from one count to the next.
    let mut weight = 1.0;
    let mut weights = 0.0;
    let mut tilted = 0.0;
    for count in least..=most {
        let count = f64::from(count);
        weights += weight;
        tilted += weight * odds.powf(count - f64::from(new.failed));
        let up = (ours - count) * (failed - count);
        weight *= up / ((count + 1.0) * (theirs - failed + count + 1.0));
    }
    -(tilted / weights).ln()
}

/// Failure rate of the old version in a slot in which it fails more than now and then, else zero.
pub(super) fn trouble_rate(old: &VersionStatistics) -> f64 {
    let now = f64::from(old.failed) / f64::from(old.finished.max(1));
    if old.failed >= SHARED_FAILURES {
        now
    } else {
        0.0
    }
}

/// For "fails more often than the old one by `excess`" against "fails as often", by the old one's
/// record. When the old version fails as well in the same slot, at the rate `trouble`, something
/// that both need is broken; judging the new one by the old one's better days would take back a
/// good version.
pub(super) fn error_ratio(
    baseline: &OldBaseline,
    trouble: f64,
    new: &VersionStatistics,
    excess: f64,
) -> f64 {
    let like_old = baseline.failure_rate().max(trouble).max(LEAST_RATE);
    let bad = (like_old + excess).min(MOST_RATE);
    if bad <= like_old {
        return 0.0;
    }
    let failed = f64::from(new.failed);
    let passed = f64::from(new.finished) - failed;
    failed * (bad / like_old).ln() + passed * ((1.0 - bad) / (1.0 - like_old)).ln()
}

/// For "slower than the old one by `factor`" against "as fast".
pub(super) fn speed_ratio(
    baseline: &OldBaseline,
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
    let difference = (new_mean - old_mean).clamp(-MOST_DIFFERENCE, MOST_DIFFERENCE);
    let noise = baseline.variance() * (1.0 / new_timed + 1.0 / old_timed);
    let variance = noise + 2.0 * ENGINE_SPREAD * ENGINE_SPREAD;
    let shift = factor.ln();
    (shift * difference - shift * shift / 2.0) / variance
}
