//! How much work of each rank comes to a service.

use crate::queue::RequestRank;
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};

/// Time in which old arrivals lose most of their weight: bursts last for some seconds.
const RECENT_TIME: Duration = Duration::from_millis(1_500);

#[derive(Debug, Clone, Copy, Default)]
struct RankDemand {
    /// Arrivals lately, fading.
    recent: f64,
    faded_at: MonotonicTime,
}

impl RankDemand {
    fn fade(&mut self, now: MonotonicTime) {
        self.recent = self.recent_at(now);
        self.faded_at = now;
    }

    fn recent_at(&self, now: MonotonicTime) -> f64 {
        let elapsed = now.since(self.faded_at).as_secs_f64();
        self.recent * (-elapsed / RECENT_TIME.as_secs_f64()).exp()
    }
}

/// Arrivals at one service by rank, as this daemon sees them.
#[derive(Debug, Clone, Default)]
pub struct DemandBook {
    ranks: BTreeMap<RequestRank, RankDemand>,
}

impl DemandBook {
    /// A request came.
    pub fn arrived(&mut self, now: MonotonicTime, rank: RequestRank) {
        let demand = self.ranks.entry(rank).or_default();
        demand.fade(now);
        demand.recent += 1.0;
    }

    /// Arrivals a second at this daemon of ranks more urgent than this one.
    #[must_use]
    pub fn more_urgent(&self, now: MonotonicTime, rank: RequestRank) -> f64 {
        let urgent = self.ranks.range(..rank);
        let recent: f64 = urgent.map(|(_, demand)| demand.recent_at(now)).sum();
        recent / RECENT_TIME.as_secs_f64()
    }

    /// Arrivals a second at this daemon of the most urgent rank, if that is not this one.
    #[must_use]
    pub fn most_urgent(&self, now: MonotonicTime, rank: RequestRank) -> f64 {
        let mut urgent = self.ranks.range(..rank);
        let recent = urgent.next().map(|(_, demand)| demand.recent_at(now));
        recent.unwrap_or_default() / RECENT_TIME.as_secs_f64()
    }
}
