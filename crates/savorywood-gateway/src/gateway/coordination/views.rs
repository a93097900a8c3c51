//! Views of a large zone: building and sending the own one, applying those of others.

use super::{Gateway, GatewayEffects};
use crate::{
    coordination::{
        NEXT_SUCCESSORS, SPREAD_SUCCESSORS, ViewContent, ViewMember, ViewZone, ZoneView,
    },
    effect::GatewayEffect,
    entry_set::MemberRanking,
    gossip::ReportedDaemons,
    message::PeerSummary,
    peer::name_digest,
    store_reads::PeerEcho,
    zone::ZoneDigest,
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

impl Gateway {
    /// Builds the own view from a new ranking of the zone's daemons.
    pub(in crate::gateway) fn update_view(&mut self, now: MonotonicTime, ranking: &MemberRanking) {
        if !self.has_coordinators() {
            return;
        }
        let own = self.own_digest();
        let mut members: BTreeMap<u64, ViewMember> = BTreeMap::new();
        let own_member = ViewMember {
            host: own,
            peer_address: self.options.peer_address,
            caller_address: self.options.caller_address,
            phase: self.phase(now),
            partitioned: self.is_partitioned(),
        };
        members.insert(own, own_member);
        for peer in self.peers.neighbours(now) {
            let member = ViewMember {
                host: peer.digest,
                peer_address: peer.summary.peer_address,
                caller_address: peer.summary.caller_address,
                phase: peer.summary.phase,
                partitioned: peer.summary.partitioned,
            };
            members.insert(peer.digest, member);
        }
        let find = |host: &u64| members.get(host).copied();
        let successors = deputies(&ranking.successors).filter_map(|host| find(&host));
        let zones = self.peers.zone_digests(now).map(|digest| ViewZone {
            zone: digest.zone.clone(),
            daemons: digest.daemons,
            members: digest.members.clone(),
        });
        let content = ViewContent {
            members: ranking.members.iter().filter_map(find).collect(),
            successors: successors.map(|member| member.peer_address).collect(),
            daemons: u32::try_from(self.peers.zone_daemon_count()).unwrap_or(u32::MAX),
            zones: zones.collect(),
        };
        if content != self.coordination.content {
            let before = &self.coordination.content.members;
            let is_lost = |member: &ViewMember| !ranking.members.contains(&member.host);
            let has_zone =
                |zone: &ViewZone| content.zones.iter().any(|known| known.zone == zone.zone);
            let has_all_zones = self.coordination.content.zones.iter().all(has_zone);
            self.coordination.has_loss |= before.iter().any(is_lost) || !has_all_zones;
            self.coordination.revision = content.revision();
            self.coordination.content = content;
        }
    }

    /// Returns the reply to the summary of a daemon of the own zone; absent in a small zone, and
    /// while this daemon has nothing to tell.
    pub fn view_reply(&mut self, now: MonotonicTime, summary: &PeerSummary) -> Option<ZoneView> {
        let is_neighbour = summary.zone == self.options.zone.as_str();
        let host = name_digest(&summary.host);
        if !self.has_coordinators() || !is_neighbour || host == self.own_digest() {
            return None;
        }
        let coordination = &self.coordination;
        let follower = &coordination.follower;
        let (content, revision, age, heard) = if coordination.computes {
            let heard = self.heard_daemons(now);
            let content = &coordination.content;
            (content, coordination.revision, Duration::ZERO, heard)
        } else {
            let content = follower.content(now)?;
            let age = follower.age(now);
            (content, follower.revision(), age, follower.heard())
        };
        let is_held = summary.view_revision == revision;
        let content = (!is_held).then(|| content.clone());
        self.sequence += 1;
        Some(ZoneView {
            sender: self.own_digest(),
            sender_address: self.options.peer_address,
            sequence: self.sequence,
            echo: Some(PeerEcho {
                peer: host,
                sent: summary.sent_at,
                held_micros: 0,
            }),
            attestation: self
                .store_reads
                .relayed_attestation(now)
                .filter(|_| !self.is_stopping()),
            has_quarantined: self.has_quarantined(),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            heard,
            revision,
            content,
        })
    }

    /// Returns the view to be sent unasked, and its receivers: after the loss of a member or of
    /// another zone, this coordinator's share of the daemons outside the entry set and all members.
    pub fn loss_view(&mut self, now: MonotonicTime) -> Option<(ZoneView, Vec<SocketAddr>)> {
        let has_lost = std::mem::take(&mut self.coordination.has_loss);
        if !has_lost || !self.is_established(now) {
            return None;
        }
        let targets = self.row_targets(now, true);
        self.sequence += 1;
        let view = ZoneView {
            sender: self.own_digest(),
            sender_address: self.options.peer_address,
            sequence: self.sequence,
            echo: None,
            attestation: None,
            has_quarantined: self.has_quarantined(),
            age_ms: 0,
            heard: self.heard_daemons(now),
            revision: self.coordination.revision,
            content: Some(self.coordination.content.clone()),
        };
        Some((view, targets))
    }

    /// Returns the revision of the view of others that this daemon holds, for its summaries.
    pub(in crate::gateway) fn view_revision(&self) -> u64 {
        self.coordination.follower.revision()
    }

    /// Applies the view of another daemon of the zone.
    pub(in crate::gateway) fn view_received(
        &mut self,
        now: MonotonicTime,
        view: &ZoneView,
        effects: &mut GatewayEffects,
    ) {
        let own = self.own_digest();
        let is_for_other = view.echo.is_some_and(|echo| echo.peer != own);
        if !self.has_coordinators() || is_for_other || view.sender == own {
            return;
        }
        self.coordination.follower.record_reply(view.sender_address);
        self.view_attestation_received(now, view, effects);
        if let Some(has_quarantined) = view.has_quarantined {
            self.none_quarantined_at = (!has_quarantined).then_some(now);
        }
        if self.coordination.computes && !self.yields_to(now, view) {
            return;
        }
        if !self.coordination.follower.adopt(now, own, view) {
            return;
        }
        if std::mem::replace(&mut self.coordination.computes, false) {
            let line = LogLine::new(LogLevel::Info, "coordination-ended")
                .with("coordinator", format_args!("{:x}", view.sender))
                .with("heard", view.heard)
                .with("own_heard", self.heard_daemons(now));
            effects.push(GatewayEffect::Log(line));
        }
        self.apply_view(now, view.sender);
    }

    fn view_attestation_received(
        &mut self,
        now: MonotonicTime,
        view: &ZoneView,
        effects: &mut GatewayEffects,
    ) {
        let (Some(attestation), Some(echo)) = (view.attestation, view.echo) else {
            return;
        };
        let era = attestation.declared.last_change.era;
        self.store_era_observed(now, era, effects);
        let confirmed_at = self.store_reads.record_view(now, attestation, &echo);
        if let Some(at) = confirmed_at {
            self.confirmed_at = Some(self.confirmed_at.map_or(at, |previous| previous.max(at)));
            self.log_readiness_change(now, effects);
        }
        if let Some(age) = attestation.store_failure_age_ms {
            let age = Duration::from_millis(u64::from(age));
            self.fleet.record_store_failure(now - age);
        }
    }

    /// Returns whether this daemon, which computes the entry set, leaves that to the sender of a
    /// view. Members that the view names and that are not known here receive summaries, so that
    /// groups of daemons that do not know each other are joined.
    fn yields_to(&mut self, now: MonotonicTime, view: &ZoneView) -> bool {
        let follower = &self.coordination.follower;
        let is_held = view.revision == follower.revision();
        let held = follower.last_content().filter(|_| is_held).cloned();
        let Some(content) = view.content.clone().or(held) else {
            return false;
        };
        let own = self.own_digest();
        let known: BTreeSet<u64> = self.peers.neighbours(now).map(|peer| peer.digest).collect();
        for member in &content.members {
            if member.host != own && !known.contains(&member.host) {
                self.introduce(now, member.peer_address);
            }
        }
        let heard = self.heard_daemons(now);
        let is_preferred = (view.heard, own) > (heard, view.sender);
        let is_chosen = !self.is_coordinator() && self.is_coordinator_host(view.sender);
        // A view that is only repeated may be one that its coordinator has given up.
        let is_computed = view.age_ms == 0;
        let is_listed = content.coordinator_rank(own).is_some();
        is_computed && !is_listed && (is_preferred || is_chosen)
    }

    /// Records the other zones and the numbers of daemons that the followed view lists.
    fn apply_view(&mut self, now: MonotonicTime, sender: u64) {
        let Some(content) = self.coordination.follower.content(now) else {
            return;
        };
        let zones: Vec<ZoneDigest> = content
            .zones
            .iter()
            .map(|zone| ZoneDigest {
                zone: zone.zone.clone(),
                sender,
                incarnation: 0,
                uptime_ms: 0,
                sequence: 0,
                members: zone.members.clone(),
                daemons: zone.daemons,
                slots: Vec::new(),
                usage: Vec::new(),
                tallies: Vec::new(),
            })
            .collect();
        let remote: u32 = zones.iter().map(|zone| zone.daemons).sum();
        let reported = ReportedDaemons {
            zone: content.daemons,
            total: content.daemons.saturating_add(remote),
        };
        for zone in zones {
            self.peers.record_listed_zone(now, zone);
        }
        if self.contacts.set_reported(reported) {
            self.daemons_changed(now);
        }
    }
}

/// Returns the hosts outside the entry set that are reported to when all members are silent: the
/// next in rank, and some spread over all ranks, as hosts of one kind may fail together.
fn deputies(successors: &[u64]) -> impl Iterator<Item = u64> {
    let (next, others) = successors.split_at(successors.len().min(NEXT_SUCCESSORS));
    let step = others.len().div_ceil(SPREAD_SUCCESSORS).max(1);
    next.iter().chain(others.iter().step_by(step)).copied()
}
