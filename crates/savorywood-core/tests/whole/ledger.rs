//! What is seen from outside: callers' requests, what ran, and which rules were broken.

use savorywood_core::{FailureCause, StoredResponse};
use savorywood_protocol::{
    AttemptNumber, HostName, OutcomeKind, RefusalCode, RequestId, RequestRefusal, UpstreamName,
};
use std::collections::BTreeMap;
use strum::{Display, EnumIter};

/// A rule that the world checks without asking the daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter)]
pub enum WorldRule {
    /// A request runs at most once, on one upstream.
    RunsOnce,
    /// Who is told "not run" was not run, now or later.
    NotRunIsTrue,
    /// A team's key runs at most once over all daemons and lives.
    KeyRunsOnce,
    /// A caller gets one final answer.
    OneAnswer,
    /// Each request whose daemon lives is answered.
    NoneLost,
    /// A caller gets the answer to its own request.
    OwnAnswer,
    /// Configuration in force never goes back in one life of a daemon.
    ConfigNeverReverts,
    /// Nor does it when the daemon of a host is replaced.
    RestartNeverReverts,
    /// Who is told "accepted" finds the change in the table; who is told "not run" does not.
    AcceptedIsCommitted,
    /// What was accepted is in force everywhere soon after the faults end.
    AcceptedInForce,
    /// An upstream that was taken out gets no new work.
    LeavingGetsNothing,
    /// A planned stop cuts off no request.
    StopCutsNothing,
    /// A planned stop comes to an end.
    StopEnds,
    /// No request is shed for load while one of a lower tier waits at the same daemon.
    ShedLowestFirst,
    /// No invariant inside the program is breached.
    InProgram,
}

/// One broken rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleBreach {
    pub rule: WorldRule,
    pub detail: String,
}

/// Which life of which daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeLife {
    pub node: usize,
    pub life: u64,
}

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallStage {
    /// On its way to the daemon.
    Coming,
    /// At the daemon, not dispatched.
    Waiting,
    /// Being sent or run.
    Running(AttemptNumber),
}

/// What kind of request it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    Model,
    Charge,
    Resume,
}

/// One request as its caller knows it.
#[derive(Debug, Clone)]
pub struct CallRecord {
    pub at: NodeLife,
    pub kind: CallKind,
    pub team: usize,
    pub tier: usize,
    pub key: String,
    pub stage: CallStage,
    pub answered: bool,
    /// The shell's task for it is over: what the core still says of it is not heard.
    pub over: bool,
    pub cancelled: bool,
    pub left: bool,
    pub told_not_run: bool,
    pub ran_on: Vec<UpstreamName>,
}

impl CallRecord {
    /// Somebody waits for the answer.
    pub fn is_open(&self) -> bool {
        !self.left && !self.answered && self.stage != CallStage::Coming
    }
}

/// All requests of a run.
#[derive(Debug, Default)]
pub struct CallLedger {
    pub calls: BTreeMap<RequestId, CallRecord>,
    pub breaches: Vec<RuleBreach>,
    pub whole_answers: u64,
    pub refusals: BTreeMap<RefusalCode, u64>,
}

impl CallLedger {
    pub fn breach(&mut self, rule: WorldRule, detail: impl Into<String>) {
        let detail = detail.into();
        self.breaches.push(RuleBreach { rule, detail });
    }

    /// Notes that an upstream has begun to run a request.
    pub fn ran(&mut self, request: RequestId, upstream: &UpstreamName) {
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        call.ran_on.push(upstream.clone());
        let call = call.clone();
        if call.ran_on.len() > 1 {
            self.breach(
                WorldRule::RunsOnce,
                format!("{request} on {:?}", call.ran_on),
            );
        }
        if call.told_not_run {
            self.breach(WorldRule::NotRunIsTrue, format!("{request} runs after all"));
        }
        if call.kind == CallKind::Charge {
            let same = |other: &&CallRecord| other.key == call.key && other.team == call.team;
            let runs: usize = self
                .calls
                .values()
                .filter(same)
                .map(|c| c.ran_on.len())
                .sum();
            if runs > 1 {
                self.breach(
                    WorldRule::KeyRunsOnce,
                    format!("{} ran {runs} times", call.key),
                );
            }
        }
    }

    /// Gives a caller its final answer.
    pub fn answer(&mut self, request: RequestId) {
        let Some(call) = self.calls.get_mut(&request) else {
            return self.breach(WorldRule::OwnAnswer, format!("{request} was never sent"));
        };
        let twice = call.answered && !call.cancelled && !call.left;
        call.answered = true;
        let call = call.clone();
        if twice {
            self.breach(
                WorldRule::OneAnswer,
                format!("{request} was answered twice: {call:?}"),
            );
        }
    }

    /// A refusal by the core.
    pub fn refuse(&mut self, request: RequestId, refusal: &RequestRefusal) {
        *self.refusals.entry(refusal.code).or_default() += 1;
        self.check_refusal(request, refusal);
        let call = self.calls.get(&request);
        if call.is_none_or(|call| !call.over) {
            self.answer(request);
        }
    }

    fn check_refusal(&mut self, request: RequestId, refusal: &RequestRefusal) {
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        call.told_not_run |= refusal.outcome == OutcomeKind::NotRun;
        let call = call.clone();
        let running = matches!(call.stage, CallStage::Running(_)) && !call.cancelled;
        if running && !call.left {
            let detail = format!("{request} is refused while it runs: {refusal:?}");
            self.breach(WorldRule::OneAnswer, detail);
        }
        let may_run = !call.ran_on.is_empty() || matches!(call.stage, CallStage::Running(_));
        if refusal.outcome == OutcomeKind::NotRun && may_run {
            let detail = format!("{request} at {:?}: {refusal:?}", call.at);
            self.breach(WorldRule::NotRunIsTrue, detail);
        }
        if matches!(
            refusal.code,
            RefusalCode::Overloaded | RefusalCode::TierShed
        ) {
            self.check_order(request, &call, refusal);
        }
    }

    fn check_order(&mut self, request: RequestId, shed: &CallRecord, refusal: &RequestRefusal) {
        let lower = self.calls.iter().find(|(_, other)| {
            other.at == shed.at
                && other.kind == CallKind::Model
                && shed.kind == CallKind::Model
                && other.stage == CallStage::Waiting
                && other.is_open()
                && other.tier > shed.tier
        });
        if let Some((lower, other)) = lower {
            let detail = format!(
                "{request} of tier {} while {lower} of tier {} waits: {}",
                shed.tier, other.tier, refusal.code
            );
            self.breach(WorldRule::ShedLowestFirst, detail);
        }
    }

    /// A recorded answer is given to a repeat.
    pub fn replay(&mut self, request: RequestId, answer: &StoredResponse) {
        let key = self.calls.get(&request).map(|call| call.key.clone());
        let body = answer.body.as_deref();
        if key.as_deref().map(str::as_bytes) != body {
            let body = body.map(String::from_utf8_lossy);
            let detail = format!("{request} with key {key:?} got {body:?}");
            self.breach(WorldRule::OwnAnswer, detail);
        }
        self.answer(request);
    }

    /// An attempt ended; its caller, if there is one, is told.
    pub fn attempt_ended(&mut self, request: RequestId, cause: Option<FailureCause>) {
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        call.stage = CallStage::Waiting;
        if cause.is_none() {
            self.whole_answers += 1;
        }
        let call = call.clone();
        self.answer(request);
        if let Some(ended) = self.calls.get_mut(&request) {
            ended.over = true;
        }
        if call.over {
            self.breach(WorldRule::OneAnswer, format!("{request} ended twice"));
        }
    }

    /// Requests that a daemon's life still owes an answer.
    pub fn open_at(&self, at: NodeLife) -> impl Iterator<Item = (&RequestId, &CallRecord)> {
        let calls = self.calls.iter();
        calls.filter(move |(_, call)| call.at == at && call.is_open())
    }
}

/// Name of a daemon's host.
pub fn host_name(node: usize) -> HostName {
    format!("entry-{node}").parse().unwrap()
}
