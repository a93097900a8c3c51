//! Configuration, upstreams, roll-outs and peers as they change.

use super::{Gateway, GatewayBounds, GatewayEffects};
use crate::{
    config::DeclaredConfig,
    effect::GatewayEffect,
    gossip::PeerContact,
    label::{UpstreamLabel, ZoneLabel},
    message::{PeerPhase, PeerSummary, TeamUse},
    peer::name_digest,
    rollout::RolloutOrder,
    store_reads::SharedTable,
    team_limit::{PeerUsage, TeamLimiter},
    upstream::{FleetChange, UpstreamEntry},
    zone::{DigestOutcome, ZoneDigest},
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Whose use of teams is accounted.
#[derive(Debug, Clone, Copy)]
struct PeerAccount {
    peer: u64,
    incarnation: u64,
    age: Duration,
    daemons: u32,
    near: bool,
}

impl Gateway {
    /// A version is never followed by an older one: a slow answer that comes late would bring
    /// back routes and keys that operators took away.
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
        self.config = Some(config);
        self.note_readiness(now, effects);
    }

    fn set_limits(&mut self, now: MonotonicTime, config: &DeclaredConfig) {
        self.meters.retain(|team, _| config.team(team).is_some());
        let first = self.config.is_none();
        let members = self.limit_members();
        for team in config.teams() {
            let Some(limit) = team.limit else {
                self.meters.remove(&team.name);
                continue;
            };
            match self.meters.get_mut(&team.name) {
                Some(meter) if meter.limit() != limit => meter.set_limit(now, limit),
                Some(_) => {}
                None => {
                    let fresh = !first || self.options.first_start;
                    let tolerance = self.options.bounds.limit_tolerance;
                    let mut meter = TeamLimiter::new(now, limit, tolerance, fresh);
                    meter.set_expected_daemons(now, self.contacts.daemons(), self.contacts.pause());
                    meter.set_members(members);
                    self.meters.insert(team.name.clone(), meter);
                }
            }
        }
    }

    /// Settings changed while the process runs: bounds follow at once, buckets begin anew where
    /// their tolerance is another one.
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
            for meter in self.meters.values_mut() {
                *meter = TeamLimiter::new(now, meter.limit(), bounds.limit_tolerance, false);
            }
        }
        self.options.bounds = bounds;
        self.note_readiness(now, effects);
    }

    pub(super) fn upstreams_read(
        &mut self,
        now: MonotonicTime,
        entries: Vec<UpstreamEntry>,
        effects: &mut GatewayEffects,
    ) {
        let line = LogLine::new(LogLevel::Info, "upstreams-read").with("count", entries.len());
        effects.push(GatewayEffect::Log(line));
        for (name, change) in self.fleet.replace_all(now, entries) {
            log_change(&name, change, effects);
        }
        self.upstreams_read = true;
        self.note_readiness(now, effects);
        self.pump_all(now, effects);
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
            self.pump_all(now, effects);
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
        let was_alive = self.peers.is_live(now, &summary.host);
        if !self.peers.receive(now, summary.clone()) {
            return;
        }
        self.contacts.learn(
            now,
            PeerContact {
                address: summary.peer_address,
                zone: Some(ZoneLabel::from(summary.zone.as_str())),
            },
        );
        if !was_alive {
            let line = LogLine::new(LogLevel::Info, "peer-seen")
                .with("peer", &summary.host)
                .with("phase", format_args!("{:?}", summary.phase));
            effects.push(GatewayEffect::Log(line));
        }
        if summary.zone == self.options.zone.as_str() {
            self.neighbour_received(now, &summary, effects);
        }
        // Of a zone that another daemon reports, its message alone counts, or all would count twice.
        if self.peers.uses_direct_summary(now, &summary.zone) {
            let account = PeerAccount {
                peer,
                incarnation: summary.incarnation,
                age: Duration::from_millis(summary.uptime_ms),
                daemons: 1,
                near: summary.zone == self.options.zone.as_str(),
            };
            self.usage_received(now, account, &summary.usage);
            self.rollouts.record_peer_tallies(peer, &summary.tallies);
        }
        if summary.phase == PeerPhase::Leaving {
            for meter in self.meters.values_mut() {
                meter.record_peer_ended(now, peer);
            }
        }
        self.pump_all(now, effects);
    }

    /// A neighbour may attest to what this daemon holds.
    fn neighbour_received(
        &mut self,
        now: MonotonicTime,
        summary: &PeerSummary,
        effects: &mut GatewayEffects,
    ) {
        self.reads.record_summary(now, summary);
        if let Some(attestation) = summary.attestation {
            let era = attestation.declared.last_change.era;
            self.store_era_seen(now, era, effects);
        }
        let own = name_digest(self.options.host.as_str());
        let proof = self.reads.confirmed_at(own, summary, SharedTable::Declared);
        if let Some(at) = proof {
            self.proof_at = Some(self.proof_at.map_or(at, |known| known.max(at)));
            self.note_readiness(now, effects);
        }
        let failed = summary
            .attestation
            .and_then(|attestation| attestation.store_failure_age_ms);
        if let Some(age) = failed {
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
        match self.peers.receive_digest(now, digest.clone()) {
            DigestOutcome::Ignored => return,
            DigestOutcome::SameSender => {}
            DigestOutcome::NewSender { before } => {
                let line = LogLine::new(LogLevel::Info, "zone-digest")
                    .with("zone", &zone)
                    .with("daemons", digest.members.len())
                    .with("sender", format_args!("{:x}", digest.sender));
                effects.push(GatewayEffect::Log(line));
                self.drop_accounts(now, &zone, before);
            }
        }
        for member in &digest.members {
            let contact = PeerContact {
                address: member.peer_address,
                zone: Some(zone.clone()),
            };
            self.contacts.learn(now, contact);
        }
        let account = PeerAccount {
            peer: digest.sender.rotate_left(1),
            incarnation: digest.incarnation,
            age: Duration::from_millis(digest.uptime_ms),
            daemons: digest.daemons,
            near: false,
        };
        self.usage_received(now, account, &digest.usage);
        self.rollouts
            .record_peer_tallies(name_digest(zone.as_str()), &digest.tallies);
        self.pump_all(now, effects);
    }

    pub(super) fn contacts_read(
        &mut self,
        now: MonotonicTime,
        contacts: Vec<PeerContact>,
        effects: &mut GatewayEffects,
    ) {
        self.learn_contacts(now, contacts);
        self.contacts_read = true;
        self.note_readiness(now, effects);
    }

    pub(super) fn learn_contacts(&mut self, now: MonotonicTime, contacts: Vec<PeerContact>) {
        for contact in contacts {
            self.contacts.learn(now, contact);
        }
        for meter in self.meters.values_mut() {
            meter.set_expected_daemons(now, self.contacts.daemons(), self.contacts.pause());
        }
    }

    /// The entry set of a zone changed.
    pub(super) fn members_changed(&mut self) {
        let members = self.limit_members();
        for meter in self.meters.values_mut() {
            meter.set_members(members);
        }
    }

    /// Daemons among which teams' limits are shared, if this one is among them.
    fn limit_members(&self) -> Option<u32> {
        let members = u32::try_from(self.entry_daemons).unwrap_or(u32::MAX);
        self.is_entry_member().then_some(members)
    }

    /// Another daemon reports a zone now: what it says includes what was received before of that
    /// zone's daemons, from themselves or from the one that reported.
    fn drop_accounts(&mut self, now: MonotonicTime, zone: &ZoneLabel, before: Option<u64>) {
        let alive = self.peers.live_peers(now);
        let members = alive.filter(|peer| peer.summary.zone == zone.as_str());
        let mut ended: Vec<u64> = members
            .map(|peer| name_digest(&peer.summary.host))
            .collect();
        ended.extend(before.map(|sender| sender.rotate_left(1)));
        for meter in self.meters.values_mut() {
            for peer in &ended {
                meter.record_peer_ended(now, *peer);
            }
        }
    }

    /// A team that is not reported has used nothing there.
    fn usage_received(&mut self, now: MonotonicTime, account: PeerAccount, usage: &[TeamUse]) {
        let usage: HashMap<u64, &TeamUse> = usage.iter().map(|used| (used.team, used)).collect();
        for (team, meter) in &mut self.meters {
            let used = usage.get(&name_digest(team.as_str()));
            let reading = PeerUsage {
                peer: account.peer,
                incarnation: account.incarnation,
                uptime: account.age,
                total: used.map_or(0, |used| used.total),
                daemons: account.daemons,
                same_zone: account.near,
                levels: used.map(|used| used.levels),
            };
            meter.record_peer_usage(now, reading);
        }
    }

    /// Logs a change of readiness with what decided it.
    pub(super) fn note_readiness(&mut self, now: MonotonicTime, effects: &mut GatewayEffects) {
        let ready = self.is_ready(now);
        if ready == self.ready_logged {
            return;
        }
        self.ready_logged = ready;
        let line = LogLine::new(LogLevel::Info, "readiness")
            .with("ready", ready)
            .with("config", self.config_version())
            .with("upstreams_read", self.upstreams_read)
            .with("proof_age_ms", self.proof_age(now).as_millis())
            .with("stopping", self.stopping);
        effects.push(GatewayEffect::Log(line));
    }
}

fn log_change(name: &UpstreamLabel, change: FleetChange, effects: &mut GatewayEffects) {
    let line = LogLine::new(LogLevel::Info, "upstream-changed")
        .with("upstream", name)
        .with("change", change);
    effects.push(GatewayEffect::Log(line));
}
