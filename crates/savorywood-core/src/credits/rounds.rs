//! What is sent in each round, and what arrives.

use super::{
    ArbiterRecord, COALESCE_DELAY, CreditState, CreditView, PeerSequences, RoundClock,
    UpstreamHolding, arbiter_of, possible_users,
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
    UnannouncedFloors,
}

impl CreditState {
    pub(super) fn tick(
        &mut self,
        now: MonotonicTime,
        view: CreditView<'_>,
        effects: &mut EffectQueue,
    ) {
        self.mark_queued(now, view);
        self.expire_idle(now, view);
        if self.demand_rounds.regular_at <= now {
            let bytes = self.send_demands(now, view, effects);
            self.demand_rounds = RoundClock::after_round(now, bytes, &self.options);
        }
        self.arbitrate(now, view, effects);
    }

    /// Marks upstreams that work waits for.
    pub(super) fn mark_queued(&mut self, now: MonotonicTime, view: CreditView<'_>) {
        let queued = view.demands.iter().filter(|(_, demand)| demand.queued);
        for (upstream, _) in queued {
            self.mark_contended(now, upstream, self.options.idle_timeout);
        }
    }

    /// Upstreams for which nobody has queued for a while are not spoken of any longer.
    fn expire_idle(&mut self, now: MonotonicTime, view: CreditView<'_>) {
        let config = view.config;
        self.holdings.retain(|upstream, held| {
            now < held.contended_until && config.upstreams.contains_key(upstream)
        });
        let hold = self.options.floor_hold;
        self.shed_requests
            .retain(|_, ask| now.since(ask.renewed_at()) < hold);
    }

    /// Tells each arbiter our demand; gives the bytes that it took.
    fn send_demands(
        &mut self,
        now: MonotonicTime,
        view: CreditView<'_>,
        effects: &mut EffectQueue,
    ) -> usize {
        let mut batches: BTreeMap<HostName, Vec<UpstreamDemand>> = BTreeMap::new();
        let asked = self.shed_ranks(now, view);
        let held: Vec<_> = self.holdings.keys().cloned().collect();
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
                self.record_shed_requests(chunk);
                if arbiter == self.options.host {
                    let peer = self.peer_sequences.entry(arbiter.clone()).or_default();
                    peer.demand = self.sequence;
                    self.apply_demands(now, &arbiter, chunk, view);
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
    fn record_shed_requests(&mut self, demands: &[UpstreamDemand]) {
        for demand in demands {
            if let Some(held) = self.holdings.get_mut(&demand.upstream) {
                let since = held.first_shed_sequence.unwrap_or(self.sequence);
                held.first_shed_sequence = demand.shedding.map(|_| since);
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
        let held = self.holdings.get_mut(upstream)?;
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

    fn apply_demands(
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
                let record = self.arbitrated.entry(demand.upstream.clone());
                let record = record.or_insert_with(|| ArbiterRecord::new(now));
                record.record_demand(now, from, demand.clone());
            }
        }
    }

    /// The arbiter's round.
    fn arbitrate(&mut self, now: MonotonicTime, view: CreditView<'_>, effects: &mut EffectQueue) {
        let term = self.options.term;
        let hold = self.options.floor_hold;
        let collection_window = self.options.collection_window;
        for record in self.arbitrated.values_mut() {
            record.expire(now, term);
            if record.has_collected_demands(now, collection_window) {
                record.update_floor(now, hold);
            }
        }
        self.arbitrated.retain(|_, record| !record.is_idle());
        self.survey(now, view, effects);
        let mut records = self.arbitrated.values();
        let urgent = records.any(|r| r.urgent && r.has_collected_demands(now, collection_window));
        let rounds = self.grant_rounds;
        if rounds.regular_at <= now {
            let bytes = self.send_grants(now, GrantScope::All, view, effects);
            self.grant_rounds = RoundClock::after_round(now, bytes, &self.options);
        } else if urgent && rounds.urgent_at <= now {
            let bytes = self.send_grants(now, GrantScope::Urgent, view, effects);
            self.grant_rounds = RoundClock::after_round(now, bytes, &self.options);
            // Urgent rounds must not put off the others.
            self.grant_rounds.regular_at = rounds.regular_at;
        } else if self.has_unannounced_floor() {
            let bytes = self.send_grants(now, GrantScope::UnannouncedFloors, view, effects);
            self.delay_rounds(now, bytes);
        } else if urgent {
            self.schedule_wakeup(now, rounds.urgent_at.max(now + COALESCE_DELAY), effects);
        }
    }

    /// Puts the next rounds off by what was sent outside them, but not for so long that grants
    /// lapse.
    fn delay_rounds(&mut self, now: MonotonicTime, bytes: usize) {
        let time = self.options.send_duration(bytes);
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
        for (upstream, record) in &mut self.arbitrated {
            let settled = record.has_collected_demands(now, self.options.collection_window);
            let due = match scope {
                GrantScope::All => true,
                GrantScope::Urgent => record.urgent || record.has_unannounced_floor(),
                GrantScope::UnannouncedFloors => record.has_unannounced_floor(),
            };
            if !settled || !due {
                continue;
            }
            record.mark_granted();
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
            let answers = self.peer_sequences.get(&host).map_or(0, |peer| peer.demand);
            if host == self.options.host {
                self.apply_grants(now, &host, &grants, answers, self.options.term);
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
        for (upstream, record) in &mut self.arbitrated {
            let declared = view
                .config
                .upstreams
                .get(upstream)
                .map_or(0, |spec| spec.seats);
            if record.next_survey > now || !record.is_contended(declared) {
                continue;
            }
            record.next_survey = now + self.options.survey_interval;
            let wide = record.surveys % self.options.surveys_per_region_survey == 0;
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
                    self.apply_demands(now, from, &upstreams, view);
                    if self.arbitrated.values().any(|record| record.urgent) {
                        let at = self.grant_rounds.urgent_at.max(now + COALESCE_DELAY);
                        self.schedule_wakeup(now, at, effects);
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
                    self.apply_grants(now, from, &grants, answers, term);
                }
            }
            CreditMessage::Survey { upstreams } => {
                let time = self.options.survey_interval + self.options.idle_timeout;
                for upstream in &upstreams {
                    self.mark_contended(now, upstream, time);
                }
                self.expedite_round(now, effects);
            }
        }
    }

    fn apply_grants(
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
            if !grant.contended && !self.holdings.contains_key(&grant.upstream) {
                continue;
            }
            let held = self.holdings.entry(grant.upstream.clone());
            let held = held.or_insert_with(|| UpstreamHolding::new(now, now + term));
            held.acknowledged_sequence = answers;
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
        let peer = self.peer_sequences.entry(from.clone()).or_default();
        let newest = newest(peer);
        let newer = sequence > *newest;
        match newer {
            true => *newest = sequence,
            false => self.counters.stale_messages += 1,
        }
        newer
    }

    /// Gives all seats back.
    pub(super) fn release_all(&mut self, view: CreditView<'_>, effects: &mut EffectQueue) {
        let mut batches: BTreeMap<HostName, Vec<UpstreamDemand>> = BTreeMap::new();
        for (upstream, held) in &self.holdings {
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
        self.holdings.clear();
        self.arbitrated.clear();
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
