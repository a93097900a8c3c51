//! State of an engine: batch, streams, faults, orders and records.

use super::{
    answer::CompletionRequest,
    batch::{BatchAdmission, BatchIteration, BatchModel, SequenceNumber, SequenceRequest},
    events::EventLog,
    faults::{EngineFaults, FaultContext},
    load::LoadHistory,
    options::EngineOptions,
    orders::OrderBook,
};
use crate::{
    body::{BodyState, GrowingBody},
    runs::{RunLedger, RunRecord, RunState},
};
use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

/// Time between two searches for streams that need not be kept any longer.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// One answer under way.
#[derive(Debug)]
struct ActiveJob {
    request: CompletionRequest,
    stream: String,
    body: Arc<GrowingBody>,
    run: u64,
    produced: u32,
}

/// One answer that can be read from any offset.
#[derive(Debug, Clone)]
pub(crate) struct KeptStream {
    pub(crate) number: SequenceNumber,
    pub(crate) body: Arc<GrowingBody>,
    /// Server-sent events, or one JSON text.
    pub(crate) streamed: bool,
}

/// What became of a request at the door.
#[derive(Debug)]
pub(crate) enum SubmitOutcome {
    /// It is in the batch or waits for it.
    Taken(KeptStream),
    /// A fault says that it fails.
    Failed,
    /// It can never fit.
    TooLarge,
    /// No version is loaded.
    Loading,
}

/// Everything that an engine knows.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) batch: BatchModel,
    pub(crate) faults: EngineFaults,
    pub(crate) runs: RunLedger,
    pub(crate) events: EventLog,
    pub(crate) loads: LoadHistory,
    pub(crate) orders: OrderBook,
    jobs: HashMap<SequenceNumber, ActiveJob>,
    streams: HashMap<String, KeptStream>,
    keep_streams: Duration,
    swept_at: Instant,
    sequences: u64,
    dice: fastrand::Rng,
}

impl EngineState {
    pub(crate) fn new(options: &EngineOptions) -> Self {
        Self {
            batch: BatchModel::new(options.batch),
            faults: options.faults.clone(),
            runs: RunLedger::default(),
            events: EventLog::default(),
            loads: LoadHistory::default(),
            orders: OrderBook::new(&options.version, options.checks_fencing),
            jobs: HashMap::new(),
            streams: HashMap::new(),
            keep_streams: options.keep_streams,
            swept_at: Instant::now(),
            sequences: 0,
            dice: fastrand::Rng::with_seed(options.seed),
        }
    }

    /// Takes a request. It is on record as a run from here on, also when it fails.
    pub(crate) fn submit(&mut self, request: CompletionRequest, run: RunRecord) -> SubmitOutcome {
        if !self.orders.state().ready {
            return SubmitOutcome::Loading;
        }
        let load = self.batch.load();
        let context = FaultContext {
            path: &run.path,
            requests: self.runs.report().total,
            load: load.running + load.waiting,
            dice: self.dice.u16(0..1_000),
        };
        let fails = self.faults.fails(context);
        self.sequences += 1;
        let number = SequenceNumber(self.sequences);
        let stream = run.stream.clone();
        let stream = stream.unwrap_or_else(|| format!("unnamed-{}", number.0));
        let run = self.runs.begin(run);
        if fails {
            self.runs.end(run, RunState::Failed, 0);
            return SubmitOutcome::Failed;
        }
        let sequence = SequenceRequest {
            number,
            prompt_tokens: request.prompt_tokens,
            prefix_hashes: request.prefix_hashes.clone(),
            output_tokens: request.output_tokens,
        };
        if self.batch.submit(sequence) == BatchAdmission::TooLarge {
            self.runs.end(run, RunState::Failed, 0);
            return SubmitOutcome::TooLarge;
        }
        self.forget_old_streams();
        self.loads.record(Instant::now(), self.batch.load());
        let kept = KeptStream {
            number,
            body: GrowingBody::new(),
            streamed: request.stream,
        };
        self.streams.insert(stream.clone(), kept.clone());
        let job = ActiveJob {
            request,
            stream,
            body: Arc::clone(&kept.body),
            run,
            produced: 0,
        };
        self.jobs.insert(number, job);
        SubmitOutcome::Taken(kept)
    }

    /// Starts the next iteration of the batch.
    pub(crate) fn iterate(&mut self) -> Option<BatchIteration> {
        if self.faults.frozen {
            return None;
        }
        let iteration = self.batch.iterate(self.faults.stretch_per_mille())?;
        self.loads.record(Instant::now(), self.batch.load());
        Some(iteration)
    }

    /// Hands out what an iteration made, once its time has passed.
    pub(crate) fn publish(&mut self, iteration: &BatchIteration) {
        let now = Instant::now();
        for change in &iteration.changes {
            let lost = self.dice.u16(0..1_000) < self.faults.cache_loss_per_mille;
            self.events.push(now, *change, lost);
        }
        for token in &iteration.tokens {
            let Some(job) = self.jobs.get_mut(&token.number) else {
                continue;
            };
            job.produced = token.index + 1;
            job.push_token(token.index, token.cached_tokens, token.last);
            if token.last {
                self.finish(token.number);
            }
        }
    }

    fn finish(&mut self, number: SequenceNumber) {
        if let Some(job) = self.jobs.remove(&number) {
            job.body.end(BodyState::Finished);
            self.runs.end(job.run, RunState::Finished, job.produced);
        }
    }

    /// Stops work on a sequence; nothing happens when it has ended.
    pub(crate) fn cancel(&mut self, number: SequenceNumber) {
        self.batch.cancel(number);
        if let Some(job) = self.jobs.remove(&number) {
            job.body.end(BodyState::Cancelled);
            self.runs.end(job.run, RunState::Cancelled, job.produced);
        }
        self.loads.record(Instant::now(), self.batch.load());
    }

    /// A stream that is kept, by its name.
    pub(crate) fn stream(&self, name: &str) -> Option<KeptStream> {
        let stream = self.streams.get(name)?;
        let expired = stream.expired(Instant::now(), self.keep_streams);
        (!expired).then(|| stream.clone())
    }

    /// Empties the prefix cache, as a load of another version does.
    pub(crate) fn clear_cache(&mut self) {
        self.batch.cache_mut().clear();
        self.events.push_cleared(Instant::now());
    }

    /// Holds blocks that came from another engine.
    pub(crate) fn import(&mut self, hashes: &[u64]) {
        let now = Instant::now();
        for change in self.batch.cache_mut().store(hashes) {
            self.events.push(now, change, false);
        }
    }

    fn forget_old_streams(&mut self) {
        let now = Instant::now();
        if now.duration_since(self.swept_at) < SWEEP_PERIOD {
            return;
        }
        self.swept_at = now;
        let keep = self.keep_streams;
        self.streams.retain(|_, stream| !stream.expired(now, keep));
    }
}

impl KeptStream {
    fn expired(&self, now: Instant, keep: Duration) -> bool {
        let ended_at = self.body.ended_at();
        ended_at.is_some_and(|at| now.duration_since(at) > keep)
    }
}

impl ActiveJob {
    fn push_token(&self, index: u32, cached_tokens: u32, last: bool) {
        if self.request.stream {
            let chunk = self.request.token_chunk(&self.stream, index);
            self.body.push_token(&chunk);
            if last {
                let closing = self.request.closing_chunks(&self.stream, cached_tokens);
                self.body.push(&closing);
            }
        } else if last {
            let whole = self.request.whole(&self.stream, cached_tokens);
            self.body.push(&whole);
        }
    }
}
