//! Registered upstreams, and the state that this daemon tracks for each of them.

use crate::{
    evacuation::{EvacuationOrder, EvacuationTable},
    health::UpstreamPace,
    label::{ServiceLabel, UpstreamLabel, VersionLabel, ZoneLabel},
    latency::LatencyModel,
    outlier::OutlierState,
    peer::name_digest,
    placing::SlotReservation,
    rejection_limit::{DividedUpstream, RejectionBudget, RejectionDivision, RejectionLimits},
    upstream_limit::UpstreamLimit,
    upstream_memory::UpstreamMemory,
    warmup::WarmupSpec,
};
use savorywood_protocol::MonotonicTime;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

/// Grace period for a registration that disappears while the store is failing.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(1_700);
/// The store counts as failing for this long after a failed call.
const STORE_FAILURE_WINDOW: Duration = Duration::from_secs(4);

/// Time for which an incarnation that ended is recorded, as a store that is restored from an older
/// backup would register it again.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);

/// Registration of one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Name of this incarnation of the upstream.
    pub name: UpstreamLabel,
    /// Service that the upstream belongs to.
    pub service: ServiceLabel,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Availability zone of the upstream.
    pub zone: ZoneLabel,
    /// Version of its software.
    pub version: VersionLabel,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// The upstream is shutting down and accepts no new requests.
    pub draining: bool,
    /// Number of the incarnation, which distinguishes restarts under the same name; zero if the
    /// registration has none.
    pub incarnation: u64,
    /// Remaining time for which the upstream is cold, as of the registration.
    pub cold_for: Duration,
}

/// State of one upstream.
#[derive(Debug, Clone)]
pub struct UpstreamState {
    /// Most recent registration.
    pub entry: UpstreamEntry,
    /// Digest of the name, which identifies the upstream in messages between daemons.
    pub digest: u64,
    /// Number of requests of this daemon in progress.
    pub running: u32,
    /// Prompt tokens of these requests that wait for their first event.
    pub unread_prompt_tokens: u32,
    /// Tokens that requests hold of its memory.
    pub memory: UpstreamMemory,
    /// Sequence number of this daemon's last dispatch to the upstream.
    pub last_dispatch_number: u64,
    /// Failures and ejection.
    pub outlier: OutlierState,
    /// Latency estimates.
    pub latency: LatencyModel,
    /// Pace that it reports; without readings while they are not used.
    pub pace: UpstreamPace,
    /// Time at which response data was last received.
    pub last_received_at: MonotonicTime,
    /// Time from which the removal of the registration takes effect; `None` while it is registered.
    pub removed_at: Option<MonotonicTime>,
    /// Its zone is under evacuation.
    pub evacuated: bool,
    /// Time until which the upstream is cold.
    pub cold_until: MonotonicTime,
    /// Rate limit that the upstream announces for all daemons together.
    pub limit: UpstreamLimit,
    /// Time until which the upstream wants no requests of this daemon.
    pub paused_until: MonotonicTime,
    /// What this daemon may cause of its rejections while they are limited.
    pub rejections: RejectionBudget,
    /// Reservation of its slots, if they are enabled.
    pub reservation: SlotReservation,
    /// Time of this daemon's last dispatch to the upstream.
    pub last_dispatch_at: MonotonicTime,
    /// Slots that are held for streams of stalled upstreams; included in `running`.
    pub held_slots: u32,
    /// Connections to it failed, or it stalled, and no successful response has followed.
    pub unreachable: bool,
}

impl UpstreamState {
    fn new(entry: UpstreamEntry) -> Self {
        Self {
            digest: name_digest(entry.name.as_str()),
            entry,
            running: 0,
            unread_prompt_tokens: 0,
            memory: UpstreamMemory::default(),
            last_dispatch_number: 0,
            outlier: OutlierState::default(),
            latency: LatencyModel::default(),
            pace: UpstreamPace::default(),
            last_received_at: MonotonicTime::default(),
            removed_at: None,
            evacuated: false,
            cold_until: MonotonicTime::default(),
            limit: UpstreamLimit::default(),
            paused_until: MonotonicTime::default(),
            rejections: RejectionBudget::default(),
            reservation: SlotReservation::default(),
            last_dispatch_at: MonotonicTime::default(),
            held_slots: 0,
            unreachable: false,
        }
    }

    /// Returns true if the upstream accepts new requests.
    #[must_use]
    pub fn accepts_requests(&self, now: MonotonicTime) -> bool {
        !self.entry.draining && !self.evacuated && self.removed_at.is_none_or(|at| now < at)
    }

    /// Returns true if the upstream has recently started and can take only part of its load.
    #[must_use]
    pub fn is_cold(&self, now: MonotonicTime) -> bool {
        now < self.cold_until
    }

    /// Returns true if the upstream asked this daemon for a pause that has not passed.
    #[must_use]
    pub fn is_paused(&self, now: MonotonicTime) -> bool {
        now < self.paused_until
    }

    /// Extends the pause to at least the given time.
    pub fn extend_pause(&mut self, until: MonotonicTime) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Extends the cold period to at least the given time.
    pub fn extend_cold(&mut self, until: MonotonicTime) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Applies a newer registration. An unchanged row does not extend the cold period. A row of a
    /// restored store may be older than the current one, so an incarnation that drains continues to
    /// drain.
    fn apply_registration(&mut self, now: MonotonicTime, mut entry: UpstreamEntry) {
        entry.draining |= self.entry.draining;
        if entry != self.entry {
            self.extend_cold(now + entry.cold_for);
        }
        self.entry = entry;
    }
}

/// Change of one upstream, as logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum FleetChange {
    /// A new upstream was registered.
    Joined,
    /// The upstream started to drain.
    Draining,
    /// The registration was removed.
    Left,
    /// A new incarnation was registered under the same name, with no state.
    #[strum(serialize = "reborn")]
    Restarted,
    /// The upstream became cold.
    Cold,
}

/// All registered upstreams, with the state of their services and zones.
#[derive(Debug, Clone, Default)]
pub struct UpstreamFleet {
    states: BTreeMap<UpstreamLabel, UpstreamState>,
    service_latencies: BTreeMap<ServiceLabel, LatencyModel>,
    warmups: BTreeMap<ServiceLabel, WarmupSpec>,
    /// Declared memory of each upstream of a service, in tokens.
    memories: BTreeMap<ServiceLabel, u64>,
    rejection_limits: RejectionLimits,
    evacuations: EvacuationTable,
    store_failed_at: Option<MonotonicTime>,
    /// Incarnations that ended after draining.
    departed: BTreeMap<UpstreamLabel, DepartedIncarnation>,
}

/// An incarnation whose registration was removed.
#[derive(Debug, Clone, Copy)]
struct DepartedIncarnation {
    incarnation: u64,
    at: MonotonicTime,
    kind: DepartureKind,
}

/// How an incarnation left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DepartureKind {
    /// After it had drained. It does not come back.
    Drained,
    /// Without draining. It may only have been silent, and registers again if it lives.
    Unannounced,
}

impl UpstreamFleet {
    /// Returns the state of an upstream.
    #[must_use]
    pub fn get(&self, name: &UpstreamLabel) -> Option<&UpstreamState> {
        self.states.get(name)
    }

    /// Returns the mutable state of an upstream.
    pub fn get_mut(&mut self, name: &UpstreamLabel) -> Option<&mut UpstreamState> {
        self.states.get_mut(name)
    }

    /// Records that response data was received from an upstream.
    pub fn record_received(&mut self, now: MonotonicTime, name: &UpstreamLabel) {
        if let Some(state) = self.states.get_mut(name) {
            state.last_received_at = now;
        }
    }

    /// Iterates over the upstreams of a service.
    pub fn members<'a>(
        &'a self,
        service: &'a ServiceLabel,
    ) -> impl Iterator<Item = &'a UpstreamState> {
        let states = self.states.values();
        states.filter(move |state| state.entry.service == *service)
    }

    /// Iterates over all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &UpstreamState> {
        self.states.values()
    }

    /// Iterates mutably over all upstreams.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut UpstreamState> {
        self.states.values_mut()
    }

    /// Returns true if any upstream announces a rate limit.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        let mut states = self.states.values();
        states.any(|state| state.limit.limit().is_some())
    }

    /// Returns the limits of rejections that upstreams announced.
    #[must_use]
    pub fn rejection_limits(&self) -> &RejectionLimits {
        &self.rejection_limits
    }

    /// Returns the mutable limits of rejections.
    pub fn rejection_limits_mut(&mut self) -> &mut RejectionLimits {
        &mut self.rejection_limits
    }

    /// Takes dispatches to upstreams with limited rejections as accepted that have been pending for
    /// long enough.
    pub fn settle_rejections(&mut self, now: MonotonicTime) {
        for state in self.states.values_mut() {
            if self.rejection_limits.is_active(now, &state.entry.service) {
                state.rejections.settle(now);
            }
        }
    }

    /// Recomputes the parts of the daemon `own` of all upstreams with limited rejections.
    pub fn refresh_owned_parts(&mut self, now: MonotonicTime, division: &RejectionDivision<'_>) {
        for state in self.states.values_mut() {
            let service = &state.entry.service;
            let Some(limit) = self.rejection_limits.limit(now, service) else {
                continue;
            };
            let upstream = DividedUpstream {
                key: state.digest,
                slots: state.entry.slots,
                zone: &state.entry.zone,
            };
            division.apply(now, upstream, limit.into(), &mut state.rejections);
        }
    }

    /// Returns the latency model of all upstreams of a service.
    #[must_use]
    pub fn service_latency(&self, service: &ServiceLabel) -> LatencyModel {
        self.service_latencies
            .get(service)
            .cloned()
            .unwrap_or_default()
    }

    /// Returns the mutable latency model of a service.
    pub fn service_latency_mut(&mut self, service: &ServiceLabel) -> &mut LatencyModel {
        self.service_latencies.entry(service.clone()).or_default()
    }

    /// Returns the median failure ratio of the upstreams of a service, between 0 and 1.
    #[must_use]
    pub fn median_failure_ratio(&self, now: MonotonicTime, service: &ServiceLabel) -> f64 {
        let members = self.members(service);
        let mut ratios: Vec<f64> = members
            .map(|state| state.outlier.failure_ratio(now))
            .collect();
        ratios.sort_by(f64::total_cmp);
        ratios.get(ratios.len() / 2).copied().unwrap_or_default()
    }

    /// Records a failed call to the store.
    pub fn record_store_failure(&mut self, now: MonotonicTime) {
        self.store_failed_at = self.store_failed_at.max(Some(now));
    }

    fn is_store_settled(&self, now: MonotonicTime) -> bool {
        self.store_failed_at
            .is_none_or(|at| now.since(at) > STORE_FAILURE_WINDOW)
    }

    /// Adds or updates an upstream by its registration. Returns the change to be logged.
    pub fn upsert(&mut self, now: MonotonicTime, entry: UpstreamEntry) -> Option<FleetChange> {
        let departure = self.departed.get(&entry.name);
        if let Some(departure) = departure.filter(|past| past.incarnation == entry.incarnation) {
            match departure.kind {
                DepartureKind::Drained if entry.incarnation != 0 => return None,
                DepartureKind::Drained => {}
                DepartureKind::Unannounced => {
                    self.departed.remove(&entry.name);
                }
            }
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
            let (running, unread, sent_at, memory) = (
                state.running,
                state.unread_prompt_tokens,
                state.last_dispatch_at,
                state.memory,
            );
            // It may have as little room as before, and what it rejected before may have ended it.
            let rejections = std::mem::take(&mut state.rejections);
            let restarted = UpstreamState {
                running,
                unread_prompt_tokens: unread,
                memory,
                last_dispatch_at: sent_at,
                rejections,
                limit: UpstreamLimit::for_new_incarnation(now),
                ..self.new_state(now, entry)
            };
            self.states.insert(restarted.entry.name.clone(), restarted);
            return Some(FleetChange::Restarted);
        }
        let starts_draining = entry.draining && !state.entry.draining;
        let was_warm = !state.is_cold(now);
        state.apply_registration(now, entry);
        if starts_draining {
            return Some(FleetChange::Draining);
        }
        (was_warm && state.is_cold(now)).then_some(FleetChange::Cold)
    }

    /// Creates the state of an upstream that has only a registration.
    fn new_state(&self, now: MonotonicTime, entry: UpstreamEntry) -> UpstreamState {
        let mut state = UpstreamState::new(entry);
        state.evacuated = self.evacuations.contains(&state.entry.zone);
        state.extend_cold(now + state.entry.cold_for);
        state
    }

    /// Sets the slow start of services; services that are not in the map have none.
    pub fn set_warmups(&mut self, warmups: BTreeMap<ServiceLabel, WarmupSpec>) {
        self.warmups = warmups;
    }

    /// Sets the declared memory of each upstream of a service, in tokens; services that are not in the
    /// map have none.
    pub fn set_memories(&mut self, memories: BTreeMap<ServiceLabel, u64>) {
        self.memories = memories;
    }

    /// Returns the declared memory of each upstream of a service, in tokens.
    #[must_use]
    pub fn memory(&self, service: &ServiceLabel) -> Option<u64> {
        self.memories.get(service).copied()
    }

    /// Returns true if any service has a slow start.
    #[must_use]
    pub fn has_warmups(&self) -> bool {
        !self.warmups.is_empty()
    }

    /// Returns the slow start of a service; `None` if it has none.
    #[must_use]
    pub fn warmup(&self, service: &ServiceLabel) -> Option<&WarmupSpec> {
        self.warmups.get(service)
    }

    /// Returns the evacuations of zones.
    #[must_use]
    pub fn evacuations(&self) -> &EvacuationTable {
        &self.evacuations
    }

    /// Evacuates a zone. Returns true if it was not under evacuation before.
    pub fn evacuate(&mut self, order: EvacuationOrder) -> bool {
        let zone = order.zone.clone();
        let is_new = self.evacuations.apply(order);
        if is_new {
            for state in self.states_in_zone(&zone) {
                state.evacuated = true;
            }
        }
        is_new
    }

    /// Ends an evacuation. Returns true if there was one. Upstreams of the zone may have become
    /// cold meanwhile, and their registrations report that later than the operator's order, so they
    /// are treated as cold.
    pub fn end_evacuation(&mut self, now: MonotonicTime, order: EvacuationOrder) -> bool {
        let zone = order.zone.clone();
        let was_evacuated = self.evacuations.withdraw(order);
        if was_evacuated {
            let warmups = self.warmups.clone();
            for state in self.states_in_zone(&zone) {
                state.evacuated = false;
                if let Some(warmup) = warmups.get(&state.entry.service) {
                    state.extend_cold(now + warmup.duration);
                }
            }
        }
        was_evacuated
    }

    fn states_in_zone<'a>(
        &'a mut self,
        zone: &'a ZoneLabel,
    ) -> impl Iterator<Item = &'a mut UpstreamState> {
        let states = self.states.values_mut();
        states.filter(move |state| state.entry.zone == *zone)
    }

    /// Records that an upstream announced that it leaves, which its registration may report later or
    /// never. It holds for the incarnation, as a registered drain does. Returns true if it is news.
    pub fn record_leaving(&mut self, name: &UpstreamLabel) -> bool {
        let state = self.states.get_mut(name);
        state.is_some_and(|state| !std::mem::replace(&mut state.entry.draining, true))
    }

    /// Records that an unreachable upstream responds again. It may have restarted, and its
    /// registration reports that later than the response, so it is treated as cold.
    pub fn record_recovery(&mut self, now: MonotonicTime, name: &UpstreamLabel) {
        if let Some(state) = self.states.get_mut(name)
            && std::mem::take(&mut state.unreachable)
            && let Some(warmup) = self.warmups.get(&state.entry.service)
        {
            state.extend_cold(now + warmup.duration);
        }
    }

    /// Records that a registration was removed.
    ///
    /// While the store fails, registrations expire although their upstreams are running; they are
    /// registered again within two seconds of the store's recovery. Without a grace period, a whole
    /// service would be empty after each store outage, and every request refused.
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
        if settled && !state.entry.draining {
            let departure = DepartedIncarnation {
                incarnation: state.entry.incarnation,
                at: now,
                kind: DepartureKind::Unannounced,
            };
            self.departed.insert(name.clone(), departure);
        }
        Some(FleetChange::Left)
    }

    /// Removes the entries of a complete read that a restored store lists although their incarnations
    /// had left before the restore. One that lives writes its registration again.
    pub fn retain_registered(
        &self,
        entries: &mut Vec<UpstreamEntry>,
        restored_at: Option<MonotonicTime>,
    ) {
        let Some(restored_at) = restored_at else {
            return;
        };
        entries.retain(|entry| {
            let departure = self.departed.get(&entry.name);
            !departure.is_some_and(|departure| {
                departure.incarnation == entry.incarnation && departure.at < restored_at
            })
        });
    }

    /// Replaces all registrations; upstreams that are not among them are removed.
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

    /// Removes upstreams whose registration is gone and that have no requests in progress.
    pub fn remove_ended(&mut self, now: MonotonicTime) {
        let has_ended = |state: &UpstreamState| {
            state.running == 0 && state.removed_at.is_some_and(|at| now >= at)
        };
        for state in self.states.values().filter(|state| has_ended(state)) {
            if state.entry.draining {
                let departure = DepartedIncarnation {
                    incarnation: state.entry.incarnation,
                    at: now,
                    kind: DepartureKind::Drained,
                };
                self.departed.insert(state.entry.name.clone(), departure);
            }
        }
        self.states.retain(|_, state| !has_ended(state));
        self.departed
            .retain(|_, departure| now.since(departure.at) < DEPARTURE_RETENTION);
    }
}
