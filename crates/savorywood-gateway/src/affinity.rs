//! Prompt cache affinity: records which upstreams processed each part of a prompt most recently.

use crate::{arrival::PromptPart, label::UpstreamLabel};
use savorywood_protocol::MonotonicTime;
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Maximum number of prompt parts in the index; the oldest are evicted first.
const MAX_PROMPT_PARTS: usize = 4_096;
/// A prompt part that an upstream has not processed within this time is assumed to have been
/// evicted from its cache.
const CACHE_TTL: Duration = Duration::from_secs(20);

#[derive(Debug, Clone)]
struct CacheHolder {
    upstream: UpstreamLabel,
    at: MonotonicTime,
}

/// Upstreams that hold each prompt part, keyed by the part's id; holders are ordered from the
/// oldest to the most recent.
#[derive(Debug, Clone, Default)]
pub struct PrefixCacheIndex {
    holders: HashMap<u64, Vec<CacheHolder>>,
    order: VecDeque<u64>,
}

/// Maximum number of upstreams recorded for one prompt part.
const MAX_HOLDERS_PER_PART: usize = 4;

impl PrefixCacheIndex {
    /// Returns how many tokens at the start of the prompt the upstream is expected to have cached.
    /// Counting stops at the first part that is not cached.
    #[must_use]
    pub fn cached_tokens(
        &self,
        now: MonotonicTime,
        parts: &[PromptPart],
        upstream: &UpstreamLabel,
    ) -> u32 {
        let mut tokens = 0;
        for part in parts {
            let holders = self.holders.get(&part.id);
            let is_cached = holders
                .into_iter()
                .flatten()
                .any(|holder| holder.upstream == *upstream && now.since(holder.at) < CACHE_TTL);
            if !is_cached {
                break;
            }
            tokens += part.tokens;
        }
        tokens
    }

    /// Records that an upstream processes all parts of a prompt.
    pub fn record_prompt(
        &mut self,
        now: MonotonicTime,
        parts: &[PromptPart],
        upstream: &UpstreamLabel,
    ) {
        for part in parts {
            let holders = self.holders.entry(part.id).or_insert_with(|| {
                self.order.push_back(part.id);
                Vec::new()
            });
            holders.retain(|holder| holder.upstream != *upstream);
            if holders.len() >= MAX_HOLDERS_PER_PART {
                holders.remove(0);
            }
            holders.push(CacheHolder {
                upstream: upstream.clone(),
                at: now,
            });
        }
        while self.order.len() > MAX_PROMPT_PARTS {
            if let Some(oldest) = self.order.pop_front() {
                self.holders.remove(&oldest);
            }
        }
    }
}
