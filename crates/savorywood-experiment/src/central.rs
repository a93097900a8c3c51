//! A bound: one queue that knows every length, speed and cache, without delay.

use crate::{engine::FakeEngine, scenario::RunScenario, workload::TaskShape};
use std::collections::BTreeMap;

/// Requests looked at when an engine has room.
const LOOK_AHEAD: usize = 64;

/// Order of the queue: tier, then the time by which work must begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CentralSlot {
    rank: usize,
    latest_micros: u64,
    task: usize,
    entry: u32,
}

/// A request that waits.
#[derive(Debug, Clone, Copy)]
pub struct CentralEntry {
    /// Which.
    pub task: usize,
    /// Which try of its caller.
    pub entry: u32,
    /// Tier.
    pub rank: usize,
    /// Its size.
    pub shape: TaskShape,
    /// When it must be whole, in seconds.
    pub deadline_at: f64,
}

/// What is to be done with a request.
#[derive(Debug, Clone, Copy)]
pub enum CentralOrder {
    /// Send it.
    Send {
        /// Which.
        entry: CentralEntry,
        /// Where.
        engine: usize,
    },
    /// It can't be whole in time anywhere.
    Refuse {
        /// Which.
        entry: CentralEntry,
    },
}

/// The queue.
#[derive(Debug, Default)]
pub struct CentralQueue {
    entries: BTreeMap<CentralSlot, CentralEntry>,
}

impl CentralQueue {
    /// Adds a request.
    pub fn push(&mut self, entry: CentralEntry, engines: &[FakeEngine]) {
        let fastest = engines
            .iter()
            .map(|engine| engine.true_time(&entry.shape, 1.0));
        let fastest = fastest.fold(f64::INFINITY, f64::min);
        let latest = (entry.deadline_at - fastest).max(0.0);
        let slot = CentralSlot {
            rank: entry.rank,
            latest_micros: crate::agenda::micros(latest),
            task: entry.task,
            entry: entry.entry,
        };
        self.entries.insert(slot, entry);
    }

    /// Next thing to do, if any.
    pub fn next(
        &mut self,
        now: f64,
        engines: &[FakeEngine],
        scenario: &RunScenario,
    ) -> Option<CentralOrder> {
        let slots: Vec<CentralSlot> = self.entries.keys().take(LOOK_AHEAD).copied().collect();
        for slot in slots {
            let entry = *self.entries.get(&slot)?;
            let best = best_engine(now, &entry.shape, engines, scenario);
            let hopeless = slot.latest_micros < crate::agenda::micros(now);
            let order = match best {
                Some(best) if now + best.time <= entry.deadline_at => CentralOrder::Send {
                    entry,
                    engine: best.engine,
                },
                _ if hopeless => CentralOrder::Refuse { entry },
                _ => continue,
            };
            self.entries.remove(&slot);
            return Some(order);
        }
        None
    }
}

#[derive(Debug, Clone, Copy)]
struct BestEngine {
    engine: usize,
    time: f64,
}

fn best_engine(
    now: f64,
    shape: &TaskShape,
    engines: &[FakeEngine],
    scenario: &RunScenario,
) -> Option<BestEngine> {
    let mut best: Option<BestEngine> = None;
    for (index, engine) in engines.iter().enumerate() {
        if !engine.has_room(shape) || scenario.stalled_until(index, now).is_some() {
            continue;
        }
        let time = engine.true_time(shape, scenario.slowdown(index, now));
        if best.is_none_or(|best| time < best.time) {
            best = Some(BestEngine {
                engine: index,
                time,
            });
        }
    }
    best
}
