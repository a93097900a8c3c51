//! A bound: one queue that knows every length, speed and cache, without delay.

use crate::{agenda::micros, engine::FakeEngine, scenario::RunScenario, workload::TaskShape};
use std::{cmp::Ordering, collections::BTreeMap};

/// Requests looked at when an engine has room.
const LOOK_AHEAD: usize = 64;
/// Seconds that a request waits for an engine that holds its prefix.
const PATIENCE: f64 = 0.8;

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
    /// When it arrived, in seconds.
    pub arrived_at: f64,
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
            latest_micros: micros(latest),
            task: entry.task,
            entry: entry.entry,
        };
        self.entries.insert(slot, entry);
    }

    /// Next thing to do, if any: first what an engine with room holds the prefix of, then what
    /// has waited for that for a while.
    pub fn next(
        &mut self,
        now: f64,
        engines: &[FakeEngine],
        scenario: &RunScenario,
    ) -> Option<CentralOrder> {
        let slots: Vec<CentralSlot> = self.entries.keys().take(LOOK_AHEAD).copied().collect();
        let mut second: Option<PlannedSend> = None;
        for slot in slots {
            let entry = *self.entries.get(&slot)?;
            let best = best_engine(now, &entry, engines, scenario);
            if let Some(best) = best.filter(|best| best.timely) {
                let planned = PlannedSend {
                    slot,
                    entry,
                    engine: best.engine,
                };
                if best.hit {
                    return Some(self.send(planned));
                }
                let held = engines
                    .iter()
                    .any(|engine| engine.cache.holds(&entry.shape));
                if second.is_none() && (!held || now - entry.arrived_at > PATIENCE) {
                    second = Some(planned);
                }
            } else if slot.latest_micros < micros(now) {
                self.entries.remove(&slot);
                return Some(CentralOrder::Refuse { entry });
            }
        }
        second.map(|planned| self.send(planned))
    }

    fn send(&mut self, planned: PlannedSend) -> CentralOrder {
        self.entries.remove(&planned.slot);
        CentralOrder::Send {
            entry: planned.entry,
            engine: planned.engine,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct PlannedSend {
    slot: CentralSlot,
    entry: CentralEntry,
    engine: usize,
}

#[derive(Debug, Clone, Copy)]
struct BestEngine {
    engine: usize,
    time: f64,
    timely: bool,
    hit: bool,
}

impl BestEngine {
    /// Timely before late, cached before not, then the faster.
    fn is_better(self, other: Self) -> bool {
        let merit = (self.timely, self.hit).cmp(&(other.timely, other.hit));
        match merit {
            Ordering::Greater => true,
            Ordering::Less => false,
            Ordering::Equal => self.time < other.time,
        }
    }
}

fn best_engine(
    now: f64,
    entry: &CentralEntry,
    engines: &[FakeEngine],
    scenario: &RunScenario,
) -> Option<BestEngine> {
    let shape = &entry.shape;
    let mut best: Option<BestEngine> = None;
    for (index, engine) in engines.iter().enumerate() {
        if !engine.has_room(shape) || scenario.stalled_until(index, now).is_some() {
            continue;
        }
        let time = engine.true_time(shape, scenario.slowdown(index, now));
        let choice = BestEngine {
            engine: index,
            time,
            timely: now + time <= entry.deadline_at,
            hit: engine.cache.holds(shape),
        };
        if best.is_none_or(|best| choice.is_better(best)) {
            best = Some(choice);
        }
    }
    best
}
