//! Roll-outs: traffic of a service moves to a new version within a time limit, or is rolled back.

mod pace;

use crate::{
    label::{ServiceLabel, VersionLabel},
    message::VersionTally,
    peer::name_digest,
    position::StorePosition,
    selection::VersionFilter,
};
pub use pace::{PaceSums, VersionUpstreams};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};
use strum::{Display, EnumString, IntoStaticStr};

/// Order of an operator to roll out a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service whose traffic moves.
    pub service: ServiceLabel,
    /// Version that the traffic moves to.
    pub target_version: VersionLabel,
    /// Time from the receipt of the order until the roll-out is complete.
    pub time_limit: Duration,
    /// Position of the order's row in the store.
    pub position: StorePosition,
}

/// Phase of a roll-out, as shown to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RolloutPhase {
    /// Traffic is moving to the new version.
    Running,
    /// All traffic goes to the new version.
    Completed,
    /// All traffic goes to the old versions.
    RolledBack,
}

/// Status row of a roll-out, as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// Service of the roll-out.
    pub service: ServiceLabel,
    /// Target version; `None` if the row is malformed.
    pub target_version: Option<VersionLabel>,
    /// Recorded phase; `None` if the row is missing or malformed.
    pub phase: Option<RolloutPhase>,
    /// Position of the row; its version is zero if there is no row.
    pub position: StorePosition,
}

/// Conditional write of a status row, which requires that the row has not changed since it was
/// read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutWrite {
    /// Service of the roll-out.
    pub service: ServiceLabel,
    /// Target version.
    pub target_version: VersionLabel,
    /// Phase to record.
    pub phase: RolloutPhase,
    /// Required position of the row; with version zero the row must not exist.
    pub expected_position: StorePosition,
}

/// Number of responses of the new version that are needed to accept it.
const MIN_RESPONSES: u32 = 30;
/// Number of bad responses of the new version that are needed to reject it.
const MIN_BAD_RESPONSES: u32 = 3;
/// Fraction of the allowed canary share that is used.
const CANARY_SHARE_FRACTION: f64 = 0.6;
/// Fraction of the time limit after which a version that is verified and not rejected may receive
/// any request.
const CANARY_END_FRACTION: f64 = 0.45;
/// Fraction of the time limit after which the old versions receive no traffic.
const SWITCH_FRACTION: f64 = 0.7;
/// Fraction of the time limit after which the roll-out is completed.
const COMPLETION_FRACTION: f64 = 0.85;

/// Factor by which the responses of a new version may be slower than those of the old ones.
const MAX_SLOWDOWN: f64 = 1.5;
/// The same once the old versions receive no traffic: the new one then bears more load than they did.
const MAX_LOADED_SLOWDOWN: f64 = 2.5;

/// Time for which peers are told of a rejection at least.
const REJECTION_REPORT_PERIOD: Duration = Duration::from_secs(10);

/// Bounds for the canary phase of roll-outs; set by operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CanaryOptions {
    /// Fraction of a service's traffic that a new version may receive in the canary phase.
    pub share: f64,
    /// Requests that this daemon may send to it ahead of its own share.
    pub head_start: f64,
}

/// Requests that a new version may receive ahead of its share, over all daemons.
pub const CANARY_HEAD_START: f64 = 2.0;

#[derive(Debug, Clone)]
struct RolloutState {
    order: RolloutOrder,
    started_at: MonotonicTime,
    own: VersionTally,
    peers: BTreeMap<u64, VersionTally>,
    upstreams: VersionUpstreams,
    phase: RolloutPhase,
    /// Time at which this daemon rejected the version.
    rejected_at: Option<MonotonicTime>,
    /// Position of the status row.
    position: StorePosition,
    written: bool,
    write_pending: bool,
    next_write_at: MonotonicTime,
}

impl RolloutState {
    fn total(&self) -> VersionTally {
        self.sum(|_| true)
    }

    fn sum(&self, includes: impl Fn(u64) -> bool) -> VersionTally {
        let mut total = self.own;
        let peers = self.peers.iter().filter(|(peer, _)| includes(**peer));
        for (_, tally) in peers {
            total.new_responses += tally.new_responses;
            total.new_bad += tally.new_bad;
            total.old_responses += tally.old_responses;
            total.old_bad += tally.old_bad;
            total.dispatched += tally.dispatched;
            total.dispatched_new += tally.dispatched_new;
            total.new_paces.add(&tally.new_paces);
            total.old_paces.add(&tally.old_paces);
            total.rejected |= tally.rejected;
        }
        total
    }

    /// Returns true if the order is unchanged but has a new position, as after a restore of the
    /// store.
    fn is_same_after_restore(&self, order: &RolloutOrder) -> bool {
        let current = &self.order;
        current.position.era < order.position.era
            && current.target_version == order.target_version
            && current.time_limit == order.time_limit
    }

    /// Returns whether peers are told this daemon's tally. They are told of a rejection until they
    /// have had the time to read it in the store.
    fn is_reported(&self, now: MonotonicTime) -> bool {
        let is_recent = |at: MonotonicTime| now.since(at) < REJECTION_REPORT_PERIOD;
        let is_read = self.written && !self.rejected_at.is_some_and(is_recent);
        self.phase == RolloutPhase::Running || (self.own.rejected && !is_read)
    }

    /// Returns whether the next request may go to the new version in the canary phase.
    ///
    /// The tallies of other daemons are older than a round of gossip. Each daemon therefore keeps to a
    /// share of its own requests, too: all of them together would otherwise send their first ones to
    /// the first upstream of the new version at once, and take its queue for the version's fault.
    fn allows_canary(&self, total: &VersionTally, options: CanaryOptions) -> bool {
        let share = options.share * CANARY_SHARE_FRACTION;
        let allowed = f64::from(total.dispatched) * share + CANARY_HEAD_START;
        let own_allowed = f64::from(self.own.dispatched) * share + options.head_start;
        f64::from(total.dispatched_new) < allowed
            && f64::from(self.own.dispatched_new) + 1.0 <= own_allowed
    }

    /// Returns whether the evidence of all daemons is against the new version.
    fn is_rejected(&self, now: MonotonicTime, total: &VersionTally) -> bool {
        let max_slowdown = if self.progress(now) < SWITCH_FRACTION {
            MAX_SLOWDOWN
        } else {
            MAX_LOADED_SLOWDOWN
        };
        total.rejected
            || is_significantly_worse(total)
            || total
                .new_paces
                .is_slower(&total.old_paces, max_slowdown, self.upstreams)
    }

    fn age_ms(&self, now: MonotonicTime) -> u32 {
        u32::try_from(now.since(self.started_at).as_millis()).unwrap_or(u32::MAX)
    }

    fn progress(&self, now: MonotonicTime) -> f64 {
        let elapsed = now.since(self.started_at).as_secs_f64();
        elapsed / self.order.time_limit.as_secs_f64().max(0.001)
    }
}

/// Returns true if the ratio of bad responses is significantly higher at the new version: above
/// that of the old versions by three standard deviations and 0.02.
fn is_significantly_worse(total: &VersionTally) -> bool {
    if total.new_bad < MIN_BAD_RESPONSES || total.new_responses == 0 {
        return false;
    }
    let new = f64::from(total.new_bad) / f64::from(total.new_responses);
    let old = f64::from(total.old_bad) / f64::from(total.old_responses.max(1));
    let std_error = (old.max(0.02) * (1.0 - old.min(0.98)) / f64::from(total.new_responses)).sqrt();
    new > old + 3.0 * std_error + 0.02
}

/// State of all roll-outs by service.
#[derive(Debug, Clone, Default)]
pub struct RolloutTable {
    states: BTreeMap<ServiceLabel, RolloutState>,
}

fn digest(order: &RolloutOrder) -> u64 {
    name_digest(order.service.as_str()) ^ name_digest(order.target_version.as_str()).rotate_left(17)
}

impl RolloutTable {
    /// Applies an order. Returns true if it is new.
    pub fn apply_order(&mut self, now: MonotonicTime, order: RolloutOrder) -> bool {
        if let Some(current) = self.states.get_mut(&order.service) {
            if current.order.position >= order.position {
                return false;
            }
            if current.is_same_after_restore(&order) {
                current.order.position = order.position;
                return false;
            }
        }
        let current = self.states.get(&order.service);
        let own = VersionTally {
            rollout: digest(&order),
            age_ms: 0,
            new_responses: 0,
            new_bad: 0,
            old_responses: 0,
            old_bad: 0,
            dispatched: 0,
            dispatched_new: 0,
            new_paces: PaceSums::default(),
            old_paces: PaceSums::default(),
            rejected: false,
        };
        let position = current.map_or(StorePosition::default(), |state| state.position);
        let state = RolloutState {
            started_at: now,
            own,
            peers: BTreeMap::new(),
            upstreams: VersionUpstreams::default(),
            phase: RolloutPhase::Running,
            rejected_at: None,
            position,
            written: false,
            write_pending: false,
            next_write_at: now,
            order,
        };
        self.states.insert(state.order.service.clone(), state);
        true
    }

    /// Applies a status row. A final phase in the store takes precedence, whichever daemon wrote
    /// it.
    pub fn apply_status(&mut self, status: &RolloutStatus) {
        let Some(state) = self.states.get_mut(&status.service) else {
            return;
        };
        if status.position.era < state.position.era {
            return;
        }
        state.position = status.position;
        if status.target_version.as_ref() != Some(&state.order.target_version) {
            return;
        }
        match status.phase {
            Some(phase @ (RolloutPhase::Completed | RolloutPhase::RolledBack)) => {
                state.phase = phase;
                state.written = true;
            }
            Some(RolloutPhase::Running) => {
                state.written = state.phase == RolloutPhase::Running;
            }
            None => {}
        }
    }

    /// Handles a restore of the store: written rows may be missing, and are written again if the
    /// status differs.
    pub fn on_store_restored(&mut self, era: u64) {
        for state in self.states.values_mut() {
            state.position = StorePosition::new(era, 0);
            state.written = false;
            state.write_pending = false;
        }
    }

    /// Records whether the store accepted a write; `accepted` is false without a response.
    pub fn record_write(&mut self, now: MonotonicTime, service: &ServiceLabel, accepted: bool) {
        if let Some(state) = self.states.get_mut(service) {
            state.write_pending = false;
            state.written |= accepted;
            state.next_write_at = now + Duration::from_millis(400);
        }
    }

    /// Returns which versions may receive the next request of a service.
    pub fn version_filter(
        &self,
        now: MonotonicTime,
        service: &ServiceLabel,
        options: CanaryOptions,
    ) -> VersionFilter {
        let Some(state) = self.states.get(service) else {
            return VersionFilter::Any;
        };
        let to = state.order.target_version.clone();
        match state.phase {
            RolloutPhase::Completed => return VersionFilter::Only(to),
            RolloutPhase::RolledBack => return VersionFilter::Except(to),
            RolloutPhase::Running => {}
        }
        let total = state.total();
        if state.is_rejected(now, &total) {
            return VersionFilter::Except(to);
        }
        let progress = state.progress(now);
        if progress >= SWITCH_FRACTION {
            return VersionFilter::Only(to);
        }
        let slowdown = total.new_paces.slowdown(&total.old_paces);
        let is_verified = total.new_responses >= MIN_RESPONSES
            && slowdown.is_none_or(|slowdown| slowdown <= MAX_SLOWDOWN);
        if progress >= CANARY_END_FRACTION && is_verified {
            return VersionFilter::Any;
        }
        if state.allows_canary(&total, options) {
            VersionFilter::Only(to)
        } else {
            VersionFilter::Except(to)
        }
    }

    /// Records that a request is sent to an upstream of the given version.
    pub fn record_dispatch(&mut self, service: &ServiceLabel, version: &VersionLabel) {
        if let Some(state) = self.states.get_mut(service) {
            state.own.dispatched += 1;
            state.own.dispatched_new += u32::from(state.order.target_version == *version);
        }
    }

    /// Records a response of an upstream of the given version.
    pub fn record_response(&mut self, service: &ServiceLabel, version: &VersionLabel, bad: bool) {
        if let Some(state) = self.states.get_mut(service) {
            if state.order.target_version == *version {
                state.own.new_responses += 1;
                state.own.new_bad += u32::from(bad);
            } else {
                state.own.old_responses += 1;
                state.own.old_bad += u32::from(bad);
            }
        }
    }

    /// Records the time of a response of the given version, or between its events.
    pub fn record_pace(&mut self, service: &ServiceLabel, version: &VersionLabel, time: Duration) {
        if let Some(state) = self.states.get_mut(service) {
            if state.order.target_version == *version {
                state.own.new_paces.record(time);
            } else {
                state.own.old_paces.record(time);
            }
        }
    }

    /// Records the tallies that a peer reports. A roll-out is as old as the daemon knows that has
    /// known it for longest: the time limit runs on when daemons restart.
    pub fn record_peer_tallies(&mut self, now: MonotonicTime, peer: u64, tallies: &[VersionTally]) {
        for state in self.states.values_mut() {
            let own = state.own.rollout;
            if let Some(tally) = tallies.iter().find(|tally| tally.rollout == own) {
                let ordered_at = now - Duration::from_millis(tally.age_ms.into());
                state.started_at = state.started_at.min(ordered_at);
                state.peers.insert(peer, *tally);
            }
        }
    }

    /// Records the upstreams of the roll-outs in progress; `find` returns those of a service, where
    /// the given version is the new one.
    pub fn record_upstreams(
        &mut self,
        find: impl Fn(&ServiceLabel, &VersionLabel) -> VersionUpstreams,
    ) {
        for state in self.states.values_mut() {
            if state.phase == RolloutPhase::Running {
                state.upstreams = find(&state.order.service, &state.order.target_version);
            }
        }
    }

    /// Returns the tally over all daemons of a service's roll-out.
    #[must_use]
    pub fn total(&self, service: &ServiceLabel) -> Option<VersionTally> {
        self.states.get(service).map(RolloutState::total)
    }

    /// Returns this daemon's tallies of the roll-outs in progress and of those that it has rejected.
    #[must_use]
    pub fn tallies(&self, now: MonotonicTime) -> Vec<VersionTally> {
        let states = self.states.values().filter(|state| state.is_reported(now));
        let tallies = states.map(|state| VersionTally {
            age_ms: state.age_ms(now),
            ..state.own
        });
        tallies.collect()
    }

    /// Returns the sum of the tallies of this daemon and the given peers, for the same roll-outs.
    #[must_use]
    pub fn tallies_with(&self, now: MonotonicTime, peers: &[u64]) -> Vec<VersionTally> {
        let states = self.states.values().filter(|state| state.is_reported(now));
        let sums = states.map(|state| VersionTally {
            age_ms: state.age_ms(now),
            ..state.sum(|peer| peers.contains(&peer))
        });
        sums.collect()
    }

    /// Returns true if a roll-out is in progress, or its final phase is not in the store yet.
    #[must_use]
    pub fn is_active(&self) -> bool {
        let mut states = self.states.values();
        states.any(|state| state.phase == RolloutPhase::Running || !state.written)
    }

    /// Advances all roll-outs to the current time. Returns the writes to make now; only the leader,
    /// which `is_leader` marks, makes any.
    pub fn advance(&mut self, now: MonotonicTime, is_leader: bool) -> Vec<RolloutWrite> {
        let mut writes = Vec::new();
        for state in self.states.values_mut() {
            let total = state.total();
            if state.phase == RolloutPhase::Running {
                if state.is_rejected(now, &total) {
                    state.own.rejected = true;
                    state.rejected_at = Some(now);
                    state.phase = RolloutPhase::RolledBack;
                    state.written = false;
                } else if state.progress(now) >= COMPLETION_FRACTION {
                    state.phase = RolloutPhase::Completed;
                    state.written = false;
                }
            }
            if is_leader && !state.written && !state.write_pending && now >= state.next_write_at {
                state.write_pending = true;
                writes.push(RolloutWrite {
                    service: state.order.service.clone(),
                    target_version: state.order.target_version.clone(),
                    phase: state.phase,
                    expected_position: state.position,
                });
            }
        }
        writes
    }
}
