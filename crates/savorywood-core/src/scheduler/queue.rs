//! Requests of one service that wait: strict tiers, fair shares of teams within a tier.

mod fair;

use super::{cost::CostEstimate, fleet::UpstreamId};
use crate::request::QueuedRequest;
use fair::{FairQueue, LaneKey};
use savorywood_protocol::{AttemptNumber, MonotonicTime, RequestId, TierRank};
use std::{collections::BTreeMap, time::Duration};

/// Times that a prefill which another upstream could spare is waited out, before it is done.
const MISS_WAIT_FACTOR: f64 = 4.0;

/// A request that waits for an upstream.
#[derive(Debug, Clone)]
pub struct WaitingRequest {
    /// What waits.
    pub request: QueuedRequest,
    /// Number that its next attempt gets.
    pub attempt: AttemptNumber,
    /// Predicted size.
    pub estimate: CostEstimate,
    /// Predicted time on a seat, in microseconds.
    pub slot_micros: u64,
    /// Dispatched later than this it can't meet its deadline.
    pub latest_start: MonotonicTime,
    /// Until then it may be kept for an upstream that holds its prefix.
    pub affinity_wait_until: MonotonicTime,
    /// From then on it goes before others of its tier, whatever is cached where.
    pub urgent_at: MonotonicTime,
    /// Hash of the longest prefix that some upstream was known to hold when it arrived.
    pub cached_prefix: Option<u64>,
    /// Upstream that could not be reached by the last attempt.
    pub excluded: Option<UpstreamId>,
}

impl WaitingRequest {
    /// Whether it has waited long enough for an upstream that holds its prefix to take one that
    /// needs `miss_time` to prefill it: the longer that takes, the longer it waits.
    #[must_use]
    pub fn accepts_cache_miss(&self, now: MonotonicTime, miss_time: Duration) -> bool {
        now >= self.affinity_wait_until + miss_time.mul_f64(MISS_WAIT_FACTOR)
    }
}

/// Where a request waits.
#[derive(Debug, Clone, Copy)]
struct QueuePosition {
    rank: TierRank,
    sequence: u64,
}

/// How a queue orders its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueOrder {
    /// Higher tiers go first.
    pub tiers: bool,
    /// Teams share within a tier; otherwise first come, first served.
    pub fair: bool,
}

/// How many waiting requests are looked at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScanLimit {
    /// Of one team in one tier.
    pub per_team: usize,
    /// Of one tier.
    pub per_tier: usize,
}

impl ScanLimit {
    /// All of them.
    pub const UNLIMITED: Self = Self {
        per_team: usize::MAX,
        per_tier: usize::MAX,
    };
}

/// Waiting requests of one service.
#[derive(Debug)]
pub struct RequestQueue {
    order: QueueOrder,
    tiers: BTreeMap<TierRank, FairQueue>,
    positions: BTreeMap<RequestId, QueuePosition>,
    next_sequence: u64,
}

impl RequestQueue {
    /// An empty queue.
    #[must_use]
    pub fn new(order: QueueOrder) -> Self {
        Self {
            order,
            tiers: BTreeMap::new(),
            positions: BTreeMap::new(),
            next_sequence: 0,
        }
    }

    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    fn queue_rank(&self, rank: TierRank) -> TierRank {
        if self.order.tiers {
            rank
        } else {
            TierRank::default()
        }
    }

    fn lane_key(&self, waiting: &WaitingRequest) -> LaneKey {
        self.order.fair.then(|| waiting.request.team.clone())
    }

    /// Adds a request behind those of its team.
    pub fn push(&mut self, waiting: WaitingRequest) {
        let rank = self.queue_rank(waiting.request.rank);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let position = QueuePosition { rank, sequence };
        self.positions.insert(waiting.request.request, position);
        let lane = self.lane_key(&waiting);
        let tier = self.tiers.entry(rank).or_default();
        tier.push(lane, sequence, waiting);
    }

    /// The first requests of the teams that are next, highest tier first.
    pub fn heads(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.tiers.values().flat_map(FairQueue::heads)
    }

    /// The first few requests of each team that is next, highest tier first.
    pub fn front(&self, span: ScanLimit) -> impl Iterator<Item = &WaitingRequest> {
        let tiers = self.tiers.values();
        tiers.flat_map(move |tier| tier.front(span.per_team).take(span.per_tier))
    }

    /// Takes a request out to dispatch it: its team is charged.
    pub fn take(&mut self, request: RequestId) -> Option<WaitingRequest> {
        let position = self.positions.remove(&request)?;
        self.tiers.get_mut(&position.rank)?.take(position.sequence)
    }

    /// Takes a request out without a charge.
    pub fn remove(&mut self, request: RequestId) -> Option<WaitingRequest> {
        let position = self.positions.remove(&request)?;
        self.tiers
            .get_mut(&position.rank)?
            .remove(position.sequence)
    }

    /// Corrects the charge of a team once the real size of a request is known.
    pub fn correct_charge(&mut self, request: &QueuedRequest, charged: u64, actual: u64) {
        let rank = self.queue_rank(request.rank);
        let lane = self.order.fair.then(|| request.team.clone());
        if let Some(tier) = self.tiers.get_mut(&rank) {
            tier.correct_charge(&lane, request.weight, charged, actual);
        }
    }

    /// Lowest tier of which a request waits.
    #[must_use]
    pub fn lowest_rank(&self) -> Option<TierRank> {
        let mut tiers = self.tiers.iter().rev();
        let lowest = tiers.find(|(_, tier)| !tier.is_empty());
        lowest.map(|(rank, _)| *rank)
    }

    /// Newest request of the lowest tier: the one to shed first.
    #[must_use]
    pub fn shed_candidate(&self) -> Option<RequestId> {
        let rank = self.lowest_rank()?;
        self.tiers.get(&rank)?.newest()
    }

    /// Seat time of the requests that go before a new one of this team, in microseconds.
    #[must_use]
    pub fn work_ahead(&self, request: &QueuedRequest) -> u64 {
        let rank = self.queue_rank(request.rank);
        let higher = self.tiers.range(..rank).map(|(_, tier)| tier.work());
        let lane = self.order.fair.then(|| request.team.clone());
        let own = self.tiers.get(&rank);
        let own = own.map_or(0, |tier| tier.work_ahead(&lane, request.weight));
        higher.sum::<u64>() + own
    }

    /// Requests that wait, by tier.
    pub fn waiting_by_tier(&self) -> impl Iterator<Item = (TierRank, usize)> + '_ {
        let counts = self.tiers.iter().map(|(rank, tier)| (*rank, tier.len()));
        counts.filter(|(_, count)| *count > 0)
    }
}
