//! The end of each request, and the slots that it occupies, under random sequences of silences,
//! faults and changes of upstreams and configuration.

#[path = "common/harness.rs"]
mod harness;

use harness::{GatewayHarness, arrival, config, upstream};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use savorywood_gateway::{
    AttemptOutcome, ContentDigest, DeclaredConfig, GatewayEffect, GatewayEvent, LocalRequest,
    RequestArrival, ResponseMetadata, StreamInterruption, UpstreamEntry,
};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, sync::Arc, time::Duration};

const UPSTREAMS: u16 = 3;
const SLOTS: u32 = 2;
const TICK: Duration = Duration::from_millis(10);
/// Time from an arrival until its request must have ended.
const DEADLINE: Duration = Duration::from_secs(8);
/// Time before the deadline at which a response may be given up.
const DEADLINE_MARGIN: Duration = Duration::from_millis(25);
/// Attempts that upstreams may execute, by the routes of the harness.
const MAX_EXECUTIONS: u32 = 2;

/// A random event; numbers select the request, the upstream or the outcome.
#[derive(Debug, Clone)]
enum RandomStep {
    Arrive(u8),
    Start(u8),
    Progress(u8),
    End(u8, u8),
    Leave(u8),
    /// Time passes; cancelled attempts end meanwhile.
    Wait(u8),
    /// Time passes during which cancelled attempts write to their callers.
    WaitWriting(u8),
    Remove(u8),
    Register(u8, u8),
    Drain(u8),
    Configure,
}

impl Arbitrary for RandomStep {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 16 {
            0..=3 => Self::Arrive(u8::arbitrary(g)),
            4..=5 => Self::Start(u8::arbitrary(g)),
            6 => Self::Progress(u8::arbitrary(g)),
            7..=8 => Self::End(u8::arbitrary(g), u8::arbitrary(g)),
            9 => Self::Leave(u8::arbitrary(g)),
            10..=11 => Self::Wait(u8::arbitrary(g)),
            12 => Self::WaitWriting(u8::arbitrary(g)),
            13 => Self::Remove(u8::arbitrary(g)),
            14 => Self::Register(u8::arbitrary(g), u8::arbitrary(g)),
            _ if bool::arbitrary(g) => Self::Drain(u8::arbitrary(g)),
            _ => Self::Configure,
        }
    }
}

/// State of a request as visible from outside the gateway.
#[derive(Debug, Clone)]
struct ObservedRequest {
    arrived_at: MonotonicTime,
    is_stream: bool,
    running: bool,
    /// The attempt in progress is being cancelled.
    cancelled: bool,
    /// The attempt in progress has sent a part of the response.
    attempt_begun: bool,
    response_begun: bool,
    executions: u32,
    ended: bool,
}

struct HeldSlotRun {
    harness: GatewayHarness,
    observed: BTreeMap<LocalRequest, ObservedRequest>,
    checked: usize,
    version: u64,
}

impl HeldSlotRun {
    fn new() -> Self {
        let mut harness = GatewayHarness::ready(0);
        let entries = (1..=UPSTREAMS).map(|number| upstream(number, SLOTS));
        harness.step(GatewayEvent::UpstreamsRead(entries.collect()));
        Self {
            harness,
            observed: BTreeMap::new(),
            checked: 0,
            version: 1,
        }
    }

    fn running(&self, which: u8) -> Option<LocalRequest> {
        let observed = self.observed.iter();
        let running: Vec<LocalRequest> = observed
            .filter(|(_, request)| request.running)
            .map(|(number, _)| *number)
            .collect();
        running
            .get(usize::from(which) % running.len().max(1))
            .copied()
    }

    fn open(&self) -> Vec<LocalRequest> {
        let observed = self.observed.iter();
        let open = observed.filter(|(_, request)| !request.ended);
        open.map(|(number, _)| *number).collect()
    }

    fn state(&mut self, request: LocalRequest) -> &mut ObservedRequest {
        self.observed.get_mut(&request).expect("a known request")
    }

    fn apply(&mut self, step: &RandomStep) -> Result<(), String> {
        match *step {
            RandomStep::Arrive(kind) => self.arrive(kind),
            RandomStep::Start(which) => {
                if let Some(request) = self.running(which) {
                    self.start(request);
                }
            }
            RandomStep::Progress(which) => {
                let request = self.running(which);
                if let Some(request) = request.filter(|request| self.state(*request).attempt_begun)
                {
                    self.state(request).cancelled = false;
                    let event = GatewayEvent::ResponseProgressed { request, events: 1 };
                    self.harness.step(event);
                }
            }
            RandomStep::End(which, how) => {
                if let Some(request) = self.running(which) {
                    self.end(request, how);
                }
            }
            RandomStep::Leave(which) => {
                let open = self.open();
                if let Some(request) = open.get(usize::from(which) % open.len().max(1)) {
                    let state = self.state(*request);
                    (state.ended, state.running, state.cancelled) = (true, false, false);
                    self.harness
                        .step(GatewayEvent::CallerDisconnected(*request));
                }
            }
            RandomStep::Wait(ticks) => return self.wait(u32::from(ticks), true),
            RandomStep::WaitWriting(ticks) => return self.wait(u32::from(ticks), false),
            RandomStep::Remove(which) => {
                let name = entry(which, 1).name;
                self.harness.step(GatewayEvent::UpstreamRemoved(name));
            }
            RandomStep::Register(which, incarnation) => {
                let entry = entry(which, u64::from(incarnation % 3) + 1);
                self.harness.step(GatewayEvent::UpstreamWritten(entry));
            }
            RandomStep::Drain(which) => {
                let entry = UpstreamEntry {
                    draining: true,
                    ..entry(which, 1)
                };
                self.harness.step(GatewayEvent::UpstreamWritten(entry));
            }
            RandomStep::Configure => {
                self.version += 1;
                let declared = if self.version.is_multiple_of(2) {
                    // Without routes, services and keys.
                    DeclaredConfig::new(self.version)
                } else {
                    config(self.version, None)
                };
                self.harness
                    .step(GatewayEvent::ConfigRead(Arc::new(declared)));
            }
        }
        self.check_effects()
    }

    fn arrive(&mut self, kind: u8) {
        let path = ["/stream/1", "/stream/2", "/safe/1", "/once/1"][usize::from(kind) % 4];
        let state = ObservedRequest {
            arrived_at: self.harness.now,
            is_stream: path.starts_with("/stream/"),
            running: false,
            cancelled: false,
            attempt_begun: false,
            response_begun: false,
            executions: 0,
            ended: false,
        };
        self.harness.confirm();
        let number = self.observed.len() as u64 + 1;
        self.observed.insert(LocalRequest(number), state);
        let arrived = self.harness.arrive(RequestArrival {
            content_digest: ContentDigest(number),
            ..arrival(path)
        });
        assert_eq!(arrived, LocalRequest(number));
    }

    fn start(&mut self, request: LocalRequest) {
        let state = self.state(request);
        if !state.is_stream || state.attempt_begun {
            return;
        }
        state.attempt_begun = true;
        state.response_begun = true;
        state.cancelled = false;
        let metadata = ResponseMetadata::default();
        self.harness
            .step(GatewayEvent::ResponseStarted { request, metadata });
    }

    /// Ends the attempt in progress in one of the ways that are possible in its state.
    fn end(&mut self, request: LocalRequest, how: u8) {
        let metadata = ResponseMetadata::default();
        let now = self.harness.now;
        let state = self.state(request);
        let is_due = now >= state.arrived_at + DEADLINE - DEADLINE_MARGIN;
        let outcome = match how % 7 {
            0 if !state.attempt_begun => AttemptOutcome::NotSent,
            1 if !state.attempt_begun => AttemptOutcome::NotRelayed,
            2 if !state.attempt_begun => AttemptOutcome::NotRun {
                misdirected: how.is_multiple_of(2),
                metadata,
            },
            3 if !state.response_begun => AttemptOutcome::Failed { metadata },
            4 if is_due => AttemptOutcome::Expired,
            5 => broken(state, false),
            _ if state.is_stream && !state.attempt_begun => broken(state, false),
            _ => AttemptOutcome::Delivered {
                metadata,
                events: 1,
            },
        };
        self.finish_attempt(request, outcome);
    }

    fn finish_attempt(&mut self, request: LocalRequest, outcome: AttemptOutcome) {
        let state = self.state(request);
        (state.running, state.cancelled, state.attempt_begun) = (false, false, false);
        let was_executed = !matches!(
            outcome,
            AttemptOutcome::NotSent | AttemptOutcome::NotRelayed | AttemptOutcome::NotRun { .. }
        );
        state.executions += u32::from(was_executed);
        state.ended |= matches!(outcome, AttemptOutcome::Delivered { .. });
        self.harness.end(request, outcome);
    }

    fn wait(&mut self, ticks: u32, ends_cancelled: bool) -> Result<(), String> {
        for _ in 0..ticks {
            self.harness.advance(TICK);
            self.check_effects()?;
            self.check_running()?;
            for request in self.open() {
                let now = self.harness.now;
                let state = self.state(request);
                let outcome = if now >= state.arrived_at + DEADLINE - DEADLINE_MARGIN {
                    AttemptOutcome::Expired
                } else {
                    broken(state, true)
                };
                let ends = matches!(outcome, AttemptOutcome::Expired)
                    || (state.cancelled && ends_cancelled);
                if state.running && ends {
                    self.finish_attempt(request, outcome);
                    self.check_effects()?;
                }
            }
        }
        Ok(())
    }

    /// Checks that each occupied slot belongs to an attempt in progress or is held for one that is
    /// being cancelled.
    fn check_running(&self) -> Result<(), String> {
        let occupied: u32 = self.harness.gateway.fleet().iter().map(|s| s.running).sum();
        let observed = self.observed.values();
        let (running, cancelled) = observed.fold((0, 0), |(running, cancelled), request| {
            (
                running + u32::from(request.running),
                cancelled + u32::from(request.running && request.cancelled),
            )
        });
        if occupied != running + cancelled {
            return Err(format!(
                "{occupied} slots occupied: {running} attempts, {cancelled} being cancelled"
            ));
        }
        let open = self.open().len();
        let records = self.harness.gateway.open_requests();
        if open != records {
            return Err(format!("{open} open requests, {records} records"));
        }
        Ok(())
    }

    fn check_effects(&mut self) -> Result<(), String> {
        let effects = self.harness.effects.split_off(self.checked);
        let result = effects.iter().try_for_each(|effect| self.check(effect));
        self.harness.effects = effects;
        self.harness.effects.clear();
        self.checked = 0;
        result
    }

    fn check(&mut self, effect: &GatewayEffect) -> Result<(), String> {
        let now = self.harness.now;
        match effect {
            GatewayEffect::Dispatch(order) => {
                let state = self.state(order.request);
                if state.ended || state.running || state.executions >= MAX_EXECUTIONS {
                    return Err(format!("{order:?} in {state:?}"));
                }
                state.running = true;
            }
            GatewayEffect::AbandonAttempt { request } => {
                let state = self.state(*request);
                if !state.running || state.cancelled {
                    return Err(format!("{effect:?} in {state:?}"));
                }
                state.cancelled = true;
            }
            GatewayEffect::Refuse { request, .. } | GatewayEffect::ForwardFailure { request } => {
                let state = self.state(*request);
                if state.ended || state.response_begun {
                    return Err(format!("{effect:?} in {state:?}"));
                }
                state.ended = true;
            }
            GatewayEffect::AbortResponse { request, .. } => {
                let state = self.state(*request);
                let is_due = now >= state.arrived_at + DEADLINE - DEADLINE_MARGIN;
                let allowed = is_due || state.executions >= MAX_EXECUTIONS;
                if state.ended || !state.response_begun || !allowed {
                    return Err(format!("{effect:?} at {now:?} in {state:?}"));
                }
                state.ended = true;
            }
            _ => {}
        }
        Ok(())
    }
}

fn broken(state: &ObservedRequest, stalled: bool) -> AttemptOutcome {
    if state.response_begun {
        AttemptOutcome::StreamBroken(StreamInterruption { events: 1, stalled })
    } else {
        AttemptOutcome::Broken { stalled }
    }
}

fn entry(which: u8, incarnation: u64) -> UpstreamEntry {
    UpstreamEntry {
        incarnation,
        ..upstream(u16::from(which) % UPSTREAMS + 1, SLOTS)
    }
}

fn check_steps(steps: &[RandomStep]) -> Result<(), String> {
    let mut run = HeldSlotRun::new();
    for step in steps {
        run.apply(step)?;
    }
    // Past each deadline, nothing is open and no slot is held.
    let ticks = (DEADLINE.as_millis() / TICK.as_millis()) as u32 + 1;
    run.wait(ticks, true)?;
    run.check_running()?;
    let open = run.open();
    if !open.is_empty() {
        return Err(format!("open after their deadlines: {open:?}"));
    }
    Ok(())
}

/// Guards against slots that stay held, requests without an end, and streams that are cut before
/// their deadline while they may be executed once more.
#[test]
fn each_request_ends_and_gives_its_slots_back() {
    let property = |steps: Vec<RandomStep>| match check_steps(&steps) {
        Ok(()) => true,
        Err(violation) => panic!("{violation}"),
    };
    QuickCheck::new()
        .rng(Gen::new(150))
        .tests(300)
        .quickcheck(property as fn(Vec<RandomStep>) -> bool);
}
