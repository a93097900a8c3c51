//! The prefix cache of a fake engine, by groups of prompts that share a prefix.

use crate::workload::TaskShape;
use savorywood_core::CacheEvent;
use std::collections::BTreeMap;

#[derive(Debug, Clone, Copy)]
struct CachedGroup {
    tokens: u32,
    used: u64,
}

/// Prefixes held, least recently used out first. Events of what changed are kept until read.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: u64,
    groups: BTreeMap<u32, CachedGroup>,
    uses: BTreeMap<u64, u32>,
    tokens: u64,
    clock: u64,
    events: Vec<CacheEvent>,
}

impl PrefixCache {
    /// An empty cache of this many tokens.
    #[must_use]
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            groups: BTreeMap::new(),
            uses: BTreeMap::new(),
            tokens: 0,
            clock: 0,
            events: Vec::new(),
        }
    }

    /// Whether the shared prefix is held.
    #[must_use]
    pub fn holds(&self, shape: &TaskShape) -> bool {
        self.groups.contains_key(&shape.group)
    }

    /// Tokens of the prompt that are held; counts as a use.
    pub fn look_up(&mut self, shape: &TaskShape) -> u32 {
        if self.holds(shape) {
            self.touch(shape.group);
            shape.shared
        } else {
            0
        }
    }

    fn touch(&mut self, group: u32) {
        self.clock += 1;
        if let Some(entry) = self.groups.get_mut(&group) {
            self.uses.remove(&entry.used);
            entry.used = self.clock;
            self.uses.insert(self.clock, group);
        }
    }

    /// Keeps the shared prefix; what is unique to a prompt pushes older prefixes out too, and is
    /// counted as a tenth, since engines free it first.
    pub fn store(&mut self, shape: &TaskShape) {
        if !self.holds(shape) {
            let entry = CachedGroup {
                tokens: shape.shared,
                used: 0,
            };
            self.groups.insert(shape.group, entry);
            self.tokens += u64::from(shape.shared);
            let hashes = shape.shared_hashes().into_iter();
            self.events.extend(hashes.map(CacheEvent::Stored));
        }
        self.touch(shape.group);
        let room = self.capacity - u64::from(shape.prompt - shape.shared) / 10;
        while self.tokens > room.max(1) && self.groups.len() > 1 {
            self.evict();
        }
    }

    fn evict(&mut self) {
        let Some((_, group)) = self.uses.pop_first() else {
            return;
        };
        if let Some(entry) = self.groups.remove(&group) {
            self.tokens -= u64::from(entry.tokens);
            let hashes = TaskShape::group_hashes(group, entry.tokens).into_iter();
            self.events.extend(hashes.map(CacheEvent::Removed));
        }
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }
}
