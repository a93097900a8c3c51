//! Upstreams as they registered themselves, and what this daemon has seen of each.

use crate::{
    evacuation::{EvacuationOrder, EvacuationTable},
    label::{ServiceLabel, UpstreamLabel, VersionLabel, ZoneLabel},
    latency::LatencyModel,
    outlier::OutlierState,
    peer::name_digest,
    upstream_limit::UpstreamLimit,
    warmup::WarmupSpec,
};
use savorywood_protocol::MonotonicTime;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

/// A registration that vanished while the store was failing may come back within this time.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(1_700);
/// The store counts as failing for this long after a failed call.
const STORE_FAILURE_WINDOW: Duration = Duration::from_secs(4);

/// A start that left as announced is remembered for this long: a store that is restored from an
/// older backup would bring it back.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);

/// One upstream's registration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Names this incarnation.
    pub name: UpstreamLabel,
    /// Service that it serves.
    pub service: ServiceLabel,
    /// Where.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneLabel,
    /// Version of its software.
    pub version: VersionLabel,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It is about to leave.
    pub draining: bool,
    /// Its start, to distinguish a second life under the same name.
    pub incarnation: u64,
    /// Time for which it was still cold when it wrote this.
    pub cold_for: Duration,
}

/// An upstream and what was seen of it.
#[derive(Debug, Clone)]
pub struct UpstreamState {
    /// Its newest registration.
    pub entry: UpstreamEntry,
    /// Digest of its name, by which messages between daemons speak of it.
    pub digest: u64,
    /// Requests of this daemon there.
    pub running: u32,
    /// Prompt tokens of these of which no event has come yet.
    pub unread_tokens: u32,
    /// Number of this daemon's dispatch that came here last.
    pub last_dispatch_number: u64,
    /// Failures.
    pub outlier: OutlierState,
    /// Speed.
    pub latency: LatencyModel,
    /// When something of an answer came from it last.
    pub last_received_at: MonotonicTime,
    /// The registration vanished; until then it may come back.
    pub removed_at: Option<MonotonicTime>,
    /// Its zone is under evacuation.
    pub evacuated: bool,
    /// Until then it is cold.
    pub cold_until: MonotonicTime,
    /// Rate that it takes from all daemons together.
    pub limit: UpstreamLimit,
    /// When this daemon sent something there last.
    pub last_dispatch_at: MonotonicTime,
    /// Connections to it failed, or it fell silent, and no good answer has come since.
    pub unreachable: bool,
}

impl UpstreamState {
    fn new(entry: UpstreamEntry) -> Self {
        Self {
            digest: name_digest(entry.name.as_str()),
            entry,
            running: 0,
            unread_tokens: 0,
            last_dispatch_number: 0,
            outlier: OutlierState::default(),
            latency: LatencyModel::default(),
            last_received_at: MonotonicTime::default(),
            removed_at: None,
            evacuated: false,
            cold_until: MonotonicTime::default(),
            limit: UpstreamLimit::default(),
            last_dispatch_at: MonotonicTime::default(),
            unreachable: false,
        }
    }

    /// It takes new work.
    #[must_use]
    pub fn is_open(&self, now: MonotonicTime) -> bool {
        !self.entry.draining && !self.evacuated && self.removed_at.is_none_or(|at| now < at)
    }

    /// It has started lately and bears only a part of its load.
    #[must_use]
    pub fn is_cold(&self, now: MonotonicTime) -> bool {
        now < self.cold_until
    }

    /// It is cold at least until then.
    pub fn extend_cold(&mut self, until: MonotonicTime) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Puts a newer registration in force. A row that is read once more says nothing new of how
    /// long the upstream stays cold, and one of a restored store may be older than the known one: a
    /// start that has begun to leave goes on leaving.
    fn apply_registration(&mut self, now: MonotonicTime, mut entry: UpstreamEntry) {
        entry.draining |= self.entry.draining;
        if entry != self.entry {
            self.extend_cold(now + entry.cold_for);
        }
        self.entry = entry;
    }
}

/// Change of one upstream, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum FleetChange {
    /// It is new.
    Joined,
    /// It began to leave.
    Draining,
    /// It is gone.
    Left,
    /// It came back under the same name, knowing nothing.
    #[strum(serialize = "reborn")]
    Restarted,
    /// It became cold.
    Cold,
}

/// All upstreams.
#[derive(Debug, Clone, Default)]
pub struct UpstreamFleet {
    states: BTreeMap<UpstreamLabel, UpstreamState>,
    service_latencies: BTreeMap<ServiceLabel, LatencyModel>,
    warmups: BTreeMap<ServiceLabel, WarmupSpec>,
    evacuations: EvacuationTable,
    store_failed_at: Option<MonotonicTime>,
    /// Starts that left as announced.
    departed: BTreeMap<UpstreamLabel, UpstreamDeparture>,
}

/// A start of an upstream that left as announced.
#[derive(Debug, Clone, Copy)]
struct UpstreamDeparture {
    born: u64,
    at: MonotonicTime,
}

impl UpstreamFleet {
    /// An upstream.
    #[must_use]
    pub fn get(&self, name: &UpstreamLabel) -> Option<&UpstreamState> {
        self.states.get(name)
    }

    /// An upstream, to change what was seen of it.
    pub fn get_mut(&mut self, name: &UpstreamLabel) -> Option<&mut UpstreamState> {
        self.states.get_mut(name)
    }

    /// Something of an answer came from an upstream.
    pub fn record_received(&mut self, now: MonotonicTime, name: &UpstreamLabel) {
        if let Some(state) = self.states.get_mut(name) {
            state.last_received_at = now;
        }
    }

    /// Upstreams of a service.
    pub fn members<'a>(
        &'a self,
        service: &'a ServiceLabel,
    ) -> impl Iterator<Item = &'a UpstreamState> {
        let states = self.states.values();
        states.filter(move |state| state.entry.service == *service)
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &UpstreamState> {
        self.states.values()
    }

    /// All upstreams, to change what was seen of them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut UpstreamState> {
        self.states.values_mut()
    }

    /// Some upstream names a limit.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        let mut states = self.states.values();
        states.any(|state| state.limit.limit().is_some())
    }

    /// What is usual at a service.
    #[must_use]
    pub fn service_latency(&self, service: &ServiceLabel) -> LatencyModel {
        self.service_latencies
            .get(service)
            .cloned()
            .unwrap_or_default()
    }

    /// The same, to change it.
    pub fn service_latency_mut(&mut self, service: &ServiceLabel) -> &mut LatencyModel {
        self.service_latencies.entry(service.clone()).or_default()
    }

    /// Median share of failures at a service.
    #[must_use]
    pub fn median_failure_ratio(&self, now: MonotonicTime, service: &ServiceLabel) -> f64 {
        let members = self.members(service);
        let mut shares: Vec<f64> = members
            .map(|state| state.outlier.failure_ratio(now))
            .collect();
        shares.sort_by(f64::total_cmp);
        shares.get(shares.len() / 2).copied().unwrap_or_default()
    }

    /// The store failed to answer.
    pub fn record_store_failure(&mut self, now: MonotonicTime) {
        self.store_failed_at = self.store_failed_at.max(Some(now));
    }

    fn is_store_settled(&self, now: MonotonicTime) -> bool {
        self.store_failed_at
            .is_none_or(|at| now.since(at) > STORE_FAILURE_WINDOW)
    }

    /// A registration was written.
    pub fn upsert(&mut self, now: MonotonicTime, entry: UpstreamEntry) -> Option<FleetChange> {
        let has_departed = self
            .departed
            .get(&entry.name)
            .is_some_and(|left| left.born == entry.incarnation);
        if has_departed && entry.incarnation != 0 {
            return None;
        }
        let Some(state) = self.states.get_mut(&entry.name) else {
            let change = if entry.draining {
                FleetChange::Draining
            } else {
                FleetChange::Joined
            };
            let state = self.new_state(now, entry);
            self.states.insert(state.entry.name.clone(), state);
            return Some(change);
        };
        state.removed_at = None;
        if state.entry.incarnation != entry.incarnation && entry.incarnation != 0 {
            let (running, unread, sent_at) =
                (state.running, state.unread_tokens, state.last_dispatch_at);
            let restarted = UpstreamState {
                running,
                unread_tokens: unread,
                last_dispatch_at: sent_at,
                limit: UpstreamLimit::for_new_incarnation(now),
                ..self.new_state(now, entry)
            };
            self.states.insert(restarted.entry.name.clone(), restarted);
            return Some(FleetChange::Restarted);
        }
        let drains = entry.draining && !state.entry.draining;
        let cools = !state.is_cold(now);
        state.apply_registration(now, entry);
        if drains {
            return Some(FleetChange::Draining);
        }
        (cools && state.is_cold(now)).then_some(FleetChange::Cold)
    }

    /// State of an upstream of which nothing is known but its registration.
    fn new_state(&self, now: MonotonicTime, entry: UpstreamEntry) -> UpstreamState {
        let mut state = UpstreamState::new(entry);
        state.evacuated = self.evacuations.contains(&state.entry.zone);
        state.extend_cold(now + state.entry.cold_for);
        state
    }

    /// How upstreams of services start.
    pub fn set_warmups(&mut self, warmups: BTreeMap<ServiceLabel, WarmupSpec>) {
        self.warmups = warmups;
    }

    /// Upstreams of some service start slowly.
    #[must_use]
    pub fn has_warmups(&self) -> bool {
        !self.warmups.is_empty()
    }

    /// How upstreams of a service start.
    #[must_use]
    pub fn warmup(&self, service: &ServiceLabel) -> Option<&WarmupSpec> {
        self.warmups.get(service)
    }

    /// Zones under evacuation.
    #[must_use]
    pub fn evacuations(&self) -> &EvacuationTable {
        &self.evacuations
    }

    /// An operator evacuates a zone; whether that is new.
    pub fn evacuate(&mut self, order: EvacuationOrder) -> bool {
        let zone = order.zone.clone();
        let is_new = self.evacuations.apply(order);
        if is_new {
            for state in self.states_in(&zone) {
                state.evacuated = true;
            }
        }
        is_new
    }

    /// An operator takes an evacuation back; whether there was one. Upstreams of the zone may have
    /// become cold meanwhile, and their registrations say so later than the operator.
    pub fn end_evacuation(&mut self, now: MonotonicTime, order: EvacuationOrder) -> bool {
        let zone = order.zone.clone();
        let is_end = self.evacuations.withdraw(order);
        if is_end {
            let warmups = self.warmups.clone();
            for state in self.states_in(&zone) {
                state.evacuated = false;
                if let Some(warmup) = warmups.get(&state.entry.service) {
                    state.extend_cold(now + warmup.duration);
                }
            }
        }
        is_end
    }

    fn states_in<'a>(
        &'a mut self,
        zone: &'a ZoneLabel,
    ) -> impl Iterator<Item = &'a mut UpstreamState> {
        let states = self.states.values_mut();
        states.filter(move |state| state.entry.zone == *zone)
    }

    /// An upstream that was lost answers again: it may have started anew, and its registration says
    /// so later than its answer.
    pub fn record_recovery(&mut self, now: MonotonicTime, name: &UpstreamLabel) {
        if let Some(state) = self.states.get_mut(name)
            && std::mem::take(&mut state.unreachable)
            && let Some(warmup) = self.warmups.get(&state.entry.service)
        {
            state.extend_cold(now + warmup.duration);
        }
    }

    /// A registration was removed.
    ///
    /// While the store fails, registrations expire though their owners live; they are back within
    /// two seconds of its return. Taken for gone at once, a whole service would be empty after
    /// each outage, and every request refused.
    pub fn remove(&mut self, now: MonotonicTime, name: &UpstreamLabel) -> Option<FleetChange> {
        let settled = self.is_store_settled(now);
        let state = self.states.get_mut(name)?;
        if state.removed_at.is_some() {
            return None;
        }
        let grace = if settled || state.entry.draining {
            Duration::ZERO
        } else {
            REREGISTRATION_GRACE
        };
        state.removed_at = Some(now + grace);
        Some(FleetChange::Left)
    }

    /// All registrations were read: whatever is not among them was removed.
    pub fn replace_all(
        &mut self,
        now: MonotonicTime,
        entries: Vec<UpstreamEntry>,
    ) -> Vec<(UpstreamLabel, FleetChange)> {
        let mut changes = Vec::new();
        let names: BTreeSet<&UpstreamLabel> = entries.iter().map(|entry| &entry.name).collect();
        let known = self.states.keys();
        let missing = known.filter(|name| !names.contains(name));
        let missing: Vec<UpstreamLabel> = missing.cloned().collect();
        for name in missing {
            changes.extend(self.remove(now, &name).map(|change| (name, change)));
        }
        for entry in entries {
            let name = entry.name.clone();
            changes.extend(self.upsert(now, entry).map(|change| (name, change)));
        }
        changes
    }

    /// Forgets upstreams that are gone and have no request left.
    pub fn remove_ended(&mut self, now: MonotonicTime) {
        let is_over = |state: &UpstreamState| {
            state.running == 0 && state.removed_at.is_some_and(|at| now >= at)
        };
        for state in self.states.values().filter(|state| is_over(state)) {
            if state.entry.draining {
                let departure = UpstreamDeparture {
                    born: state.entry.incarnation,
                    at: now,
                };
                self.departed.insert(state.entry.name.clone(), departure);
            }
        }
        self.states.retain(|_, state| !is_over(state));
        self.departed
            .retain(|_, left| now.since(left.at) < DEPARTURE_RETENTION);
    }
}
