//! Invariants of the responses to callers under random sequences of upstream faults.

#[path = "common/harness.rs"]
mod harness;

use harness::{GatewayHarness, arrival, upstream};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use savorywood_gateway::{
    AttemptOutcome, GatewayEffect, GatewayEvent, ResponseMetadata, StreamInterruption,
};
use std::{collections::BTreeMap, time::Duration};

/// Time between the order to stop and the kill.
const GRACE: Duration = Duration::from_secs(8);

/// A random event; numbers select the request, the upstream or the outcome.
#[derive(Debug, Clone)]
enum RandomStep {
    Arrive(u8),
    End(u8, u8),
    Leave(u8),
    Wait(u16),
    Remove(u8),
    Register(u8),
    StoreFails,
    /// A check of upstreams ends.
    Check(bool),
    /// The daemon is ordered to stop.
    Stop,
}

impl Arbitrary for RandomStep {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 13 {
            0..=3 => Self::Arrive(u8::arbitrary(g)),
            4..=7 => Self::End(u8::arbitrary(g), u8::arbitrary(g)),
            8 => Self::Leave(u8::arbitrary(g)),
            9 => Self::Wait(u16::arbitrary(g)),
            10 => Self::Remove(u8::arbitrary(g)),
            11 => Self::Check(bool::arbitrary(g)),
            _ if bool::arbitrary(g) => Self::Register(u8::arbitrary(g)),
            _ if u8::arbitrary(g) % 8 == 0 => Self::Stop,
            _ => Self::StoreFails,
        }
    }
}

fn outcome(number: u8) -> AttemptOutcome {
    let metadata = ResponseMetadata::default();
    match number % 10 {
        0 => AttemptOutcome::NotSent,
        9 => AttemptOutcome::NotRelayed,
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

/// State of a request as visible from outside the gateway.
#[derive(Debug, Default, Clone)]
struct ObservedRequest {
    at_most_once: bool,
    running: bool,
    /// Attempts that the upstream may have executed.
    executions: u32,
    ended: bool,
    left: bool,
}

/// Runs the steps and checks each effect against the observed state of the requests.
fn check_steps(steps: Vec<RandomStep>) -> Result<(), String> {
    let mut harness = GatewayHarness::ready(3);
    let mut observed: BTreeMap<u64, ObservedRequest> = BTreeMap::new();
    let mut checked = 0;
    for step in steps {
        let open: Vec<u64> = observed
            .iter()
            .filter(|(_, request)| request.running && !request.ended)
            .map(|(number, _)| *number)
            .collect();
        match step {
            RandomStep::Arrive(kind) => {
                let path = ["/safe/1", "/once/1", "/stream/1", "/urgent/1"][usize::from(kind) % 4];
                let request = savorywood_gateway::LocalRequest(observed.len() as u64 + 1);
                let at_most_once = kind % 4 == 1;
                let state = ObservedRequest {
                    at_most_once,
                    ..ObservedRequest::default()
                };
                observed.insert(request.0, state);
                harness.confirm();
                assert_eq!(harness.arrive(arrival(path)), request);
            }
            RandomStep::End(which, how) if !open.is_empty() => {
                let number = open[usize::from(which) % open.len()];
                let ended = outcome(how);
                let request = observed.get_mut(&number).expect("an open request");
                request.running = false;
                match &ended {
                    AttemptOutcome::NotSent
                    | AttemptOutcome::NotRelayed
                    | AttemptOutcome::NotRun { .. } => {}
                    AttemptOutcome::Delivered { .. } => {
                        request.ended = true;
                        request.executions += 1;
                    }
                    _ => request.executions += 1,
                }
                harness.end(savorywood_gateway::LocalRequest(number), ended);
            }
            RandomStep::Leave(which) if !open.is_empty() => {
                let number = open[usize::from(which) % open.len()];
                let request = observed.get_mut(&number).expect("an open request");
                request.left = true;
                request.ended = true;
                harness.step(GatewayEvent::CallerDisconnected(
                    savorywood_gateway::LocalRequest(number),
                ));
            }
            RandomStep::End(..) | RandomStep::Leave(_) => {}
            RandomStep::Wait(millis) => harness.advance(Duration::from_millis(millis.into())),
            RandomStep::Remove(which) => {
                let name = upstream(u16::from(which % 3) + 1, 1).name;
                harness.step(GatewayEvent::UpstreamRemoved(name));
            }
            RandomStep::Register(which) => {
                let entry = upstream(u16::from(which % 3) + 1, 1);
                harness.step(GatewayEvent::UpstreamWritten(entry));
            }
            RandomStep::StoreFails => harness.step(GatewayEvent::StoreFailed),
            RandomStep::Stop => harness.step(GatewayEvent::StopRequested { grace: GRACE }),
            RandomStep::Check(reached) => harness.step(GatewayEvent::UpstreamsChecked {
                reached: usize::from(reached),
            }),
        }
        for effect in &harness.effects[checked..] {
            check(effect, &mut observed)?;
        }
        checked = harness.effects.len();
    }
    check_forced_stop(harness, observed)
}

/// Forces the stop and checks that each request gets a final response, unless its response has begun.
fn check_forced_stop(
    mut harness: GatewayHarness,
    mut observed: BTreeMap<u64, ObservedRequest>,
) -> Result<(), String> {
    harness.effects.clear();
    harness.step(GatewayEvent::StopRequested { grace: GRACE });
    harness.advance(GRACE);
    harness.step(GatewayEvent::StopForced);
    let mut expired = Vec::new();
    for effect in &harness.effects {
        check(effect, &mut observed)?;
        if let GatewayEffect::ExpireAttempt { request } = effect {
            expired.push(*request);
        }
    }
    harness.effects.clear();
    for request in expired {
        let state = observed.get_mut(&request.0).expect("an open request");
        state.running = false;
        state.executions += 1;
        harness.end(request, AttemptOutcome::Expired);
    }
    for effect in &harness.effects {
        check(effect, &mut observed)?;
        if let GatewayEffect::Dispatch(order) = effect {
            return Err(format!("dispatched after the forced stop: {order:?}"));
        }
    }
    let open = observed.iter().find(|(_, request)| !request.ended);
    open.map_or(Ok(()), |open| Err(format!("no final response: {open:?}")))
}

/// Checks one effect and updates the observed state.
fn check(
    effect: &GatewayEffect,
    observed: &mut BTreeMap<u64, ObservedRequest>,
) -> Result<(), String> {
    match effect {
        GatewayEffect::Dispatch(order) => {
            let request = observed
                .get_mut(&order.request.0)
                .ok_or("unknown request dispatched")?;
            if request.ended || request.left {
                return Err(format!("dispatched after its end: {order:?}"));
            }
            if request.running {
                return Err(format!("dispatched while it runs: {order:?}"));
            }
            if request.at_most_once && request.executions > 0 {
                return Err(format!("may be executed twice: {order:?}"));
            }
            if request.executions >= 2 {
                return Err(format!("more executions than the route allows: {order:?}"));
            }
            request.running = true;
        }
        GatewayEffect::Refuse {
            request, reason, ..
        } => {
            let state = observed
                .get_mut(&request.0)
                .ok_or("unknown request refused")?;
            if state.ended {
                return Err(format!("a second final response: {effect:?}"));
            }
            state.ended = true;
            let may_have_executed = state.executions > 0 || state.running;
            if reason.guarantees_not_executed() && may_have_executed {
                return Err(format!(
                    "refused as not run although it may have been executed: {effect:?}"
                ));
            }
        }
        GatewayEffect::ForwardFailure { request }
        | GatewayEffect::AbortResponse { request, .. } => {
            let state = observed
                .get_mut(&request.0)
                .ok_or("unknown request ended")?;
            if state.ended {
                return Err(format!("a second final response: {effect:?}"));
            }
            state.ended = true;
        }
        GatewayEffect::AbandonAttempt { request } => {
            let state = observed
                .get_mut(&request.0)
                .ok_or("unknown request abandoned")?;
            let may_execute_again = !state.at_most_once && state.executions == 0;
            if state.ended || !state.running || !may_execute_again {
                return Err(format!(
                    "abandoned although it can't be dispatched again: {effect:?}"
                ));
            }
        }
        GatewayEffect::ExpireAttempt { request } => {
            let state = observed.get(&request.0).ok_or("unknown request expired")?;
            if state.ended || !state.running {
                return Err(format!("expired although it does not run: {effect:?}"));
            }
        }
        GatewayEffect::WriteRollout(_)
        | GatewayEffect::WriteQuarantine(_)
        | GatewayEffect::CheckUpstreams(_)
        | GatewayEffect::CloseIdleConnections
        | GatewayEffect::Log(_) => {}
    }
    Ok(())
}

/// Upstreams refuse, fail, break connections, stall, are removed and register again in any order
/// while requests arrive and callers leave. A request that may have been executed is never refused
/// as not run, an at-most-once request is never dispatched again after that, and each request gets
/// one final response.
#[test]
fn invariants_hold_under_any_order_of_faults() {
    let property = |steps: Vec<RandomStep>| match check_steps(steps) {
        Ok(()) => true,
        Err(violation) => panic!("{violation}"),
    };
    QuickCheck::new()
        .rng(Gen::new(200))
        .tests(2_000)
        .quickcheck(property as fn(Vec<RandomStep>) -> bool);
}

/// Guards against charging twice: the response to a charge is lost. Dispatched again, it might be
/// executed twice; refused as "not run", the caller would send it again.
#[test]
fn a_lost_response_of_an_at_most_once_request_is_not_reported_as_not_run() {
    let mut harness = GatewayHarness::ready(2);
    let request = harness.arrive(arrival("/once/1"));
    harness.end(request, AttemptOutcome::Broken { stalled: false });
    assert_eq!(harness.orders(request).len(), 1);
    let reason = harness.refusal(request).expect("a final response");
    assert!(!reason.guarantees_not_executed());
}

/// An address was reused by an upstream of another service, which rejects the request as
/// misdirected. It was not executed, so even an at-most-once request is dispatched to another
/// upstream.
#[test]
fn a_misdirected_request_is_dispatched_to_another_upstream() {
    let mut harness = GatewayHarness::ready(2);
    let request = harness.arrive(arrival("/once/1"));
    let first = harness.orders(request)[0].upstream.clone();
    let outcome = AttemptOutcome::NotRun {
        misdirected: true,
        metadata: ResponseMetadata::default(),
    };
    harness.end(request, outcome);
    let orders = harness.orders(request);
    assert_eq!(orders.len(), 2);
    assert_ne!(orders[1].upstream, first);
    harness.deliver(request);
    let next = harness.arrive(arrival("/safe/1"));
    assert_ne!(harness.orders(next)[0].upstream, first);
}
