//! How much work an upstream gets at once: a limit that follows its latency.
//!
//! Two signs are read. First tokens that take several times longer than the best this upstream
//! has shown for as much prefill mean that requests wait inside the engine: more than its batch
//! holds. Gaps between tokens over the objective mean that the batch itself is too large. Either
//! cuts the limit; the limit grows only on evidence of prompt first tokens while in full use.

use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Shortest time between two verdicts of a kind: a cut must show its effect before the next.
const MIN_WINDOW: Duration = Duration::from_millis(1_000);
/// First tokens that a verdict needs.
const MIN_FIRST_TOKEN_SAMPLES: u32 = 4;
/// Gaps that a verdict needs.
const MIN_GAP_SAMPLES: u32 = 32;
/// A first token this many times slower than the engine's best is a sign of a queue inside it.
const CONGESTED_SLOWDOWN: f64 = 3.0;
/// Least share kept in one cut. One window may be unlucky.
const MIN_CUT_FACTOR: f64 = 0.8;
/// Congestion below which a limit that is in full use grows. Between this and one it stays,
/// which is what keeps it from swinging.
const MAX_GROWTH_CONGESTION: f64 = 0.7;
/// Growth of a limit in full use, as a share.
const GROWTH_FRACTION: f64 = 0.06;
/// The same before the first cut, while the declared figure may be far too low.
const SLOW_START_GROWTH_FRACTION: f64 = 0.25;
/// Use of the allowance from which the limit is taken to be what holds work back.
const FULL_USE_FRACTION: f64 = 0.9;
/// Share of the declared seats under which slow tokens alone don't cut the limit: an engine of
/// an old generation may miss the objective with an empty batch too.
const MIN_GAP_CUT_FRACTION: f64 = 0.5;
/// A limit never grows beyond this many times the declared figure, nor falls below its inverse.
const MAX_GROWTH_FACTOR: f64 = 8.0;
/// Time over which the best first-token time is forgotten: the best of a cool hour must not be
/// the measure of a hot one, and a queue must not become the measure before it was cut away.
const BASELINE_DECAY: Duration = Duration::from_secs(60);
/// Tokens that the fixed part of a first token is worth, to compare prompts of all lengths.
const FIXED_OVERHEAD_TOKENS: f64 = 512.0;

/// Latency targets of the service.
#[derive(Debug, Clone, Copy)]
pub struct LatencyTargets {
    /// Seconds to the first token.
    pub first_token: f64,
    /// Seconds between two tokens.
    pub gap: f64,
}

/// What was in use while a window was measured.
#[derive(Debug, Clone, Copy)]
pub struct LimitUse {
    /// Most seats in use, as a share of those allowed.
    pub slots: f64,
    /// Most batch tokens in use, as a share of those allowed.
    pub tokens: f64,
}

/// Samples since the last verdict of one kind.
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

/// Shortest recent first-token time, relative to what was to be prefilled.
#[derive(Debug, Clone, Copy, Default)]
struct LatencyBaseline {
    ratio: Option<f64>,
    updated_at: MonotonicTime,
}

impl LatencyBaseline {
    /// Says how many times longer than the best a sample took.
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

/// Limit of one upstream.
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
    /// A limit that begins at the declared figures.
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

    /// Seats at once.
    #[must_use]
    pub fn slots(&self) -> u32 {
        (self.slots as u32).max(1)
    }

    /// Batch tokens at once.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens as u64
    }

    /// Notes how much of the allowance was in use.
    pub fn record_use(&mut self, used: LimitUse) {
        self.peak.slots = self.peak.slots.max(used.slots);
        self.peak.tokens = self.peak.tokens.max(used.tokens);
    }

    /// Notes a first token.
    pub fn record_first_token(&mut self, now: MonotonicTime, took: Duration, uncached: u32) {
        let took = took.as_secs_f64();
        let ratio = took / (f64::from(uncached) + FIXED_OVERHEAD_TOKENS);
        self.first_tokens.count += 1;
        self.first_tokens.seconds += took;
        self.first_tokens.slowdown += self.baseline.slowdown(now, ratio);
    }

    /// Notes tokens after the first.
    pub fn record_tokens(&mut self, took: Duration, count: u32) {
        self.gaps.count += count;
        self.gaps.seconds += took.as_secs_f64();
    }

    /// Changes the limit if there is enough evidence.
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
            // A first token far within the objective is no trouble, however good the best was.
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
