//! Demand, grant and survey rounds, and handling of received messages.

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

/// Maximum number of upstreams in one message; more do not fit into a datagram.
const MAX_UPSTREAMS: usize = 10;

/// Which upstreams a grant round covers.
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

    /// Marks upstreams with queued work as contended.
    pub(super) fn mark_queued(&mut self, now: MonotonicTime, view: CreditView<'_>) {
        let queued = view.demands.iter().filter(|(_, demand)| demand.queued);
        for (upstream, _) in queued {
            self.mark_contended(now, upstream, self.options.idle_timeout);
        }
    }

    /// Removes upstreams that are no longer contended or configured, and expired shed requests.
    fn expire_idle(&mut self, now: MonotonicTime, view: CreditView<'_>) {
        let config = view.config;
        self.holdings.retain(|upstream, held| {
            now < held.contended_until && config.upstreams.contains_key(upstream)
        });
        let hold = self.options.floor_hold;
        self.shed_requests
            .retain(|_, request| now.since(request.renewed_at()) < hold);
    }

    /// Sends this daemon's demand to each arbiter; returns the bytes sent.
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

    /// Sends batches of demands to their arbiters; returns the bytes sent.
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

    /// Records with which sequence number the arbiters were first sent a shed request.
    fn record_shed_requests(&mut self, demands: &[UpstreamDemand]) {
        for demand in demands {
            if let Some(held) = self.holdings.get_mut(&demand.upstream) {
                let since = held.first_shed_sequence.unwrap_or(self.sequence);
                held.first_shed_sequence = demand.shedding.map(|_| since);
            }
        }
    }

    /// Returns this daemon's demand on an upstream. When the demand ends, returns one empty demand,
    /// and further ones while a floor is in effect; otherwise `None`.
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
        let has_floor = held.floor(now) != NO_FLOOR;
        if local.is_none() && !reported && !has_floor {
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
            // A daemon with an older member view may report to the wrong arbiter. It is granted
            // slots for a term all the same; refusing would leave it with its fallback share.
            if view.config.upstreams.contains_key(&demand.upstream) {
                let record = self.arbitrated.entry(demand.upstream.clone());
                let record = record.or_insert_with(|| ArbiterRecord::new(now));
                record.record_demand(now, from, demand.clone());
            }
        }
    }

    /// Runs the arbiter role: expires demands, updates floors and sends due grants.
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
            // Urgent rounds must not delay regular ones.
            self.grant_rounds.regular_at = rounds.regular_at;
        } else if self.has_unannounced_floor() {
            let bytes = self.send_grants(now, GrantScope::UnannouncedFloors, view, effects);
            self.delay_rounds(now, bytes);
        } else if urgent {
            self.schedule_wakeup(now, rounds.urgent_at.max(now + COALESCE_DELAY), effects);
        }
    }

    /// Delays the next rounds to offset bytes sent outside them, but not so long that grants
    /// expire.
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
                .map_or(0, |spec| spec.slots);
            let contended = record.is_contended(declared);
            for (host, slots) in record.shares(declared) {
                let upstream = upstream.clone();
                let grant = UpstreamGrant {
                    upstream,
                    slots,
                    floor,
                    contended,
                };
                batches.entry(host).or_default().push(grant);
            }
        }
        let mut bytes = 0;
        for (host, grants) in batches {
            let demand_sequence = self.peer_sequences.get(&host).map_or(0, |peer| peer.demand);
            if host == self.options.host {
                self.apply_grants(now, &host, &grants, demand_sequence, self.options.term);
                continue;
            }
            for chunk in grants.chunks(MAX_UPSTREAMS) {
                self.sequence += 1;
                self.counters.grants += 1;
                let message = CreditMessage::Grant {
                    sequence: self.sequence,
                    demand_sequence,
                    term_ms: u32::try_from(self.options.term.as_millis()).unwrap_or(u32::MAX),
                    grants: chunk.to_vec(),
                };
                bytes += self.send(&host, message, view, effects);
            }
        }
        bytes
    }

    /// Asks daemons that have not reported demand whether they use a contended upstream.
    fn survey(&mut self, now: MonotonicTime, view: CreditView<'_>, effects: &mut EffectQueue) {
        let mut batches: BTreeMap<HostName, Vec<UpstreamName>> = BTreeMap::new();
        for (upstream, record) in &mut self.arbitrated {
            let declared = view
                .config
                .upstreams
                .get(upstream)
                .map_or(0, |spec| spec.slots);
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
                demand_sequence,
                term_ms,
                grants,
            } => {
                if self.is_newer(from, sequence, |peer| &mut peer.grant) {
                    // A faulty sender must not be able to grant slots without an expiry.
                    let term = Duration::from_millis(term_ms.into()).min(self.options.term);
                    self.apply_grants(now, from, &grants, demand_sequence, term);
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
        demand_sequence: u64,
        term: Duration,
    ) {
        for grant in grants {
            // A grant on an upstream that is contended neither here nor at the arbiter would only
            // keep both sending messages about it.
            if !grant.contended && !self.holdings.contains_key(&grant.upstream) {
                continue;
            }
            let held = self.holdings.entry(grant.upstream.clone());
            let held = held.or_insert_with(|| UpstreamHolding::new(now, now + term));
            held.acknowledged_sequence = demand_sequence;
            held.grant(now, from, grant, term);
        }
    }

    /// Whether a message is newer than all messages of its kind from that peer. Datagrams may be
    /// duplicated or reordered; an older grant must not replace a newer one.
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

    /// Releases all slots by sending empty demands to the arbiters.
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
