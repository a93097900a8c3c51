//! Routing: chooses the upstream of a request by expected completion time, cached prefix and
//! version.

mod score;

use super::{
    RequestScheduler, SchedulerMechanism, SchedulerView, admission::service_objectives,
    fleet::UpstreamId, prefix::PrefixMatch, queue::WaitingRequest, service::ServiceState,
    speed::SpeedEstimate, split::SplitSide,
};
use crate::view::VersionSplit;
use savorywood_protocol::{MonotonicTime, ServiceName, VersionName, resource::ServiceObjectives};
use score::{UpstreamLoad, cached_elsewhere, score, uncached_tokens};
use std::time::Duration;

/// Number of upstreams sampled at random, besides those that have the prefix cached. Two would be
/// enough to avoid herding; a few more make it likely that one on faster hardware is among them.
const SAMPLE_SIZE: usize = 6;
/// Up to this number of upstreams of a service, all of them are compared.
const MAX_FULL_COMPARISON: usize = 16;

/// Reason why no upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PickFailure {
    /// No allowed upstream has a free slot and enough batch tokens.
    NoCapacity,
    /// The upstreams with capacity run another version than the one that is next in the split.
    WrongVersion,
    /// The upstreams with capacity don't have its prefix cached, and it can wait for one that has.
    CachedElsewhere,
    /// It would miss its deadline on the upstreams with capacity, and can wait for a faster one.
    TooSlow,
}

/// Upstream chosen for a request.
#[derive(Debug, Clone, Copy)]
pub struct PickedUpstream {
    /// Number of the upstream.
    pub upstream: UpstreamId,
    /// Prompt tokens that it is expected to prefill.
    pub uncached: u32,
    /// Prompt tokens that the best other upstream has cached, as far as the index shows.
    pub cached_elsewhere: u32,
    /// Side of the split that its version is on; `None` if no traffic move is in progress.
    pub side: Option<SplitSide>,
    /// Time that it takes to prefill the tokens that another upstream has cached.
    pub miss_time: Duration,
    score: f64,
}

/// Generator of the random numbers of one choice, seeded by one number of the scheduler's
/// generator.
#[derive(Debug, Clone, Copy)]
pub struct SampleRng(pub u64);

impl SampleRng {
    /// Returns a number below `bound`; zero if `bound` is zero.
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let bound = bound.max(1) as u64;
        ((mixed >> 32) % bound) as usize
    }
}

/// Inputs that are the same for all upstreams compared for one request.
struct PickContext<'a> {
    now: MonotonicTime,
    view: SchedulerView<'a>,
    waiting: &'a WaitingRequest,
    objectives: ServiceObjectives,
    typical_speed: SpeedEstimate,
    fastest_gap: f64,
    matches: Vec<PrefixMatch>,
    check_stalls: bool,
    version: VersionConstraint<'a>,
}

/// All traffic, in thousandths.
const ALL_TRAFFIC: u16 = 1_000;

/// Versions that may get a request.
#[derive(Debug, Clone, Copy)]
enum VersionConstraint<'a> {
    /// Any version.
    Any,
    /// Only the version that the service's configuration sets.
    Only(&'a VersionName),
    /// The versions of a split, with the side whose turn it is.
    Side(&'a VersionSplit, SplitSide),
}

impl VersionConstraint<'_> {
    /// Returns the side of the split under which a version may get the request, or why it may not.
    fn allows(self, version: &VersionName) -> Result<Option<SplitSide>, PickFailure> {
        match self {
            Self::Any => Ok(None),
            Self::Only(only) if only == version => Ok(None),
            Self::Side(split, SplitSide::New) if *version == split.new => Ok(Some(SplitSide::New)),
            // A completed move leaves no traffic to the old version. Without this rule requests
            // whose prefix it still had cached went to it for as long as the move was configured.
            Self::Side(split, _) if *version == split.old && split.new_per_mille >= ALL_TRAFFIC => {
                Err(PickFailure::WrongVersion)
            }
            // If the new version has no capacity on its turn, the old one takes the request and the
            // new version's share is made up for later. The reverse is not allowed, since the share
            // of the new version is an upper bound.
            Self::Side(split, _) if *version == split.old => Ok(Some(SplitSide::Old)),
            Self::Side(split, SplitSide::Old) if *version == split.new => {
                Err(PickFailure::WrongVersion)
            }
            Self::Only(_) | Self::Side(..) => Err(PickFailure::NoCapacity),
        }
    }

    fn prefers(self, side: Option<SplitSide>) -> bool {
        match self {
            Self::Any | Self::Only(_) => true,
            Self::Side(_, preferred) => side == Some(preferred),
        }
    }
}

impl PickContext<'_> {
    /// Rejects an upstream that lacks a large part of the prefix that another one has cached, while
    /// the request may still wait for that one.
    fn wait_for_cached_prefix(
        &self,
        picked: PickedUpstream,
    ) -> Result<PickedUpstream, PickFailure> {
        let prompt = self.waiting.request.prompt.tokens;
        let cached = prompt - picked.uncached;
        let missed = picked.cached_elsewhere.saturating_sub(cached);
        let large = missed > 0 && missed >= prompt / 4;
        if large && self.now < self.waiting.affinity_wait_until {
            return Err(PickFailure::CachedElsewhere);
        }
        Ok(picked)
    }
}

impl RequestScheduler {
    /// Chooses the upstream with the earliest expected completion of the request.
    pub(super) fn pick_upstream(
        &self,
        now: MonotonicTime,
        waiting: &WaitingRequest,
        view: SchedulerView<'_>,
        mut sample_rng: SampleRng,
    ) -> Result<PickedUpstream, PickFailure> {
        let name = &waiting.request.service;
        let Some(service) = self.services.get(name) else {
            return Err(PickFailure::NoCapacity);
        };
        let sample = sample_members(service, &mut sample_rng);
        let context = self.context(now, name, service, waiting, view);
        let holders = context.matches.iter().map(|found| found.upstream);
        let compared = self.best_of(&context, sample.into_iter().chain(holders));
        let compared = compared.and_then(|picked| context.wait_for_cached_prefix(picked));
        if compared.is_ok() || service.members.len() <= MAX_FULL_COMPARISON {
            return compared;
        }
        // None of the sample has capacity: examine all, starting at a random one.
        let offset = sample_rng.below(service.members.len());
        let (front, back) = service.members.split_at(offset);
        let all = back.iter().chain(front).copied();
        let mut found = Err(compared.err().unwrap_or(PickFailure::NoCapacity));
        for id in all {
            match self.evaluate_upstream(&context, id) {
                Ok(picked) if context.version.prefers(picked.side) => return Ok(picked),
                Ok(picked) => found = Ok(picked),
                Err(PickFailure::NoCapacity) => {}
                Err(failure) if found.is_err() => found = Err(failure),
                Err(_) => {}
            }
        }
        found
    }

    /// Checks whether a given upstream, which has got a free slot, may take a request.
    pub(super) fn check_upstream(
        &self,
        now: MonotonicTime,
        waiting: &WaitingRequest,
        upstream: UpstreamId,
        view: SchedulerView<'_>,
    ) -> Result<PickedUpstream, PickFailure> {
        let name = &waiting.request.service;
        let Some(service) = self.services.get(name) else {
            return Err(PickFailure::NoCapacity);
        };
        let context = self.context(now, name, service, waiting, view);
        self.evaluate_upstream(&context, upstream)
    }

    fn context<'a>(
        &self,
        now: MonotonicTime,
        name: &ServiceName,
        service: &ServiceState,
        waiting: &'a WaitingRequest,
        view: SchedulerView<'a>,
    ) -> PickContext<'a> {
        let objectives = service_objectives(name, view);
        let hashes = &waiting.request.prompt.prefix_hashes;
        let version = self.version_constraint(name, service, waiting, view);
        let mut matches = if self.options.has(SchedulerMechanism::Affinity) {
            self.prefixes.find(now, hashes)
        } else {
            Vec::new()
        };
        // A prefix cached by the other version is ignored: no request waits for it.
        matches.retain(|found| {
            let state = self.fleet.get(found.upstream);
            let side = state.map(|state| version.allows(&state.version));
            matches!(side, Some(Ok(side)) if version.prefers(side))
        });
        PickContext {
            now,
            view,
            waiting,
            objectives,
            typical_speed: service.typical_speed(&objectives),
            fastest_gap: service.slot_count.fastest_gap,
            matches,
            check_stalls: self.options.has(SchedulerMechanism::Ejection)
                && service.members.len() > 1,
            version,
        }
    }

    fn version_constraint<'a>(
        &self,
        name: &ServiceName,
        service: &ServiceState,
        waiting: &WaitingRequest,
        view: SchedulerView<'a>,
    ) -> VersionConstraint<'a> {
        if let Some(split) = view.splits.get(name) {
            let route = waiting.request.route.as_str();
            let side = service.splits.next_side(split, route, self.options.seed());
            return VersionConstraint::Side(split, side);
        }
        let spec = view.config.services.get(name);
        let version = spec.and_then(|spec| spec.version.as_ref());
        version.map_or(VersionConstraint::Any, VersionConstraint::Only)
    }

    fn best_of(
        &self,
        context: &PickContext<'_>,
        candidates: impl Iterator<Item = UpstreamId>,
    ) -> Result<PickedUpstream, PickFailure> {
        let mut best = Err(PickFailure::NoCapacity);
        for id in candidates {
            best = match (best, self.evaluate_upstream(context, id)) {
                (Ok(old), Ok(new)) => Ok(better_of(context, old, new)),
                (Err(_), Ok(new)) => Ok(new),
                (Err(PickFailure::NoCapacity), Err(failure)) => Err(failure),
                (kept, Err(_)) => kept,
            };
        }
        best
    }

    /// Scores one upstream for the request, if it may take it.
    fn evaluate_upstream(
        &self,
        context: &PickContext<'_>,
        id: UpstreamId,
    ) -> Result<PickedUpstream, PickFailure> {
        let Some(state) = self.fleet.get(id) else {
            return Err(PickFailure::NoCapacity);
        };
        let waiting = context.waiting;
        let grant = context.view.grants.get(&state.name);
        let allowance = state.allowance(context.now, grant);
        let room = state.has_room(allowance, waiting.estimate.batch_tokens());
        if !room || waiting.excluded == Some(id) {
            return Err(PickFailure::NoCapacity);
        }
        let speed = state.speed.estimate(context.typical_speed);
        if context.check_stalls && state.is_stalled(context.now, speed) {
            return Err(PickFailure::NoCapacity);
        }
        let side = context.version.allows(&state.version)?;
        let uncached = uncached_tokens(context, id);
        let cached_elsewhere = cached_elsewhere(context, id);
        let cached = waiting.request.prompt.tokens - uncached;
        let missed = cached_elsewhere.saturating_sub(cached);
        let load = UpstreamLoad {
            state,
            allowance,
            speed,
        };
        let score = score(context, load, uncached, missed)?;
        Ok(PickedUpstream {
            upstream: id,
            uncached,
            cached_elsewhere,
            side,
            miss_time: Duration::from_secs_f64(f64::from(missed) * speed.prefill),
            score,
        })
    }
}

/// Returns the better of two: first the one whose version is next in the split, then the lower
/// score.
fn better_of(
    context: &PickContext<'_>,
    old: PickedUpstream,
    new: PickedUpstream,
) -> PickedUpstream {
    let old_first = context.version.prefers(old.side);
    let new_first = context.version.prefers(new.side);
    match (old_first, new_first) {
        (true, false) => old,
        (false, true) => new,
        _ if new.score < old.score => new,
        _ => old,
    }
}

fn sample_members(service: &ServiceState, sample_rng: &mut SampleRng) -> Vec<UpstreamId> {
    let members = &service.members;
    if members.len() <= MAX_FULL_COMPARISON {
        return members.clone();
    }
    let local = SAMPLE_SIZE * 2 / 3;
    let mut sample = Vec::with_capacity(SAMPLE_SIZE);
    for number in 0..SAMPLE_SIZE {
        let pool = if number < local && !service.local_members.is_empty() {
            &service.local_members
        } else {
            members
        };
        sample.extend(pool.get(sample_rng.below(pool.len())));
    }
    sample
}
