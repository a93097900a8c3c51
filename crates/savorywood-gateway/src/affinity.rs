//! Which upstream read a part of a prompt last.

use crate::{arrival::PromptPart, label::UpstreamLabel};
use savorywood_protocol::MonotonicTime;
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Parts remembered at most.
const MAX_PROMPT_PARTS: usize = 4_096;
/// A part that nobody asked for in this time is taken to be gone.
const CACHE_TTL: Duration = Duration::from_secs(20);

#[derive(Debug, Clone)]
struct CacheHolder {
    upstream: UpstreamLabel,
    at: MonotonicTime,
}

/// Holders of prompt parts, newest last.
#[derive(Debug, Clone, Default)]
pub struct PrefixCacheIndex {
    holders: HashMap<u64, Vec<CacheHolder>>,
    order: VecDeque<u64>,
}

/// Upstreams remembered for one part.
const MAX_HOLDERS_PER_PART: usize = 4;

impl PrefixCacheIndex {
    /// Tokens of the prompt's beginning that an upstream is expected to hold.
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
            let held = holders
                .into_iter()
                .flatten()
                .any(|holder| holder.upstream == *upstream && now.since(holder.at) < CACHE_TTL);
            if !held {
                break;
            }
            tokens += part.tokens;
        }
        tokens
    }

    /// An upstream reads a prompt.
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
