//! The limit against an engine that holds so many sequences and queues the rest.

use super::{AdaptiveLimit, LatencyTargets, LimitUse};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

const TARGETS: LatencyTargets = LatencyTargets {
    first_token: 1.6,
    gap: 0.079,
};

/// An engine of which all is known.
#[derive(Debug, Clone, Copy)]
struct PlainEngine {
    slots: f64,
    step: f64,
    per_sequence: f64,
    slowdown: f64,
}

impl PlainEngine {
    fn gap(&self, batch: f64) -> f64 {
        (self.step + self.per_sequence * batch.min(self.slots)) * self.slowdown
    }

    /// Time to the first token when `work` sequences are inside: those beyond the batch wait for
    /// others to end.
    fn first_token(&self, work: f64) -> f64 {
        let queue = (work - self.slots).max(0.0);
        (0.3 + queue * 0.5) * self.slowdown
    }
}

/// Lets the limit be in full use for some seconds; gives its seats second by second.
fn run(limit: &mut AdaptiveLimit, engine: PlainEngine, from: u64, seconds: u64) -> Vec<u32> {
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

const ENGINE: PlainEngine = PlainEngine {
    slots: 40.0,
    step: 0.02,
    per_sequence: 0.0008,
    slowdown: 1.0,
};

/// The declared seats are a fifth of what the engine holds. If the limit stayed there, four
/// fifths of the accelerator would stand idle while callers are refused.
#[test]
fn limit_finds_the_batch_of_the_engine() {
    let mut limit = AdaptiveLimit::new(8, 65_536);
    let slots = run(&mut limit, ENGINE, 0, 120);
    let settled = &slots[60..];
    let least = settled.iter().min().copied().unwrap();
    let most = settled.iter().max().copied().unwrap();
    assert!(least >= 30 && most <= 52, "between {least} and {most}");
}

/// On a hot afternoon the engine takes twice as long for everything. Tokens come too slowly with
/// a full batch then; a limit that did not follow would make every answer late, one that swung
/// would make some late and leave seats empty in turn.
#[test]
fn limit_follows_heat_without_swinging_and_recovers() {
    let mut limit = AdaptiveLimit::new(16, 65_536);
    run(&mut limit, ENGINE, 0, 60);
    let hot = PlainEngine {
        slowdown: 2.0,
        ..ENGINE
    };
    let heated = run(&mut limit, hot, 60, 90);
    let settled = &heated[30..];
    let gap = hot.gap(f64::from(*settled.iter().max().unwrap()));
    assert!(gap < 0.079 * 1.15, "{gap} s between tokens in the heat");
    let swing = settled.iter().max().unwrap() - settled.iter().min().unwrap();
    assert!(swing <= 8, "swings by {swing} seats: {settled:?}");
    let cooled = run(&mut limit, ENGINE, 150, 90);
    assert!(cooled[80] >= 30, "only {} seats again", cooled[80]);
}

/// An engine of the oldest generation misses the objective between tokens with any batch. Cutting
/// further would not make its tokens faster and would waste it.
#[test]
fn slow_engine_keeps_half_of_its_declared_seats() {
    let mut limit = AdaptiveLimit::new(16, 65_536);
    let old = PlainEngine {
        step: 0.09,
        ..ENGINE
    };
    let slots = run(&mut limit, old, 0, 120);
    assert!(slots[110] >= 7, "{} seats", slots[110]);
}
