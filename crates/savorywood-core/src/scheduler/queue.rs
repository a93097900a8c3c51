//! Queue of the waiting requests of one service: strict priority of tiers, fair queueing of teams
//! within a tier.

mod fair;

use super::{cost::CostEstimate, fleet::UpstreamId};
use crate::request::QueuedRequest;
use fair::{FairQueue, LaneKey};
use savorywood_protocol::{AttemptNumber, MonotonicTime, RequestId, TierRank};
use std::{collections::BTreeMap, time::Duration};

/// A request waits up to this multiple of the prefill time that an upstream with its prefix cached
/// would save.
const MISS_WAIT_FACTOR: f64 = 4.0;

/// Request that waits for an upstream.
#[derive(Debug, Clone)]
pub struct WaitingRequest {
    /// The request itself.
    pub request: QueuedRequest,
    /// Number of its next attempt.
    pub attempt: AttemptNumber,
    /// Predicted size in tokens.
    pub estimate: CostEstimate,
    /// Predicted time in a slot, in microseconds.
    pub slot_micros: u64,
    /// Time after which a dispatch would miss the deadline.
    pub latest_start: MonotonicTime,
    /// Time until which it may be held back for an upstream that has its prefix cached.
    pub affinity_wait_until: MonotonicTime,
    /// Time from which it goes first in its tier, wherever its prefix is cached.
    pub urgent_at: MonotonicTime,
    /// Hash of the longest prefix that some upstream had cached when the request arrived.
    pub cached_prefix: Option<u64>,
    /// Upstream that the last attempt could not reach; it is not chosen again.
    pub excluded: Option<UpstreamId>,
}

impl WaitingRequest {
    /// Whether it has waited long enough to accept an upstream that needs `miss_time` for the
    /// prefill which another upstream has cached. The longer the prefill, the longer it waits.
    #[must_use]
    pub fn accepts_cache_miss(&self, now: MonotonicTime, miss_time: Duration) -> bool {
        now >= self.affinity_wait_until + miss_time.mul_f64(MISS_WAIT_FACTOR)
    }
}

/// Queue position of a request.
#[derive(Debug, Clone, Copy)]
struct QueuePosition {
    rank: TierRank,
    sequence: u64,
}

/// Ordering rules of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueOrder {
    /// Whether higher tiers go first; otherwise all tiers are one.
    pub tiers: bool,
    /// Whether teams share a tier by weight; otherwise requests go in order of arrival.
    pub fair: bool,
}

/// Bounds on the number of waiting requests that are examined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScanLimit {
    /// Maximum number per team and tier.
    pub per_team: usize,
    /// Maximum number per tier.
    pub per_tier: usize,
}

impl ScanLimit {
    /// Examines all requests.
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
    /// Creates an empty queue.
    #[must_use]
    pub fn new(order: QueueOrder) -> Self {
        Self {
            order,
            tiers: BTreeMap::new(),
            positions: BTreeMap::new(),
            next_sequence: 0,
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no request waits.
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

    /// Appends a request to those of its team.
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

    /// Iterates over the first request of each team in dispatch order, highest tier first.
    pub fn heads(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.tiers.values().flat_map(FairQueue::heads)
    }

    /// Iterates over the first few requests of each team in dispatch order, highest tier first.
    pub fn front(&self, span: ScanLimit) -> impl Iterator<Item = &WaitingRequest> {
        let tiers = self.tiers.values();
        tiers.flat_map(move |tier| tier.front(span.per_team).take(span.per_tier))
    }

    /// Removes a request for dispatch and charges its team with the predicted size.
    pub fn take(&mut self, request: RequestId) -> Option<WaitingRequest> {
        let position = self.positions.remove(&request)?;
        self.tiers.get_mut(&position.rank)?.take(position.sequence)
    }

    /// Removes a request without a charge.
    pub fn remove(&mut self, request: RequestId) -> Option<WaitingRequest> {
        let position = self.positions.remove(&request)?;
        self.tiers
            .get_mut(&position.rank)?
            .remove(position.sequence)
    }

    /// Corrects the charge of a team when the actual size of a request is reported.
    pub fn correct_charge(&mut self, request: &QueuedRequest, charged: u64, actual: u64) {
        let rank = self.queue_rank(request.rank);
        let lane = self.order.fair.then(|| request.team.clone());
        if let Some(tier) = self.tiers.get_mut(&rank) {
            tier.correct_charge(&lane, request.weight, charged, actual);
        }
    }

    /// Returns the lowest tier that has waiting requests.
    #[must_use]
    pub fn lowest_rank(&self) -> Option<TierRank> {
        let mut tiers = self.tiers.iter().rev();
        let lowest = tiers.find(|(_, tier)| !tier.is_empty());
        lowest.map(|(rank, _)| *rank)
    }

    /// Returns the newest request of the lowest tier, which is shed first.
    #[must_use]
    pub fn shed_candidate(&self) -> Option<RequestId> {
        let rank = self.lowest_rank()?;
        self.tiers.get(&rank)?.newest()
    }

    /// Returns the slot time, in microseconds, queued ahead of a new request of this team.
    #[must_use]
    pub fn work_ahead(&self, request: &QueuedRequest) -> u64 {
        let rank = self.queue_rank(request.rank);
        let higher = self.tiers.range(..rank).map(|(_, tier)| tier.work());
        let lane = self.order.fair.then(|| request.team.clone());
        let own = self.tiers.get(&rank);
        let own = own.map_or(0, |tier| tier.work_ahead(&lane, request.weight));
        higher.sum::<u64>() + own
    }

    /// Iterates over the tiers that have waiting requests, with their numbers.
    pub fn waiting_by_tier(&self) -> impl Iterator<Item = (TierRank, usize)> + '_ {
        let counts = self.tiers.iter().map(|(rank, tier)| (*rank, tier.len()));
        counts.filter(|(_, count)| *count > 0)
    }
}
