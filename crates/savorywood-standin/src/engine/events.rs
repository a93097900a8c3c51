//! Cache events as an engine publishes them: late, and with gaps.

use super::cache::CacheChange;
use savorywood_protocol::extension::{BlockHash, CacheEventDocument, CacheEventsDocument};
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Events kept at most; older ones are lost, which shows as a gap.
const MAX_EVENTS: usize = 16_384;

/// Events in one answer at most.
const MAX_BATCH: usize = 1_024;

#[derive(Debug)]
struct PublishedEvent {
    sequence: u64,
    at: Instant,
    event: CacheEventDocument,
}

/// The events of one engine.
#[derive(Debug, Default)]
pub(crate) struct EventLog {
    newest: u64,
    events: VecDeque<PublishedEvent>,
}

impl EventLog {
    /// Adds a change. A lost one takes its number with it.
    pub(crate) fn push(&mut self, at: Instant, change: CacheChange, lost: bool) {
        let event = match change {
            CacheChange::Stored(block) => CacheEventDocument::Stored {
                block: BlockHash(block),
            },
            CacheChange::Removed(block) => CacheEventDocument::Removed {
                block: BlockHash(block),
            },
        };
        self.push_event(at, event, lost);
    }

    /// Says that the cache was emptied.
    pub(crate) fn push_cleared(&mut self, at: Instant) {
        self.push_event(at, CacheEventDocument::Cleared, false);
    }

    fn push_event(&mut self, at: Instant, event: CacheEventDocument, lost: bool) {
        self.newest += 1;
        if lost {
            return;
        }
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(PublishedEvent {
            sequence: self.newest,
            at,
            event,
        });
    }

    /// Consecutive events after a number that are at least `lag` old.
    pub(crate) fn after(&self, after: u64, now: Instant, lag: Duration) -> CacheEventsDocument {
        let old_enough = |event: &&PublishedEvent| now.duration_since(event.at) >= lag;
        let later = self
            .events
            .iter()
            .skip_while(|event| event.sequence <= after);
        let mut document = CacheEventsDocument {
            first_sequence: after + 1,
            events: Vec::new(),
        };
        for event in later.take_while(old_enough).take(MAX_BATCH) {
            if document.events.is_empty() {
                document.first_sequence = event.sequence;
            }
            let expected = document.first_sequence + document.events.len() as u64;
            if event.sequence != expected {
                break;
            }
            document.events.push(event.event);
        }
        document
    }
}
