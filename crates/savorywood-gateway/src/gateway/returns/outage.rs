//! Return times while API keys cannot be confirmed.

use super::{
    MAX_DEADLINE_FRACTION, MIN_DELAY, ReturnInputs, ScheduledReturn, in_time_budget, remaining_time,
};
use crate::{
    arrival::RequestArrival,
    config::RouteSpec,
    gateway::{Gateway, admission::Refusal},
    limits::{OutageOrder, ReturnCause, ReturnKey, ReturnQuery, WhenFull},
    message::{DaemonRole, PeerPhase},
    queue::RequestRank,
    refusal::RefusalReason,
};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Delay with which callers are sent to another daemon.
const ELSEWHERE_DELAY: Duration = Duration::from_millis(200);
/// Fraction of the live daemons that must confirm keys for callers to be sent to them at once.
const MIN_CONFIRMING_FRACTION: f64 = 0.25;
/// Fraction of the time for which a response can be in time after which a caller returns at most;
/// the rest is left for the wait for a slot.
const IN_TIME_FRACTION: f64 = 0.75;

impl Gateway {
    /// Refuses a request whose key cannot be confirmed.
    ///
    /// Callers are sent to other daemons if enough of these confirm keys. Otherwise, they return
    /// while the response can still be in time, or if it can't, over the time that they accept.
    pub(in crate::gateway) fn refuse_unconfirmed(
        &mut self,
        now: MonotonicTime,
        route: &RouteSpec,
        arrival: &RequestArrival,
        returned: bool,
    ) -> Refusal {
        let left = remaining_time(route, arrival);
        let latest = left.mul_f64(MAX_DEADLINE_FRACTION);
        if self.do_others_confirm(now) {
            self.returns.counters.record(ReturnCause::CutOff, true);
            // The random part keeps callers that were refused together apart.
            let sample = self.returns.random.next();
            let delay = ELSEWHERE_DELAY.mul_f64(0.5 + sample).min(latest);
            let inputs = ReturnInputs {
                cause: ReturnCause::CutOff,
                per_second: 0.0,
                promised_before: 0.0,
                amount: 1.0,
            };
            return Refusal::scheduled(
                RefusalReason::NotReady,
                ScheduledReturn {
                    delay: Some(delay),
                    inputs,
                },
            );
        }
        let sample = self.returns.random.next();
        let service = route.choose_service(sample).cloned();
        let Some(service) = service else {
            return Refusal::new(RefusalReason::NoUpstream);
        };
        let team = arrival.api_key.as_deref();
        let config = self.config.as_ref();
        let team = config
            .zip(team)
            .and_then(|(config, key)| config.team_for_key(key));
        let rank = RequestRank {
            team: team.and_then(|team| team.priority).unwrap_or(0),
            route: route.priority,
        };
        let usual = self.returns.usual_load(&service);
        let spare = usual.map(|usual| usual.spare_per_second(rank));
        let policy = self.returns.policy;
        let sample = self.returns.random.next();
        let in_time = in_time_delay(route, arrival, sample).filter(|delay| *delay <= latest);
        // Without an observed load, and for a request that was refused before, nothing is reserved.
        let is_reserved = !matches!(policy.outage, OutageOrder::Uniform | OutageOrder::InTime);
        let per_second = spare.filter(|_| is_reserved && !returned);
        let fallback = match (policy.outage, policy.when_full) {
            (OutageOrder::InTime, _) => in_time.or(Some(latest.mul_f64(1.0 - sample / 2.0))),
            (OutageOrder::Uniform, _) => Some(latest.mul_f64(sample)),
            _ if per_second.is_none() => Some(latest.mul_f64(sample)),
            (_, WhenFull::InTime) => in_time,
            (_, WhenFull::Latest) => Some(latest.mul_f64(1.0 - sample / 4.0)),
            (_, WhenFull::NoTime) => None,
        };
        let query = ReturnQuery {
            amount: 1.0,
            per_second: per_second.unwrap_or_default(),
            earliest: MIN_DELAY,
            latest,
            preference: policy.outage.preference(),
            sample,
        };
        let key = ReturnKey::AfterOutage { service, rank };
        let scheduled =
            self.returns
                .schedule(now, ReturnCause::StoreOutage, &key, &query, fallback);
        Refusal::scheduled(RefusalReason::NotReady, scheduled)
    }

    /// Returns whether enough live daemons confirm keys, as their summaries and digests report.
    ///
    /// A daemon that can't confirm its configuration reports that it is unready some time before it
    /// refuses keys. So in an outage for all daemons, none reports that it is ready by then.
    fn do_others_confirm(&self, now: MonotonicTime) -> bool {
        let mut live = 1;
        let mut confirming = 0;
        for peer in self.peers.live_peers(now) {
            live += 1;
            confirming += u32::from(peer.summary.phase == PeerPhase::Ready);
        }
        for member in self.peers.zone_digests(now).flat_map(|zone| &zone.members) {
            let serves = member.role == DaemonRole::Entry;
            live += u32::from(serves);
            confirming += u32::from(serves && member.phase == PeerPhase::Ready);
        }
        f64::from(confirming) >= f64::from(live) * MIN_CONFIRMING_FRACTION
    }
}

/// Returns a random delay after which a request that waits for a slot for a short time can still be
/// in time; `None` if it can't.
fn in_time_delay(route: &RouteSpec, arrival: &RequestArrival, sample: f64) -> Option<Duration> {
    let budget = in_time_budget(route, arrival, Duration::ZERO);
    let delay = budget.mul_f64(IN_TIME_FRACTION * (0.5 + sample / 2.0));
    (delay >= MIN_DELAY).then_some(delay)
}
