//! Engines: steps, signals, and what daemons hear of them.

use super::{NETWORK_TIME, RunControl, RunWorld};
use crate::{
    agenda::{WorldEvent, micros},
    engine::{EngineSignal, SequenceEnd, SequenceKey},
    task::{TaskState, request_id},
};
use savorywood_core::{ResponseReport, UpstreamEvent};
use savorywood_protocol::{AttemptNumber, RequestId};

/// Tokens after which a daemon is told of progress.
const TOKENS_PER_EVENT: u32 = 8;

impl RunWorld {
    fn is_current(&self, key: SequenceKey) -> bool {
        let record = &self.tasks[key.task];
        let attempt = key.attempt;
        let sent = matches!(record.state, TaskState::Sent { attempt: now, .. } if now == attempt);
        record.entry == key.entry && sent
    }

    pub(super) fn reach(&mut self, now: f64, engine: usize, key: SequenceKey) {
        // Cancelled on its way.
        if !self.is_current(key) {
            return;
        }
        let shape = self.tasks[key.task].task.shape;
        self.engines[engine].push(now, key, shape);
        self.begin_step(now, engine);
    }

    fn begin_step(&mut self, now: f64, engine: usize) {
        if self.engines[engine].busy {
            return;
        }
        for key in self.engines[engine].admit() {
            self.note_miss(engine, key);
        }
        if self.engines[engine].running.is_empty() {
            return;
        }
        let cool = self.engines[engine].begin_step();
        let begin = self.scenario.stalled_until(engine, now).unwrap_or(now);
        let end = begin + cool * self.scenario.slowdown(engine, now);
        self.engines[engine].busy = true;
        self.agenda.add(end, WorldEvent::StepEnd { engine });
    }

    /// Notes the prefill of a prefix that another engine holds.
    fn note_miss(&mut self, engine: usize, key: SequenceKey) {
        let shape = self.tasks[key.task].task.shape;
        let hit = self.engines[engine].cache.holds(&shape);
        let mut others = self.engines.iter();
        let elsewhere = others.any(|other| other.cache.holds(&shape));
        let mut running = self.engines[engine].running.iter_mut();
        if let Some(sequence) = running.find(|sequence| sequence.key == key)
            && !hit
            && elsewhere
        {
            sequence.missed = shape.shared;
        }
    }

    pub(super) fn step_end(&mut self, now: f64, engine: usize) {
        // A stall that begins during a step holds it up.
        if let Some(until) = self.scenario.stalled_until(engine, now) {
            self.agenda.add(until, WorldEvent::StepEnd { engine });
            return;
        }
        self.engines[engine].busy = false;
        for signal in self.engines[engine].end_step(now) {
            match signal {
                EngineSignal::First(key) => self.first_token(now, key),
                EngineSignal::Token(key, gap) => self.token(now, engine, key, gap),
                EngineSignal::Done(key) => self.done(now, engine, key),
            }
        }
        self.begin_step(now, engine);
        self.serve_central(now);
    }

    fn first_token(&mut self, now: f64, key: SequenceKey) {
        let record = &mut self.tasks[key.task];
        record.first_at = Some(now);
        if record.counted {
            let micros = micros(now - record.arrived_at);
            self.tally.first_token.saturating_record(micros.max(1));
            let inside = crate::agenda::micros(now - record.sent_at);
            self.tally.engine_first.saturating_record(inside.max(1));
        }
        let (request, attempt) = identity(key);
        self.hear(now, key, UpstreamEvent::FirstToken { request, attempt });
    }

    fn token(&mut self, now: f64, engine: usize, key: SequenceKey, gap: f64) {
        if self.tasks[key.task].counted {
            self.tally.token_gap.saturating_record(micros(gap).max(1));
        }
        let mut running = self.engines[engine].running.iter();
        let sequence = running.find(|sequence| sequence.key == key);
        let generated = sequence.map_or(0, |sequence| sequence.generated);
        if (generated - 1) % TOKENS_PER_EVENT == 0 {
            let (request, attempt) = identity(key);
            let event = UpstreamEvent::Tokens {
                request,
                attempt,
                count: TOKENS_PER_EVENT,
            };
            self.hear(now, key, event);
        }
    }

    fn done(&mut self, now: f64, engine: usize, key: SequenceKey) {
        let Some(end) = self.engines[engine].remove(key) else {
            return;
        };
        let whole_at = now + NETWORK_TIME;
        let in_time = whole_at <= self.tasks[key.task].deadline_at;
        self.count_prefill(key, end, in_time);
        let (request, attempt) = identity(key);
        let shape = self.tasks[key.task].task.shape;
        let report = ResponseReport {
            status: 200,
            prompt_tokens: shape.prompt,
            cached_tokens: end.cached,
            output_tokens: end.generated,
        };
        let event = UpstreamEvent::Finished {
            request,
            attempt,
            report,
        };
        self.hear(now, key, event);
        self.release_direct(key, engine);
        if self.is_current(key) {
            self.end_whole(whole_at, key.task);
        }
    }

    pub(super) fn release_direct(&mut self, key: SequenceKey, engine: usize) {
        let daemon = self.tasks[key.task].daemon;
        if let RunControl::Direct(router) = &mut self.control {
            router.release(daemon, engine);
        }
    }

    fn count_prefill(&mut self, key: SequenceKey, end: SequenceEnd, in_time: bool) {
        if !self.tasks[key.task].counted {
            return;
        }
        let prefilled = end.prefilled as f64;
        self.tally.prefill.total += prefilled;
        if in_time {
            self.tally.prefill.miss += f64::from(end.missed);
        } else {
            self.tally.prefill.late += prefilled;
        }
    }

    /// Takes a sequence out of an engine because nobody waits for it.
    pub(super) fn drop_sequence(&mut self, now: f64, engine: usize, key: SequenceKey) {
        if let Some(end) = self.engines[engine].remove(key) {
            self.count_prefill(key, end, false);
        }
        self.release_direct(key, engine);
        self.serve_central(now);
    }

    /// Takes a sequence out whose stream broke.
    pub(super) fn break_sequence(&mut self, engine: usize, key: SequenceKey) {
        if let Some(end) = self.engines[engine].remove(key)
            && self.tasks[key.task].counted
        {
            self.tally.prefill.total += end.prefilled as f64;
            self.tally.prefill.broken += end.prefilled as f64;
        }
        self.release_direct(key, engine);
    }

    pub(super) fn hear(&mut self, now: f64, key: SequenceKey, event: UpstreamEvent) {
        if !matches!(self.control, RunControl::Schedulers(_)) {
            return;
        }
        let daemon = self.tasks[key.task].daemon;
        let heard = WorldEvent::Heard { daemon, event };
        self.agenda.add(now + NETWORK_TIME, heard);
    }
}

pub(super) fn identity(key: SequenceKey) -> (RequestId, AttemptNumber) {
    let request = request_id(key.task, key.entry);
    (request, AttemptNumber(key.attempt))
}
