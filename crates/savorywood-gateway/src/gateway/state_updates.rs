//! Changes of the configuration, upstreams, roll-outs and peers.

use super::{Gateway, GatewayBounds, GatewayEffects};
use crate::{
    config::DeclaredConfig,
    effect::GatewayEffect,
    gossip::PeerContact,
    label::{UpstreamLabel, ZoneLabel},
    message::{PeerPhase, PeerSummary, TeamUse},
    peer::name_digest,
    rollout::RolloutOrder,
    team_limit::{PeerUsage, PresenceReport, TeamLimiter},
    upstream::{FleetChange, UpstreamEntry},
    zone::{DigestOutcome, ZoneDigest},
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::{collections::HashMap, sync::Arc, time::Duration};

impl Gateway {
    /// Puts a version of the configuration in force. An older version is ignored: a delayed
    /// response would bring back routes and keys that operators have removed.
    pub(super) fn config_read(
        &mut self,
        now: MonotonicTime,
        config: Arc<DeclaredConfig>,
        effects: &mut GatewayEffects,
    ) {
        if self
            .config
            .as_ref()
            .is_some_and(|old| old.version >= config.version)
        {
            return;
        }
        let line = LogLine::new(LogLevel::Info, "config-in-force")
            .with("version", config.version)
            .with("before", self.config_version())
            .with("routes", config.route_count())
            .with("services", config.services.len())
            .with("teams", config.teams().count());
        effects.push(GatewayEffect::Log(line));
        self.set_limits(now, &config);
        let services = config.services.iter();
        let warmups = services.filter_map(|(name, service)| Some((name.clone(), service.warmup?)));
        self.fleet.set_warmups(warmups.collect());
        let services = config.services.iter();
        let memories = services.filter_map(|(name, service)| {
            let tokens = service.engine.as_ref()?.cache_tokens;
            (tokens > 0).then(|| (name.clone(), tokens))
        });
        self.fleet.set_memories(memories.collect());
        self.config = Some(config);
        self.refresh_catch_up(now, effects);
        self.log_readiness_change(now, effects);
    }

    fn set_limits(&mut self, now: MonotonicTime, config: &DeclaredConfig) {
        self.team_limiters
            .retain(|team, _| config.team(team).is_some());
        let is_first_config = self.config.is_none();
        let members = self.limit_members();
        self.presence.advance(now);
        for team in config.teams() {
            let Some(limit) = team.limit else {
                self.team_limiters.remove(&team.name);
                continue;
            };
            match self.team_limiters.get_mut(&team.name) {
                Some(limiter) if limiter.limit() != limit => {
                    limiter.set_limit(&self.presence, limit);
                }
                Some(_) => {}
                None => {
                    let has_no_earlier_usage = !is_first_config || self.options.first_start;
                    let tolerance = self.options.bounds.limit_tolerance;
                    let mut limiter =
                        TeamLimiter::new(&self.presence, limit, tolerance, has_no_earlier_usage);
                    limiter.set_members(members);
                    limiter.set_lone_share(&self.presence, self.lone_share);
                    self.team_limiters.insert(team.name.clone(), limiter);
                }
            }
        }
    }

    /// Applies changed bounds at once; buckets start over if their tolerance changed.
    pub(super) fn bounds_read(
        &mut self,
        now: MonotonicTime,
        bounds: GatewayBounds,
        effects: &mut GatewayEffects,
    ) {
        if self.options.bounds == bounds {
            return;
        }
        let line = LogLine::new(LogLevel::Info, "bounds-in-force")
            .with(
                "revocation_ms",
                bounds.revocation_delay.unwrap_or_default().as_millis(),
            )
            .with("retry_ratio", bounds.retry_budget.ratio)
            .with("limit_slack", bounds.limit_tolerance.slack);
        effects.push(GatewayEffect::Log(line));
        if self.options.bounds.limit_tolerance != bounds.limit_tolerance {
            self.presence.advance(now);
            for limiter in self.team_limiters.values_mut() {
                let limit = limiter.limit();
                *limiter = TeamLimiter::new(&self.presence, limit, bounds.limit_tolerance, false);
            }
        }
        self.options.bounds = bounds;
        self.log_readiness_change(now, effects);
    }

    pub(super) fn upstreams_read(
        &mut self,
        now: MonotonicTime,
        mut entries: Vec<UpstreamEntry>,
        effects: &mut GatewayEffects,
    ) {
        let count = entries.len();
        let restored_at = self.store_restored_at;
        let restored_at = restored_at.filter(|_| !self.is_rewrite_complete(now));
        self.fleet.retain_registered(&mut entries, restored_at);
        let line = LogLine::new(LogLevel::Info, "upstreams-read")
            .with("count", count)
            .with("departed", count - entries.len());
        effects.push(GatewayEffect::Log(line));
        for (name, change) in self.fleet.replace_all(now, entries) {
            log_change(&name, change, effects);
        }
        self.upstreams_read = true;
        self.log_readiness_change(now, effects);
        self.dispatch_all_waiting(now, effects);
    }

    pub(super) fn upstream_written(
        &mut self,
        now: MonotonicTime,
        entry: UpstreamEntry,
        effects: &mut GatewayEffects,
    ) {
        let name = entry.name.clone();
        if let Some(change) = self.fleet.upsert(now, entry) {
            log_change(&name, change, effects);
            self.dispatch_all_waiting(now, effects);
        }
    }

    pub(super) fn upstream_removed(
        &mut self,
        now: MonotonicTime,
        name: &UpstreamLabel,
        effects: &mut GatewayEffects,
    ) {
        if let Some(change) = self.fleet.remove(now, name) {
            log_change(name, change, effects);
        }
    }

    pub(super) fn rollout_ordered(
        &mut self,
        now: MonotonicTime,
        order: RolloutOrder,
        effects: &mut GatewayEffects,
    ) {
        let line = LogLine::new(LogLevel::Info, "rollout-ordered")
            .with("service", &order.service)
            .with("to", &order.target_version)
            .with("within_ms", order.time_limit.as_millis());
        if self.rollouts.apply_order(now, order) {
            effects.push(GatewayEffect::Log(line));
        }
    }

    pub(super) fn summary_received(
        &mut self,
        now: MonotonicTime,
        summary: PeerSummary,
        effects: &mut GatewayEffects,
    ) {
        let peer = name_digest(&summary.host);
        if peer == name_digest(self.options.host.as_str()) {
            return;
        }
        let was_live = self.peers.is_live(now, &summary.host);
        if !self.peers.record_summary(now, summary.clone()) {
            return;
        }
        if let Some(registrations) = &mut self.registrations {
            registrations.push_sender(&summary);
        }
        self.contacts.record(
            now,
            PeerContact {
                address: summary.peer_address,
                zone: Some(ZoneLabel::from(summary.zone.as_str())),
                processor_millis: summary.capacity.processor_millis,
            },
        );
        self.refresh_catch_up(now, effects);
        if !was_live {
            let line = LogLine::new(LogLevel::Info, "peer-seen")
                .with("peer", &summary.host)
                .with("phase", format_args!("{:?}", summary.phase));
            effects.push(GatewayEffect::Log(line));
        }
        if summary.zone == self.options.zone.as_str() {
            self.neighbour_summary_received(now, &summary, effects);
        }
        // For a zone that a digest reports, only the digest counts; otherwise usage would count
        // twice.
        if self.peers.uses_direct_summary(now, &summary.zone) {
            let source = PresenceReport {
                peer,
                incarnation: summary.incarnation,
                uptime: Duration::from_millis(summary.uptime_ms),
                daemons: 1,
                same_zone: summary.zone == self.options.zone.as_str(),
            };
            self.usage_received(now, &source, &summary.usage);
            self.rollouts
                .record_peer_tallies(now, peer, &summary.tallies);
        }
        if summary.phase == PeerPhase::Leaving {
            self.presence.remove(now, peer);
            self.end_usage(&[peer]);
        }
        self.dispatch_all_waiting(now, effects);
    }

    /// Applies the attestation in a neighbour's message to the copies of tables held here.
    fn neighbour_summary_received(
        &mut self,
        now: MonotonicTime,
        summary: &PeerSummary,
        effects: &mut GatewayEffects,
    ) {
        self.introduce_member(now, summary);
        self.store_reads.record_summary(now, summary);
        if let Some(attestation) = summary.attestation {
            let era = attestation.declared.last_change.era;
            self.store_era_observed(now, era, effects);
        }
        let own = name_digest(self.options.host.as_str());
        let confirmed_at = self.store_reads.record_confirmation(own, summary);
        if let Some(confirmed_at) = confirmed_at {
            self.confirmed_at = Some(
                self.confirmed_at
                    .map_or(confirmed_at, |previous| previous.max(confirmed_at)),
            );
            self.log_readiness_change(now, effects);
        }
        let failure_age = summary
            .attestation
            .and_then(|attestation| attestation.store_failure_age_ms);
        if let Some(age) = failure_age {
            let age = Duration::from_millis(u64::from(age));
            self.fleet.record_store_failure(now - age);
        }
    }

    pub(super) fn digest_received(
        &mut self,
        now: MonotonicTime,
        digest: ZoneDigest,
        effects: &mut GatewayEffects,
    ) {
        let zone = ZoneLabel::from(digest.zone.as_str());
        match self.peers.record_digest(now, digest.clone()) {
            DigestOutcome::Ignored => return,
            DigestOutcome::SameSender => {}
            DigestOutcome::NewSender { before } => {
                let line = LogLine::new(LogLevel::Info, "zone-digest")
                    .with("zone", &zone)
                    .with("daemons", digest.members.len())
                    .with("sender", format_args!("{:x}", digest.sender));
                effects.push(GatewayEffect::Log(line));
                self.end_usage_sources(now, &zone, before);
            }
        }
        for member in &digest.members {
            let contact = PeerContact {
                address: member.peer_address,
                zone: Some(zone.clone()),
                processor_millis: 0,
            };
            self.contacts.record(now, contact);
        }
        let source = PresenceReport {
            peer: digest.sender.rotate_left(1),
            incarnation: digest.incarnation,
            uptime: Duration::from_millis(digest.uptime_ms),
            daemons: digest.daemons,
            same_zone: false,
        };
        self.usage_received(now, &source, &digest.usage);
        self.rollouts
            .record_peer_tallies(now, name_digest(zone.as_str()), &digest.tallies);
        self.dispatch_all_waiting(now, effects);
    }

    pub(super) fn contacts_read(
        &mut self,
        now: MonotonicTime,
        contacts: Vec<PeerContact>,
        effects: &mut GatewayEffects,
    ) {
        self.record_contacts(now, contacts);
        self.contacts_read = true;
        self.log_readiness_change(now, effects);
    }

    pub(super) fn record_contacts(&mut self, now: MonotonicTime, contacts: Vec<PeerContact>) {
        for contact in contacts {
            self.contacts.record(now, contact);
        }
        self.daemons_changed(now);
    }

    /// Applies a changed number of daemons to the limits of teams.
    pub(super) fn daemons_changed(&mut self, now: MonotonicTime) {
        let interval = self.contacts.gossip_interval();
        self.presence
            .set_expected(now, self.contacts.daemons(), interval);
        for limiter in self.team_limiters.values_mut() {
            limiter.daemons_changed(&self.presence);
        }
    }

    /// Updates the limiters after the entry set of a zone changed.
    pub(super) fn members_changed(&mut self) {
        let members = self.limit_members();
        for limiter in self.team_limiters.values_mut() {
            limiter.set_members(members);
        }
    }

    /// Returns the number of daemons that share the teams' limits, if this one is among them.
    fn limit_members(&self) -> Option<u32> {
        let members = u32::try_from(self.entry_daemons).unwrap_or(u32::MAX);
        self.is_entry_member().then_some(members)
    }

    /// Ends the accounts of a zone's daemons and of its previous sender: the digest of the new
    /// sender includes what they reported.
    fn end_usage_sources(&mut self, now: MonotonicTime, zone: &ZoneLabel, before: Option<u64>) {
        let live = self.peers.live_peers(now);
        let members = live.filter(|peer| peer.summary.zone == zone.as_str());
        let mut ended: Vec<u64> = members
            .map(|peer| name_digest(&peer.summary.host))
            .collect();
        ended.extend(before.map(|sender| sender.rotate_left(1)));
        for peer in &ended {
            self.presence.remove(now, *peer);
        }
        self.end_usage(&ended);
    }

    /// Removes peers from the accounts of all teams.
    pub(super) fn end_usage(&mut self, peers: &[u64]) {
        for limiter in self.team_limiters.values_mut() {
            for peer in peers {
                limiter.remove_peer(*peer);
            }
        }
    }

    /// Removes the peers that share the limits of teams and were not heard from for long.
    pub(super) fn expire_presence(&mut self, now: MonotonicTime) {
        let expired = self.presence.expire(now);
        if !expired.is_empty() {
            self.end_usage(&expired);
        }
    }

    /// Records a message and the usage that it reports; a team that is not reported has used
    /// nothing there.
    fn usage_received(&mut self, now: MonotonicTime, message: &PresenceReport, usage: &[TeamUse]) {
        self.presence.advance(now);
        if !usage.is_empty() {
            let usage: HashMap<u64, &TeamUse> =
                usage.iter().map(|used| (used.team, used)).collect();
            for (team, limiter) in &mut self.team_limiters {
                let Some(used) = usage.get(&name_digest(team.as_str())) else {
                    continue;
                };
                let report = PeerUsage {
                    message: *message,
                    total: used.total,
                    levels: used.levels,
                };
                limiter.record_peer_usage(&self.presence, &report);
            }
        }
        self.presence.record_message(now, message);
    }

    /// Logs a change of readiness with the values that determine it.
    pub(super) fn log_readiness_change(
        &mut self,
        now: MonotonicTime,
        effects: &mut GatewayEffects,
    ) {
        let ready = self.is_ready(now);
        if ready == self.ready_logged {
            return;
        }
        self.ready_logged = ready;
        let line = LogLine::new(LogLevel::Info, "readiness")
            .with("ready", ready)
            .with("config", self.config_version())
            .with("upstreams_read", self.upstreams_read)
            .with("proof_age_ms", self.time_since_confirmed(now).as_millis())
            .with("stopping", self.is_stopping());
        effects.push(GatewayEffect::Log(line));
    }
}

pub(super) fn log_change(name: &UpstreamLabel, change: FleetChange, effects: &mut GatewayEffects) {
    let line = LogLine::new(LogLevel::Info, "upstream-changed")
        .with("upstream", name)
        .with("change", change);
    effects.push(GatewayEffect::Log(line));
}
