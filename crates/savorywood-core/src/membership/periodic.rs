//! Periodic work: probes, region bridges, table pulls and expiry.

use super::{
    MembershipState, PullProgress, TICK_INTERVAL, TICK_TIMER,
    outgoing::PingPurpose,
    table::{TABLE_PARTS, is_live},
};
use crate::{
    effect::{EffectQueue, LogLevel, LogLine},
    rendezvous,
};
use rand::{
    Rng,
    seq::{IndexedRandom, SliceRandom},
};
use savorywood_protocol::{
    HostName, MonotonicTime, RegionName,
    peer::{MembershipMessage, membership::MemberState},
};
use std::{collections::BTreeSet, time::Duration};

/// Maximum number of listed hosts that are contacted at a time, among those that are not live
/// members.
const MAX_CONTACTED_HOSTS: usize = 3;

/// Number of table parts that one pull reads.
const PULL_PARTS: u8 = 2;

/// Probability that a reconnect attempt probes a live member of another region instead of a dead
/// member.
const REMOTE_CHECK_PROBABILITY: f64 = 0.25;

/// Delay after which an unacknowledged pull is repeated.
const PULL_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Probe order: all members in random order, then again. Each member is probed within a bounded
/// time, which independent random selection does not guarantee.
#[derive(Debug, Default)]
pub struct ProbeOrder {
    targets: Vec<HostName>,
}

impl MembershipState {
    pub(super) fn tick(&mut self, now: MonotonicTime, effects: &mut EffectQueue) {
        if now.since(self.clock.last_tick) > self.options.max_tick_gap {
            self.after_pause(now, effects);
        }
        self.clock.last_tick = now;
        self.request_relays(now, effects);
        for probe in self.probes.take_failed(now) {
            self.probe_failed(now, &probe, effects);
        }
        for relayed in self.probes.take_failed_relays(now) {
            let sequence = relayed.sequence;
            let message = MembershipMessage::Nack { sequence };
            self.send_to(&relayed.requester, message, effects);
        }
        self.expire_suspicions(now, effects);
        if self.clock.next_probe <= now {
            self.clock.next_probe = now + self.health.stretch(self.options.probe_interval);
            self.probe_next(now, effects);
        }
        if self.clock.next_bridge <= now {
            self.clock.next_bridge = now + 2 * self.options.probe_interval;
            self.probe_remote_regions(now, effects);
        }
        if self.clock.next_reconnect <= now {
            self.clock.next_reconnect = now + self.options.reconnect_interval;
            self.reconnect(now, effects);
            self.expire_dead(now);
        }
        if self.clock.next_pull <= now {
            self.pull(now, effects);
        }
        self.send_urgent(effects);
        effects.set_timer(TICK_TIMER, now + TICK_INTERVAL);
    }

    /// Resets probes and suspicions after the process was paused. Other members may have declared
    /// this daemon dead, and its probes and suspicions are outdated: acting on them would declare
    /// members dead that could not reach it during the pause.
    fn after_pause(&mut self, now: MonotonicTime, effects: &mut EffectQueue) {
        let paused = now.since(self.clock.last_tick);
        let line = LogLine::new(LogLevel::Warn, "paused").with("millis", paused.as_millis());
        effects.log(line);
        self.probes.clear();
        self.table.restart_suspicions(now);
        self.pull = PullProgress::default();
        self.clock.next_pull = now;
    }

    fn request_relays(&mut self, now: MonotonicTime, effects: &mut EffectQueue) {
        for sequence in self.probes.relay_due(now) {
            let Some(probe) = self.probes.get_mut(sequence) else {
                continue;
            };
            probe.relay_at = None;
            let target = probe.target.clone();
            let relays = self.relays_for(&target);
            for relay in &relays {
                let message = MembershipMessage::PingRequest {
                    sequence,
                    target: target.clone(),
                    updates: Vec::new(),
                };
                self.send_to(relay, message, effects);
            }
            if let Some(probe) = self.probes.get_mut(sequence) {
                probe.relays = relays.len();
            }
        }
    }

    /// Selects relays in the target's own region, since only their negative acknowledgements count.
    fn relays_for(&mut self, target: &HostName) -> Vec<HostName> {
        let Some(entry) = self.table.get(target) else {
            return Vec::new();
        };
        let own = &self.options.host;
        let live = self.live_in(&entry.location.region);
        let others: Vec<_> = live
            .filter(|h| *h != own && *h != target)
            .cloned()
            .collect();
        let relays = others.choose_multiple(&mut self.rng, self.options.relays);
        relays.cloned().collect()
    }

    fn probe_next(&mut self, now: MonotonicTime, effects: &mut EffectQueue) {
        // The last live member of a region receives no messages there and would consider itself
        // isolated, so it probes all regions.
        let isolated = now.since(self.clock.last_received) > self.options.isolation_timeout;
        if self.order.targets.is_empty() || isolated {
            self.order.targets = match isolated {
                true => self.all_live(),
                false => self.live_in_own_region(),
            };
            self.order.targets.shuffle(&mut self.rng);
        }
        while let Some(target) = self.order.targets.pop() {
            let live = self.table.get(&target).is_some_and(is_live);
            if live && !self.probes.is_probing(&target) {
                self.ping(now, &target, PingPurpose::DetectFailure, effects);
                return;
            }
        }
    }

    /// Probes the other regions for which this daemon is a bridge.
    fn probe_remote_regions(&mut self, now: MonotonicTime, effects: &mut EffectQueue) {
        for region in self.remote_regions() {
            if !self.is_bridge_to(&region) {
                self.unreachable.remove(&region);
                self.region_last_seen.remove(&region);
                continue;
            }
            self.check_region(now, &region, effects);
            let candidates = match self.rng.random_bool(0.5) {
                true => self.remote_bridges(&region),
                false => self.live_in(&region).cloned().collect(),
            };
            if let Some(target) = candidates.choose(&mut self.rng).cloned() {
                self.ping(now, &target, PingPurpose::DetectFailure, effects);
            }
        }
    }

    fn check_region(&mut self, now: MonotonicTime, region: &RegionName, effects: &mut EffectQueue) {
        let last_seen = *self.region_last_seen.entry(region.clone()).or_insert(now);
        let timed_out = now.since(last_seen) > self.options.region_timeout;
        if timed_out && self.unreachable.insert(region.clone()) {
            let line = LogLine::new(LogLevel::Warn, "region_unreachable").with("region", region);
            effects.log(line);
        }
    }

    /// Records a message from another region. If the region was unreachable, its complete table is
    /// read, since updates from the time of the partition are no longer forwarded.
    pub(super) fn record_region_contact(
        &mut self,
        now: MonotonicTime,
        from: &HostName,
        effects: &mut EffectQueue,
    ) {
        let Some(entry) = self.table.get(from) else {
            return;
        };
        let region = entry.location.region.clone();
        if region == *self.options.region() {
            return;
        }
        self.region_last_seen.insert(region.clone(), now);
        if self.unreachable.remove(&region) {
            let line = LogLine::new(LogLevel::Info, "region_reachable").with("region", &region);
            effects.log(line);
            self.pull = PullProgress {
                region: Some(region),
                ..PullProgress::default()
            };
            self.clock.next_pull = now;
        }
    }

    /// Contacts one dead member: after a partition within the region no other mechanism does.
    /// Sometimes it probes a live member of another region instead, which otherwise only bridges
    /// do. Without that, a daemon that is not a bridge could keep a member that its whole region
    /// has removed as alive forever.
    fn reconnect(&mut self, now: MonotonicTime, effects: &mut EffectQueue) {
        let remote = self.rng.random_bool(REMOTE_CHECK_PROBABILITY);
        let region = self.options.region();
        let entries = self.table.entries().filter(|(_, entry)| match remote {
            true => is_live(entry) && entry.location.region != *region,
            false => entry.update.state == MemberState::Dead,
        });
        let candidates: Vec<_> = entries.map(|(host, _)| host.clone()).collect();
        let purpose = match remote {
            true => PingPurpose::DetectFailure,
            false => PingPurpose::Contact,
        };
        if let Some(target) = candidates.choose(&mut self.rng).cloned() {
            self.ping(now, &target, purpose, effects);
        }
    }

    /// Contacts a few listed hosts that are not live members.
    pub(super) fn contact_listed(&mut self, now: MonotonicTime, effects: &mut EffectQueue) {
        let seeds = self.seeds.keys();
        let unknown = seeds.filter(|host| {
            let entry = self.table.get(host);
            entry.is_none_or(|entry| entry.update.state == MemberState::Dead)
        });
        let unknown: Vec<_> = unknown.cloned().collect();
        let chosen: Vec<_> = unknown
            .choose_multiple(&mut self.rng, MAX_CONTACTED_HOSTS)
            .cloned()
            .collect();
        for host in &chosen {
            self.ping(now, host, PingPurpose::Contact, effects);
        }
    }

    /// Reads the next parts of another daemon's table.
    pub(super) fn pull(&mut self, now: MonotonicTime, effects: &mut EffectQueue) {
        let first = self.pull.parts_read;
        if first >= TABLE_PARTS {
            return;
        }
        self.clock.next_pull = now + PULL_RETRY_DELAY;
        let candidates = self.pull_candidates();
        if let Some(target) = candidates.choose(&mut self.rng).cloned() {
            let count = PULL_PARTS;
            self.ping(now, &target, PingPurpose::Pull { first, count }, effects);
        }
    }

    fn pull_candidates(&self) -> Vec<HostName> {
        if let Some(region) = &self.pull.region {
            return self.live_in(region).cloned().collect();
        }
        let live = self.live_in_own_region();
        match live.is_empty() {
            true => self.seeds.keys().cloned().collect(),
            false => live,
        }
    }

    fn all_live(&self) -> Vec<HostName> {
        let own = &self.options.host;
        let live = self.table.entries().filter(|(_, entry)| is_live(entry));
        let others = live.filter(|(host, _)| *host != own);
        others.map(|(host, _)| host.clone()).collect()
    }

    /// Regions other than this daemon's that have live members.
    pub(super) fn remote_regions(&self) -> BTreeSet<RegionName> {
        let live = self.table.entries().filter(|(_, entry)| is_live(entry));
        let regions = live.map(|(_, entry)| &entry.location.region);
        let remote = regions.filter(|region| *region != self.options.region());
        remote.cloned().collect()
    }

    /// Whether this daemon is one of the bridges from its region to another one.
    pub(super) fn is_bridge_to(&self, region: &RegionName) -> bool {
        let own = self.options.region();
        self.bridges_between(own, region)
            .contains(&self.options.host)
    }

    /// Members of this region that probe another region.
    pub(super) fn local_bridges(&self, region: &RegionName) -> Vec<HostName> {
        self.bridges_between(self.options.region(), region)
    }

    /// Members of another region that probe this one.
    pub(super) fn remote_bridges(&self, region: &RegionName) -> Vec<HostName> {
        self.bridges_between(region, self.options.region())
    }

    fn bridges_between(&self, from: &RegionName, to: &RegionName) -> Vec<HostName> {
        let subject = rendezvous::hash_parts(&["bridge", from.as_str(), to.as_str()]);
        let scored = self
            .live_in(from)
            .map(|host| (rendezvous::score(subject, host.as_str()), host));
        let mut scored: Vec<_> = scored.collect();
        scored.sort_by(|a, b| b.cmp(a));
        let first = scored.into_iter().take(self.options.bridges);
        first.map(|(_, host)| host.clone()).collect()
    }
}
