//! Callers: they send, repeat with the same key, go away and ask for the rest of a stream.

use crate::{
    ledger::{CallKind, CallRecord, CallStage, WorldRule},
    node::{resume_key, wall_time},
    resources::{CHARGE_SERVICE, MODEL_SERVICE, TEAMS, TIERS, token_of},
    sabotage::WorldSabotage,
    world::{Pending, World},
};
use rand::Rng;
use savorywood_core::{
    CallerEvent, DaemonEvent, PromptShape, RequestArrival, ResumeArrival, StoredResponse,
    effect::ResumeCommand,
};
use savorywood_protocol::{AttemptNumber, RequestId, resume_token::ResumeToken};
use std::time::Duration;
use uuid::Uuid;

/// Requests of a burst come within this time, in microseconds.
const BURST_MICROS: u64 = 200_000;
/// Deadlines that callers give, in milliseconds.
const DEADLINE_MILLIS: std::ops::Range<u64> = 800..15_000;
/// Sizes of prompts, in tokens.
const PROMPT_TOKENS: std::ops::Range<u32> = 16..4_000;
/// The rest of a stream comes after this time.
const REST_MICROS: u64 = 300_000;

/// What a caller wants.
#[derive(Debug, Clone)]
struct NewCall {
    kind: CallKind,
    team: usize,
    tier: usize,
    /// Idempotency key of a charge; for the rest of a stream, the stream that may be given.
    key: String,
}

impl NewCall {
    fn charge(team: usize, key: String) -> Self {
        Self {
            kind: CallKind::Charge,
            team,
            tier: 0,
            key,
        }
    }
}

impl World {
    pub(crate) fn burst(&mut self, node: usize, count: u64, tier: usize) {
        for _ in 0..count {
            let team = self.rng.random_range(0..TEAMS.len());
            let delay = self.rng.random_range(0..BURST_MICROS);
            let call = NewCall {
                kind: CallKind::Model,
                team,
                tier,
                key: String::new(),
            };
            self.send(node, call, delay);
        }
    }

    pub(crate) fn charge(&mut self, node: usize) {
        let team = self.rng.random_range(0..TEAMS.len());
        let number = self.next_request | 0x8000_0000_0000_0000;
        let wall = wall_time(self.now, 0);
        let key = Uuid::from_u128(u128::from(wall.0) << 80 | 7 << 76 | number);
        self.send(node, NewCall::charge(team, key.to_string()), 0);
    }

    pub(crate) fn repeat(&mut self, node: usize) {
        let Some(first) = self.pick_call(|call| call.kind == CallKind::Charge) else {
            return;
        };
        let call = self.ledger.calls[&first].clone();
        self.send(node, NewCall::charge(call.team, call.key), 0);
    }

    fn send(&mut self, node: usize, call: NewCall, delay: u64) {
        let NewCall {
            kind,
            team,
            tier,
            key,
        } = call.clone();
        let is_charge = kind == CallKind::Charge;
        let deadline = Duration::from_millis(self.rng.random_range(DEADLINE_MILLIS));
        let request = self.note(node, call);
        let arrival = RequestArrival {
            request,
            token: Some(token_of(team)),
            service: if is_charge {
                CHARGE_SERVICE
            } else {
                MODEL_SERVICE
            }
            .to_owned(),
            method: "POST".to_owned(),
            path: if is_charge {
                "/charge"
            } else {
                "/v1/completions"
            }
            .to_owned(),
            tier: Some(TIERS[tier].to_owned()),
            deadline: Some(deadline),
            idempotency_key: is_charge.then_some(key),
            fingerprint: [7; 32],
            prompt: PromptShape {
                tokens: self.rng.random_range(PROMPT_TOKENS),
                prefix_hashes: vec![self.rng.random_range(0..4)],
                max_output_tokens: None,
            },
        };
        let event = DaemonEvent::Caller(CallerEvent::Arrived(Box::new(arrival)));
        let to = self.nodes[node].at;
        if self.sabotage == Some(WorldSabotage::RepeatArrival) {
            let event = event.clone();
            self.later(delay + 10_000, Pending::Deliver { to, event });
        }
        self.later(delay, Pending::Deliver { to, event });
    }

    fn note(&mut self, node: usize, call: NewCall) -> RequestId {
        self.next_request += 1;
        let request = RequestId(self.next_request);
        let call = CallRecord {
            at: self.nodes[node].at,
            kind: call.kind,
            team: call.team,
            tier: call.tier,
            key: call.key,
            stage: CallStage::Coming,
            answered: false,
            over: false,
            cancelled: false,
            left: false,
            told_not_run: false,
            ran_on: Vec::new(),
        };
        self.ledger.calls.insert(request, call);
        request
    }

    pub(crate) fn leave(&mut self) {
        let Some(request) = self.pick_call(CallRecord::is_open) else {
            return;
        };
        let Some(call) = self.ledger.calls.get_mut(&request) else {
            return;
        };
        call.left = true;
        let to = call.at;
        let event = DaemonEvent::Caller(CallerEvent::Disconnected { request });
        self.later(0, Pending::Deliver { to, event });
    }

    /// A caller whose stream broke asks another daemon; now and then, one of another team does.
    pub(crate) fn resume(&mut self, node: usize) {
        let ran = |call: &CallRecord| call.kind == CallKind::Model && !call.ran_on.is_empty();
        let Some(first) = self.pick_call(ran) else {
            return;
        };
        let call = self.ledger.calls[&first].clone();
        let stream = format!("{first}.0");
        let token = ResumeToken {
            upstream: call.ran_on[0].clone(),
            stream: stream.clone(),
            service: MODEL_SERVICE.parse().unwrap(),
            team: TEAMS[call.team].parse().unwrap(),
            attempt: AttemptNumber(0),
            issued_at: wall_time(self.now, 0),
        };
        let foreign = self.rng.random_bool(0.2);
        let team = if foreign { 1 - call.team } else { call.team };
        let allowed = if foreign { String::new() } else { stream };
        let request = self.note(
            node,
            NewCall {
                kind: CallKind::Resume,
                team,
                tier: call.tier,
                key: allowed,
            },
        );
        let arrival = ResumeArrival {
            request,
            token: Some(token_of(team)),
            resume_token: token.sign(&resume_key()).unwrap(),
            offset: 10,
        };
        let event = DaemonEvent::Caller(CallerEvent::Resumed(Box::new(arrival)));
        let to = self.nodes[node].at;
        self.later(0, Pending::Deliver { to, event });
    }

    pub(crate) fn resume_stream(&mut self, node: usize, order: &ResumeCommand) {
        let request = order.request;
        let allowed = self.ledger.calls.get(&request).map(|call| call.key.clone());
        if allowed.as_deref() != Some(order.stream.as_str()) {
            let detail = format!("{request} gets {} in place of {allowed:?}", order.stream);
            self.ledger.breach(WorldRule::OwnAnswer, detail);
        }
        let to = self.nodes[node].at;
        self.later(REST_MICROS, Pending::Resumed { to, request });
    }

    pub(crate) fn replay(&mut self, request: RequestId, mut answer: StoredResponse) {
        if self.sabotage == Some(WorldSabotage::SwapReplays) {
            answer.body = Some(b"another key".to_vec());
        }
        self.ledger.replay(request, &answer);
    }
}
