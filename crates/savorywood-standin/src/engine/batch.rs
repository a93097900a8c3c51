//! Pure model of continuous batching: what an engine's next iteration does and how long it takes.
//!
//! The shape follows Orca and vLLM: each iteration prefills a bounded chunk of prompts and makes
//! one token for every sequence that is past its prompt. Requests are admitted in the order of
//! their arrival, as soon as a slot and enough KV memory are free; the engine knows no priorities.

use super::{
    cache::{CacheChange, PrefixCache},
    prompt::BLOCK_TOKENS,
};
use std::{collections::VecDeque, time::Duration};

/// One thousand per mille: no change.
pub const PER_MILLE: u64 = 1_000;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Speed and size of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchSettings {
    /// Sequences in the batch at most.
    pub slots: u32,
    /// Tokens of prompts and outputs in the batch at most.
    pub kv_tokens: u32,
    /// Blocks in the prefix cache at most.
    pub cache_blocks: usize,
    /// Prompt tokens prefilled in a second.
    pub prefill_per_second: u32,
    /// Prompt tokens prefilled in one iteration at most.
    pub prefill_chunk: u32,
    /// Tokens that a sequence alone in the batch gets in a second.
    pub decode_per_second: u32,
    /// How much longer an iteration takes for each further sequence, in thousandths.
    pub batch_cost_per_mille: u32,
}

impl Default for BatchSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            kv_tokens: 65_536,
            cache_blocks: 4_096,
            prefill_per_second: 20_000,
            prefill_chunk: 512,
            decode_per_second: 100,
            batch_cost_per_mille: 30,
        }
    }
}

/// Names a sequence within one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SequenceNumber(pub u64);

/// A request as the batch sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SequenceRequest {
    /// Its number.
    pub number: SequenceNumber,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Chained hashes of the whole blocks of its prompt.
    pub prefix_hashes: Vec<u64>,
    /// Tokens to generate, at least one.
    pub output_tokens: u32,
}

impl SequenceRequest {
    fn kv_need(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }
}

#[derive(Debug, Clone)]
struct ActiveSequence {
    request: SequenceRequest,
    prefill_left: u32,
    cached_tokens: u32,
    produced: u32,
}

/// One token made in an iteration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenMade {
    /// Sequence that it belongs to.
    pub number: SequenceNumber,
    /// Its place in the output, from zero.
    pub index: u32,
    /// Prompt tokens that the cache held.
    pub cached_tokens: u32,
    /// Whether it is the last.
    pub last: bool,
}

/// What one iteration does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchIteration {
    /// How long it takes.
    pub duration: Duration,
    /// Tokens that are ready at its end.
    pub tokens: Vec<TokenMade>,
    /// Changes of the prefix cache.
    pub changes: Vec<CacheChange>,
}

/// Load of an engine at one point in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BatchLoad {
    /// Sequences in the batch.
    pub running: u32,
    /// Requests that wait for a place in it.
    pub waiting: u32,
    /// KV memory in use, in thousandths.
    pub kv_used_per_mille: u16,
}

/// Whether a request can ever run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchAdmission {
    /// It was taken.
    Taken,
    /// It needs more KV memory than the engine has.
    TooLarge,
}

/// The batch with its queue and cache.
#[derive(Debug, Clone)]
pub struct BatchModel {
    settings: BatchSettings,
    cache: PrefixCache,
    waiting: VecDeque<SequenceRequest>,
    active: Vec<ActiveSequence>,
}

impl BatchModel {
    /// An idle engine.
    #[must_use]
    pub fn new(settings: BatchSettings) -> Self {
        Self {
            settings,
            cache: PrefixCache::new(settings.cache_blocks),
            waiting: VecDeque::new(),
            active: Vec::new(),
        }
    }

    /// Takes a request at the end of the queue.
    pub fn submit(&mut self, request: SequenceRequest) -> BatchAdmission {
        if request.kv_need() > self.settings.kv_tokens {
            return BatchAdmission::TooLarge;
        }
        self.waiting.push_back(request);
        BatchAdmission::Taken
    }

    /// Drops a request. Returns the tokens that it had, or `None` when it is not there.
    pub fn cancel(&mut self, number: SequenceNumber) -> Option<u32> {
        if let Some(at) = self.active.iter().position(|a| a.request.number == number) {
            return Some(self.active.remove(at).produced);
        }
        let at = self.waiting.iter().position(|w| w.number == number)?;
        self.waiting.remove(at).map(|_| 0)
    }

    /// Load at this moment.
    #[must_use]
    pub fn load(&self) -> BatchLoad {
        let used = u64::from(self.kv_used()) * PER_MILLE;
        let per_mille = used / u64::from(self.settings.kv_tokens.max(1));
        BatchLoad {
            running: u32::try_from(self.active.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            kv_used_per_mille: u16::try_from(per_mille).unwrap_or(u16::MAX),
        }
    }

    /// The prefix cache.
    #[must_use]
    pub fn cache(&self) -> &PrefixCache {
        &self.cache
    }

    /// The prefix cache, for imports and reloads.
    pub fn cache_mut(&mut self) -> &mut PrefixCache {
        &mut self.cache
    }

    /// Runs one iteration; `None` when there is nothing to do. `heat_per_mille` stretches its
    /// time: 1000 is a cool room.
    pub fn iterate(&mut self, heat_per_mille: u32) -> Option<BatchIteration> {
        self.admit();
        if self.active.is_empty() {
            return None;
        }
        let decoding = self.active.iter().filter(|a| a.prefill_left == 0).count();
        let prefilled = self.prefill();
        let tokens = self.make_tokens();
        let changes = self.store_prompts(&tokens);
        self.active.retain(|a| a.produced < a.request.output_tokens);
        let duration = self.duration(prefilled, decoding, heat_per_mille);
        Some(BatchIteration {
            duration,
            tokens,
            changes,
        })
    }

    fn kv_used(&self) -> u32 {
        self.active.iter().map(|a| a.request.kv_need()).sum()
    }

    fn admit(&mut self) {
        let slots = self.settings.slots.max(1) as usize;
        let mut free = self.settings.kv_tokens.saturating_sub(self.kv_used());
        while self.active.len() < slots {
            let fits = |request: &mut SequenceRequest| request.kv_need() <= free;
            let Some(request) = self.waiting.pop_front_if(fits) else {
                return;
            };
            free -= request.kv_need();
            let blocks = self.cache.use_prefix(&request.prefix_hashes);
            let blocks = u32::try_from(blocks).unwrap_or(u32::MAX);
            // The last prompt token is always computed: its result is the first output token.
            let most = request.prompt_tokens.saturating_sub(1);
            let cached_tokens = blocks.saturating_mul(BLOCK_TOKENS).min(most);
            let prefill_left = (request.prompt_tokens - cached_tokens).max(1);
            self.active.push(ActiveSequence {
                request,
                prefill_left,
                cached_tokens,
                produced: 0,
            });
        }
    }

    /// Spends one chunk on the oldest prompts and returns the tokens spent.
    fn prefill(&mut self) -> u32 {
        let chunk = self.settings.prefill_chunk.max(1);
        let mut left = chunk;
        for sequence in &mut self.active {
            let spent = sequence.prefill_left.min(left);
            sequence.prefill_left -= spent;
            left -= spent;
        }
        chunk - left
    }

    fn make_tokens(&mut self) -> Vec<TokenMade> {
        let ready = self.active.iter_mut().filter(|a| a.prefill_left == 0);
        ready
            .map(|sequence| {
                let index = sequence.produced;
                sequence.produced += 1;
                TokenMade {
                    number: sequence.request.number,
                    index,
                    cached_tokens: sequence.cached_tokens,
                    last: sequence.produced >= sequence.request.output_tokens,
                }
            })
            .collect()
    }

    fn store_prompts(&mut self, tokens: &[TokenMade]) -> Vec<CacheChange> {
        let mut changes = Vec::new();
        for token in tokens.iter().filter(|token| token.index == 0) {
            let sequence = self
                .active
                .iter()
                .find(|a| a.request.number == token.number);
            if let Some(sequence) = sequence {
                changes.extend(self.cache.store(&sequence.request.prefix_hashes));
            }
        }
        changes
    }

    fn duration(&self, prefilled: u32, decoding: usize, heat_per_mille: u32) -> Duration {
        let settings = &self.settings;
        let prefill_rate = u64::from(settings.prefill_per_second.max(1));
        let prefill = u64::from(prefilled) * MICROS_PER_SECOND / prefill_rate;
        let decode = match decoding as u64 {
            0 => 0,
            sequences => {
                let alone = MICROS_PER_SECOND / u64::from(settings.decode_per_second.max(1));
                let extra = u64::from(settings.batch_cost_per_mille) * (sequences - 1);
                alone * (PER_MILLE + extra) / PER_MILLE
            }
        };
        let heat = u64::from(heat_per_mille.max(1));
        Duration::from_micros((prefill + decode) * heat / PER_MILLE)
    }
}
