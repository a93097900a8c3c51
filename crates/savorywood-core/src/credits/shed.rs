//! Coordination of load shedding: no daemon sheds a tier while a lower one is queued elsewhere.

use super::{CreditState, CreditView};
use crate::effect::{EffectQueue, LogLevel, LogLine};
use savorywood_protocol::{MonotonicTime, ServiceName, TierRank, UpstreamName};

/// Whether this daemon may shed a tier now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShedAdvice {
    /// No lower tier is queued elsewhere: shed.
    Shed,
    /// The arbiters have been asked; ask again when grants or floors change, or after a tick.
    Wait,
    /// No arbiter responded in time: decide from the local queues.
    DecideLocally,
}

/// A pending request to shed a tier of one service.
#[derive(Debug, Clone, Copy)]
pub(super) struct ShedRequest {
    rank: TierRank,
    since: MonotonicTime,
    renewed_at: MonotonicTime,
}

impl ShedRequest {
    pub(super) fn rank(&self) -> TierRank {
        self.rank
    }

    pub(super) fn renewed_at(&self) -> MonotonicTime {
        self.renewed_at
    }
}

impl CreditState {
    /// Returns whether work of a tier may be shed, and asks the arbiters if they have not confirmed
    /// it yet.
    pub fn shed_advice(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        rank: TierRank,
        view: CreditView<'_>,
        effects: &mut EffectQueue,
    ) -> ShedAdvice {
        let lower = view.config.tiers.values().any(|tier| tier.rank > rank);
        let used = self.floor_upstreams_in_use(now, service, view);
        // Work below the floor is to be shed: the floor has already risen past all lower tiers.
        let below = self.floors.get(service).is_some_and(|floor| rank > *floor);
        if !lower || below {
            return ShedAdvice::Shed;
        }
        let request = self.record_shed_request(now, service, rank);
        if self.floor_reached(now, &used, rank) {
            return ShedAdvice::Shed;
        }
        let waited = now.since(request.since);
        let answered = used.iter().any(|upstream| {
            let held = self.holdings.get(upstream);
            held.and_then(|held| held.granted_at)
                .is_some_and(|at| at >= request.since)
        });
        let limit = match answered {
            true => self.options.max_shed_wait,
            false => self.options.arbiter_timeout,
        };
        if waited < limit && !used.is_empty() {
            self.expedite_shed_request(now, &used, view, effects);
            return ShedAdvice::Wait;
        }
        self.record_local_shed(now, service, rank, effects);
        ShedAdvice::DecideLocally
    }

    fn floor_reached(&self, now: MonotonicTime, used: &[UpstreamName], rank: TierRank) -> bool {
        let spread = self.options.propagation_delay;
        let reached = |upstream: &UpstreamName| {
            let held = self.holdings.get(upstream);
            held.is_some_and(|held| held.has_reached_floor(now, rank, spread))
        };
        !used.is_empty() && used.iter().all(reached)
    }

    fn record_shed_request(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        rank: TierRank,
    ) -> ShedRequest {
        let old = self.shed_requests.get(service).copied();
        let old = old.filter(|request| now.since(request.renewed_at) < self.options.floor_hold);
        let request = match old {
            Some(old) => ShedRequest {
                rank: old.rank.min(rank),
                since: if rank < old.rank { now } else { old.since },
                renewed_at: now,
            },
            None => ShedRequest {
                rank,
                since: now,
                renewed_at: now,
            },
        };
        self.shed_requests.insert(service.clone(), request);
        request
    }

    /// Sends the shed request at once instead of with the next round.
    fn expedite_shed_request(
        &mut self,
        now: MonotonicTime,
        used: &[UpstreamName],
        view: CreditView<'_>,
        effects: &mut EffectQueue,
    ) {
        for upstream in used {
            self.mark_contended(now, upstream, self.options.idle_timeout);
        }
        self.send_shed_requests(now, used, view, effects);
        self.expedite_round(now, effects);
    }

    fn record_local_shed(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        rank: TierRank,
        effects: &mut EffectQueue,
    ) {
        self.counters.local_sheds += 1;
        // Limited to one line per `floor_hold` (1 s by default): a line per request would flood
        // the log under overload.
        if self
            .local_shed_logged_at
            .is_none_or(|at| now.since(at) >= self.options.floor_hold)
        {
            self.local_shed_logged_at = Some(now);
            let line = LogLine::new(LogLevel::Warn, "shed_without_arbiter")
                .with("service", service)
                .with("rank", rank)
                .with("total", self.counters.local_sheds);
            effects.log(line);
        }
    }
}
