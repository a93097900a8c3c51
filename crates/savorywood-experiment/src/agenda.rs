//! Events of a run in the order of time.

use crate::engine::SequenceKey;
use savorywood_core::UpstreamEvent;
use std::collections::BTreeMap;

/// Something that happens in a run.
#[derive(Debug, Clone)]
pub enum WorldEvent {
    /// A caller sends its request, or sends it again.
    Arrive {
        /// Which.
        task: usize,
    },
    /// A request reaches an engine.
    Reach {
        /// Which engine.
        engine: usize,
        /// Which attempt.
        key: SequenceKey,
    },
    /// An engine ends a step.
    StepEnd {
        /// Which.
        engine: usize,
    },
    /// A timer of a scheduler fires.
    Timer {
        /// At which daemon.
        daemon: usize,
        /// Which timer.
        number: u64,
    },
    /// A daemon hears from an upstream.
    Heard {
        /// Which daemon.
        daemon: usize,
        /// What.
        event: UpstreamEvent,
    },
    /// The deadline of a try passes.
    Deadline {
        /// Which task.
        task: usize,
        /// Which try.
        entry: u32,
    },
    /// Engines measure their load; reports arrive later.
    MeasureLoad,
    /// Engines publish cache events; batches arrive later or never.
    PublishCache,
    /// Arbiters grant seats.
    Arbitrate,
    /// Daemons look for streams that stand still.
    WatchStreams,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AgendaSlot {
    micros: u64,
    order: u64,
}

/// Events to come.
#[derive(Debug, Default)]
pub struct EventAgenda {
    events: BTreeMap<AgendaSlot, WorldEvent>,
    next: u64,
}

/// Microseconds of a time in seconds.
#[must_use]
pub fn micros(at: f64) -> u64 {
    (at * 1e6).round() as u64
}

impl EventAgenda {
    /// Adds an event.
    pub fn add(&mut self, at: f64, event: WorldEvent) {
        let slot = AgendaSlot {
            micros: micros(at),
            order: self.next,
        };
        self.next += 1;
        self.events.insert(slot, event);
    }

    /// Takes the next event out, with its time in seconds.
    pub fn take(&mut self) -> Option<TimedEvent> {
        let (slot, event) = self.events.pop_first()?;
        let at = slot.micros as f64 / 1e6;
        Some(TimedEvent { at, event })
    }
}

/// An event and its time.
#[derive(Debug)]
pub struct TimedEvent {
    /// Seconds from the beginning of the run.
    pub at: f64,
    /// What happens.
    pub event: WorldEvent,
}
