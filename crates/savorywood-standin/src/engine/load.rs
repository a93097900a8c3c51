//! Load reports that lag.

use super::batch::BatchLoad;
use savorywood_protocol::extension::LoadDocument;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Changes closer together than this count as one.
const GRAIN: Duration = Duration::from_millis(5);

/// Changes kept at most: the longest lag that can be told is this many grains.
const MAX_CHANGES: usize = 12_000;

#[derive(Debug, Clone, Copy)]
struct LoadChange {
    at: Instant,
    load: BatchLoad,
}

/// Load of one engine over time.
#[derive(Debug, Default)]
pub(crate) struct LoadHistory {
    changes: VecDeque<LoadChange>,
}

impl LoadHistory {
    pub(crate) fn record(&mut self, at: Instant, load: BatchLoad) {
        if let Some(last) = self.changes.back_mut() {
            if last.load == load {
                return;
            }
            if at.duration_since(last.at) < GRAIN {
                last.load = load;
                return;
            }
        }
        if self.changes.len() >= MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(LoadChange { at, load });
    }

    /// Load as it was `lag` ago.
    pub(crate) fn report(&self, now: Instant, lag: Duration) -> LoadDocument {
        let mut newest_first = self.changes.iter().rev();
        let change = newest_first.find(|change| now.duration_since(change.at) >= lag);
        let load = change.map_or(BatchLoad::default(), |change| change.load);
        LoadDocument {
            running: load.running,
            waiting: load.waiting,
            kv_used_per_mille: load.kv_used_per_mille,
            age_ms: u64::try_from(lag.as_millis()).unwrap_or(u64::MAX),
        }
    }
}
