//! Tests of the adaptive limit against a simulated engine with a bounded batch and a queue.

use super::{AdaptiveLimit, LatencyTargets, LimitUse};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

const TARGETS: LatencyTargets = LatencyTargets {
    first_token: 1.6,
    gap: 0.079,
};

/// Engine whose latencies are computed from its batch size.
#[derive(Debug, Clone, Copy)]
struct SimulatedEngine {
    slots: f64,
    step: f64,
    per_sequence: f64,
    slowdown: f64,
}

impl SimulatedEngine {
    fn gap(&self, batch: f64) -> f64 {
        (self.step + self.per_sequence * batch.min(self.slots)) * self.slowdown
    }

    /// Returns the time to first token with `work` sequences in the engine: those beyond the batch
    /// wait until others end.
    fn first_token(&self, work: f64) -> f64 {
        let queue = (work - self.slots).max(0.0);
        (0.3 + queue * 0.5) * self.slowdown
    }
}

/// Keeps the limit fully used for `seconds`; returns the slots at the end of each second.
fn run_at_full_use(
    limit: &mut AdaptiveLimit,
    engine: SimulatedEngine,
    from: u64,
    seconds: u64,
) -> Vec<u32> {
    let mut slots = Vec::new();
    for second in from..from + seconds {
        for part in 0..4 {
            let now = MonotonicTime(second * 1_000_000 + part * 250_000);
            let work = f64::from(limit.slots());
            let took = Duration::from_secs_f64(engine.first_token(work));
            limit.record_use(LimitUse {
                slots: 1.0,
                tokens: 0.2,
            });
            limit.record_first_token(now, took, 500);
            limit.record_first_token(now, took, 500);
            let gaps = Duration::from_secs_f64(engine.gap(work) * 32.0);
            limit.record_tokens(gaps, 32);
            limit.adjust(now, TARGETS);
        }
        slots.push(limit.slots());
    }
    slots
}

const ENGINE: SimulatedEngine = SimulatedEngine {
    slots: 40.0,
    step: 0.02,
    per_sequence: 0.0008,
    slowdown: 1.0,
};

/// Guards against a limit that stays at the configured slots when these are a fifth of the engine's
/// batch: four fifths of the accelerator would be idle while callers are refused.
#[test]
fn limit_converges_to_the_batch_size_of_the_engine() {
    let mut limit = AdaptiveLimit::new(8, 65_536);
    let slots = run_at_full_use(&mut limit, ENGINE, 0, 120);
    let settled = &slots[60..];
    let min = settled.iter().min().copied().unwrap();
    let max = settled.iter().max().copied().unwrap();
    assert!(min >= 30 && max <= 52, "between {min} and {max} slots");
}

/// Guards against a limit that doesn't follow an engine which takes twice as long for everything,
/// such as one throttled in the heat: all responses would be late. A limit that oscillates would
/// make some late and leave slots empty in turn.
#[test]
fn limit_follows_a_slowdown_without_oscillating_and_recovers() {
    let mut limit = AdaptiveLimit::new(16, 65_536);
    run_at_full_use(&mut limit, ENGINE, 0, 60);
    let slowed_engine = SimulatedEngine {
        slowdown: 2.0,
        ..ENGINE
    };
    let slowed = run_at_full_use(&mut limit, slowed_engine, 60, 90);
    let settled = &slowed[30..];
    let gap = slowed_engine.gap(f64::from(*settled.iter().max().unwrap()));
    assert!(
        gap < 0.079 * 1.15,
        "{gap} s between tokens during the slowdown"
    );
    let oscillation = settled.iter().max().unwrap() - settled.iter().min().unwrap();
    assert!(
        oscillation <= 8,
        "varies by {oscillation} slots: {settled:?}"
    );
    let recovered = run_at_full_use(&mut limit, ENGINE, 150, 90);
    assert!(
        recovered[80] >= 30,
        "only {} slots after recovery",
        recovered[80]
    );
}

/// Guards against cuts of the limit on an engine that misses the token-gap objective with any batch
/// size: they would not make its tokens faster and would waste its capacity.
#[test]
fn slow_engine_keeps_half_of_its_declared_slots() {
    let mut limit = AdaptiveLimit::new(16, 65_536);
    let slow_engine = SimulatedEngine {
        step: 0.09,
        ..ENGINE
    };
    let slots = run_at_full_use(&mut limit, slow_engine, 0, 120);
    assert!(slots[110] >= 7, "{} slots", slots[110]);
}
