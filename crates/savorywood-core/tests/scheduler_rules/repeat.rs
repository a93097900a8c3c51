//! The same events give the same effects.

use crate::fixture::{BenchRequest, SchedulerBench};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use savorywood_core::{DaemonEffect, FailureCause, UpstreamEvent, scheduler::SchedulerEvent};
use std::time::Duration;

const TEAMS: [&str; 4] = ["north", "south", "east", "west"];

/// One thing done to a scheduler.
#[derive(Debug, Clone)]
enum BenchAction {
    Send {
        team: u8,
        rank: u8,
        tokens: u16,
        seconds: u8,
    },
    First {
        pick: u16,
    },
    Finish {
        pick: u16,
    },
    Break {
        pick: u16,
    },
    Unsent {
        pick: u16,
    },
    Leave {
        pick: u16,
    },
    Pass {
        millis: u16,
    },
    Look,
}

impl Arbitrary for BenchAction {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = u16::arbitrary(g);
        match u8::arbitrary(g) % 16 {
            0..=6 => Self::Send {
                team: u8::arbitrary(g) % 4,
                rank: u8::arbitrary(g) % 4,
                tokens: u16::arbitrary(g) % 8_000,
                seconds: u8::arbitrary(g) % 60 + 1,
            },
            7 => Self::First { pick },
            8..=10 => Self::Finish { pick },
            11 => Self::Break { pick },
            12 => Self::Unsent { pick },
            13 => Self::Leave { pick },
            14 => Self::Pass {
                millis: u16::arbitrary(g) % 4_000,
            },
            _ => Self::Look,
        }
    }
}

fn run(actions: &[BenchAction]) -> Vec<DaemonEffect> {
    let mut bench = SchedulerBench::new(3, 2);
    for action in actions {
        act(&mut bench, action);
    }
    bench.effects
}

fn act(bench: &mut SchedulerBench, action: &BenchAction) {
    match action {
        BenchAction::Send {
            team,
            rank,
            tokens,
            seconds,
        } => {
            bench.send(&BenchRequest {
                team: TEAMS[usize::from(*team)],
                rank: *rank,
                prompt_tokens: u32::from(*tokens) + 1,
                deadline: Duration::from_secs(u64::from(*seconds)),
                ..BenchRequest::default()
            });
        }
        BenchAction::Pass { millis } => {
            bench.fire_timers(Duration::from_millis(u64::from(*millis)));
        }
        BenchAction::Look => {
            bench.step(SchedulerEvent::ViewChanged);
        }
        BenchAction::First { pick } => on_order(bench, *pick, |bench, order| {
            let (request, attempt) = (order.request, order.attempt);
            bench.upstream(UpstreamEvent::FirstToken { request, attempt });
        }),
        BenchAction::Finish { pick } => on_order(bench, *pick, SchedulerBench::finish),
        BenchAction::Break { pick } => on_order(bench, *pick, |bench, order| {
            bench.upstream(UpstreamEvent::Failed {
                request: order.request,
                attempt: order.attempt,
                cause: FailureCause::Stalled,
            });
        }),
        BenchAction::Unsent { pick } => on_order(bench, *pick, |bench, order| {
            let (request, attempt) = (order.request, order.attempt);
            bench.upstream(UpstreamEvent::NotSent { request, attempt });
        }),
        BenchAction::Leave { pick } => on_order(bench, *pick, |bench, order| {
            let request = order.request;
            bench.step(SchedulerEvent::CallerLeft { request });
        }),
    }
}

fn on_order(
    bench: &mut SchedulerBench,
    pick: u16,
    act: impl FnOnce(&mut SchedulerBench, &savorywood_core::DispatchCommand),
) {
    let orders = bench.dispatches();
    if let Some(order) = orders.get(usize::from(pick) % orders.len().max(1)) {
        act(bench, order);
    }
}

#[test]
fn same_events_give_same_effects_without_a_breach() {
    fn holds(actions: Vec<BenchAction>) -> bool {
        let first = run(&actions);
        let breached = first
            .iter()
            .any(|effect| matches!(effect, DaemonEffect::InvariantViolated(_)));
        !breached && first == run(&actions)
    }
    let check = holds as fn(Vec<BenchAction>) -> bool;
    QuickCheck::new().tests(200).quickcheck(check);
}

/// Each request gets exactly one end: an answer of its upstream, a refusal, or its caller left.
#[test]
fn every_request_ends_or_is_still_open() {
    fn holds(actions: Vec<BenchAction>) -> bool {
        let mut bench = SchedulerBench::new(3, 2);
        for action in &actions {
            act(&mut bench, action);
        }
        let tiers = bench.scheduler.counters().tiers.values();
        let ended: u64 = tiers
            .clone()
            .map(|tier| {
                let refused: u64 = tier.refused.values().sum();
                refused + tier.in_time + tier.late + tier.broken + tier.caller_left
            })
            .sum();
        let arrived: u64 = tiers.map(|tier| tier.arrived).sum();
        arrived == ended + bench.scheduler.open_requests() as u64
    }
    let check = holds as fn(Vec<BenchAction>) -> bool;
    QuickCheck::new().tests(200).quickcheck(check);
}
