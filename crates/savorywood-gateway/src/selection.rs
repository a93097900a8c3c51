//! Which upstream gets a request.

use crate::{
    affinity::PrefixCacheIndex,
    arrival::PromptPart,
    demand::UrgentArrivals,
    estimate::ResponseEstimate,
    label::{RegionLabel, ServiceLabel, UpstreamLabel, VersionLabel, ZoneLabel},
    latency::LatencyModel,
    lease::MemberLeases,
    peer::PeerTable,
    region::RegionMap,
    upstream::{UpstreamFleet, UpstreamState},
    warmup::WarmupTolerance,
};
use savorywood_protocol::MonotonicTime;
use serde::Deserialize;
use std::time::Duration;
use strum::{Display, EnumString};

/// What an upstream in another zone must be faster by, in milliseconds, to be worth the bytes.
const ZONE_PENALTY_MS: f64 = 35.0;
/// Slowdown of a plain answer by each request that runs beside it.
const CONCURRENCY_SLOWDOWN: f64 = 0.3;
/// What a certain failure costs, in milliseconds.
const FAILURE_PENALTY_MS: f64 = 2_500.0;
/// Share of failures that counts as none.
const IGNORED_FAILURE_RATIO: f64 = 0.05;
/// Weight of the time after the first event: it holds a slot but is not waited for.
const STREAMING_WEIGHT: f64 = 0.6;
/// What an upstream costs, in milliseconds, that several peers leave out.
const PEER_EJECTION_PENALTY_MS: f64 = 1_000.0;
/// A good answer to this daemon counts for more than what peers say for this long.
const OWN_SUCCESS_WINDOW: Duration = Duration::from_millis(400);
/// What an upstream on trial costs, in milliseconds, for what can't run elsewhere after it.
const PROBE_PENALTY_MS: f64 = 300.0;
/// What a trial is worth, in milliseconds: while others have room an upstream that was left out
/// would never get the one request that shows that it is sound again.
const PROBE_BONUS_MS: f64 = 60_000.0;

/// Which versions may get a request while a roll-out is under way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionFilter {
    /// Any.
    Any,
    /// Only this one.
    Only(VersionLabel),
    /// Any but this one.
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

/// What the choice of an upstream goes by. All but the first are there to be compared with it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RoutingPolicy {
    /// Expected time for this request, zones and failures in one unit.
    #[default]
    #[serde(rename = "worth")]
    #[strum(serialize = "worth")]
    LowestCost,
    /// The same, as if all upstreams were in one zone.
    #[serde(rename = "worth-without-zones")]
    #[strum(serialize = "worth-without-zones")]
    LowestCostIgnoringZones,
    /// Fewest requests there.
    LeastOutstanding,
    /// The one that was chosen longest ago.
    RoundRobin,
    /// Any with room.
    Random,
}

/// What is asked for.
#[derive(Debug, Clone)]
pub struct SelectionQuery<'a> {
    /// Service.
    pub service: &'a ServiceLabel,
    /// Prompt tokens; zero for plain calls.
    pub prompt_tokens: u32,
    /// Tokens of the answer as the caller expects; zero if it says nothing.
    pub expected_tokens: u32,
    /// Milliseconds within which the first event is in time.
    pub first_event_budget_ms: f64,
    /// Milliseconds until the answer must be whole.
    pub remaining_ms: f64,
    /// The answer is a stream.
    pub stream: bool,
    /// Parts of the prompt.
    pub prompt_parts: &'a [PromptPart],
    /// Upstreams that have had it.
    pub attempted: &'a [UpstreamLabel],
    /// Home regions of its route and of its team; both bind.
    pub home_regions: [&'a [RegionLabel]; 2],
    /// Versions that may get it.
    pub versions: VersionFilter,
    /// More urgent work that comes to all daemons.
    pub urgent_arrivals: UrgentArrivals,
    /// It may run again elsewhere: upstreams on trial may have it.
    pub allow_probe: bool,
}

/// What is looked at.
#[derive(Debug, Clone, Copy)]
pub struct SelectionContext<'a> {
    /// Now.
    pub now: MonotonicTime,
    /// Upstreams.
    pub fleet: &'a UpstreamFleet,
    /// Peers and their slots.
    pub peers: &'a PeerTable,
    /// Holders of prompt parts.
    pub prefix_cache: &'a PrefixCacheIndex,
    /// Own zone.
    pub zone: &'a ZoneLabel,
    /// What the choice goes by.
    pub policy: RoutingPolicy,
    /// Regions of the zones.
    pub regions: &'a RegionMap,
    /// Which cold upstreams this daemon may start.
    pub leases: &'a MemberLeases,
    /// By how much rates of cold upstreams may be exceeded.
    pub warmup: Option<WarmupTolerance>,
    /// Part of an upstream's cost by which it may look dearer at random.
    pub jitter: f64,
}

/// Why none was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SelectionFailure {
    /// All are full.
    AllFull,
    /// There is none that may have it.
    NoCandidate,
}

/// An upstream chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct SelectedUpstream {
    /// Who.
    pub name: UpstreamLabel,
    /// Expected milliseconds to the first event, or of the whole plain answer.
    pub expected_ms: f64,
    /// Requests counted there, of all daemons.
    pub slots_in_use: u32,
    /// The figure that was compared.
    pub score: f64,
}

/// An upstream that may have the request.
struct Candidate<'a> {
    state: &'a UpstreamState,
    /// Requests there, of all daemons.
    slots_in_use: u32,
    /// Answers a second of one slot, up to a common factor.
    throughput: f64,
    estimate: ResponseEstimate,
}

impl SelectionContext<'_> {
    /// Chooses the upstream with the least expected cost among those with room.
    ///
    /// Where some upstream, be it full, would begin the answer in time and end it before it is
    /// given up, only such ones are chosen from. The free slot of a slow one is no good to a
    /// request that would be late or cut off there, while faster ones give back several slots
    /// within the time that it has.
    ///
    /// # Errors
    ///
    /// Why there is none.
    pub fn select(
        &self,
        query: &SelectionQuery<'_>,
        mut sample: impl FnMut() -> f64,
    ) -> Result<SelectedUpstream, SelectionFailure> {
        let candidates = self.candidates(query);
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
        let mut best: Option<SelectedUpstream> = None;
        for candidate in &candidates {
            let noise = sample();
            let estimate = &candidate.estimate;
            let share = candidate.throughput / total_throughput;
            let fits = !must_complete || estimate.fits_within(query.remaining_ms);
            let in_time =
                !must_start_in_time || estimate.first_event_ms <= query.first_event_budget_ms;
            if !fits || !in_time || !self.has_free_slot(candidate, query, share) {
                continue;
            }
            let selected = self.score_candidate(candidate, query, noise);
            if best.as_ref().is_none_or(|best| selected.score < best.score) {
                best = Some(selected);
            }
        }
        best.ok_or(SelectionFailure::AllFull)
    }

    /// Upstreams that may have the request, full or not.
    fn candidates<'q>(&'q self, query: &'q SelectionQuery<'q>) -> Vec<Candidate<'q>> {
        let service_latency = self.fleet.service_latency(query.service);
        let all_ejected = self.all_ejected(query);
        let members = self.fleet.members(query.service);
        let usable = members.filter(|state| self.is_eligible(state, query, all_ejected));
        usable
            .map(|state| {
                let others = self.peers.slots_of(state.digest);
                Candidate {
                    state,
                    slots_in_use: state.running + others.running,
                    throughput: state.latency.throughput(&service_latency),
                    estimate: self.estimate(state, query, &service_latency, others.unread),
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
            return ResponseEstimate::non_streaming(state.latency.response_ms(service_latency));
        }
        let cached =
            self.prefix_cache
                .cached_tokens(self.now, query.prompt_parts, &state.entry.name);
        let own = query.prompt_tokens.saturating_sub(cached);
        let unread = own + state.unread_tokens + others_unread;
        ResponseEstimate {
            idle_first_event_ms: state
                .latency
                .first_event_ms(service_latency, query.prompt_tokens),
            first_event_ms: state.latency.first_event_ms(service_latency, unread),
            streaming_ms: state
                .latency
                .streaming_ms(service_latency, query.expected_tokens),
            stream: true,
        }
    }

    fn has_free_slot(
        &self,
        candidate: &Candidate<'_>,
        query: &SelectionQuery<'_>,
        share: f64,
    ) -> bool {
        let slots = candidate.state.entry.slots;
        let slot = Duration::from_secs_f64(candidate.estimate.slot_hold_ms() / 1e3);
        let reserved = query.urgent_arrivals.reserved_slots(share, slot, slots);
        candidate.slots_in_use + reserved < slots && self.rate_allows(candidate.state)
    }

    /// It names no limit and is warm, or its next request of this daemon is due.
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
        let pause = self.now.since(state.last_dispatch_at);
        pause >= warmup.interval(self.warmup)
            && self.leases.holds_warmup(self.now, &entry.name, &entry.zone)
    }

    /// When every upstream looks ill, the fault is more likely in the requests or on the way:
    /// leaving all of them out would turn a partial failure into a whole one.
    fn all_ejected(&self, query: &SelectionQuery<'_>) -> bool {
        let mut members = self.fleet.members(query.service);
        let open = |state: &UpstreamState| state.is_open(self.now);
        members.all(|state| !open(state) || state.outlier.is_ejected())
    }

    fn is_eligible(
        &self,
        state: &UpstreamState,
        query: &SelectionQuery<'_>,
        all_ejected: bool,
    ) -> bool {
        let usable = all_ejected || state.outlier.is_usable(self.now, query.allow_probe);
        usable
            && state.is_open(self.now)
            && self.is_in_home_regions(state, query)
            && query.versions.allows(&state.entry.version)
            && !query.attempted.contains(&state.entry.name)
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
        // Begun where it would not end in time, it holds a slot for nothing.
        score += (first_event_ms + estimate.streaming_ms - query.remaining_ms).max(0.0);
        let failures = state.outlier.failure_ratio(self.now) - IGNORED_FAILURE_RATIO;
        score += failures.max(0.0) * FAILURE_PENALTY_MS;
        if entry.zone != *self.zone && self.policy != RoutingPolicy::LowestCostIgnoringZones {
            score += ZONE_PENALTY_MS;
        }
        // What peers found out need not be found out once more, at the cost of a request each.
        if self.peers.suspect(&entry.name)
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
        }
    }
}
