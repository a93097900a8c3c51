//! Prefix cache of an engine: blocks by chained hash in limited memory, least recently used out.

use std::collections::{BTreeMap, HashMap};

/// One change of the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The block with this hash is cached.
    Stored(u64),
    /// The block with this hash was evicted.
    Removed(u64),
}

/// The cache.
#[derive(Debug, Clone)]
pub struct PrefixCache {
    capacity: usize,
    clock: u64,
    last_use: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// An empty cache for this many blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            last_use: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Blocks held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.last_use.len()
    }

    /// Whether nothing is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.last_use.is_empty()
    }

    /// Whether a block is held. Does not count as a use.
    #[must_use]
    pub fn contains(&self, block: u64) -> bool {
        self.last_use.contains_key(&block)
    }

    /// Blocks from the start of a prompt that are held; counts as a use of them.
    pub fn use_prefix(&mut self, hashes: &[u64]) -> usize {
        let held = hashes.iter().take_while(|hash| self.contains(**hash));
        let count = held.count();
        self.touch_all(&hashes[..count]);
        count
    }

    /// Holds all blocks of a prompt and says what changed.
    pub fn store(&mut self, hashes: &[u64]) -> Vec<CacheChange> {
        let fitting = &hashes[..hashes.len().min(self.capacity)];
        let fresh = fitting.iter().filter(|hash| !self.contains(**hash));
        let mut changes: Vec<_> = fresh.map(|hash| CacheChange::Stored(*hash)).collect();
        self.touch_all(fitting);
        while self.last_use.len() > self.capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                break;
            };
            self.last_use.remove(&oldest);
            changes.push(CacheChange::Removed(oldest));
        }
        changes
    }

    /// Drops everything, as a reload of the model does.
    pub fn clear(&mut self) {
        self.last_use.clear();
        self.by_use.clear();
    }

    /// The last block is touched first: a block is useless without those before it, so the end
    /// of a chain must be evicted before its start.
    fn touch_all(&mut self, hashes: &[u64]) {
        for hash in hashes.iter().rev() {
            self.clock += 1;
            if let Some(before) = self.last_use.insert(*hash, self.clock) {
                self.by_use.remove(&before);
            }
            self.by_use.insert(self.clock, *hash);
        }
    }
}
