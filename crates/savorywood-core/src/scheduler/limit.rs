//! How much work an upstream gets at once: a limit that follows its latency.

use super::speed::DecayedMean;
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Shortest time between two changes of a limit.
const WINDOW_TIME: Duration = Duration::from_millis(500);
/// First tokens without which a window says nothing of queueing inside the engine.
const WINDOW_FIRST_TOKENS: u32 = 3;
/// Gaps without which a window says nothing of the batch.
const WINDOW_GAPS: u32 = 8;
/// A first token this many times slower than the engine's best is a sign of a queue inside it.
const STRETCH_LIMIT: f64 = 2.5;
/// Least share kept in one cut. One window may be unlucky.
const MIN_CUT: f64 = 0.8;
/// Congestion below which a limit that is in full use grows. Between this and one it stays,
/// which is what keeps it from swinging.
const GROW_BELOW: f64 = 0.85;
/// Growth of a limit in full use, as a share.
const GROW_SHARE: f64 = 0.08;
/// Use of the allowance from which the limit is taken to be what holds work back.
const FULL_USE: f64 = 0.9;
/// Share of the declared seats under which slow tokens alone don't cut the limit: an engine of
/// an old generation may miss the objective with an empty batch too.
const GAP_CUT_FLOOR: f64 = 0.5;
/// A limit never grows beyond this many times the declared seats.
const MAX_GROWTH: f64 = 8.0;
/// Share of the best first-token time that is given up at each slower sample, so that the best
/// of a cool hour is forgotten in a hot one.
const BEST_DRIFT: f64 = 0.02;

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
    pub seats: f64,
    /// Most batch tokens in use, as a share of those allowed.
    pub tokens: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct LatencyWindow {
    started_at: MonotonicTime,
    first_tokens: u32,
    first_seconds: f64,
    stretch: f64,
    gaps: u32,
    gap_seconds: f64,
    peak_seats: f64,
    peak_tokens: f64,
}

/// Limit of one upstream.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    start_seats: f64,
    start_tokens: f64,
    seats: f64,
    tokens: f64,
    window: LatencyWindow,
    best: BestTime,
    usual_gap: DecayedMean,
}

/// Shortest recent first-token time, relative to what was to be prefilled.
#[derive(Debug, Clone, Copy, Default)]
struct BestTime {
    ratio: Option<f64>,
}

impl BestTime {
    /// Says how many times longer than the best a sample took.
    fn stretch(&mut self, sample: f64) -> f64 {
        let best = self.ratio.unwrap_or(sample);
        let next = if sample < best {
            (best + sample) / 2.0
        } else {
            best + BEST_DRIFT * (sample - best).min(best)
        };
        self.ratio = Some(next);
        sample / next.max(f64::MIN_POSITIVE)
    }
}

/// Tokens that the fixed part of a first token is worth, to compare prompts of all lengths.
const OVERHEAD_TOKENS: f64 = 512.0;

impl AdaptiveLimit {
    /// A limit that begins at the declared figures.
    #[must_use]
    pub fn new(seats: u32, tokens: u32) -> Self {
        let start_seats = f64::from(seats.max(1));
        let start_tokens = f64::from(tokens.max(1));
        Self {
            start_seats,
            start_tokens,
            seats: start_seats,
            tokens: start_tokens,
            window: LatencyWindow::default(),
            best: BestTime::default(),
            usual_gap: DecayedMean::default(),
        }
    }

    /// Seats at once.
    #[must_use]
    pub fn seats(&self) -> u32 {
        (self.seats as u32).max(1)
    }

    /// Batch tokens at once.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens as u64
    }

    /// Notes how much of the allowance was in use.
    pub fn note_use(&mut self, used: LimitUse) {
        self.window.peak_seats = self.window.peak_seats.max(used.seats);
        self.window.peak_tokens = self.window.peak_tokens.max(used.tokens);
    }

    /// Notes a first token.
    pub fn note_first_token(&mut self, took: Duration, uncached: u32) {
        let took = took.as_secs_f64();
        let stretch = self
            .best
            .stretch(took / (f64::from(uncached) + OVERHEAD_TOKENS));
        self.window.first_tokens += 1;
        self.window.first_seconds += took;
        self.window.stretch += stretch;
    }

    /// Notes tokens after the first.
    pub fn note_tokens(&mut self, took: Duration, count: u32) {
        self.window.gaps += count;
        self.window.gap_seconds += took.as_secs_f64();
    }

    /// Changes the limit if the window has enough in it. Says whether it changed.
    pub fn adjust(&mut self, now: MonotonicTime, targets: LatencyTargets) -> bool {
        let window = self.window;
        let enough = window.first_tokens >= WINDOW_FIRST_TOKENS || window.gaps >= WINDOW_GAPS;
        if !enough || now.since(window.started_at) < WINDOW_TIME {
            return false;
        }
        let congestion = self.congestion(now, targets);
        self.window = LatencyWindow {
            started_at: now,
            ..LatencyWindow::default()
        };
        if congestion > 1.0 {
            self.cut((1.0 / congestion).max(MIN_CUT), window);
        } else if congestion < GROW_BELOW {
            self.grow(window);
        }
        true
    }

    /// More than one when the window shows a queue in the engine or too large a batch.
    fn congestion(&mut self, now: MonotonicTime, targets: LatencyTargets) -> f64 {
        let window = self.window;
        let mut congestion: f64 = 0.0;
        if window.first_tokens >= WINDOW_FIRST_TOKENS {
            let count = f64::from(window.first_tokens);
            let first = window.first_seconds / count / targets.first_token;
            let stretch = window.stretch / count / STRETCH_LIMIT;
            congestion = congestion.max(stretch.min(first * 4.0));
        }
        if window.gaps >= WINDOW_GAPS {
            let gap = window.gap_seconds / f64::from(window.gaps);
            self.usual_gap.record(now, gap);
            let over = gap / targets.gap;
            let floor = self.start_seats * GAP_CUT_FLOOR;
            let over = if self.seats > floor {
                over
            } else {
                over.min(0.9)
            };
            congestion = congestion.max(over);
        }
        congestion
    }

    fn cut(&mut self, factor: f64, window: LatencyWindow) {
        if window.peak_seats >= window.peak_tokens {
            self.seats = (self.seats * factor).max(1.0);
        } else {
            self.tokens = (self.tokens * factor).max(self.start_tokens / MAX_GROWTH);
        }
    }

    fn grow(&mut self, window: LatencyWindow) {
        if window.peak_seats >= FULL_USE {
            let most = self.start_seats * MAX_GROWTH;
            self.seats = (self.seats + (self.seats * GROW_SHARE).max(0.5)).min(most);
        }
        if window.peak_tokens >= FULL_USE {
            let most = self.start_tokens * MAX_GROWTH;
            self.tokens = (self.tokens * (1.0 + GROW_SHARE)).min(most);
        }
    }
}
