//! What happens now and then: load reports, cache events, arbiters, timeouts.

use super::{RunControl, RunWorld, engines::identity};
use crate::{
    agenda::{WorldEvent, micros},
    engine::SequenceKey,
    names::DECLARED_SEATS,
};
use rand::Rng;
use savorywood_core::{
    CacheEventBatch, FailureCause, LoadReport, UpstreamEvent, scheduler::SchedulerEvent,
};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Seconds between two load reports of an engine.
const LOAD_EVERY: f64 = 1.0;
/// Seconds between two batches of cache events.
const CACHE_EVERY: f64 = 0.5;
/// Share of batches of cache events that are lost.
const CACHE_LOSS: f64 = 0.05;
/// Seconds between two rounds of grants.
const ARBITRATE_EVERY: f64 = 0.25;
/// Seconds between two looks for streams that stand still.
const WATCH_EVERY: f64 = 0.5;
/// Seconds without a token after which a daemon gives a stream up.
const IDLE_TIMEOUT: f64 = 10.0;
/// Seconds without a first token after which a daemon gives a stream up.
const FIRST_TIMEOUT: f64 = 30.0;

impl RunWorld {
    pub(super) fn measure_load(&mut self, now: f64) {
        self.agenda.add(now + LOAD_EVERY, WorldEvent::MeasureLoad);
        if !matches!(self.control, RunControl::Schedulers(_)) {
            return;
        }
        for index in 0..self.engines.len() {
            let engine = &self.engines[index];
            let age = self.rng.random_range(1.0..10.0);
            let report = LoadReport {
                running: u32::try_from(engine.running.len()).unwrap_or(u32::MAX),
                waiting: u32::try_from(engine.waiting.len()).unwrap_or(u32::MAX),
                kv_used_per_mille: engine.kv_per_mille(),
                age: Duration::from_secs_f64(age),
            };
            let upstream = self.names.upstreams[index].clone();
            let event = UpstreamEvent::LoadReported { upstream, report };
            self.tell_all(now + age, &event);
        }
    }

    fn tell_all(&mut self, at: f64, event: &UpstreamEvent) {
        for daemon in 0..self.shape.daemons {
            let event = event.clone();
            self.agenda.add(at, WorldEvent::Heard { daemon, event });
        }
    }

    pub(super) fn publish_cache(&mut self, now: f64) {
        self.agenda.add(now + CACHE_EVERY, WorldEvent::PublishCache);
        for index in 0..self.engines.len() {
            let events = self.engines[index].cache.take_events();
            if events.is_empty() {
                continue;
            }
            let first_sequence = self.cache_sequences[index];
            self.cache_sequences[index] += events.len() as u64;
            let delay = self.rng.random_range(0.5..3.0);
            let lost = self.rng.random::<f64>() < CACHE_LOSS;
            if lost || !matches!(self.control, RunControl::Schedulers(_)) {
                continue;
            }
            let upstream = self.names.upstreams[index].clone();
            let batch = CacheEventBatch {
                first_sequence,
                events,
            };
            let event = UpstreamEvent::CacheChanged { upstream, batch };
            self.tell_all(now + delay, &event);
        }
    }

    pub(super) fn arbitrate(&mut self, now: f64) {
        self.agenda
            .add(now + ARBITRATE_EVERY, WorldEvent::Arbitrate);
        let RunControl::Schedulers(hosts) = &mut self.control else {
            return;
        };
        let time = MonotonicTime(micros(now));
        self.arbiters
            .round(time, hosts, &self.names, DECLARED_SEATS);
        for daemon in 0..self.shape.daemons {
            self.tell(now, daemon, SchedulerEvent::ViewChanged);
        }
    }

    pub(super) fn watch_streams(&mut self, now: f64) {
        self.agenda.add(now + WATCH_EVERY, WorldEvent::WatchStreams);
        let mut stale: Vec<(usize, SequenceKey)> = Vec::new();
        for (index, engine) in self.engines.iter().enumerate() {
            for sequence in engine.running.iter().chain(&engine.waiting) {
                let timeout = if sequence.generated == 0 {
                    FIRST_TIMEOUT
                } else {
                    IDLE_TIMEOUT
                };
                if now - sequence.progress_at > timeout {
                    stale.push((index, sequence.key));
                }
            }
        }
        for (engine, key) in stale {
            self.break_sequence(engine, key);
            self.end_broken(key.task);
            let (request, attempt) = identity(key);
            let event = UpstreamEvent::Failed {
                request,
                attempt,
                cause: FailureCause::Stalled,
            };
            self.hear(now, key, event);
        }
    }
}
