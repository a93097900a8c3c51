//! Asking before shedding: no daemon sheds a tier while a lower one waits elsewhere.

use super::{CreditState, CreditView};
use crate::effect::{EffectQueue, LogLevel, LogLine};
use savorywood_protocol::{MonotonicTime, ServiceName, TierRank, UpstreamName};

/// Whether a tier may be shed here now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShedAdvice {
    /// Nothing lower waits anywhere: shed.
    Shed,
    /// Others are being asked; come back when grants or floors change, or after a tick.
    Wait,
    /// No arbiter answers: judge by the own queues.
    DecideLocally,
}

/// A daemon that is about to shed.
#[derive(Debug, Clone, Copy)]
pub(super) struct ShedAsk {
    rank: TierRank,
    since: MonotonicTime,
    renewed: MonotonicTime,
}

impl ShedAsk {
    pub(super) fn rank(&self) -> TierRank {
        self.rank
    }

    pub(super) fn renewed(&self) -> MonotonicTime {
        self.renewed
    }
}

impl CreditState {
    /// Says whether work of a tier may be shed, and asks the arbiters if that is not known yet.
    pub fn shed_advice(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        rank: TierRank,
        view: CreditView<'_>,
        effects: &mut EffectQueue,
    ) -> ShedAdvice {
        let lower = view.config.tiers.values().any(|tier| tier.rank > rank);
        let used = self.asked_upstreams(now, service, view);
        // What is below the floor is meant to go; the floor rose past all lower tiers first.
        let below = self.floors.get(service).is_some_and(|floor| rank > *floor);
        if !lower || below {
            return ShedAdvice::Shed;
        }
        let ask = self.note_ask(now, service, rank);
        if self.floor_reached(now, &used, rank) {
            return ShedAdvice::Shed;
        }
        let waited = now.since(ask.since);
        let answered = used.iter().any(|upstream| {
            let held = self.held.get(upstream);
            held.and_then(|held| held.granted_at)
                .is_some_and(|at| at >= ask.since)
        });
        let limit = match answered {
            true => self.options.ask_limit,
            false => self.options.ask_timeout,
        };
        if waited < limit && !used.is_empty() {
            self.request_round(now, &used, view, effects);
            return ShedAdvice::Wait;
        }
        self.note_alone(now, service, rank, effects);
        ShedAdvice::DecideLocally
    }

    fn floor_reached(&self, now: MonotonicTime, used: &[UpstreamName], rank: TierRank) -> bool {
        let spread = self.options.spread_time;
        let reached = |upstream: &UpstreamName| {
            let held = self.held.get(upstream);
            held.is_some_and(|held| held.is_floor_at(now, rank, spread))
        };
        !used.is_empty() && used.iter().all(reached)
    }

    fn note_ask(&mut self, now: MonotonicTime, service: &ServiceName, rank: TierRank) -> ShedAsk {
        let old = self.asks.get(service).copied();
        let old = old.filter(|ask| now.since(ask.renewed) < self.options.floor_hold);
        let ask = match old {
            Some(old) => ShedAsk {
                rank: old.rank.min(rank),
                since: if rank < old.rank { now } else { old.since },
                renewed: now,
            },
            None => ShedAsk {
                rank,
                since: now,
                renewed: now,
            },
        };
        self.asks.insert(service.clone(), ask);
        ask
    }

    /// Demands go out with the next round at the latest; an ask does not wait for it.
    fn request_round(
        &mut self,
        now: MonotonicTime,
        used: &[UpstreamName],
        view: CreditView<'_>,
        effects: &mut EffectQueue,
    ) {
        for upstream in used {
            self.mark_contended(now, upstream, self.options.calm_time);
        }
        self.ask_now(now, used, view, effects);
        self.pull_round_forward(now, effects);
    }

    fn note_alone(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        rank: TierRank,
        effects: &mut EffectQueue,
    ) {
        self.counters.local_sheds += 1;
        // One line a second tells it; a line a request would drown the log just when all is
        // busy.
        if self
            .alone_logged
            .is_none_or(|at| now.since(at) >= self.options.floor_hold)
        {
            self.alone_logged = Some(now);
            let line = LogLine::new(LogLevel::Warn, "shed_without_arbiter")
                .with("service", service)
                .with("rank", rank)
                .with("total", self.counters.local_sheds);
            effects.log(line);
        }
    }
}
