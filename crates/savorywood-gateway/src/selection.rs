//! Selection of the upstream for a request.

use crate::{
    affinity::PrefixCacheIndex,
    arrival::{PromptPart, RequestSize},
    demand::UrgentArrivals,
    estimate::ResponseEstimate,
    label::{RegionLabel, ServiceLabel, UpstreamLabel, VersionLabel, ZoneLabel},
    latency::LatencyModel,
    lease::MemberLeases,
    peer::PeerTable,
    placing::{HoldCause, HoldCounters, ReservationPolicy, ReservationView, ServiceUse},
    queueing::UrgentReservation,
    region::RegionMap,
    rejection_limit::SlotUsage,
    upstream::{UpstreamFleet, UpstreamState},
    upstream_memory::request_tokens,
    warmup::WarmupTolerance,
};
use savorywood_protocol::MonotonicTime;
use serde::Deserialize;
use std::{net::SocketAddr, time::Duration};
use strum::{Display, EnumString};

/// Cost of sending a request to another zone, in milliseconds, which accounts for the transferred
/// bytes.
const ZONE_PENALTY_MS: f64 = 35.0;
/// Cost of sending a request through the owner of an upstream, in milliseconds: another connection and
/// the use of two daemons.
const RELAY_PENALTY_MS: f64 = 35.0;
/// Relative slowdown of a non-streaming response by each concurrent request at the upstream.
const CONCURRENCY_SLOWDOWN: f64 = 0.3;
/// Cost of a failure that is certain, in milliseconds.
const FAILURE_PENALTY_MS: f64 = 2_500.0;
/// Failure ratio below which no cost is added.
const IGNORED_FAILURE_RATIO: f64 = 0.05;
/// Weight of the time after the first event: it occupies a slot, but the caller does not wait for
/// it.
const STREAMING_WEIGHT: f64 = 0.6;
/// Cost of an upstream that several peers have ejected, in milliseconds.
const PEER_EJECTION_PENALTY_MS: f64 = 1_000.0;
/// Time for which a successful response to this daemon takes precedence over ejections that peers
/// report.
const OWN_SUCCESS_WINDOW: Duration = Duration::from_millis(400);
/// Cost of an upstream on probation, in milliseconds, for a request that cannot be retried
/// elsewhere.
const PROBE_PENALTY_MS: f64 = 300.0;
/// Bonus for a probe request, in milliseconds. Without it, an ejected upstream would never receive
/// the request that shows its recovery while others have free slots.
const PROBE_BONUS_MS: f64 = 60_000.0;

/// Versions that may receive a request while a roll-out is in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionFilter {
    /// All versions.
    Any,
    /// Only the given version.
    Only(VersionLabel),
    /// All versions but the given one.
    Except(VersionLabel),
}

impl VersionFilter {
    fn allows(&self, version: &VersionLabel) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => only == version,
            Self::Except(other) => other != version,
        }
    }
}

/// Criterion for selecting an upstream, from the settings. All but the default serve for
/// comparison.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RoutingPolicy {
    /// Lowest expected cost, with the expected time of the request, zones and failures expressed in
    /// milliseconds.
    #[default]
    #[serde(rename = "worth")]
    #[strum(serialize = "worth")]
    LowestCost,
    /// The same without the cost of other zones.
    #[serde(rename = "worth-without-zones")]
    #[strum(serialize = "worth-without-zones")]
    LowestCostIgnoringZones,
    /// Fewest requests in progress.
    LeastOutstanding,
    /// Least recently selected upstream.
    RoundRobin,
    /// Any upstream with a free slot.
    Random,
}

/// Properties of the request that an upstream is selected for.
#[derive(Debug, Clone)]
pub struct SelectionQuery<'a> {
    /// Service whose upstreams are considered.
    pub service: &'a ServiceLabel,
    /// Prompt tokens; zero for requests without a prompt.
    pub prompt_tokens: u32,
    /// Maximum tokens of the response; zero when the request does not report it.
    pub max_output_tokens: u32,
    /// Expected response tokens by the caller's hint; zero without a hint.
    pub expected_tokens: u32,
    /// Time in milliseconds within which the first event counts as in time.
    pub first_event_budget_ms: f64,
    /// Time in milliseconds until the response has to be complete.
    pub remaining_ms: f64,
    /// The response is an event stream.
    pub stream: bool,
    /// Parts of the prompt, in order, for the lookup of cached prefixes.
    pub prompt_parts: &'a [PromptPart],
    /// Upstreams that were sent the request before; they are excluded.
    pub attempted: &'a [UpstreamLabel],
    /// Home regions of the route and of the team; an upstream must satisfy both.
    pub home_regions: [&'a [RegionLabel]; 2],
    /// Versions that may receive the request.
    pub versions: VersionFilter,
    /// Arrival rates of more urgent requests at all daemons, for which slots are reserved.
    pub urgent_arrivals: UrgentArrivals,
    /// Demand for which slots of the whole service are left free.
    pub reservation: Option<UrgentReservation>,
    /// The request may be retried elsewhere, so that it can serve as a probe request.
    pub allow_probe: bool,
}

impl SelectionQuery<'_> {
    fn size(&self) -> RequestSize {
        RequestSize {
            prompt_tokens: self.prompt_tokens,
            max_output_tokens: self.max_output_tokens,
        }
    }
}

/// State that the selection is based on.
#[derive(Debug, Clone, Copy)]
pub struct SelectionContext<'a> {
    /// Current time.
    pub now: MonotonicTime,
    /// Registered upstreams and their state.
    pub fleet: &'a UpstreamFleet,
    /// Peers, with the slots that they use and the upstreams that they have ejected.
    pub peers: &'a PeerTable,
    /// Upstreams that have parts of the prompt cached.
    pub prefix_cache: &'a PrefixCacheIndex,
    /// Zone of this daemon.
    pub zone: &'a ZoneLabel,
    /// Criterion for the selection.
    pub policy: RoutingPolicy,
    /// Regions of the zones.
    pub regions: &'a RegionMap,
    /// Leases of this daemon, which include those for warming up cold upstreams.
    pub leases: &'a MemberLeases,
    /// Allowed excess over the rate of cold upstreams; `None` allows none.
    pub warmup: Option<WarmupTolerance>,
    /// Fraction of its cost that is added to an upstream at random at most, so that daemons do not
    /// all select the same one.
    pub jitter: f64,
    /// Reservations of slots; `None` if they are disabled.
    pub reservations: Option<ReservationContext<'a>>,
}

/// Rule for reservations of slots, and the counters of selections that they hold back.
#[derive(Debug, Clone, Copy)]
pub struct ReservationContext<'a> {
    /// Rule by which daemons divide free slots.
    pub policy: ReservationPolicy,
    /// Selections that a reservation held back.
    pub holds: &'a HoldCounters,
}

/// Reason why no upstream was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SelectionFailure {
    /// All eligible upstreams lack a free slot, or would be too late.
    AllFull,
    /// All eligible upstreams have asked for fewer requests, or warm up.
    AllRestrained,
    /// No upstream is eligible.
    NoCandidate,
}

/// The selected upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct SelectedUpstream {
    /// Name of the upstream.
    pub name: UpstreamLabel,
    /// Expected time to the first event, or of the complete non-streaming response, in
    /// milliseconds.
    pub expected_ms: f64,
    /// Number of requests of all daemons at the upstream.
    pub slots_in_use: u32,
    /// Score by which it was selected; the lowest wins.
    pub score: f64,
    /// Inputs of the reservation's decision, if reservations are enabled.
    pub reservation: Option<ReservationView>,
    /// Owners of the upstream, one of which relays the request; empty if it is sent directly.
    pub owners: Vec<SocketAddr>,
}

/// Whether an upstream has a slot for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SlotAvailability {
    Free,
    Full,
    /// A slot seems to be free, but a reservation leaves it to others.
    Held(HoldCause),
}

/// An upstream that is eligible for the request.
struct Candidate<'a> {
    state: &'a UpstreamState,
    /// Number of requests of all daemons at the upstream.
    slots_in_use: u32,
    /// Prompt tokens of requests of other daemons that wait for their first event.
    others_unread: u32,
    /// Responses per second of one slot, up to a common factor.
    throughput: f64,
    estimate: ResponseEstimate,
}

/// Slots of a service that are left free for more urgent work.
struct SlotPool<'a> {
    reservation: &'a UrgentReservation,
    service_latency: &'a LatencyModel,
    /// Free slots that more urgent work could use.
    free: u32,
    /// All slots that it could use.
    slots: u32,
}

impl<'a> SlotPool<'a> {
    fn new(
        reservation: &'a UrgentReservation,
        candidates: &[Candidate<'_>],
        service_latency: &'a LatencyModel,
    ) -> Self {
        let mut pool = Self {
            reservation,
            service_latency,
            free: 0,
            slots: 0,
        };
        for candidate in candidates {
            if pool.is_useful(candidate) {
                let slots = candidate.state.entry.slots;
                pool.free += slots.saturating_sub(candidate.slots_in_use);
                pool.slots += slots;
            }
        }
        pool
    }

    fn is_useful(&self, candidate: &Candidate<'_>) -> bool {
        let latency = &candidate.state.latency;
        self.reservation
            .can_use(|prompt| latency.first_event_ms(self.service_latency, prompt))
    }

    /// Returns whether a request may take a slot of the candidate.
    fn allows(&self, candidate: &Candidate<'_>) -> bool {
        let hold = Duration::from_secs_f64(candidate.estimate.slot_hold_ms() / 1e3);
        !self.is_useful(candidate) || self.free > self.reservation.reserved_slots(hold, self.slots)
    }
}

/// Sums up the slots of the candidates.
fn service_use(candidates: &[Candidate<'_>]) -> ServiceUse {
    let mut sum = ServiceUse::default();
    for candidate in candidates {
        let state = candidate.state;
        sum.own += state.running;
        sum.slots += state.entry.slots;
        let claim = state.reservation.claim;
        sum.group_slots += claim.map_or(state.entry.slots, |claim| claim.group_slots);
    }
    sum
}

impl SelectionContext<'_> {
    /// Selects the upstream with the lowest expected cost among those with a free slot.
    ///
    /// If any upstream, including full ones, could start the response in time and complete it
    /// before the deadline, only such upstreams are considered. A free slot of a slow upstream is
    /// of no use to a request that would be late or cut off there, while faster ones release
    /// several slots within its remaining time.
    ///
    /// # Errors
    ///
    /// Returns the reason if no upstream is selected.
    pub fn select(
        &self,
        query: &SelectionQuery<'_>,
        mut sample: impl FnMut() -> f64,
    ) -> Result<SelectedUpstream, SelectionFailure> {
        let service_latency = self.fleet.service_latency(query.service);
        let candidates = self.candidates(query, &service_latency);
        if candidates.is_empty() {
            return Err(SelectionFailure::NoCandidate);
        }
        let must_complete = candidates
            .iter()
            .any(|candidate| candidate.estimate.fits_within(query.remaining_ms));
        let must_start_in_time = candidates
            .iter()
            .any(|candidate| candidate.estimate.idle_first_event_ms <= query.first_event_budget_ms);
        let total_throughput: f64 = candidates
            .iter()
            .map(|candidate| candidate.throughput)
            .sum();
        let pool = query
            .reservation
            .as_ref()
            .map(|reservation| SlotPool::new(reservation, &candidates, &service_latency));
        let mut best: Option<SelectedUpstream> = None;
        let mut held = None;
        let service_use = service_use(&candidates);
        for candidate in &candidates {
            let noise = sample();
            let estimate = &candidate.estimate;
            let share = candidate.throughput / total_throughput;
            let fits = !must_complete || estimate.fits_within(query.remaining_ms);
            let in_time =
                !must_start_in_time || estimate.first_event_ms <= query.first_event_budget_ms;
            if !fits || !in_time {
                continue;
            }
            if pool.as_ref().is_some_and(|pool| !pool.allows(candidate)) {
                continue;
            }
            match self.has_free_slot(candidate, query, share, service_use) {
                SlotAvailability::Free => {}
                SlotAvailability::Full => continue,
                SlotAvailability::Held(cause) => {
                    held = Some(cause);
                    continue;
                }
            }
            let selected = self.score_candidate(candidate, query, noise);
            if best.as_ref().is_none_or(|best| selected.score < best.score) {
                best = Some(selected);
            }
        }
        if best.is_none()
            && let Some((cause, reservations)) = held.zip(self.reservations)
        {
            reservations.holds.record(cause);
        }
        best.ok_or_else(|| {
            if candidates
                .iter()
                .all(|candidate| self.is_restrained(candidate))
            {
                SelectionFailure::AllRestrained
            } else {
                SelectionFailure::AllFull
            }
        })
    }

    /// Returns whether the upstream takes no request now, whatever its free slots.
    fn is_restrained(&self, candidate: &Candidate<'_>) -> bool {
        candidate.state.is_paused(self.now) || !self.rate_allows(candidate.state)
    }

    /// Returns the upstreams that are eligible for the request, with or without a free slot.
    fn candidates<'q>(
        &'q self,
        query: &'q SelectionQuery<'q>,
        service_latency: &LatencyModel,
    ) -> Vec<Candidate<'q>> {
        let all_ejected = self.all_ejected(query);
        let members = self.fleet.members(query.service);
        let eligible = members.filter(|state| self.is_eligible(state, query, all_ejected));
        let mut eligible: Vec<&UpstreamState> = eligible.collect();
        // If all of them are paused, they have no free slots, and requests wait.
        if eligible.iter().any(|state| !state.is_paused(self.now)) {
            eligible.retain(|state| !state.is_paused(self.now));
        }
        eligible
            .into_iter()
            .map(|state| {
                let others = self.peers.slots_by_digest(state.digest);
                Candidate {
                    state,
                    slots_in_use: state.running + others.running,
                    others_unread: others.unread_prompt_tokens,
                    throughput: state.latency.throughput(service_latency),
                    estimate: self.estimate(
                        state,
                        query,
                        service_latency,
                        others.unread_prompt_tokens,
                    ),
                }
            })
            .collect()
    }

    fn estimate(
        &self,
        state: &UpstreamState,
        query: &SelectionQuery<'_>,
        service_latency: &LatencyModel,
        others_unread: u32,
    ) -> ResponseEstimate {
        if !query.stream {
            let usual_ms = state.latency.response_ms(service_latency);
            return ResponseEstimate::non_streaming(usual_ms * self.pace_factor(state, usual_ms));
        }
        let cached =
            self.prefix_cache
                .cached_tokens(self.now, query.prompt_parts, &state.entry.name);
        let own = query.prompt_tokens.saturating_sub(cached);
        let unread = own + state.unread_prompt_tokens + others_unread;
        let first_event_ms = state.latency.first_event_ms(service_latency, unread);
        let streaming_ms = state
            .latency
            .streaming_ms(service_latency, query.expected_tokens);
        let pace = self.pace_factor(state, first_event_ms);
        ResponseEstimate {
            idle_first_event_ms: pace
                * state
                    .latency
                    .first_event_ms(service_latency, query.prompt_tokens),
            first_event_ms: first_event_ms * pace,
            streaming_ms: streaming_ms * self.pace_factor(state, first_event_ms + streaming_ms),
            stream: true,
        }
    }

    /// Returns the factor by which the upstream's pace changes the time of work that takes
    /// `usual_ms` at its usual pace.
    fn pace_factor(&self, state: &UpstreamState, usual_ms: f64) -> f64 {
        let duration = Duration::from_secs_f64(usual_ms / 1e3);
        state.pace.factor(self.now, duration)
    }

    fn has_free_slot(
        &self,
        candidate: &Candidate<'_>,
        query: &SelectionQuery<'_>,
        share: f64,
        service_use: ServiceUse,
    ) -> SlotAvailability {
        let slots = candidate.state.entry.slots;
        let slot = Duration::from_secs_f64(candidate.estimate.slot_hold_ms() / 1e3);
        let reserved = query.urgent_arrivals.reserved_slots(share, slot, slots);
        let usage = SlotUsage {
            slots,
            own: candidate.state.running,
            all: candidate.slots_in_use + reserved,
        };
        let limits = self.fleet.rejection_limits();
        let has_slot = match limits.limit(self.now, query.service) {
            Some(limit) => {
                let budget = &candidate.state.rejections;
                budget.allows_dispatch(self.now, limit.into(), usage)
                    || usage.all < usage.slots && !self.owners(candidate.state).is_empty()
            }
            None => usage.all < usage.slots,
        };
        if !has_slot || self.is_restrained(candidate) || !self.memory_allows(candidate, query) {
            return SlotAvailability::Full;
        }
        let Some(reservations) = self.reservations else {
            return SlotAvailability::Free;
        };
        let reservation = &candidate.state.reservation;
        match reservation.check(self.now, usage, service_use, reservations.policy) {
            Ok(()) => SlotAvailability::Free,
            Err(cause) => SlotAvailability::Held(cause),
        }
    }

    /// Returns the owners that may relay a request to an upstream whose rejections are limited; none
    /// if this daemon is one of them.
    fn owners<'s>(&self, state: &'s UpstreamState) -> &'s [SocketAddr] {
        let limits = self.fleet.rejection_limits();
        if !limits.allows_relay(self.now, &state.entry.service) {
            return &[];
        }
        state.rejections.owner_relay.usable(self.now)
    }

    /// Returns true if the tokens of the request fit into the upstream's memory beside those of the
    /// requests in progress.
    fn memory_allows(&self, candidate: &Candidate<'_>, query: &SelectionQuery<'_>) -> bool {
        let Some(capacity) = self.fleet.memory(query.service) else {
            return true;
        };
        let memory = candidate.state.memory;
        memory.allows(query.size(), candidate.others_unread, capacity)
    }

    /// Returns true if the upstream's rate limit and, while it is cold, its warm-up allow this
    /// daemon to send a request now.
    fn rate_allows(&self, state: &UpstreamState) -> bool {
        if !state.limit.allows_dispatch() {
            return false;
        }
        if !state.is_cold(self.now) {
            return true;
        }
        let entry = &state.entry;
        let Some(warmup) = self.fleet.warmup(&entry.service) else {
            return true;
        };
        let since_dispatch = self.now.since(state.last_dispatch_at);
        since_dispatch >= warmup.interval(self.warmup)
            && self.leases.holds_warmup(self.now, &entry.name, &entry.zone)
    }

    /// Returns true if no upstream of the service is available without an ejection. The cause is
    /// then more likely in the requests or the network, and excluding all upstreams would turn a
    /// partial failure into a complete one.
    fn all_ejected(&self, query: &SelectionQuery<'_>) -> bool {
        let mut members = self.fleet.members(query.service);
        let accepts_requests = |state: &UpstreamState| state.accepts_requests(self.now);
        members.all(|state| !accepts_requests(state) || state.outlier.is_ejected())
    }

    fn is_eligible(
        &self,
        state: &UpstreamState,
        query: &SelectionQuery<'_>,
        all_ejected: bool,
    ) -> bool {
        let eligible = all_ejected || state.outlier.is_usable(self.now, query.allow_probe);
        eligible
            && state.accepts_requests(self.now)
            && self.is_in_home_regions(state, query)
            && query.versions.allows(&state.entry.version)
            && !query.attempted.contains(&state.entry.name)
            && self.fits_alone(query)
    }

    /// Returns true unless the request exceeds the memory of every upstream on its own: it would wait
    /// for an upstream until its deadline.
    fn fits_alone(&self, query: &SelectionQuery<'_>) -> bool {
        let capacity = self.fleet.memory(query.service);
        capacity.is_none_or(|capacity| request_tokens(query.size()) <= capacity)
    }

    fn is_in_home_regions(&self, state: &UpstreamState, query: &SelectionQuery<'_>) -> bool {
        let zone = state.entry.zone.as_str();
        let mut homes = query.home_regions.iter();
        homes.all(|homes| self.regions.is_home(zone, homes))
    }

    fn score_candidate(
        &self,
        candidate: &Candidate<'_>,
        query: &SelectionQuery<'_>,
        noise: f64,
    ) -> SelectedUpstream {
        let Candidate {
            state,
            slots_in_use,
            estimate,
            ..
        } = candidate;
        let entry = &state.entry;
        let first_event_ms = if query.stream {
            estimate.first_event_ms
        } else {
            estimate.first_event_ms * (1.0 + f64::from(*slots_in_use) * CONCURRENCY_SLOWDOWN)
        };
        let mut score = first_event_ms + estimate.streaming_ms * STREAMING_WEIGHT;
        // A request that would not complete in time occupies a slot for nothing.
        score += (first_event_ms + estimate.streaming_ms - query.remaining_ms).max(0.0);
        let failures = state.outlier.failure_ratio(self.now) - IGNORED_FAILURE_RATIO;
        score += failures.max(0.0) * FAILURE_PENALTY_MS;
        if entry.zone != *self.zone && self.policy != RoutingPolicy::LowestCostIgnoringZones {
            score += ZONE_PENALTY_MS;
        }
        // Failures that peers have detected need not be detected again, at the cost of one request
        // for each daemon.
        if self.peers.is_ejected_by_peers(&entry.name)
            && !state.outlier.succeeded_within(self.now, OWN_SUCCESS_WINDOW)
        {
            score += PEER_EJECTION_PENALTY_MS;
        }
        if state.outlier.is_ejected() {
            let probe = query.allow_probe && state.outlier.is_usable(self.now, true);
            score += if probe {
                -PROBE_BONUS_MS
            } else {
                PROBE_PENALTY_MS
            };
        }
        let owners = self.owners(state).to_vec();
        if !owners.is_empty() {
            score += RELAY_PENALTY_MS;
        }
        let score = match self.policy {
            RoutingPolicy::LowestCost | RoutingPolicy::LowestCostIgnoringZones => {
                score + score.abs() * noise * self.jitter
            }
            RoutingPolicy::LeastOutstanding => f64::from(*slots_in_use) + noise,
            RoutingPolicy::RoundRobin => state.last_dispatch_number as f64 + noise,
            RoutingPolicy::Random => noise,
        };
        SelectedUpstream {
            name: entry.name.clone(),
            expected_ms: first_event_ms,
            slots_in_use: *slots_in_use,
            score,
            reservation: self.reservations.map(|_| {
                state
                    .reservation
                    .view(self.now, state.running, *slots_in_use)
            }),
            owners,
        }
    }
}
