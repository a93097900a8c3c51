//! State of each upstream as this daemon observes it.

use super::{
    SlotGrant,
    health::UpstreamHealth,
    limit::{AdaptiveLimit, LimitUse},
    speed::{SpeedEstimate, SpeedMeter},
};
use crate::event::LoadReport;
use savorywood_protocol::{
    MonotonicTime, ServiceName, UpstreamName, VersionName, ZoneName, resource::UpstreamSpec,
};
use std::{collections::BTreeMap, time::Duration};

/// Load reports older than this are ignored.
const MAX_LOAD_REPORT_AGE: Duration = Duration::from_secs(10);
/// Time constant of the weight of a load report: after this time it counts for about a third (1/e).
const LOAD_REPORT_DECAY: Duration = Duration::from_secs(3);
/// Number of typical token gaps without data that are not a stall yet.
const STALL_TOKEN_GAPS: f64 = 16.0;

/// Number of an upstream within one scheduler. It is never reused for another upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub u32);

/// Work that this daemon may have in progress on an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkAllowance {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of concurrent batch tokens.
    pub tokens: u64,
}

#[derive(Debug, Clone, Copy)]
struct ReceivedLoadReport {
    report: LoadReport,
    received_at: MonotonicTime,
}

/// State of one upstream.
#[derive(Debug)]
pub struct UpstreamState {
    /// Name in the configuration.
    pub name: UpstreamName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Version that it runs.
    pub version: VersionName,
    /// Whether it is in this daemon's availability zone.
    pub local: bool,
    /// Whether it gets no new work because an operator drains it or it is no longer configured.
    pub closed: bool,
    /// Whether it gets no new work because the platform is removing its host.
    pub leaving: bool,
    /// Adaptive limit of slots and batch tokens.
    pub limit: AdaptiveLimit,
    /// Failures, ejection and stall detection.
    pub health: UpstreamHealth,
    /// Measured prefill and decode speed.
    pub speed: SpeedMeter,
    /// Attempts of this daemon in progress on it.
    pub slots_used: u32,
    /// Batch tokens of those attempts.
    pub tokens_used: u64,
    /// Prompt tokens that this daemon dispatched and whose first token has not arrived.
    pub pending_prefill: u64,
    load_report: Option<ReceivedLoadReport>,
}

impl UpstreamState {
    /// Creates the state of an upstream that was added to the configuration. With `ramp_up` its
    /// share of the limit grows over time.
    #[must_use]
    pub fn new(now: MonotonicTime, name: UpstreamName, spec: &UpstreamSpec, ramp_up: bool) -> Self {
        Self {
            name,
            service: spec.service.clone(),
            version: spec.version.clone(),
            local: false,
            closed: false,
            leaving: false,
            limit: AdaptiveLimit::new(spec.slots, spec.batch_tokens),
            health: UpstreamHealth::new(now, ramp_up),
            speed: SpeedMeter::default(),
            slots_used: 0,
            tokens_used: 0,
            pending_prefill: 0,
            load_report: None,
        }
    }

    /// Applies the settings that operators may change while the upstream runs.
    pub fn apply_spec(&mut self, spec: &UpstreamSpec, zone: &ZoneName) {
        self.version.clone_from(&spec.version);
        self.local = spec.zone == *zone;
        self.closed = spec.draining;
    }

    /// Returns the work that it may have in progress now, bounded by its limit, its health and the
    /// grant. Zero if it gets no new work.
    #[must_use]
    pub fn allowance(&self, now: MonotonicTime, grant: Option<&SlotGrant>) -> WorkAllowance {
        let limit = self.limit.slots();
        let granted = grant.map_or(limit, |grant| grant.slots.min(limit));
        let share = self.health.capacity_fraction(now);
        if self.closed || self.leaving || granted == 0 || share <= 0.0 {
            return WorkAllowance::default();
        }
        let slots = ((f64::from(granted) * share) as u32).max(1);
        let tokens = (self.limit.tokens() as f64 * share) as u64;
        WorkAllowance { slots, tokens }
    }

    /// Whether a request with this many batch tokens fits. An upstream without work accepts any
    /// size.
    #[must_use]
    pub fn has_room(&self, allowance: WorkAllowance, batch_tokens: u64) -> bool {
        let fits = self.tokens_used + batch_tokens <= allowance.tokens;
        self.slots_used < allowance.slots && (fits || self.slots_used == 0)
    }

    /// Whether it has work and has sent no data for longer than its speed explains.
    #[must_use]
    pub fn is_stalled(&self, now: MonotonicTime, speed: SpeedEstimate) -> bool {
        if self.slots_used == 0 {
            return false;
        }
        let first = speed.first_token_seconds(self.pending_prefill as f64);
        let usual = Duration::from_secs_f64(first + speed.gap * STALL_TOKEN_GAPS);
        self.health.is_stalled(now, usual)
    }

    /// Records the used part of the allowance, from which the limit decides whether to grow.
    pub fn record_use(&mut self, allowance: WorkAllowance) {
        let slots = f64::from(self.slots_used) / f64::from(allowance.slots.max(1));
        let tokens = self.tokens_used as f64 / allowance.tokens.max(1) as f64;
        self.limit.record_use(LimitUse { slots, tokens });
    }

    /// Records a load report.
    pub fn record_load(&mut self, now: MonotonicTime, report: LoadReport) {
        self.load_report = Some(ReceivedLoadReport {
            report,
            received_at: now,
        });
    }

    /// Returns the number of requests that wait inside the engine by its latest load report,
    /// weighted down by the report's age.
    #[must_use]
    pub fn reported_waiting(&self, now: MonotonicTime) -> f64 {
        let Some(load_report) = self.load_report else {
            return 0.0;
        };
        let age = now.since(load_report.received_at) + load_report.report.age;
        if age > MAX_LOAD_REPORT_AGE {
            return 0.0;
        }
        let weight = (-age.as_secs_f64() / LOAD_REPORT_DECAY.as_secs_f64()).exp();
        f64::from(load_report.report.waiting) * weight
    }
}

/// All upstreams of the scheduler, by name and by number.
#[derive(Debug, Default)]
pub struct UpstreamFleet {
    ids: BTreeMap<UpstreamName, UpstreamId>,
    states: BTreeMap<UpstreamId, UpstreamState>,
    next_id: u32,
}

impl UpstreamFleet {
    /// Returns the number of an upstream.
    #[must_use]
    pub fn id(&self, name: &UpstreamName) -> Option<UpstreamId> {
        self.ids.get(name).copied()
    }

    /// Returns the state of an upstream.
    #[must_use]
    pub fn get(&self, id: UpstreamId) -> Option<&UpstreamState> {
        self.states.get(&id)
    }

    /// Returns the state of an upstream for changes.
    pub fn get_mut(&mut self, id: UpstreamId) -> Option<&mut UpstreamState> {
        self.states.get_mut(&id)
    }

    /// Iterates over all states for changes.
    pub fn states_mut(&mut self) -> impl Iterator<Item = &mut UpstreamState> {
        self.states.values_mut()
    }

    /// Adds an upstream and returns its number.
    pub fn insert(&mut self, state: UpstreamState) -> UpstreamId {
        let id = UpstreamId(self.next_id);
        self.next_id += 1;
        self.ids.insert(state.name.clone(), id);
        self.states.insert(id, state);
        id
    }

    /// Closes the upstreams for which `keep` is false and removes those of them that have no work.
    /// Returns the removed ones.
    pub fn retire(&mut self, keep: impl Fn(&UpstreamState) -> bool) -> Vec<UpstreamId> {
        let mut removed = Vec::new();
        for (id, state) in &mut self.states {
            if keep(state) {
                continue;
            }
            state.closed = true;
            if state.slots_used == 0 {
                removed.push(*id);
            }
        }
        for id in &removed {
            if let Some(state) = self.states.remove(id)
                && self.ids.get(&state.name) == Some(id)
            {
                self.ids.remove(&state.name);
            }
        }
        removed
    }

    /// Frees a name, so that an upstream of the same name can be added while the old one's work
    /// ends.
    pub fn release_name(&mut self, name: &UpstreamName) {
        self.ids.remove(name);
    }
}
