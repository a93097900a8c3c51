//! Early refusal of requests that cannot be completed by their deadline.

use super::load::WorkRates;
use crate::{arrival::LocalRequest, queue::RequestRank};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;
use strum::Display;

/// Part of the expected wait that counts for a refusal. Estimates of lengths are accurate at the
/// median only, and a refusal that was not necessary loses the request.
const WAIT_CONFIDENCE: f64 = 0.7;
/// Part of the arrivals of more urgent ranks that counts: some of them are refused or retried.
const ARRIVAL_CONFIDENCE: f64 = 0.8;
/// Least fraction of the turnover that is left for a request. The rates of a few seconds do not
/// predict that more urgent work takes all slots until a deadline.
const MIN_TURNOVER_FRACTION: f64 = 0.1;

/// A waiting request, as far as early refusal depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingWork {
    /// The request.
    pub request: LocalRequest,
    /// Its rank.
    pub rank: RequestRank,
    /// It can no longer meet its objective, and requests of its rank that arrive go ahead.
    pub late: bool,
    /// No upstream has executed it, and its caller has received nothing.
    pub refusable: bool,
    /// Expected time for which it holds a slot.
    pub slot_time: Duration,
    /// Expected time from dispatch to its first event.
    pub first_event: Duration,
    /// Time by which the response must be complete.
    pub complete_by: MonotonicTime,
    /// Time by which the caller must receive the first event.
    pub first_event_by: MonotonicTime,
}

/// What a request would miss.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalCause {
    /// The deadline of the complete response.
    Deadline,
    /// The time at which the caller leaves without a first event.
    FirstEvent,
}

/// Decision to refuse a request, with its inputs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EarlyRefusal {
    /// The request.
    pub request: LocalRequest,
    /// What it would miss.
    pub cause: RefusalCause,
    /// Slot time of the requests ahead of it.
    pub ahead: Duration,
    /// Slots that become free for it: the turnover without the more urgent arrivals.
    pub turnover: f64,
    /// Expected time until it gets a slot.
    pub wait: Duration,
    /// Time from now until it would miss its limit.
    pub remaining: Duration,
}

/// Returns the slots that become free for work of a rank: the turnover without the part that
/// arriving requests go ahead with, or what the rank and less urgent ones received, if that is more.
/// Requests of the same rank go ahead of late work only.
fn turnover_for(rates: &WorkRates, rank: RequestRank, late: bool) -> f64 {
    let goes_ahead = |other: RequestRank| other < rank || (late && other == rank);
    let ahead = rates.ranks.iter().filter(|rate| goes_ahead(rate.rank));
    let arriving: f64 = ahead.map(|rate| rate.arriving).sum();
    let others = rates.ranks.iter().filter(|rate| rate.rank >= rank);
    let received: f64 = others.map(|rate| rate.dispatched).sum();
    (rates.turnover - arriving * ARRIVAL_CONFIDENCE)
        .max(received)
        .max(rates.turnover * MIN_TURNOVER_FRACTION)
}

/// Returns the expected time until the slot time `ahead` of a request is done; `None` without an
/// observed turnover.
#[must_use]
pub fn expected_wait(
    ahead: Duration,
    rates: &WorkRates,
    rank: RequestRank,
    late: bool,
) -> Option<Duration> {
    let turnover = turnover_for(rates, rank, late);
    let wait_s = ahead.as_secs_f64() / turnover;
    Duration::try_from_secs_f64(wait_s).ok()
}

/// Returns the requests to refuse, from `work` in order of rank.
///
/// A request is refused only if none of a less urgent rank goes on waiting: these would be served
/// after it, and a more urgent rank is not shed before a less urgent one. Such a request waits
/// until its own time has passed.
#[must_use]
pub fn early_refusals(
    now: MonotonicTime,
    work: &[WaitingWork],
    rates: &WorkRates,
) -> Vec<EarlyRefusal> {
    let mut ahead = Duration::ZERO;
    let mut candidates = Vec::new();
    let mut rank_mean = None;
    for request in work {
        let (rank, mean) = match rank_mean {
            Some((rank, mean)) if rank == request.rank => (rank, mean),
            _ => (request.rank, mean_slot_time(work, request.rank)),
        };
        rank_mean = Some((rank, mean));
        let own = request.slot_time.min(mean);
        let refusal = check(now, request, ahead, own, rates);
        if refusal.is_none() {
            ahead += request.slot_time;
        }
        candidates.push((request.rank, refusal));
    }
    let waiting = candidates.iter().rev();
    let mut waiting = waiting.filter(|(_, refusal)| refusal.is_none());
    let least_urgent = waiting.next().map(|(rank, _)| *rank);
    let refusals = candidates
        .into_iter()
        .filter(|(rank, _)| least_urgent.is_none_or(|least| *rank >= least));
    refusals.filter_map(|(_, refusal)| refusal).collect()
}

/// Returns the mean slot time of the waiting requests of a rank. A large request counts no more than
/// this for its own refusal: it would otherwise be refused more often than the others of its kind.
fn mean_slot_time(work: &[WaitingWork], rank: RequestRank) -> Duration {
    let same = work.iter().filter(|work| work.rank == rank);
    let total: Duration = same.clone().map(|work| work.slot_time).sum();
    total / u32::try_from(same.count().max(1)).unwrap_or(u32::MAX)
}

fn check(
    now: MonotonicTime,
    work: &WaitingWork,
    ahead: Duration,
    own: Duration,
    rates: &WorkRates,
) -> Option<EarlyRefusal> {
    if !work.refusable {
        return None;
    }
    let wait = expected_wait(ahead, rates, work.rank, work.late)?;
    let counted = wait.mul_f64(WAIT_CONFIDENCE);
    let remaining = work.complete_by.since(now);
    let until_first_event = work.first_event_by.since(now);
    let (cause, remaining) = if counted + own >= remaining {
        (RefusalCause::Deadline, remaining)
    } else if counted + work.first_event.min(own) >= until_first_event {
        (RefusalCause::FirstEvent, until_first_event)
    } else {
        return None;
    };
    // Without work ahead it would start with the next free slot; its own time decides then.
    (!ahead.is_zero()).then_some(EarlyRefusal {
        request: work.request,
        cause,
        ahead,
        turnover: turnover_for(rates, work.rank, work.late),
        wait,
        remaining,
    })
}
