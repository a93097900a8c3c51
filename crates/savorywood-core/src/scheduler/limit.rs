//! Adaptive concurrency limit of one upstream, controlled by its latency.
//!
//! Two signals are used. Times to first token that are several times longer than the best of this
//! upstream for the same prefill show that requests wait inside the engine, because it got more
//! than its batch holds. Token gaps above the objective show that the batch itself is too large.
//! Either signal cuts the limit. The limit grows only if it was fully used and first tokens were
//! fast.

use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Minimum time between two decisions from one signal, so that a cut takes effect before the next
/// decision.
const MIN_WINDOW: Duration = Duration::from_millis(1_000);
/// Minimum number of first tokens per decision.
const MIN_FIRST_TOKEN_SAMPLES: u32 = 4;
/// Minimum number of token gaps per decision.
const MIN_GAP_SAMPLES: u32 = 32;
/// Slowdown of first tokens against the baseline from which requests count as queued inside the
/// engine.
const CONGESTED_SLOWDOWN: f64 = 3.0;
/// Smallest factor applied in one cut, since the samples of one window may be outliers.
const MIN_CUT_FACTOR: f64 = 0.8;
/// Congestion below which a fully used limit grows. Between this value and 1 the limit stays, which
/// keeps it from oscillating.
const MAX_GROWTH_CONGESTION: f64 = 0.7;
/// Growth of a fully used limit per decision, as a fraction of the limit.
const GROWTH_FRACTION: f64 = 0.06;
/// The same during slow start, before the first cut, when the configured limit may be far too low.
const SLOW_START_GROWTH_FRACTION: f64 = 0.25;
/// Used fraction of the allowance from which the limit counts as fully used.
const FULL_USE_FRACTION: f64 = 0.9;
/// Fraction of the configured slots below which token gaps alone don't cut the limit: an engine on
/// old hardware may miss the objective with an empty batch too.
const MIN_GAP_CUT_FRACTION: f64 = 0.5;
/// The limit stays between the configured figure divided by this factor and multiplied by it.
const MAX_GROWTH_FACTOR: f64 = 8.0;
/// Time constant with which the baseline follows slower first tokens. It must adapt when the
/// upstream gets slower for a while, such as when it is throttled in the heat, but must not adapt
/// to a queue before the limit has been cut.
const BASELINE_DECAY: Duration = Duration::from_secs(60);
/// Number of prompt tokens that take as long as the fixed part of a first token. Makes the times of
/// short and long prompts comparable.
const FIXED_OVERHEAD_TOKENS: f64 = 512.0;

/// Latency objectives of the service.
#[derive(Debug, Clone, Copy)]
pub struct LatencyTargets {
    /// Seconds to the first token.
    pub first_token: f64,
    /// Seconds between two tokens.
    pub gap: f64,
}

/// Peak use of the limit since the last decision.
#[derive(Debug, Clone, Copy)]
pub struct LimitUse {
    /// Maximum slots in use, as a fraction of the allowed ones.
    pub slots: f64,
    /// Maximum batch tokens in use, as a fraction of the allowed ones.
    pub tokens: f64,
}

/// Samples of one signal since its last decision.
#[derive(Debug, Clone, Copy, Default)]
struct LatencyWindow {
    started_at: MonotonicTime,
    count: u32,
    seconds: f64,
    slowdown: f64,
}

impl LatencyWindow {
    fn is_complete(&self, now: MonotonicTime, min_samples: u32) -> bool {
        self.count >= min_samples && now.since(self.started_at) >= MIN_WINDOW
    }

    fn take(&mut self, now: MonotonicTime) -> Self {
        let empty = Self {
            started_at: now,
            ..Self::default()
        };
        std::mem::replace(self, empty)
    }

    fn mean(&self) -> f64 {
        self.seconds / f64::from(self.count.max(1))
    }
}

/// Best recent time to first token per token of prefill.
#[derive(Debug, Clone, Copy, Default)]
struct LatencyBaseline {
    ratio: Option<f64>,
    updated_at: MonotonicTime,
}

impl LatencyBaseline {
    /// Records a sample and returns how many times longer than the baseline it took.
    fn slowdown(&mut self, now: MonotonicTime, sample: f64) -> f64 {
        let baseline = self.ratio.unwrap_or(sample);
        let age = now.since(self.updated_at).as_secs_f64();
        let decayed = 1.0 - (-age / BASELINE_DECAY.as_secs_f64()).exp();
        let next = if sample < baseline {
            (baseline + sample) / 2.0
        } else {
            baseline + decayed * (sample - baseline).min(baseline)
        };
        self.ratio = Some(next);
        self.updated_at = now;
        sample / next.max(f64::MIN_POSITIVE)
    }
}

/// Limit of slots and batch tokens of one upstream.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    declared_slots: f64,
    declared_tokens: f64,
    slots: f64,
    tokens: f64,
    peak: LimitUse,
    first_tokens: LatencyWindow,
    gaps: LatencyWindow,
    baseline: LatencyBaseline,
    slow_start: bool,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at the configured figures.
    #[must_use]
    pub fn new(slots: u32, tokens: u32) -> Self {
        let declared_slots = f64::from(slots.max(1));
        let declared_tokens = f64::from(tokens.max(1));
        Self {
            declared_slots,
            declared_tokens,
            slots: declared_slots,
            tokens: declared_tokens,
            peak: LimitUse {
                slots: 0.0,
                tokens: 0.0,
            },
            first_tokens: LatencyWindow::default(),
            gaps: LatencyWindow::default(),
            baseline: LatencyBaseline::default(),
            slow_start: true,
        }
    }

    /// Returns the maximum number of concurrent requests, at least 1.
    #[must_use]
    pub fn slots(&self) -> u32 {
        (self.slots as u32).max(1)
    }

    /// Returns the maximum number of concurrent batch tokens.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens as u64
    }

    /// Records the used fraction of the allowance.
    pub fn record_use(&mut self, used: LimitUse) {
        self.peak.slots = self.peak.slots.max(used.slots);
        self.peak.tokens = self.peak.tokens.max(used.tokens);
    }

    /// Records the time to first token of an attempt with `uncached` tokens to prefill.
    pub fn record_first_token(&mut self, now: MonotonicTime, took: Duration, uncached: u32) {
        let took = took.as_secs_f64();
        let ratio = took / (f64::from(uncached) + FIXED_OVERHEAD_TOKENS);
        self.first_tokens.count += 1;
        self.first_tokens.seconds += took;
        self.first_tokens.slowdown += self.baseline.slowdown(now, ratio);
    }

    /// Records the time that `count` tokens after the first took.
    pub fn record_tokens(&mut self, took: Duration, count: u32) {
        self.gaps.count += count;
        self.gaps.seconds += took.as_secs_f64();
    }

    /// Changes the limit if one of the signals has enough samples.
    pub fn adjust(&mut self, now: MonotonicTime, targets: LatencyTargets) {
        if self.gaps.is_complete(now, MIN_GAP_SAMPLES) {
            let gap = self.gaps.take(now).mean();
            let floor = self.declared_slots * MIN_GAP_CUT_FRACTION;
            if gap > targets.gap && self.slots > floor {
                self.cut(targets.gap / gap);
            }
        }
        if self.first_tokens.is_complete(now, MIN_FIRST_TOKEN_SAMPLES) {
            let window = self.first_tokens.take(now);
            let slowdown = window.slowdown / f64::from(window.count) / CONGESTED_SLOWDOWN;
            // A first token far within the objective is no sign of congestion, however low the
            // baseline is.
            let congestion = slowdown.min(2.0 * window.mean() / targets.first_token);
            if congestion > 1.0 {
                self.cut(1.0 / congestion);
            } else if congestion < MAX_GROWTH_CONGESTION {
                self.grow();
            }
            self.peak = LimitUse {
                slots: 0.0,
                tokens: 0.0,
            };
        }
    }

    fn cut(&mut self, factor: f64) {
        self.slow_start = false;
        let factor = factor.max(MIN_CUT_FACTOR);
        if self.peak.slots >= self.peak.tokens {
            self.slots = (self.slots * factor).max(1.0);
        } else {
            let min = self.declared_tokens / MAX_GROWTH_FACTOR;
            self.tokens = (self.tokens * factor).max(min);
        }
    }

    fn grow(&mut self) {
        let growth = if self.slow_start {
            SLOW_START_GROWTH_FRACTION
        } else {
            GROWTH_FRACTION
        };
        if self.peak.slots >= FULL_USE_FRACTION {
            let max = self.declared_slots * MAX_GROWTH_FACTOR;
            self.slots = (self.slots + (self.slots * growth).max(0.5)).min(max);
        }
        if self.peak.tokens >= FULL_USE_FRACTION {
            let max = self.declared_tokens * MAX_GROWTH_FACTOR;
            self.tokens = (self.tokens * (1.0 + growth)).min(max);
        }
    }
}

#[cfg(test)]
mod tests;
