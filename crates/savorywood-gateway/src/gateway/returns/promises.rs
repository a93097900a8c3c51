//! Return times promised at limits of teams and after load shedding.

use super::{MAX_DEADLINE_FRACTION, MIN_DELAY, ScheduledReturn};
use crate::{
    config::TeamLimit,
    gateway::{Gateway, record::RequestRecord},
    label::TeamLabel,
    limits::{ReturnCause, ReturnKey, ReturnPreference, ReturnQuery, UsualLoad, WhenFull},
    queue::WaitQueue,
};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Time after an outage in which the remembered capacity counts, as few dispatches were observed.
const RECOVERY_PERIOD: Duration = Duration::from_secs(3);

/// Refused request of a team.
#[derive(Debug, Clone, Copy)]
pub(in crate::gateway) struct TeamReturn<'a> {
    pub team: &'a TeamLabel,
    pub limit: TeamLimit,
    pub units: f64,
    /// Time until the limit has room for the request.
    pub room_delay: Duration,
    /// Time for which a response can still be in time.
    pub in_time: Duration,
    /// Remaining time of the caller.
    pub left: Duration,
    /// The request was refused before.
    pub returned: bool,
}

impl Gateway {
    /// Schedules the return of a request beyond its team's limit.
    ///
    /// A time at which the response can still be in time is backed by units that new requests
    /// leave. Later ones are not: under lasting overload they would replace a response in time by a
    /// late one.
    pub(in crate::gateway) fn schedule_team_return(
        &mut self,
        now: MonotonicTime,
        request: &TeamReturn<'_>,
    ) -> ScheduledReturn {
        let max_delay = request.left.mul_f64(MAX_DEADLINE_FRACTION);
        let latest = max_delay.min(request.in_time);
        let sample = self.returns.random.next();
        let fallback = match self.returns.policy.when_full {
            WhenFull::Latest => Some(max_delay.mul_f64(1.0 - sample / 4.0)),
            WhenFull::NoTime | WhenFull::InTime => None,
        };
        let per_second = if request.returned {
            0.0
        } else {
            request.limit.per_second * self.limit_share()
        };
        let query = ReturnQuery {
            amount: request.units,
            per_second,
            earliest: request.room_delay.max(MIN_DELAY),
            latest,
            preference: ReturnPreference::Earliest,
            sample,
        };
        let key = ReturnKey::Team(request.team.clone());
        let mut scheduled = self
            .returns
            .schedule(now, ReturnCause::TeamLimit, &key, &query, None);
        if scheduled.delay.is_none() {
            scheduled.delay = fallback;
        }
        scheduled
    }

    /// Returns this daemon's share of the limits of teams; the shares of all daemons sum to 1.
    fn limit_share(&self) -> f64 {
        self.lone_share
            .unwrap_or(1.0 / self.entry_daemons.max(1) as f64)
    }

    /// Returns the units of a team's limit that new requests leave to returning ones.
    pub(in crate::gateway) fn held_units(
        &self,
        now: MonotonicTime,
        team: &TeamLabel,
        limit: TeamLimit,
    ) -> f64 {
        if !self.schedules_returns() || !self.returns.policy.holds_units {
            return 0.0;
        }
        let key = ReturnKey::Team(team.clone());
        let per_second = limit.per_second * self.limit_share();
        self.returns.schedule.held_amount(now, &key, per_second)
    }

    /// Schedules the return of a request that was refused as its response would come too late: when
    /// the work ahead of it is done, and after those that were promised earlier times.
    pub(in crate::gateway) fn schedule_overload_return(
        &mut self,
        now: MonotonicTime,
        record: &RequestRecord,
    ) -> ScheduledReturn {
        let queue = self.queues.get(&record.service);
        let ahead = queue.map_or(0, |queue: &WaitQueue| {
            queue.count_at_least_as_urgent(record.rank)
        });
        let demand = self.demand_trackers.get(&record.service);
        let mut per_second = demand.map_or(0.0, |demand| demand.total_dispatch_rate(now));
        let recovered = self.returns.recovered_at.map(|at| now.since(at));
        if recovered.is_some_and(|time| time < RECOVERY_PERIOD) {
            let usual = self.returns.usual_load(&record.service);
            per_second = per_second.max(usual.map_or(0.0, UsualLoad::arrivals_per_second));
        }
        // Under lasting overload, all slots go to arrivals, and a caller that returns is refused again.
        let arrivals = demand.map_or(0.0, |demand| demand.arrival_rate_up_to(now, record.rank));
        let spare = (per_second - arrivals).max(0.0);
        let latest = record.give_up_at.since(now).mul_f64(MAX_DEADLINE_FRACTION);
        let wait_s = ahead as f64 / per_second.max(f64::MIN_POSITIVE);
        let sample = self.returns.random.next();
        let query = ReturnQuery {
            amount: 1.0,
            per_second: if record.returned { 0.0 } else { spare },
            earliest: Duration::from_secs_f64(wait_s.min(60.0)).max(MIN_DELAY),
            latest,
            preference: ReturnPreference::Earliest,
            sample,
        };
        let fallback = match self.returns.policy.when_full {
            WhenFull::Latest => Some(latest.mul_f64(1.0 - sample / 4.0)),
            WhenFull::NoTime | WhenFull::InTime => None,
        };
        let key = ReturnKey::Service {
            service: record.service.clone(),
            rank: record.rank,
        };
        self.returns
            .schedule(now, ReturnCause::Overload, &key, &query, fallback)
    }
}
