//! Engines whose pace changes: each is slow in some of the spans of time, at random.

use super::{LoadEnvironment, calls::RandomSource};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Length of a span of constant pace.
const SPAN: Duration = Duration::from_millis(600);
/// Fraction of the spans in which an engine is slow.
const SLOW_FRACTION: f64 = 0.15;
/// Pace in a slow span, in percent.
const SLOW_PERCENT: u16 = 250;
/// Interval at which the paces are set.
const INTERVAL: Duration = Duration::from_millis(50);

/// What engines report of their pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportStyle {
    True,
    /// Always the same value.
    Constant(u16),
    /// A random value that has nothing to do with the pace.
    Random,
}

/// Runs with arrivals for some time while paces change, then until the open requests have ended.
pub fn run_with_changing_pace(
    environment: &mut LoadEnvironment,
    time: Duration,
    seed: u64,
    style: ReportStyle,
) {
    let start = environment.now;
    while environment.now < start + time {
        set_paces(environment, seed, style);
        environment.advance(INTERVAL, true);
    }
    environment.run(Duration::ZERO);
}

fn set_paces(environment: &mut LoadEnvironment, seed: u64, style: ReportStyle) {
    let now = environment.now;
    for (number, engine) in environment.engines.iter_mut().enumerate() {
        let mut random = RandomSource(seed ^ (span_number(now, number) << 16) ^ number as u64);
        let is_slow = random.next() < SLOW_FRACTION;
        engine.pace = if is_slow { SLOW_PERCENT } else { 100 };
        engine.reported_pace = match style {
            ReportStyle::True => None,
            ReportStyle::Constant(percent) => Some(percent),
            ReportStyle::Random => Some((50.0 + 350.0 * random.next()) as u16),
        };
    }
}

/// Returns the number of the span of an engine; the spans of engines begin at different times.
fn span_number(now: MonotonicTime, engine: usize) -> u64 {
    let offset = engine as u64 * 97_000;
    (now.0 + offset) / SPAN.as_micros() as u64
}
