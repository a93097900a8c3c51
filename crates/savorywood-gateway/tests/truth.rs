//! What callers are answered is true, whatever upstreams do.

#[path = "common/scene.rs"]
mod scene;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use savorywood_gateway::{
    AttemptOutcome, GatewayEffect, GatewayEvent, ResponseMetadata, StreamInterruption,
};
use scene::{GatewayScene, arrival, upstream};
use std::{collections::BTreeMap, time::Duration};

/// One thing that happens to the gateway.
#[derive(Debug, Clone)]
enum RandomStep {
    Arrive(u8),
    End(u8, u8),
    Leave(u8),
    Wait(u16),
    Remove(u8),
    Register(u8),
    StoreFails,
}

impl Arbitrary for RandomStep {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 12 {
            0..=3 => Self::Arrive(u8::arbitrary(g)),
            4..=7 => Self::End(u8::arbitrary(g), u8::arbitrary(g)),
            8 => Self::Leave(u8::arbitrary(g)),
            9 => Self::Wait(u16::arbitrary(g)),
            10 => Self::Remove(u8::arbitrary(g)),
            _ if bool::arbitrary(g) => Self::Register(u8::arbitrary(g)),
            _ => Self::StoreFails,
        }
    }
}

fn outcome(number: u8) -> AttemptOutcome {
    let metadata = ResponseMetadata::default();
    match number % 9 {
        0 => AttemptOutcome::NotSent,
        1 => AttemptOutcome::NotRun {
            misdirected: false,
            metadata,
        },
        2 => AttemptOutcome::NotRun {
            misdirected: true,
            metadata,
        },
        3 => AttemptOutcome::Failed { metadata },
        4 => AttemptOutcome::Broken { stalled: false },
        5 => AttemptOutcome::Broken { stalled: true },
        6 => AttemptOutcome::StreamBroken(StreamInterruption {
            events: 1,
            stalled: false,
        }),
        7 => AttemptOutcome::Expired,
        _ => AttemptOutcome::Delivered {
            metadata,
            events: 1,
        },
    }
}

/// What an observer outside knows of one request.
#[derive(Debug, Default, Clone)]
struct SeenRequest {
    once: bool,
    running: bool,
    may_have_run: u32,
    ended: bool,
    left: bool,
}

/// Replays steps and checks each effect against what an observer outside has seen.
fn keeps_truth(steps: Vec<RandomStep>) -> Result<(), String> {
    let mut scene = GatewayScene::ready(3);
    let mut seen: BTreeMap<u64, SeenRequest> = BTreeMap::new();
    let mut checked = 0;
    for step in steps {
        let open: Vec<u64> = seen
            .iter()
            .filter(|(_, request)| request.running && !request.ended)
            .map(|(number, _)| *number)
            .collect();
        match step {
            RandomStep::Arrive(kind) => {
                let path = ["/safe/1", "/once/1", "/stream/1", "/urgent/1"][usize::from(kind) % 4];
                let request = savorywood_gateway::LocalRequest(seen.len() as u64 + 1);
                let once = kind % 4 == 1;
                let known = SeenRequest {
                    once,
                    ..SeenRequest::default()
                };
                seen.insert(request.0, known);
                scene.confirm();
                assert_eq!(scene.arrive(arrival(path)), request);
            }
            RandomStep::End(which, how) if !open.is_empty() => {
                let number = open[usize::from(which) % open.len()];
                let ended = outcome(how);
                let request = seen.get_mut(&number).expect("an open request");
                request.running = false;
                match &ended {
                    AttemptOutcome::NotSent | AttemptOutcome::NotRun { .. } => {}
                    AttemptOutcome::Delivered { .. } => {
                        request.ended = true;
                        request.may_have_run += 1;
                    }
                    _ => request.may_have_run += 1,
                }
                scene.end(savorywood_gateway::LocalRequest(number), ended);
            }
            RandomStep::Leave(which) if !open.is_empty() => {
                let number = open[usize::from(which) % open.len()];
                let request = seen.get_mut(&number).expect("an open request");
                request.left = true;
                request.ended = true;
                scene.step(GatewayEvent::CallerDisconnected(
                    savorywood_gateway::LocalRequest(number),
                ));
            }
            RandomStep::End(..) | RandomStep::Leave(_) => {}
            RandomStep::Wait(millis) => scene.advance(Duration::from_millis(millis.into())),
            RandomStep::Remove(which) => {
                let name = upstream(u16::from(which % 3) + 1, 1).name;
                scene.step(GatewayEvent::UpstreamRemoved(name));
            }
            RandomStep::Register(which) => {
                let entry = upstream(u16::from(which % 3) + 1, 1);
                scene.step(GatewayEvent::UpstreamWritten(entry));
            }
            RandomStep::StoreFails => scene.step(GatewayEvent::StoreFailed),
        }
        for effect in &scene.effects[checked..] {
            check(effect, &mut seen)?;
        }
        checked = scene.effects.len();
    }
    Ok(())
}

fn check(effect: &GatewayEffect, seen: &mut BTreeMap<u64, SeenRequest>) -> Result<(), String> {
    match effect {
        GatewayEffect::Dispatch(order) => {
            let request = seen
                .get_mut(&order.request.0)
                .ok_or("unknown request sent")?;
            if request.ended || request.left {
                return Err(format!("sent after its end: {order:?}"));
            }
            if request.running {
                return Err(format!("sent while it runs: {order:?}"));
            }
            if request.once && request.may_have_run > 0 {
                return Err(format!("may run twice: {order:?}"));
            }
            if request.may_have_run >= 2 {
                return Err(format!("more runs than the route allows: {order:?}"));
            }
            request.running = true;
        }
        GatewayEffect::Refuse {
            request, reason, ..
        } => {
            let known = seen.get_mut(&request.0).ok_or("unknown request refused")?;
            if known.ended {
                return Err(format!("a second final answer: {effect:?}"));
            }
            known.ended = true;
            let ran = known.may_have_run > 0 || known.running;
            if reason.guarantees_not_executed() && ran {
                return Err(format!("an untrue promise: {effect:?}"));
            }
        }
        GatewayEffect::ForwardFailure { request } | GatewayEffect::AbortResponse { request } => {
            let known = seen.get_mut(&request.0).ok_or("unknown request ended")?;
            if known.ended {
                return Err(format!("a second final answer: {effect:?}"));
            }
            known.ended = true;
        }
        GatewayEffect::AbandonAttempt { request } => {
            let known = seen
                .get_mut(&request.0)
                .ok_or("unknown request abandoned")?;
            let may_run_again = !known.once && known.may_have_run == 0;
            if known.ended || !known.running || !may_run_again {
                return Err(format!("abandoned without a next run: {effect:?}"));
            }
        }
        GatewayEffect::WriteRollout(_)
        | GatewayEffect::WriteQuarantine(_)
        | GatewayEffect::Log(_) => {}
    }
    Ok(())
}

/// Upstreams refuse, fail, break, fall silent, vanish and come back in any order while callers
/// come and leave. What may have run is never refused as not run, what may run once is never
/// sent again, and each request gets one final answer.
#[test]
fn no_promise_is_broken_by_any_order_of_faults() {
    let property = |steps: Vec<RandomStep>| match keeps_truth(steps) {
        Ok(()) => true,
        Err(breach) => panic!("{breach}"),
    };
    QuickCheck::new()
        .rng(Gen::new(200))
        .tests(2_000)
        .quickcheck(property as fn(Vec<RandomStep>) -> bool);
}

/// A charge reached an upstream and its answer was lost. Sent once more it could be made twice,
/// and answered "not run" the caller would send it once more itself.
#[test]
fn a_lost_answer_of_a_call_that_runs_once_is_unknown() {
    let mut scene = GatewayScene::ready(2);
    let request = scene.arrive(arrival("/once/1"));
    scene.end(request, AttemptOutcome::Broken { stalled: false });
    assert_eq!(scene.orders(request).len(), 1);
    let reason = scene.refusal(request).expect("a final answer");
    assert!(!reason.guarantees_not_executed());
}

/// An address was given to an upstream of another service. It says so; the request has not run
/// and goes to one that is there, also when it may run once only.
#[test]
fn a_misdirected_request_goes_elsewhere() {
    let mut scene = GatewayScene::ready(2);
    let request = scene.arrive(arrival("/once/1"));
    let first = scene.orders(request)[0].upstream.clone();
    let outcome = AttemptOutcome::NotRun {
        misdirected: true,
        metadata: ResponseMetadata::default(),
    };
    scene.end(request, outcome);
    let orders = scene.orders(request);
    assert_eq!(orders.len(), 2);
    assert_ne!(orders[1].upstream, first);
    scene.deliver(request);
    let next = scene.arrive(arrival("/safe/1"));
    assert_ne!(scene.orders(next)[0].upstream, first);
}
