//! Upstreams, and the part of a daemon's shell that talks to them.

use crate::{
    ledger::{CallKind, CallStage, NodeLife, WorldRule},
    node::ShellAttempt,
    sabotage::WorldSabotage,
    world::{IN_FORCE_MICROS, Pending, World},
};
use rand::Rng;
use savorywood_core::{
    DaemonEvent, DispatchCommand, FailureCause, ResponseReport, StoredResponse, UpstreamEvent,
};
use savorywood_protocol::{AttemptNumber, RequestId};

/// Time until a connection is made or refused, in microseconds.
const CONNECT_MICROS: std::ops::Range<u64> = 300..5_000;
/// Time until the first token.
const FIRST_MICROS: std::ops::Range<u64> = 20_000..400_000;
/// Time between two reports of tokens.
const TOKENS_MICROS: std::ops::Range<u64> = 20_000..200_000;
/// Reports of tokens in an answer at most.
const MAX_PIECES: u64 = 12;
/// A slow upstream takes so many times as long.
const SLOW_FACTOR: u64 = 8;
/// The shell gives an answer up that stalls for this long.
const STALL_MICROS: u64 = 5_000_000;
/// A cancelled attempt ends after this long.
const CANCEL_MICROS: u64 = 800;

/// How an attempt goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptFate {
    Whole,
    ServerError,
    NotSent,
    Breaks,
    Stalls,
}

impl World {
    pub(crate) fn dispatch(&mut self, node: usize, order: DispatchCommand) {
        let to = self.nodes[node].at;
        self.check_leaving(node, &order);
        let request = order.request;
        if let Some(call) = self.ledger.calls.get_mut(&request) {
            let running = matches!(call.stage, CallStage::Running(_));
            call.stage = CallStage::Running(order.attempt);
            if running || call.answered {
                let detail = format!("{request} is dispatched while it runs or after its answer");
                self.ledger.breach(WorldRule::RunsOnce, detail);
            }
        }
        let fate = self.draw_fate(&order);
        let attempt = ShellAttempt {
            attempt: order.attempt,
            not_sent: fate == AttemptFate::NotSent,
        };
        self.nodes[node].running.insert(request, attempt);
        self.play(to, &order, fate);
        self.sabotage_attempt(to, &order);
    }

    fn draw_fate(&mut self, order: &DispatchCommand) -> AttemptFate {
        let down = self.windows.down.get(&order.upstream);
        if down.is_some_and(|until| *until > self.now) {
            return AttemptFate::NotSent;
        }
        match self.rng.random_range(0..100) {
            0..3 => AttemptFate::NotSent,
            3..6 => AttemptFate::Breaks,
            6 => AttemptFate::Stalls,
            7 => AttemptFate::ServerError,
            _ => AttemptFate::Whole,
        }
    }

    fn play(&mut self, to: NodeLife, order: &DispatchCommand, fate: AttemptFate) {
        let (request, attempt) = (order.request, order.attempt);
        let mut at = self.rng.random_range(CONNECT_MICROS);
        if fate == AttemptFate::NotSent {
            let event = UpstreamEvent::NotSent { request, attempt };
            return self.later(at, Pending::Heard { to, event });
        }
        let upstream = order.upstream.clone();
        self.later(at, Pending::Run { request, upstream });
        let slow = self.windows.slow.get(&order.upstream);
        let slow = slow.is_some_and(|until| *until > self.now);
        let factor = if slow { SLOW_FACTOR } else { 1 };
        let whole = self.rng.random_range(1..MAX_PIECES);
        let pieces = match fate {
            AttemptFate::Whole => whole,
            AttemptFate::ServerError | AttemptFate::NotSent => 0,
            AttemptFate::Breaks | AttemptFate::Stalls => self.rng.random_range(0..whole),
        };
        at += self.rng.random_range(FIRST_MICROS) * factor;
        for piece in 0..pieces {
            let event = match piece {
                0 => UpstreamEvent::FirstToken { request, attempt },
                _ => UpstreamEvent::Tokens {
                    request,
                    attempt,
                    count: 4,
                },
            };
            self.later(at, Pending::Heard { to, event });
            at += self.rng.random_range(TOKENS_MICROS) * factor;
        }
        if fate == AttemptFate::Stalls {
            at += STALL_MICROS;
        }
        let event = end_event(request, attempt, fate, pieces);
        self.later(at, Pending::Heard { to, event });
    }

    /// The shell hears from an upstream. Only the attempt that it runs counts; the core is now
    /// and then told of others too, late or twice.
    pub(crate) fn hear(&mut self, to: NodeLife, event: UpstreamEvent) {
        if !self.is_alive(to) {
            return;
        }
        let paused_until = self.nodes[to.node].paused_until;
        if paused_until > self.now {
            return self.later(paused_until - self.now, Pending::Heard { to, event });
        }
        let Some((request, attempt)) = attempt_of(&event) else {
            return;
        };
        let running = self.nodes[to.node].running.get(&request);
        let current = running.is_some_and(|running| running.attempt == attempt);
        if !current {
            if self.rng.random_bool(0.3) {
                self.step(to.node, DaemonEvent::Upstream(event));
            }
            return;
        }
        if self.rng.random_bool(0.02) {
            let delay = self.rng.random_range(0..3_000_000);
            let event = event.clone();
            self.later(delay, Pending::Heard { to, event });
        }
        self.settle(to, request, &event);
        self.step(to.node, DaemonEvent::Upstream(event));
    }

    /// What the shell does for the caller before the core hears of it.
    fn settle(&mut self, to: NodeLife, request: RequestId, event: &UpstreamEvent) {
        match event {
            UpstreamEvent::NotSent { .. } => {
                self.nodes[to.node].running.remove(&request);
                if let Some(call) = self.ledger.calls.get_mut(&request) {
                    call.stage = CallStage::Waiting;
                }
            }
            UpstreamEvent::Finished { .. } => {
                self.nodes[to.node].running.remove(&request);
                if self.sabotage == Some(WorldSabotage::LoseEnds) && self.rng.random_bool(0.1) {
                    return;
                }
                self.keep_answer(to, request);
                self.ledger.attempt_ended(request, None);
                if self.sabotage == Some(WorldSabotage::AnswerTwice) {
                    self.ledger.answer(request);
                }
            }
            UpstreamEvent::Failed { cause, .. } => {
                self.nodes[to.node].running.remove(&request);
                self.ledger.attempt_ended(request, Some(*cause));
            }
            _ => {}
        }
    }

    /// The answer to a call that may not be repeated names its key, so that a wrong one shows.
    fn keep_answer(&mut self, to: NodeLife, request: RequestId) {
        let Some(call) = self.ledger.calls.get(&request) else {
            return;
        };
        if call.kind != CallKind::Charge {
            return;
        }
        let response = Box::new(StoredResponse {
            status: 201,
            content_type: "text/plain".to_owned(),
            body: Some(call.key.clone().into_bytes()),
        });
        self.step(to.node, DaemonEvent::ResponseCaptured { request, response });
    }

    pub(crate) fn cancel(&mut self, node: usize, request: RequestId, attempt: AttemptNumber) {
        let place = &self.nodes[node];
        let to = place.at;
        let Some(running) = place.running.get(&request).copied() else {
            return;
        };
        if running.attempt != attempt {
            return;
        }
        let Some(call) = self.ledger.calls.get_mut(&request) else {
            return;
        };
        call.cancelled = true;
        call.answered = true;
        // The connection may fail at the same moment; then the shell hears of that first.
        let overtaken = running.not_sent && self.rng.random_bool(0.5);
        if call.kind == CallKind::Model && !overtaken {
            let cause = FailureCause::Cancelled;
            let event = UpstreamEvent::Failed {
                request,
                attempt,
                cause,
            };
            self.later(CANCEL_MICROS, Pending::Heard { to, event });
        }
    }

    /// An upstream that was taken out gets nothing new once the daemons can know it.
    fn check_leaving(&mut self, node: usize, order: &DispatchCommand) {
        let Some(accepted) = self.operators.drained_at.get(&order.upstream) else {
            return;
        };
        let known = self.nodes[node].disturbed_until.max(*accepted);
        self.figures.stalest = self.figures.stalest.max(self.now - accepted);
        if self.now > known + IN_FORCE_MICROS {
            let late = (self.now - accepted) / 1_000;
            let detail = format!("{} at {} after {late} ms", order.request, order.upstream);
            self.ledger.breach(WorldRule::LeavingGetsNothing, detail);
        }
    }

    fn sabotage_attempt(&mut self, to: NodeLife, order: &DispatchCommand) {
        let (request, attempt) = (order.request, order.attempt);
        match self.sabotage {
            Some(WorldSabotage::SendTwice) if self.rng.random_bool(0.1) => {
                let upstream = order.upstream.clone();
                self.later(1_000, Pending::Run { request, upstream });
            }
            Some(WorldSabotage::RunThenNotSent) if self.rng.random_bool(0.3) => {
                let event = UpstreamEvent::NotSent { request, attempt };
                self.later(6_000, Pending::Heard { to, event });
            }
            _ => {}
        }
    }
}

fn end_event(
    request: RequestId,
    attempt: AttemptNumber,
    fate: AttemptFate,
    pieces: u64,
) -> UpstreamEvent {
    let broken = |cause| UpstreamEvent::Failed {
        request,
        attempt,
        cause,
    };
    match fate {
        AttemptFate::Breaks if pieces == 0 => broken(FailureCause::Connection),
        AttemptFate::Breaks => broken(FailureCause::Truncated),
        AttemptFate::Stalls => broken(FailureCause::Stalled),
        AttemptFate::ServerError => broken(FailureCause::UpstreamError),
        AttemptFate::Whole | AttemptFate::NotSent => UpstreamEvent::Finished {
            request,
            attempt,
            report: ResponseReport {
                status: 200,
                prompt_tokens: 256,
                cached_tokens: 0,
                output_tokens: pieces as u32 * 4,
            },
        },
    }
}

fn attempt_of(event: &UpstreamEvent) -> Option<(RequestId, AttemptNumber)> {
    match event {
        UpstreamEvent::NotSent { request, attempt }
        | UpstreamEvent::FirstToken { request, attempt }
        | UpstreamEvent::Tokens {
            request, attempt, ..
        }
        | UpstreamEvent::Finished {
            request, attempt, ..
        }
        | UpstreamEvent::Failed {
            request, attempt, ..
        } => Some((*request, *attempt)),
        UpstreamEvent::LoadReported { .. } | UpstreamEvent::CacheChanged { .. } => None,
    }
}
