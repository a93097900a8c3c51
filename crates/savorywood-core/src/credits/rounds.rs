//! What is sent in each round, and what arrives.

use super::{
    ArbiterRecord, CreditState, CreditView, HeldUpstream, PeerSequences, RoundClock, SOON,
    arbiter_of, possible_users,
};
use crate::effect::{DaemonEffect, EffectQueue};
use savorywood_protocol::{
    HostName, MonotonicTime, TierRank, UpstreamName,
    peer::{
        CreditMessage, PeerMessage,
        credits::{NO_FLOOR, UpstreamDemand, UpstreamGrant},
    },
};
use std::{collections::BTreeMap, time::Duration};

/// Upstreams in one message at most; more would not fit into a datagram.
const MAX_UPSTREAMS: usize = 10;

/// Upstreams whose grants go out in a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GrantScope {
    All,
    Urgent,
    MovedFloors,
}

impl CreditState {
    pub(super) fn tick(
        &mut self,
        now: MonotonicTime,
        view: CreditView<'_>,
        effects: &mut EffectQueue,
    ) {
        self.note_queues(now, view);
        self.forget_calm(now, view);
        if self.demand_rounds.regular_at <= now {
            let bytes = self.send_demands(now, view, effects);
            self.demand_rounds = RoundClock::after_round(now, bytes, &self.options);
        }
        self.arbitrate(now, view, effects);
    }

    /// Marks upstreams that work waits for.
    pub(super) fn note_queues(&mut self, now: MonotonicTime, view: CreditView<'_>) {
        let queued = view.demands.iter().filter(|(_, demand)| demand.queued);
        for (upstream, _) in queued {
            self.mark_contended(now, upstream, self.options.calm_time);
        }
    }

    /// Upstreams for which nobody has queued for a while are not spoken of any longer.
    fn forget_calm(&mut self, now: MonotonicTime, view: CreditView<'_>) {
        let config = view.config;
        self.held.retain(|upstream, held| {
            now < held.contended_until && config.upstreams.contains_key(upstream)
        });
        let hold = self.options.floor_hold;
        self.asks.retain(|_, ask| now.since(ask.renewed()) < hold);
    }

    /// Tells each arbiter our demand; gives the bytes that it took.
    fn send_demands(
        &mut self,
        now: MonotonicTime,
        view: CreditView<'_>,
        effects: &mut EffectQueue,
    ) -> usize {
        let mut batches: BTreeMap<HostName, Vec<UpstreamDemand>> = BTreeMap::new();
        let asked = self.ranks_asked(now, view);
        let held: Vec<_> = self.held.keys().cloned().collect();
        for upstream in held {
            let Some(arbiter) = arbiter_of(&upstream, view).cloned() else {
                continue;
            };
            if let Some(demand) = self.demand_on(now, &upstream, &asked, view) {
                batches.entry(arbiter).or_default().push(demand);
            }
        }
        self.send_batches(now, batches, view, effects)
    }

    /// Sends each arbiter what it is to know; gives the bytes that it took.
    pub(super) fn send_batches(
        &mut self,
        now: MonotonicTime,
        batches: BTreeMap<HostName, Vec<UpstreamDemand>>,
        view: CreditView<'_>,
        effects: &mut EffectQueue,
    ) -> usize {
        let mut bytes = 0;
        for (arbiter, upstreams) in batches {
            for chunk in upstreams.chunks(MAX_UPSTREAMS) {
                self.sequence += 1;
                self.note_asks(chunk);
                if arbiter == self.options.host {
                    let peer = self.heard.entry(arbiter.clone()).or_default();
                    peer.demand = self.sequence;
                    self.take_demands(now, &arbiter, chunk, view);
                    continue;
                }
                self.counters.demands += 1;
                let message = CreditMessage::Demand {
                    sequence: self.sequence,
                    upstreams: chunk.to_vec(),
                };
                bytes += self.send(&arbiter, message, view, effects);
            }
        }
        bytes
    }

    /// Notes since when the arbiters are told that we are about to shed.
    fn note_asks(&mut self, demands: &[UpstreamDemand]) {
        for demand in demands {
            if let Some(held) = self.held.get_mut(&demand.upstream) {
                let since = held.asked.unwrap_or(self.sequence);
                held.asked = demand.shedding.map(|_| since);
            }
        }
    }

    /// Our demand, or once, when there is none any longer, the word that there is none.
    pub(super) fn demand_on(
        &mut self,
        now: MonotonicTime,
        upstream: &UpstreamName,
        asked: &BTreeMap<UpstreamName, TierRank>,
        view: CreditView<'_>,
    ) -> Option<UpstreamDemand> {
        let held = self.held.get_mut(upstream)?;
        let local = view.demands.get(upstream);
        let reported = std::mem::replace(&mut held.reported, local.is_some());
        let floored = held.floor(now) != NO_FLOOR;
        if local.is_none() && !reported && !floored {
            return None;
        }
        let local = local.cloned().unwrap_or_default();
        Some(UpstreamDemand {
            upstream: upstream.clone(),
            limit: local.limit,
            in_use: local.in_use,
            tiers: local.tiers,
            shedding: asked.get(upstream).copied(),
        })
    }

    fn take_demands(
        &mut self,
        now: MonotonicTime,
        from: &HostName,
        upstreams: &[UpstreamDemand],
        view: CreditView<'_>,
    ) {
        for demand in upstreams {
            // A daemon with an older view may ask the wrong one. Answering it all the same gives
            // it seats for a term; refusing would leave it with its standing share.
            if view.config.upstreams.contains_key(&demand.upstream) {
                let record = self.desk.entry(demand.upstream.clone());
                let record = record.or_insert_with(|| ArbiterRecord::new(now));
                record.report(now, from, demand.clone());
            }
        }
    }

    /// The arbiter's round.
    fn arbitrate(&mut self, now: MonotonicTime, view: CreditView<'_>, effects: &mut EffectQueue) {
        let term = self.options.term;
        let hold = self.options.floor_hold;
        let settle_time = self.options.settle_time;
        for record in self.desk.values_mut() {
            record.expire(now, term);
            if record.is_settled(now, settle_time) {
                record.move_floor(now, hold);
            }
        }
        self.desk.retain(|_, record| !record.is_idle());
        self.survey(now, view, effects);
        let mut records = self.desk.values();
        let urgent = records.any(|r| r.urgent && r.is_settled(now, settle_time));
        let rounds = self.grant_rounds;
        if rounds.regular_at <= now {
            let bytes = self.send_grants(now, GrantScope::All, view, effects);
            self.grant_rounds = RoundClock::after_round(now, bytes, &self.options);
        } else if urgent && rounds.urgent_at <= now {
            let bytes = self.send_grants(now, GrantScope::Urgent, view, effects);
            self.grant_rounds = RoundClock::after_round(now, bytes, &self.options);
            // Urgent rounds must not put off the others.
            self.grant_rounds.regular_at = rounds.regular_at;
        } else if self.has_moved_floor() {
            let bytes = self.send_grants(now, GrantScope::MovedFloors, view, effects);
            self.make_up_for(now, bytes);
        } else if urgent {
            self.look_again(now, rounds.urgent_at.max(now + SOON), effects);
        }
    }

    /// Puts the next rounds off by what was sent outside them, but not for so long that grants
    /// lapse.
    fn make_up_for(&mut self, now: MonotonicTime, bytes: usize) {
        let time = self.options.time_of(bytes);
        let latest = now + self.options.term / 2;
        let rounds = &mut self.grant_rounds;
        rounds.regular_at = (rounds.regular_at + time).min(latest);
        rounds.urgent_at = rounds.urgent_at.max(now + time).min(latest);
    }

    fn send_grants(
        &mut self,
        now: MonotonicTime,
        scope: GrantScope,
        view: CreditView<'_>,
        effects: &mut EffectQueue,
    ) -> usize {
        let mut batches: BTreeMap<HostName, Vec<UpstreamGrant>> = BTreeMap::new();
        for (upstream, record) in &mut self.desk {
            let settled = record.is_settled(now, self.options.settle_time);
            let due = match scope {
                GrantScope::All => true,
                GrantScope::Urgent => record.urgent || record.has_moved_floor(),
                GrantScope::MovedFloors => record.has_moved_floor(),
            };
            if !settled || !due {
                continue;
            }
            record.note_granted();
            let floor = record.floor();
            let declared = view
                .config
                .upstreams
                .get(upstream)
                .map_or(0, |spec| spec.seats);
            let contended = record.is_contended(declared);
            for (host, seats) in record.shares(declared) {
                let upstream = upstream.clone();
                let grant = UpstreamGrant {
                    upstream,
                    seats,
                    floor,
                    contended,
                };
                batches.entry(host).or_default().push(grant);
            }
        }
        let mut bytes = 0;
        for (host, grants) in batches {
            let answers = self.heard.get(&host).map_or(0, |peer| peer.demand);
            if host == self.options.host {
                self.take_grants(now, &host, &grants, answers, self.options.term);
                continue;
            }
            for chunk in grants.chunks(MAX_UPSTREAMS) {
                self.sequence += 1;
                self.counters.grants += 1;
                let message = CreditMessage::Grant {
                    sequence: self.sequence,
                    answers,
                    term_ms: u32::try_from(self.options.term.as_millis()).unwrap_or(u32::MAX),
                    grants: chunk.to_vec(),
                };
                bytes += self.send(&host, message, view, effects);
            }
        }
        bytes
    }

    /// Asks those that have not told their demand whether they use a contended upstream too.
    fn survey(&mut self, now: MonotonicTime, view: CreditView<'_>, effects: &mut EffectQueue) {
        let mut batches: BTreeMap<HostName, Vec<UpstreamName>> = BTreeMap::new();
        for (upstream, record) in &mut self.desk {
            let declared = view
                .config
                .upstreams
                .get(upstream)
                .map_or(0, |spec| spec.seats);
            if record.next_survey > now || !record.is_contended(declared) {
                continue;
            }
            record.next_survey = now + self.options.survey_period;
            let wide = record.surveys % self.options.wide_surveys == 0;
            record.surveys += 1;
            let mut users = possible_users(upstream, wide, view);
            users.remove(&self.options.host);
            for reporter in record.reporters() {
                users.remove(reporter);
            }
            for user in users {
                let batch = batches.entry(user.clone()).or_default();
                batch.push(upstream.clone());
            }
        }
        for (host, upstreams) in batches {
            for chunk in upstreams.chunks(MAX_UPSTREAMS) {
                let message = CreditMessage::Survey {
                    upstreams: chunk.to_vec(),
                };
                self.send(&host, message, view, effects);
            }
        }
    }

    pub(super) fn receive(
        &mut self,
        now: MonotonicTime,
        from: &HostName,
        message: CreditMessage,
        view: CreditView<'_>,
        effects: &mut EffectQueue,
    ) {
        match message {
            CreditMessage::Demand {
                sequence,
                upstreams,
            } => {
                if self.is_newer(from, sequence, |peer| &mut peer.demand) {
                    self.take_demands(now, from, &upstreams, view);
                    if self.desk.values().any(|record| record.urgent) {
                        let at = self.grant_rounds.urgent_at.max(now + SOON);
                        self.look_again(now, at, effects);
                    }
                }
            }
            CreditMessage::Grant {
                sequence,
                answers,
                term_ms,
                grants,
            } => {
                if self.is_newer(from, sequence, |peer| &mut peer.grant) {
                    // A sender with a fault must not give seats away for ever.
                    let term = Duration::from_millis(term_ms.into()).min(self.options.term);
                    self.take_grants(now, from, &grants, answers, term);
                }
            }
            CreditMessage::Survey { upstreams } => {
                let time = self.options.survey_period + self.options.calm_time;
                for upstream in &upstreams {
                    self.mark_contended(now, upstream, time);
                }
                self.pull_round_forward(now, effects);
            }
        }
    }

    fn take_grants(
        &mut self,
        now: MonotonicTime,
        from: &HostName,
        grants: &[UpstreamGrant],
        answers: u64,
        term: Duration,
    ) {
        for grant in grants {
            // A grant on an upstream that is calm here as well as there would only keep both
            // talking of it.
            if !grant.contended && !self.held.contains_key(&grant.upstream) {
                continue;
            }
            let held = self.held.entry(grant.upstream.clone());
            let held = held.or_insert_with(|| HeldUpstream::new(now, now + term));
            held.answers = answers;
            held.grant(now, from, grant, term);
        }
    }

    /// Whether a message is newer than all of its kind from that peer. Datagrams come twice and
    /// out of order; an older grant must not undo a newer one.
    fn is_newer(
        &mut self,
        from: &HostName,
        sequence: u64,
        newest: impl Fn(&mut PeerSequences) -> &mut u64,
    ) -> bool {
        let peer = self.heard.entry(from.clone()).or_default();
        let newest = newest(peer);
        let newer = sequence > *newest;
        match newer {
            true => *newest = sequence,
            false => self.counters.stale_messages += 1,
        }
        newer
    }

    /// Gives all seats back.
    pub(super) fn hand_back(&mut self, view: CreditView<'_>, effects: &mut EffectQueue) {
        let mut batches: BTreeMap<HostName, Vec<UpstreamDemand>> = BTreeMap::new();
        for (upstream, held) in &self.held {
            let arbiter = arbiter_of(upstream, view).filter(|_| held.reported);
            if let Some(arbiter) = arbiter.filter(|host| **host != self.options.host) {
                let batch = batches.entry(arbiter.clone()).or_default();
                batch.push(UpstreamDemand {
                    upstream: upstream.clone(),
                    limit: 0,
                    in_use: 0,
                    tiers: Vec::new(),
                    shedding: None,
                });
            }
        }
        self.held.clear();
        self.desk.clear();
        for (arbiter, upstreams) in batches {
            for chunk in upstreams.chunks(MAX_UPSTREAMS) {
                self.sequence += 1;
                let message = CreditMessage::Demand {
                    sequence: self.sequence,
                    upstreams: chunk.to_vec(),
                };
                self.send(&arbiter, message, view, effects);
            }
        }
    }

    fn send(
        &self,
        to: &HostName,
        message: CreditMessage,
        view: CreditView<'_>,
        effects: &mut EffectQueue,
    ) -> usize {
        let Some(member) = view.members.members.get(to) else {
            return 0;
        };
        let message = PeerMessage::Credits(message);
        let bytes = message.wire_bytes(&self.options.host);
        effects.push(DaemonEffect::SendPeer {
            to: to.clone(),
            address: member.peer_address,
            message,
        });
        bytes
    }
}
