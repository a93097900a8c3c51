//! Which upstream gets a request.

use crate::{
    affinity::PartIndex,
    arrival::PromptPart,
    name::{ServiceLabel, UpstreamLabel, VersionLabel, ZoneLabel},
    peer::PeerTable,
    upstream::{UpstreamFleet, UpstreamState},
};
use savorywood_protocol::MonotonicTime;
use serde::Deserialize;
use std::time::Duration;
use strum::{Display, EnumString};

/// What an upstream in another zone must be faster by, in milliseconds, to be worth the bytes.
const ZONE_PENALTY_MS: f64 = 35.0;
/// Slowdown of the first event by each request that runs beside it.
const CROWD_SLOWDOWN: f64 = 0.3;
/// What a certain failure costs, in milliseconds.
const FAILURE_PENALTY_MS: f64 = 2_500.0;
/// Share of failures that counts as none.
const HARMLESS_FAILURES: f64 = 0.05;
/// Weight of the time after the first event: it holds a seat but is not waited for.
const REST_WEIGHT: f64 = 0.6;
/// What an upstream costs, in milliseconds, that several peers leave out.
const SUSPECT_PENALTY_MS: f64 = 1_000.0;
/// A good answer to this daemon counts for more than what peers say for this long.
const OWN_WORD_TIME: Duration = Duration::from_millis(400);
/// What an upstream on trial costs, in milliseconds, for what can't run elsewhere after it.
const TRIAL_PENALTY_MS: f64 = 300.0;
/// What a trial is worth, in milliseconds: while others have room an upstream that was left out
/// would never get the one request that shows that it is sound again.
const TRIAL_WORTH_MS: f64 = 60_000.0;

/// How many times as long as guessed an answer may become and still end in time: an answer that
/// is cut at its deadline has held a seat all that time for nothing.
const LENGTH_MARGIN: f64 = 1.8;
/// Arrivals of the most urgent work while a kept seat is lent.
const MOST_LENT: f64 = 0.8;
/// Milliseconds for which daemons do not know of each other's newest dispatches.
const UNHEARD_MS: f64 = 250.0;
/// Urgent arrivals at one upstream for which no seat is kept.
const LEAST_URGENT: f64 = 0.25;
/// At most one in so many seats of an upstream is kept.
const MOST_KEPT: u32 = 3;

/// Which versions may get a request while a roll-out is under way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionChoice {
    /// Any.
    Any,
    /// Only this one.
    Only(VersionLabel),
    /// Any but this one.
    Not(VersionLabel),
}

impl VersionChoice {
    fn allows(&self, version: &VersionLabel) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => only == version,
            Self::Not(other) => other != version,
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
    Worth,
    /// The same, as if all upstreams were in one zone.
    WorthWithoutZones,
    /// Fewest requests there.
    LeastOutstanding,
    /// The one that was chosen longest ago.
    RoundRobin,
    /// Any with room.
    Random,
}

/// What is asked for.
#[derive(Debug, Clone)]
pub struct PickQuery<'a> {
    /// Service.
    pub service: &'a ServiceLabel,
    /// Prompt tokens; zero for plain calls.
    pub prompt: u32,
    /// Tokens of the answer as the caller expects; zero if it says nothing.
    pub output: u32,
    /// Milliseconds within which the first event is in time.
    pub slack_ms: f64,
    /// Milliseconds until the answer must be whole.
    pub left_ms: f64,
    /// The answer is a stream.
    pub stream: bool,
    /// Parts of the prompt.
    pub parts: &'a [PromptPart],
    /// Upstreams that have had it.
    pub tried: &'a [UpstreamLabel],
    /// Versions that may get it.
    pub versions: VersionChoice,
    /// Arrivals of more urgent work that no daemon knows of yet.
    pub urgent: f64,
    /// Arrivals a second of the most urgent work at all daemons.
    pub most_urgent: f64,
    /// Requests that may wait in an upstream beyond its slots.
    pub overcommit: u32,
    /// It may run again elsewhere: upstreams on trial may have it.
    pub may_try: bool,
}

/// What is looked at.
#[derive(Debug, Clone, Copy)]
pub struct PickScene<'a> {
    /// Now.
    pub now: MonotonicTime,
    /// Upstreams.
    pub fleet: &'a UpstreamFleet,
    /// Peers and their seats.
    pub peers: &'a PeerTable,
    /// Holders of prompt parts.
    pub parts: &'a PartIndex,
    /// Own zone.
    pub zone: &'a ZoneLabel,
    /// What the choice goes by.
    pub policy: RoutingPolicy,
}

/// Why none was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PickFailure {
    /// All are full.
    Full,
    /// There is none that may have it.
    None,
}

/// An upstream chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct PickedUpstream {
    /// Who.
    pub name: UpstreamLabel,
    /// Expected milliseconds to the first event, or of the whole plain answer.
    pub expected_ms: f64,
    /// Requests counted there, of all daemons.
    pub occupied: u32,
    /// The figure that was compared.
    pub score: f64,
}

/// Seats of an upstream that are kept for more urgent work, by the number of such requests that
/// come to it before its seats are known anew.
///
/// Less urgent work that takes the last seat holds it for the whole of an answer; an urgent request
/// that comes a moment later waits for as long, or queues inside the upstream, where its rank
/// counts nothing. Seats that are kept everywhere are also there for requests that other daemons
/// take on at the same moment, of which nobody has heard.
fn kept_seats(urgent: f64) -> u32 {
    if urgent < LEAST_URGENT {
        return 0;
    }
    urgent.round() as u32
}

impl PickScene<'_> {
    /// Chooses the upstream with the least expected cost among those with room.
    ///
    /// # Errors
    ///
    /// Why there is none.
    pub fn pick(
        &self,
        query: &PickQuery<'_>,
        mut draw: impl FnMut() -> f64,
    ) -> Result<PickedUpstream, PickFailure> {
        let mut best: Option<PickedUpstream> = None;
        let speeds = self.speeds(query);
        let mut failure = PickFailure::None;
        let all_suspect = self.all_suspect(query);
        let must_fit = self.fits_somewhere(query, all_suspect);
        let in_time = self.is_in_time_somewhere(query, all_suspect);
        for state in self.fleet.members(query.service) {
            if !self.may_have(state, query, all_suspect) {
                continue;
            }
            failure = PickFailure::Full;
            if must_fit && !self.fits(state, query) {
                continue;
            }
            let picked = self.appraise(state, query, speeds, draw());
            let Some(picked) = picked else { continue };
            if in_time && picked.expected_ms > query.slack_ms {
                continue;
            }
            if best.as_ref().is_none_or(|best| picked.score < best.score) {
                best = Some(picked);
            }
        }
        best.ok_or(failure)
    }

    /// An answer that begins at this upstream now probably ends in time.
    fn fits(&self, state: &UpstreamState, query: &PickQuery<'_>) -> bool {
        if !query.stream {
            return true;
        }
        let usual = self.fleet.usual(query.service);
        let first = state.pace.first_ms(&usual, query.prompt);
        let rest = state.pace.rest_ms(&usual, query.output);
        first + rest * LENGTH_MARGIN <= query.left_ms
    }

    /// There is an upstream, full or not, at which the answer would end in time.
    fn fits_somewhere(&self, query: &PickQuery<'_>, all_suspect: bool) -> bool {
        let mut members = self.fleet.members(query.service);
        members.any(|state| self.may_have(state, query, all_suspect) && self.fits(state, query))
    }

    /// There is an upstream, full or not, whose first event would be in time.
    ///
    /// A seat of a slow upstream that is free is no good to a request that would be late there,
    /// while faster ones give back several seats within the time that it has.
    fn is_in_time_somewhere(&self, query: &PickQuery<'_>, all_suspect: bool) -> bool {
        if !query.stream {
            return false;
        }
        let usual = self.fleet.usual(query.service);
        let mut members = self.fleet.members(query.service);
        members.any(|state| {
            let first = state.pace.first_ms(&usual, query.prompt);
            self.may_have(state, query, all_suspect) && first <= query.slack_ms
        })
    }

    /// Sum of the speeds of upstreams that may get work.
    fn speeds(&self, query: &PickQuery<'_>) -> f64 {
        let usual = self.fleet.usual(query.service);
        let members = self.fleet.members(query.service);
        let open = members.filter(|state| state.is_open(self.now));
        let sum: f64 = open.map(|state| state.pace.speed(&usual)).sum();
        sum.max(f64::MIN_POSITIVE)
    }

    /// When every upstream looks ill, the fault is more likely in the requests or on the way:
    /// leaving all of them out would turn a partial failure into a whole one.
    fn all_suspect(&self, query: &PickQuery<'_>) -> bool {
        let mut members = self.fleet.members(query.service);
        let open = |state: &UpstreamState| state.is_open(self.now);
        members.all(|state| !open(state) || state.outlier.is_suspect())
    }

    fn may_have(&self, state: &UpstreamState, query: &PickQuery<'_>, all_suspect: bool) -> bool {
        let usable = all_suspect || state.outlier.is_usable(self.now, query.may_try);
        usable
            && state.is_open(self.now)
            && query.versions.allows(&state.entry.version)
            && !query.tried.contains(&state.entry.name)
    }

    fn appraise(
        &self,
        state: &UpstreamState,
        query: &PickQuery<'_>,
        speeds: f64,
        noise: f64,
    ) -> Option<PickedUpstream> {
        let entry = &state.entry;
        let usual = self.fleet.usual(query.service);
        let others = self.peers.seats_at(&entry.name);
        let occupied = state.running + others.running;
        let seat_ms = if query.stream {
            state.pace.first_ms(&usual, query.prompt) + state.pace.rest_ms(&usual, query.output)
        } else {
            state.pace.whole_ms(&usual)
        };
        let horizon_s = seat_ms.min(UNHEARD_MS) / 1e3;
        let kept = kept_seats(query.urgent * horizon_s * state.pace.speed(&usual) / speeds);
        let kept = kept.min(entry.slots / MOST_KEPT);
        let overcommit = if kept > 0 { 0 } else { query.overcommit };
        let share = state.pace.speed(&usual) / speeds;
        let lent = kept > 0 && query.most_urgent * share * seat_ms / 1e3 < MOST_LENT;
        let kept = if lent { 0 } else { kept };
        if occupied + kept >= entry.slots + overcommit {
            return None;
        }
        let held = self.parts.held(self.now, query.parts, &entry.name);
        let beyond = (occupied + 1).saturating_sub(entry.slots);
        let queued = f64::from(beyond) * state.pace.whole_ms(&usual) / f64::from(entry.slots.max(1));
        let (first, rest) = if query.stream {
            let prompt = query.prompt.saturating_sub(held) + state.unread + others.unread;
            let first = state.pace.first_ms(&usual, prompt);
            (first + queued, state.pace.rest_ms(&usual, query.output))
        } else {
            let crowd = 1.0 + f64::from(occupied) * CROWD_SLOWDOWN;
            (state.pace.whole_ms(&usual) * crowd, 0.0)
        };
        let mut score = first + rest * REST_WEIGHT;
        // Begun where it would not end in time, it holds a place for nothing.
        score += (first + rest - query.left_ms).max(0.0);
        let failures = state.outlier.failure_share(self.now) - HARMLESS_FAILURES;
        score += failures.max(0.0) * FAILURE_PENALTY_MS;
        if entry.zone != *self.zone && self.policy != RoutingPolicy::WorthWithoutZones {
            score += ZONE_PENALTY_MS;
        }
        // What peers found out need not be found out once more, at the cost of a request each.
        if self.peers.suspect(&entry.name) && !state.outlier.was_good(self.now, OWN_WORD_TIME) {
            score += SUSPECT_PENALTY_MS;
        }
        if state.outlier.is_suspect() {
            let trial = query.may_try && state.outlier.is_usable(self.now, true);
            score += if trial {
                -TRIAL_WORTH_MS
            } else {
                TRIAL_PENALTY_MS
            };
        }
        let score = match self.policy {
            RoutingPolicy::Worth | RoutingPolicy::WorthWithoutZones => {
                score + score.abs() * noise * 0.05
            }
            RoutingPolicy::LeastOutstanding => f64::from(occupied) + noise,
            RoutingPolicy::RoundRobin => state.chosen as f64 + noise,
            RoutingPolicy::Random => noise,
        };
        Some(PickedUpstream {
            name: entry.name.clone(),
            expected_ms: first,
            occupied,
            score,
        })
    }
}
