//! Usual load and capacity of a service, remembered over an outage of the store.

use crate::queue::RequestRank;
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};

/// Time constant of the averages.
const AVERAGE_WINDOW: Duration = Duration::from_secs(8);
/// Longest interval between two observations that counts; after a longer one nothing was observed.
const MAX_INTERVAL: Duration = Duration::from_secs(1);
/// Lowest use of the slots from which the capacity is extrapolated.
const MIN_UTILISATION: f64 = 0.2;
/// Fraction of the capacity that arrivals and returns may use together; at a higher use, waiting
/// times grow quickly.
const USABLE_FRACTION: f64 = 0.8;
/// Capacity that is given to returns in any case, as a fraction of the usual arrivals: with none,
/// nobody could return to a service that is fully used.
const MIN_RETURN_FRACTION: f64 = 0.05;

/// Averages over the time in which this daemon could serve callers. They stand still in an outage:
/// when it ends, the usual arrivals come back at once.
#[derive(Debug, Clone, Default)]
pub struct UsualLoad {
    ranks: BTreeMap<RequestRank, RankLoad>,
    utilisation: f64,
    /// Weight of the observations so far, up to 1.
    weight: f64,
    observed_at: Option<MonotonicTime>,
}

#[derive(Debug, Clone, Copy, Default)]
struct RankLoad {
    /// Arrivals since the last observation.
    arrivals: u32,
    per_second: f64,
}

impl UsualLoad {
    /// Records an admitted request.
    pub fn record_arrival(&mut self, rank: RequestRank) {
        self.ranks.entry(rank).or_default().arrivals += 1;
    }

    /// Records the fraction of the service's slots in use over all daemons.
    pub fn observe(&mut self, now: MonotonicTime, utilisation: f64) {
        let interval = self.observed_at.replace(now).map(|at| now.since(at));
        let interval = interval.filter(|time| !time.is_zero() && *time <= MAX_INTERVAL);
        let weight = interval.map_or(0.0, |interval| {
            1.0 - (-interval.as_secs_f64() / AVERAGE_WINDOW.as_secs_f64()).exp()
        });
        self.weight += (1.0 - self.weight) * weight;
        self.utilisation += (utilisation - self.utilisation) * weight;
        for rank in self.ranks.values_mut() {
            let arrivals = f64::from(std::mem::take(&mut rank.arrivals));
            if let Some(interval) = interval {
                let rate = arrivals / interval.as_secs_f64();
                rank.per_second += (rate - rank.per_second) * weight;
            }
        }
    }

    /// Returns whether anything was observed.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.weight > 0.0
    }

    /// Returns the usual arrivals per second at this daemon, of the ranks selected by `counts`.
    fn arrivals(&self, counts: impl Fn(&RequestRank) -> bool) -> f64 {
        let ranks = self.ranks.iter().filter(|(rank, _)| counts(rank));
        let sum: f64 = ranks.map(|(_, load)| load.per_second).sum();
        sum / self.weight.max(f64::MIN_POSITIVE)
    }

    /// Returns the usual arrivals per second at this daemon.
    #[must_use]
    pub fn arrivals_per_second(&self) -> f64 {
        self.arrivals(|_| true)
    }

    /// Returns the capacity per second that the usual arrivals leave to returning callers of a
    /// rank, after those of more urgent ranks. The capacities of all ranks sum to the whole.
    #[must_use]
    pub fn spare_per_second(&self, rank: RequestRank) -> f64 {
        let usual = self.arrivals_per_second();
        let utilisation = self.utilisation / self.weight.max(f64::MIN_POSITIVE);
        let capacity = usual / utilisation.clamp(MIN_UTILISATION, 1.0);
        let spare = (capacity * USABLE_FRACTION - usual).max(usual * MIN_RETURN_FRACTION);
        let urgent = self.arrivals(|other| *other < rank);
        (spare - urgent).clamp(0.0, self.arrivals(|other| *other == rank))
    }
}
