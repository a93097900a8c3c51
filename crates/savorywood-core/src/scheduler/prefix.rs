//! Index of the prompt prefixes that upstreams have cached, built from dispatches and from cache
//! events, which may be late or lost.
//!
//! Of a dispatched prompt a few positions are recorded: a match that is a little too short costs
//! little. Of cache events all blocks are recorded while they fit. After that they are sampled by
//! hash, with a growing number of trailing zero bits required, so that the same blocks are kept for
//! all upstreams.

use super::fleet::UpstreamId;
use crate::event::{CacheEvent, CacheEventBatch};
use savorywood_protocol::MonotonicTime;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Maximum number of prefixes in the index.
const MAX_PREFIXES: usize = 262_144;
/// Maximum number of trailing zero bits required of a block's hash; at least one block in 2^4 is
/// recorded.
const MAX_SAMPLING_SHIFT: u32 = 4;
/// Maximum number of upstreams recorded per prefix.
const MAX_HOLDERS: usize = 16;
/// Recorded positions of a prompt per doubling of its length.
const POSITIONS_PER_OCTAVE: f64 = 4.0;
/// Maximum delay of cache events. A removal that arrives less than this after a dispatch may be
/// older than the dispatch, and does not remove the prefixes that the dispatch stored.
const MAX_EVENT_LAG: Duration = Duration::from_secs(10);
/// Weight of a match recorded before a gap in the upstream's cache events.
const UNCONFIRMED_WEIGHT: f64 = 0.7;
/// Entries not confirmed for this long are ignored.
const MAX_ENTRY_AGE: Duration = Duration::from_secs(600);

#[derive(Debug, Clone, Copy)]
struct PrefixHolder {
    upstream: UpstreamId,
    last_seen_at: MonotonicTime,
    epoch: u32,
}

#[derive(Debug, Default)]
struct PrefixEntry {
    holders: Vec<PrefixHolder>,
}

#[derive(Debug, Clone, Copy, Default)]
struct EventFeed {
    next_sequence: Option<u64>,
    epoch: u32,
}

/// Upstream that has the first blocks of a prompt cached.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefixMatch {
    /// Number of the upstream.
    pub upstream: UpstreamId,
    /// Expected number of cached blocks, reduced by [`UNCONFIRMED_WEIGHT`] after a gap in the
    /// events.
    pub blocks: f64,
}

/// Upstreams by cached prefix. Memory is bounded by [`MAX_PREFIXES`].
#[derive(Debug, Default)]
pub struct PrefixIndex {
    entries: BTreeMap<u64, PrefixEntry>,
    order: VecDeque<u64>,
    sampling_shift: u32,
    feeds: BTreeMap<UpstreamId, EventFeed>,
}

impl PrefixIndex {
    /// Records the dispatch of a prompt to an upstream, which will have its prefixes cached.
    pub fn record_dispatch(&mut self, now: MonotonicTime, upstream: UpstreamId, hashes: &[u64]) {
        let epoch = self.epoch(upstream);
        for index in sampled_positions(hashes.len()) {
            let Some(hash) = hashes.get(index) else {
                continue;
            };
            let entry = self.entry(*hash);
            entry.add_holder(PrefixHolder {
                upstream,
                last_seen_at: now,
                epoch,
            });
        }
    }

    fn epoch(&self, upstream: UpstreamId) -> u32 {
        self.feeds.get(&upstream).map_or(0, |feed| feed.epoch)
    }

    fn is_sampled(&self, hash: u64) -> bool {
        self.entries.contains_key(&hash) || hash.trailing_zeros() >= self.sampling_shift
    }

    fn entry(&mut self, hash: u64) -> &mut PrefixEntry {
        if !self.entries.contains_key(&hash) {
            while self.entries.len() >= MAX_PREFIXES {
                self.evict_oldest();
            }
            self.order.push_back(hash);
        }
        self.entries.entry(hash).or_default()
    }

    /// Evicts the oldest quarter of the entries and doubles the sampling interval for new blocks,
    /// up to its bound.
    fn evict_oldest(&mut self) {
        self.sampling_shift = (self.sampling_shift + 1).min(MAX_SAMPLING_SHIFT);
        for oldest in self.order.drain(..MAX_PREFIXES / 4) {
            self.entries.remove(&oldest);
        }
    }

    /// Returns the upstreams that have a prefix of the prompt cached, longest match first.
    pub fn find(&self, now: MonotonicTime, hashes: &[u64]) -> Vec<PrefixMatch> {
        let mut matches: Vec<PrefixMatch> = Vec::new();
        for index in sampled_positions(hashes.len()).rev() {
            let Some(entry) = hashes.get(index).and_then(|hash| self.entries.get(hash)) else {
                continue;
            };
            for holder in &entry.holders {
                let known = matches
                    .iter()
                    .any(|found| found.upstream == holder.upstream);
                if known || now.since(holder.last_seen_at) > MAX_ENTRY_AGE {
                    continue;
                }
                let confirmed = holder.epoch == self.epoch(holder.upstream);
                let weight = if confirmed { 1.0 } else { UNCONFIRMED_WEIGHT };
                let blocks = (index + 1) as f64 * weight;
                let upstream = holder.upstream;
                matches.push(PrefixMatch { upstream, blocks });
            }
            if matches.len() >= MAX_HOLDERS {
                break;
            }
        }
        matches
    }

    /// Returns the hash of the longest prefix of the prompt that some upstream has cached.
    pub fn longest_cached(&self, now: MonotonicTime, hashes: &[u64]) -> Option<u64> {
        let mut known = sampled_positions(hashes.len()).rev().filter_map(|index| {
            let hash = hashes.get(index)?;
            let entry = self.entries.get(hash)?;
            let mut holders = entry.holders.iter();
            let held = holders.any(|holder| now.since(holder.last_seen_at) <= MAX_ENTRY_AGE);
            held.then_some(*hash)
        });
        known.next()
    }

    /// Returns the upstreams that have a prefix cached, as far as the index shows.
    pub fn holders(&self, hash: u64) -> impl Iterator<Item = UpstreamId> + '_ {
        let entry = self.entries.get(&hash).into_iter();
        entry.flat_map(|entry| entry.holders.iter().map(|holder| holder.upstream))
    }

    /// Whether an upstream has a prefix cached, as far as the index shows.
    pub fn is_cached_on(&self, upstream: UpstreamId, hash: u64) -> bool {
        let entry = self.entries.get(&hash);
        entry.is_some_and(|entry| {
            let mut holders = entry.holders.iter();
            holders.any(|holder| holder.upstream == upstream)
        })
    }

    /// Applies events of an upstream's cache. After a gap in the sequence numbers all entries of
    /// that upstream count as unconfirmed: a lost `Removed` would leave an entry for a prefix that
    /// is no longer cached, while a lost `Stored` only misses a match.
    pub fn apply_events(
        &mut self,
        now: MonotonicTime,
        upstream: UpstreamId,
        batch: &CacheEventBatch,
    ) {
        let feed = self.feeds.entry(upstream).or_default();
        let expected = feed.next_sequence.unwrap_or(batch.first_sequence);
        if batch.first_sequence > expected {
            feed.epoch += 1;
        }
        feed.next_sequence = Some(batch.first_sequence + batch.events.len() as u64);
        let epoch = feed.epoch;
        for event in &batch.events {
            match event {
                CacheEvent::Stored(hash) => {
                    if !self.is_sampled(*hash) {
                        continue;
                    }
                    let entry = self.entry(*hash);
                    entry.add_holder(PrefixHolder {
                        upstream,
                        last_seen_at: now,
                        epoch,
                    });
                }
                CacheEvent::Removed(hash) => {
                    if let Some(entry) = self.entries.get_mut(hash) {
                        entry.remove_holder(now, upstream);
                    }
                }
                CacheEvent::Cleared => self.clear(now, upstream),
            }
        }
    }

    fn clear(&mut self, now: MonotonicTime, upstream: UpstreamId) {
        for entry in self.entries.values_mut() {
            entry.remove_holder(now, upstream);
        }
    }

    /// Removes all entries of an upstream that was removed.
    pub fn remove_upstream(&mut self, upstream: UpstreamId) {
        self.feeds.remove(&upstream);
        for entry in self.entries.values_mut() {
            entry.holders.retain(|holder| holder.upstream != upstream);
        }
    }
}

impl PrefixEntry {
    fn add_holder(&mut self, holder: PrefixHolder) {
        let mut holders = self.holders.iter_mut();
        if let Some(known) = holders.find(|known| known.upstream == holder.upstream) {
            *known = holder;
            return;
        }
        if self.holders.len() >= MAX_HOLDERS {
            let oldest = self.holders.iter().enumerate();
            let oldest = oldest.min_by_key(|(_, known)| known.last_seen_at);
            if let Some((index, _)) = oldest {
                self.holders.swap_remove(index);
            }
        }
        self.holders.push(holder);
    }

    fn remove_holder(&mut self, now: MonotonicTime, upstream: UpstreamId) {
        self.holders.retain(|holder| {
            let newer = now.since(holder.last_seen_at) < MAX_EVENT_LAG;
            holder.upstream != upstream || newer
        });
    }
}

/// Returns the indices of a prompt's blocks at which its prefixes are recorded: all short prefixes,
/// then [`POSITIONS_PER_OCTAVE`] per doubling, and the longest one.
fn sampled_positions(blocks: usize) -> impl DoubleEndedIterator<Item = usize> {
    let octaves = (blocks.max(1) as f64).log2() * POSITIONS_PER_OCTAVE;
    let steps = 0..=(octaves as usize);
    let lengths = steps.map(|step| (step as f64 / POSITIONS_PER_OCTAVE).exp2() as usize);
    let last = blocks.checked_sub(1);
    lengths
        .map(|length| length - 1)
        .filter(move |index| Some(*index) != last)
        .chain(last)
}
