//! Start-time fair queueing of teams by tokens.
//!
//! Each team has a lane with a tag in virtual time. The lane with the smallest tag is next; a
//! dispatch advances its tag by the size of the request divided by the team's weight. The cost of
//! an operation grows with the logarithm of the number of teams with waiting requests. Idle lanes
//! are discarded when their tag is no longer ahead of the virtual time.

use super::WaitingRequest;
use savorywood_protocol::{RequestId, TeamName};
use std::collections::{BTreeMap, BTreeSet};

/// Virtual time per token of a team with weight 1.
const TAG_SCALE: u64 = 1_024;

/// Team of a lane; `None` if all teams share one lane.
pub type LaneKey = Option<TeamName>;

#[derive(Debug, Default)]
struct TeamLane {
    waiting: BTreeMap<u64, WaitingRequest>,
    tag: u64,
    weight: u64,
    work: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct LaneTag {
    tag: u64,
    lane: LaneKey,
}

/// Waiting requests of one tier.
#[derive(Debug, Default)]
pub struct FairQueue {
    lanes: BTreeMap<LaneKey, TeamLane>,
    active: BTreeSet<LaneTag>,
    idle: BTreeSet<LaneTag>,
    order: BTreeMap<u64, LaneKey>,
    virtual_time: u64,
    active_weight: u64,
    work: u64,
}

impl FairQueue {
    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns the slot time of all waiting requests, in microseconds.
    pub fn work(&self) -> u64 {
        self.work
    }

    /// Appends a request to its team's lane.
    pub fn push(&mut self, key: LaneKey, sequence: u64, waiting: WaitingRequest) {
        let lane = self.lanes.entry(key.clone()).or_default();
        if lane.waiting.is_empty() {
            let tag = lane.tag;
            let lane_key = key.clone();
            self.idle.remove(&LaneTag {
                tag,
                lane: lane_key,
            });
            lane.tag = tag.max(self.virtual_time);
            lane.weight = u64::from(waiting.request.weight.max(1));
            self.active_weight += lane.weight;
            self.active.insert(LaneTag {
                tag: lane.tag,
                lane: key.clone(),
            });
        }
        self.work += waiting.slot_micros;
        lane.work += waiting.slot_micros;
        lane.waiting.insert(sequence, waiting);
        self.order.insert(sequence, key);
    }

    /// Iterates over the first request of each lane, next lane first.
    pub fn heads(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.active.iter().filter_map(|lane_tag| {
            let lane = self.lanes.get(&lane_tag.lane)?;
            lane.waiting.values().next()
        })
    }

    /// Iterates over the first few requests of each lane, next lane first.
    pub fn front(&self, per_lane: usize) -> impl Iterator<Item = &WaitingRequest> {
        let lanes = self
            .active
            .iter()
            .filter_map(|lane_tag| self.lanes.get(&lane_tag.lane));
        lanes.flat_map(move |lane| lane.waiting.values().take(per_lane))
    }

    /// Returns the newest request of the tier.
    pub fn newest(&self) -> Option<RequestId> {
        let (sequence, key) = self.order.last_key_value()?;
        let waiting = self.lanes.get(key)?.waiting.get(sequence)?;
        Some(waiting.request.request)
    }

    /// Removes a request and charges its team. The virtual time advances to the lane's tag.
    pub fn take(&mut self, sequence: u64) -> Option<WaitingRequest> {
        let tag = self.current_tag(sequence)?;
        self.virtual_time = self.virtual_time.max(tag);
        let taken = self.detach(sequence, true);
        self.discard_idle_lanes();
        taken
    }

    /// Removes a request without a charge.
    pub fn remove(&mut self, sequence: u64) -> Option<WaitingRequest> {
        let removed = self.detach(sequence, false);
        self.discard_idle_lanes();
        removed
    }

    fn current_tag(&self, sequence: u64) -> Option<u64> {
        let key = self.order.get(&sequence)?;
        self.lanes.get(key).map(|lane| lane.tag)
    }

    fn detach(&mut self, sequence: u64, charge: bool) -> Option<WaitingRequest> {
        let key = self.order.remove(&sequence)?;
        let lane = self.lanes.get_mut(&key)?;
        let waiting = lane.waiting.remove(&sequence)?;
        self.work -= waiting.slot_micros;
        lane.work -= waiting.slot_micros;
        let mut lane_tag = LaneTag {
            tag: lane.tag,
            lane: key,
        };
        self.active.remove(&lane_tag);
        if charge {
            lane.tag += virtual_cost(waiting.estimate.batch_tokens(), lane.weight);
        }
        lane_tag.tag = lane.tag;
        if lane.waiting.is_empty() {
            self.active_weight -= lane.weight;
            self.idle.insert(lane_tag);
        } else {
            self.active.insert(lane_tag);
        }
        Some(waiting)
    }

    /// Replaces a team's charge by the actual size. Nothing is corrected if the lane was discarded.
    pub fn correct_charge(&mut self, key: &LaneKey, weight: u32, charged: u64, actual: u64) {
        let Some(lane) = self.lanes.get_mut(key) else {
            return;
        };
        let weight = u64::from(weight.max(1));
        let mut lane_tag = LaneTag {
            tag: lane.tag,
            lane: key.clone(),
        };
        let set = if lane.waiting.is_empty() {
            &mut self.idle
        } else {
            &mut self.active
        };
        set.remove(&lane_tag);
        let tag =
            (lane.tag + virtual_cost(actual, weight)).saturating_sub(virtual_cost(charged, weight));
        lane.tag = tag.max(self.virtual_time);
        lane_tag.tag = lane.tag;
        set.insert(lane_tag);
    }

    fn discard_idle_lanes(&mut self) {
        if self.order.is_empty() {
            // Without waiting requests no team competes, so no tags need to be kept.
            self.idle.clear();
            self.lanes.clear();
            return;
        }
        while let Some(lane_tag) = self.idle.first()
            && lane_tag.tag <= self.virtual_time
        {
            if let Some(lane_tag) = self.idle.pop_first() {
                self.lanes.remove(&lane_tag.lane);
            }
        }
    }

    /// Returns the slot time queued ahead of a new request of a team, in microseconds. The work in
    /// its own lane counts in proportion to the weights of the lanes that are served meanwhile.
    pub fn work_ahead(&self, key: &LaneKey, weight: u32) -> u64 {
        let weight = u64::from(weight.max(1));
        let (own, others) = match self.lanes.get(key) {
            Some(lane) if !lane.waiting.is_empty() => (lane.work, self.active_weight - lane.weight),
            _ => (0, self.active_weight),
        };
        let shared = own.saturating_mul(weight + others) / weight;
        shared.min(self.work)
    }
}

fn virtual_cost(tokens: u64, weight: u64) -> u64 {
    (tokens * TAG_SCALE / weight).max(1)
}
