//! One daemon's scheduler and what it reads.

use savorywood_core::{
    ConfigView, DaemonEffect, EffectQueue,
    scheduler::{RequestScheduler, SchedulerEvent, SchedulerOptions, SchedulerView, SlotGrant},
};
use savorywood_protocol::{CoreTime, MonotonicTime, UpstreamName, ZoneName};
use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

/// A scheduler with its view.
#[derive(Debug)]
pub struct DaemonHost {
    /// The scheduler.
    pub scheduler: RequestScheduler,
    /// Seats granted to it.
    pub grants: BTreeMap<UpstreamName, SlotGrant>,
    /// Processor time spent in it.
    pub spent: Duration,
    config: Rc<ConfigView>,
    zone: ZoneName,
    effects: EffectQueue,
}

impl DaemonHost {
    /// A daemon in a zone.
    #[must_use]
    pub fn new(options: SchedulerOptions, config: Rc<ConfigView>, zone: ZoneName) -> Self {
        Self {
            scheduler: RequestScheduler::new(options),
            grants: BTreeMap::new(),
            spent: Duration::ZERO,
            config,
            zone,
            effects: EffectQueue::new(),
        }
    }

    /// Hands in an event; gives what the scheduler wants done.
    pub fn step(&mut self, micros: u64, event: SchedulerEvent) -> Vec<DaemonEffect> {
        let now = CoreTime {
            monotonic: MonotonicTime(micros),
            ..CoreTime::default()
        };
        let view = SchedulerView {
            config: &self.config,
            zone: &self.zone,
            splits: &BTreeMap::new(),
            grants: &self.grants,
            floors: &BTreeMap::new(),
        };
        let began = Instant::now();
        self.scheduler.step(now, event, view, &mut self.effects);
        self.spent += began.elapsed();
        self.effects.drain().collect()
    }
}
