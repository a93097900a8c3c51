//! A small model of an engine: continuous batching with slots and a KV limit, chunked prefill, a
//! prefix cache, and a speed that falls with heat.

mod cache;

pub use cache::PrefixCache;

use crate::workload::TaskShape;
use std::{collections::VecDeque, time::Duration};

/// Part of a step that prefill may take, in seconds on a cool engine.
const PREFILL_SLICE: f64 = 0.025;

/// Speed and size of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpec {
    /// Hardware generation, 1 is the oldest.
    pub generation: u8,
    /// Availability zone.
    pub zone: usize,
    /// Sequences in the batch at once.
    pub slots: u32,
    /// Tokens of KV cache for running sequences.
    pub kv_tokens: u64,
    /// Tokens of KV cache kept for prefixes.
    pub cache_tokens: u64,
    /// Prompt tokens prefilled a second.
    pub prefill_rate: f64,
    /// Seconds of a step with an empty batch.
    pub step_base: f64,
    /// Seconds that each sequence adds to a step.
    pub step_per_sequence: f64,
}

impl EngineSpec {
    /// An engine of one of five generations.
    #[must_use]
    pub fn of_generation(generation: u8, zone: usize) -> Self {
        let (slots, kv_tokens, prefill_rate, step_base) = match generation {
            1 => (12, 60_000, 3_000.0, 0.040),
            2 => (16, 100_000, 6_000.0, 0.030),
            3 => (24, 160_000, 10_000.0, 0.024),
            4 => (32, 240_000, 16_000.0, 0.018),
            _ => (48, 400_000, 25_000.0, 0.012),
        };
        Self {
            generation,
            zone,
            slots,
            kv_tokens,
            cache_tokens: kv_tokens / 2,
            prefill_rate,
            step_base,
            step_per_sequence: step_base / 50.0,
        }
    }

    /// Requests of a kind that it can do a second with a full batch.
    #[must_use]
    pub fn capacity(&self, uncached: f64, prompt: f64, output: f64) -> f64 {
        let kv = self.kv_tokens as f64 / (prompt + output);
        let batch = f64::from(self.slots).min(kv).max(1.0);
        let step = self.step_base + self.step_per_sequence * batch;
        1.0 / (uncached / self.prefill_rate + output / batch * step)
    }
}

/// Names an attempt in the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SequenceKey {
    /// Which task.
    pub task: usize,
    /// Which try of its caller.
    pub entry: u32,
    /// Which attempt of the daemon.
    pub attempt: u32,
}

/// One request inside the engine.
#[derive(Debug, Clone)]
pub struct EngineSequence {
    /// Whose it is.
    pub key: SequenceKey,
    /// What is asked.
    pub shape: TaskShape,
    /// Prompt tokens still to prefill.
    pub to_prefill: f64,
    /// Prompt tokens found in the cache.
    pub cached: u32,
    /// Prompt tokens prefilled.
    pub prefilled: f64,
    /// Of the prompt, tokens that another engine had cached when it entered and this one had not.
    pub missed: u32,
    /// Tokens generated.
    pub generated: u32,
    /// When its last token came, in seconds.
    pub progress_at: f64,
}

/// What an engine says at the end of a step.
#[derive(Debug, Clone, Copy)]
pub enum EngineSignal {
    /// A sequence got its first token.
    First(SequenceKey),
    /// A sequence got one more token after this many seconds.
    Token(SequenceKey, f64),
    /// A sequence is whole.
    Done(SequenceKey),
}

/// What became of a sequence that left the engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct SequenceEnd {
    /// Prompt tokens prefilled.
    pub prefilled: u64,
    /// Prompt tokens found in the cache.
    pub cached: u32,
    /// Prompt tokens that another engine had cached.
    pub missed: u32,
    /// Tokens generated.
    pub generated: u32,
}

/// State of one engine.
#[derive(Debug)]
pub struct FakeEngine {
    /// Speed and size.
    pub spec: EngineSpec,
    /// Prefixes that it holds.
    pub cache: PrefixCache,
    /// Sequences that wait for a slot, in order of arrival.
    pub waiting: VecDeque<EngineSequence>,
    /// Sequences in the batch.
    pub running: Vec<EngineSequence>,
    /// Whether a step is under way.
    pub busy: bool,
    kv_used: u64,
}

impl FakeEngine {
    /// An idle engine.
    #[must_use]
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            cache: PrefixCache::new(spec.cache_tokens),
            waiting: VecDeque::new(),
            running: Vec::new(),
            busy: false,
            kv_used: 0,
        }
    }

    /// Sequences inside, running or waiting.
    #[must_use]
    pub fn load(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Share of the KV cache in use, in thousandths.
    #[must_use]
    pub fn kv_per_mille(&self) -> u16 {
        u16::try_from(self.kv_used * 1_000 / self.spec.kv_tokens.max(1)).unwrap_or(1_000)
    }

    /// Whether one more sequence would run at once.
    #[must_use]
    pub fn has_room(&self, shape: &TaskShape) -> bool {
        let queued: u64 = self.waiting.iter().map(|other| other.shape.tokens()).sum();
        let slots = self.load() < self.spec.slots as usize;
        let kv = self.kv_used + queued + shape.tokens() <= self.spec.kv_tokens;
        slots && (kv || self.load() == 0)
    }

    /// Takes a request in.
    pub fn push(&mut self, now: f64, key: SequenceKey, shape: TaskShape) {
        self.waiting.push_back(EngineSequence {
            key,
            shape,
            to_prefill: 0.0,
            cached: 0,
            prefilled: 0.0,
            missed: 0,
            generated: 0,
            progress_at: now,
        });
    }

    /// Moves waiting requests into the batch while there is room; gives those that entered.
    pub fn admit(&mut self) -> Vec<SequenceKey> {
        let mut entered = Vec::new();
        while let Some(next) = self.waiting.front() {
            let slots = self.running.len() < self.spec.slots as usize;
            let kv = self.kv_used + next.shape.tokens() <= self.spec.kv_tokens;
            if !slots || !(kv || self.running.is_empty()) {
                break;
            }
            let Some(mut sequence) = self.waiting.pop_front() else {
                break;
            };
            self.kv_used += sequence.shape.tokens();
            sequence.cached = self.cache.look_up(&sequence.shape);
            sequence.to_prefill = f64::from(sequence.shape.prompt - sequence.cached).max(1.0);
            entered.push(sequence.key);
            self.running.push(sequence);
        }
        entered
    }

    /// Plans a step and does its prefill; says how many seconds it takes on a cool engine.
    pub fn begin_step(&mut self) -> f64 {
        let mut slice = PREFILL_SLICE * self.spec.prefill_rate;
        let mut decoding = 0.0;
        let mut prefilled = 0.0;
        for sequence in &mut self.running {
            if sequence.to_prefill <= 0.0 {
                decoding += 1.0;
                continue;
            }
            let part = sequence.to_prefill.min(slice);
            sequence.to_prefill -= part;
            sequence.prefilled += part;
            prefilled += part;
            slice -= part;
        }
        self.spec.step_base
            + self.spec.step_per_sequence * decoding
            + prefilled / self.spec.prefill_rate
    }

    /// Ends a step: each sequence whose prompt is prefilled gets a token.
    pub fn end_step(&mut self, now: f64) -> Vec<EngineSignal> {
        let mut signals = Vec::new();
        for sequence in &mut self.running {
            if sequence.to_prefill > 0.0 {
                continue;
            }
            sequence.generated += 1;
            if sequence.generated == 1 {
                signals.push(EngineSignal::First(sequence.key));
                self.cache.store(&sequence.shape);
            } else {
                let gap = now - sequence.progress_at;
                signals.push(EngineSignal::Token(sequence.key, gap));
            }
            sequence.progress_at = now;
            if sequence.generated >= sequence.shape.output {
                signals.push(EngineSignal::Done(sequence.key));
            }
        }
        signals
    }

    /// Takes a sequence out, whole or cancelled.
    pub fn remove(&mut self, key: SequenceKey) -> Option<SequenceEnd> {
        let index = self.running.iter().position(|other| other.key == key);
        if let Some(index) = index {
            let sequence = self.running.remove(index);
            self.kv_used -= sequence.shape.tokens();
            return Some(SequenceEnd {
                prefilled: sequence.prefilled as u64,
                cached: sequence.cached,
                missed: sequence.missed,
                generated: sequence.generated,
            });
        }
        let index = self.waiting.iter().position(|other| other.key == key)?;
        self.waiting.remove(index);
        Some(SequenceEnd::default())
    }

    /// Seconds that a request would take here if it entered now, by what only the engine knows.
    #[must_use]
    pub fn true_time(&self, shape: &TaskShape, slowdown: f64) -> f64 {
        let cached = if self.cache.holds(shape) {
            shape.shared
        } else {
            0
        };
        let pending: f64 = self.running.iter().map(|other| other.to_prefill).sum();
        let queued: f64 = self
            .waiting
            .iter()
            .map(|other| f64::from(other.shape.prompt))
            .sum();
        let prefill = f64::from(shape.prompt - cached) + pending + queued;
        let batch = f64::from(self.spec.slots);
        let step = self.spec.step_base + self.spec.step_per_sequence * batch;
        let steps = f64::from(shape.output) + prefill / (PREFILL_SLICE * self.spec.prefill_rate);
        (steps * step + prefill / self.spec.prefill_rate) * slowdown
    }
}

/// Seconds as a duration.
#[must_use]
pub fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value.max(0.0))
}
