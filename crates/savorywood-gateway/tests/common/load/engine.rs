//! Model of an engine with continuous batching: each step decodes one token for every request in
//! the batch, and prompts are processed in chunks within the steps.

use savorywood_gateway::{LocalRequest, PaceReading, PaceReport, ReportedLoad, UpstreamLabel};
use savorywood_protocol::MonotonicTime;
use std::{collections::VecDeque, time::Duration};

/// Milliseconds of a step with an empty batch.
const BASE_STEP_MS: f64 = 2.8;
/// Additional milliseconds of a step for each request in the batch.
const STEP_MS_PER_REQUEST: f64 = 0.015;
/// Prompt tokens processed per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 85.0;
/// Most prompt tokens processed in one step.
const MAX_PREFILL_CHUNK: u32 = 2_048;
/// Tokens that are sent together in one event.
const EVENT_TOKENS: u32 = 7;

/// A request at an engine, queued or in the batch.
#[derive(Debug, Clone)]
pub struct EngineRun {
    pub daemon: usize,
    pub request: LocalRequest,
    /// Prompt tokens not yet processed.
    pub prefill_left: u32,
    /// Output tokens not yet produced.
    pub tokens_left: u32,
    /// Output tokens produced so far.
    pub tokens: u32,
}

/// An event of a stream.
#[derive(Debug, Clone, Copy)]
pub struct EngineOutput {
    pub daemon: usize,
    pub request: LocalRequest,
    pub is_first: bool,
    /// Output tokens not yet produced; 0 in the last event.
    pub tokens_left: u32,
}

/// An engine with a fixed number of slots and a queue.
pub struct EngineModel {
    pub name: UpstreamLabel,
    /// Factor on the time of each step.
    pub slowdown: f64,
    /// Pace in percent at the moment: a further factor on the time of each step.
    pub pace: u16,
    /// Pace that the engine reports; `None` for the true one.
    pub reported_pace: Option<u16>,
    /// Whether the engine has stopped and sends nothing more.
    pub stalled: bool,
    /// Time until which the engine sends nothing; it continues afterwards.
    pub silent_until: Option<MonotonicTime>,
    /// Requests that may be queued beyond the slots; more are turned away. `None` sets no limit.
    pub max_queue: Option<usize>,
    /// Milliseconds of a step with an empty batch.
    pub base_step_ms: f64,
    /// Prompt tokens processed per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Tokens that are sent together in one event.
    pub event_tokens: u32,
    slots: usize,
    queue: VecDeque<EngineRun>,
    batch: Vec<EngineRun>,
    step_ends_at: Option<MonotonicTime>,
}

impl EngineModel {
    pub fn new(name: &str, slowdown: f64, slots: u32) -> Self {
        Self {
            name: UpstreamLabel::from(name),
            slowdown,
            pace: 100,
            reported_pace: None,
            stalled: false,
            silent_until: None,
            max_queue: None,
            base_step_ms: BASE_STEP_MS,
            prefill_tokens_per_ms: PREFILL_TOKENS_PER_MS,
            event_tokens: EVENT_TOKENS,
            slots: slots as usize,
            queue: VecDeque::new(),
            batch: Vec::new(),
            step_ends_at: None,
        }
    }

    /// Returns whether no slot is free for another request.
    pub fn is_full(&self) -> bool {
        self.batch.len() + self.queue.len() >= self.slots
    }

    /// Returns whether the engine turns another request away. A silent engine sends no response.
    pub fn turns_away(&self, now: MonotonicTime) -> bool {
        let open = self.batch.len() + self.queue.len();
        let is_silent = self.silent_until.is_some_and(|until| now < until);
        let max_queue = self.max_queue.filter(|_| !is_silent && !self.stalled);
        max_queue.is_some_and(|max_queue| open >= self.slots + max_queue)
    }

    pub fn enqueue(&mut self, run: EngineRun) {
        self.queue.push_back(run);
    }

    /// Removes a request from queue and batch.
    pub fn cancel(&mut self, daemon: usize, request: LocalRequest) {
        let is_other = |run: &EngineRun| run.daemon != daemon || run.request != request;
        self.batch.retain(is_other);
        self.queue.retain(is_other);
    }

    /// Returns the load as reported in a response.
    pub fn reported_load(&self) -> ReportedLoad {
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        let percent = self.reported_pace.unwrap_or(self.pace);
        let reading = PaceReading::from_percent(percent);
        ReportedLoad {
            running: count(self.batch.len()),
            waiting: count(self.queue.len()),
            slots: count(self.slots),
            pace: reading.map_or(PaceReport::Invalid, PaceReport::Reading),
        }
    }

    /// Runs the steps that end up to now.
    pub fn advance(&mut self, now: MonotonicTime, outputs: &mut Vec<EngineOutput>) {
        if self.stalled {
            return;
        }
        if let Some(until) = self.silent_until {
            if now < until {
                return;
            }
            self.silent_until = None;
            self.step_ends_at = None;
        }
        while let Some(end) = self.step_end(now) {
            if end > now {
                return;
            }
            self.finish_step(outputs);
            self.step_ends_at = None;
            self.begin_step(end);
        }
    }

    fn step_end(&mut self, now: MonotonicTime) -> Option<MonotonicTime> {
        if self.step_ends_at.is_none() {
            self.begin_step(now);
        }
        self.step_ends_at
    }

    fn begin_step(&mut self, at: MonotonicTime) {
        while self.batch.len() < self.slots
            && let Some(run) = self.queue.pop_front()
        {
            self.batch.push(run);
        }
        if self.batch.is_empty() {
            return;
        }
        let prefill_left: u32 = self
            .batch
            .iter()
            .map(|run| run.prefill_left.min(MAX_PREFILL_CHUNK))
            .sum();
        let prefilled = f64::from(prefill_left.min(MAX_PREFILL_CHUNK)) / self.prefill_tokens_per_ms;
        let millis = self.slowdown * f64::from(self.pace) / 100.0
            * (self.base_step_ms + STEP_MS_PER_REQUEST * self.batch.len() as f64 + prefilled);
        self.step_ends_at = Some(at + Duration::from_secs_f64(millis / 1e3));
    }

    fn finish_step(&mut self, outputs: &mut Vec<EngineOutput>) {
        let mut chunk_left = MAX_PREFILL_CHUNK;
        for run in &mut self.batch {
            let prefilled = run.prefill_left.min(chunk_left);
            chunk_left -= prefilled;
            run.prefill_left -= prefilled;
            if run.prefill_left > 0 {
                continue;
            }
            run.tokens += 1;
            run.tokens_left -= 1;
            let completes_event = run.tokens % self.event_tokens == 1 || run.tokens_left == 0;
            if completes_event {
                outputs.push(EngineOutput {
                    daemon: run.daemon,
                    request: run.request,
                    is_first: run.tokens == 1,
                    tokens_left: run.tokens_left,
                });
            }
        }
        self.batch.retain(|run| run.tokens_left > 0);
    }
}
