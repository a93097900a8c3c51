//! Rate limits that upstreams report, and this daemon's share of them.

use super::{Gateway, GatewayEffects, entry::MIN_LEASE_UPTIME};
use crate::{
    effect::GatewayEffect,
    label::UpstreamLabel,
    peer::name_digest,
    placing::{LossRetention, MemberHistory},
    quarantine::ReportScope,
    rejection_limit::RejectionDivision,
    rendezvous::address_hash,
    upstream_limit::{
        LimitGossip, LimitObservation, LimitReport, ObservationSource, RateLimit,
        RejectionLimitReport,
    },
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeSet, time::Duration};

/// Rounds of gossip in which a reading is reported, as messages may be lost.
const REPORT_ROUNDS: u32 = 4;
/// Maximum number of reports in a message, so that its datagram is not fragmented.
const MAX_REPORTS: usize = 64;
/// Interval at which shares of slots are recomputed; a change of the members takes effect at once.
const SLOT_SHARE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a division is not continued: the limit had ended.
const DIVISION_TTL: Duration = Duration::from_secs(2);
/// Uptime from which on the daemon uses its parts: the others know it by then, and what they or its
/// previous process caused before counts no more.
const SETTLED_UPTIME: Duration = Duration::from_secs(2);
/// Time without contact to most daemons after which these may have taken over the parts of this one:
/// less than the time for which lost members keep them.
const CONTESTED_AFTER: Duration = Duration::from_secs(12);
/// Interval between two looks at the members while no rejections are limited.
const IDLE_MEMBERS_INTERVAL: Duration = Duration::from_millis(500);

impl Gateway {
    /// Records the limit in a response to a request dispatched at `sent_at`; `None` when the
    /// response reports no limit.
    pub(super) fn record_limit(
        &mut self,
        now: MonotonicTime,
        upstream: &UpstreamLabel,
        sent_at: MonotonicTime,
        limit: Option<RateLimit>,
        effects: &mut GatewayEffects,
    ) {
        let Some(state) = self.fleet.get_mut(upstream) else {
            return;
        };
        // A response without a limit may have started before one that reports it.
        let observed_at = if limit.is_some() { now } else { sent_at };
        let previous = state.limit.limit();
        let observation = LimitObservation { limit, observed_at };
        if state
            .limit
            .observe(now, observation, ObservationSource::Own)
        {
            effects.push(GatewayEffect::Log(limit_line(
                upstream, previous, limit, "own",
            )));
        }
    }

    pub(super) fn limits_reported(
        &mut self,
        now: MonotonicTime,
        gossip: &LimitGossip,
        effects: &mut GatewayEffects,
    ) {
        let is_same_zone = gossip.zone == name_digest(self.options.zone.as_str());
        let source = if is_same_zone {
            ObservationSource::Zone
        } else {
            ObservationSource::OtherZone
        };
        let mut is_lifted = false;
        for report in &gossip.reports {
            let mut states = self.fleet.iter_mut();
            let Some(state) = states.find(|state| state.digest == report.upstream) else {
                continue;
            };
            let observation = LimitObservation {
                limit: report.limit,
                observed_at: now - Duration::from_millis(u64::from(report.age_ms)),
            };
            let previous = state.limit.limit();
            if state.limit.observe(now, observation, source) {
                let name = &state.entry.name;
                let line = limit_line(name, previous, report.limit, "peer");
                effects.push(GatewayEffect::Log(line));
                is_lifted |= report.limit.is_none();
            }
        }
        let services = self.config.iter().flat_map(|config| config.services.keys());
        for service in services {
            let digest = name_digest(service.as_str());
            let mut reports = gossip.rejection_limits.iter();
            if let Some(report) = reports.find(|report| report.service == digest) {
                self.fleet
                    .rejection_limits_mut()
                    .announce(now, service, report.limit, source);
            }
        }
        if is_lifted {
            self.dispatch_all_waiting(now, effects);
        }
    }

    /// Returns the limits to be reported in one round of gossip; absent when there are none.
    #[must_use]
    pub fn limit_gossip(&self, now: MonotonicTime, scope: ReportScope) -> Option<LimitGossip> {
        let window = self
            .contacts
            .gossip_interval()
            .saturating_mul(REPORT_ROUNDS);
        let for_zone = scope == ReportScope::Zone;
        let reports = self.fleet.iter().filter_map(|state| {
            let observation = state.limit.recent_observation(now, window, for_zone)?;
            let age = now.since(observation.observed_at).as_millis();
            Some(LimitReport {
                upstream: state.digest,
                limit: observation.limit,
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            })
        });
        let reports: Vec<LimitReport> = reports.take(MAX_REPORTS).collect();
        let limits = self.fleet.rejection_limits();
        let announced = limits.announced(now, window, for_zone);
        let reports_of_services = announced.map(|(service, limit)| RejectionLimitReport {
            service: name_digest(service.as_str()),
            limit,
        });
        let rejection_limits: Vec<RejectionLimitReport> = reports_of_services.collect();
        let is_empty = reports.is_empty() && rejection_limits.is_empty();
        (!is_empty).then(|| LimitGossip {
            zone: name_digest(self.options.zone.as_str()),
            reports,
            rejection_limits,
        })
    }

    /// Refills this daemon's share of the rates that limited upstreams accept.
    pub(super) fn refill_limits(&mut self, now: MonotonicTime) {
        let leases = &self.leases;
        for state in self.fleet.iter_mut() {
            if let Some(limit) = state.limit.limit() {
                let share = leases.share(now, state.digest, limit.max_holders());
                state.limit.refill(now, share);
            }
        }
    }

    /// Records the members among which the slots of upstreams with limited rejections are divided.
    ///
    /// Daemons that are lost keep their shares, and do so for as long as this daemon does not see
    /// most daemons: both sides of a partition would otherwise use the same slots.
    pub(super) fn refresh_limit_members(&mut self, now: MonotonicTime, own_members: &[u64]) {
        if !own_members.contains(&self.own_digest()) && !self.has_callers() {
            // Other members divide the slots now.
            self.slot_shares_stale |= !self.limit_members.present().is_empty();
            self.limit_members = MemberHistory::new(LossRetention::cautious());
            return;
        }
        let is_active = self.fleet.rejection_limits().is_any_active(now);
        let since_refresh = now.since(self.limit_members_at);
        let is_due = since_refresh >= IDLE_MEMBERS_INTERVAL
            || is_active && since_refresh >= self.min_claim_interval(&self.limit_members);
        if self.uptime(now) < MIN_LEASE_UPTIME || !is_due {
            return;
        }
        self.limit_members_at = now;
        let members = self.members_by_zone(now, own_members);
        // A daemon that reaches no upstream sends its requests through others.
        let unable = self.partitioned_address_hashes(now);
        let present = members.into_values().flatten();
        let present = present.filter(|member| !unable.contains(member)).collect();
        let live = self.live_address_hashes(now);
        if self.peers.sees_majority(now) {
            self.majority_seen_at = now;
        } else {
            self.limit_members.keep_lost(now);
            self.fleet.rejection_limits_mut().hold(now);
        }
        let is_changed = self
            .limit_members
            .update(now, present, |member| live.contains(&member));
        self.slot_shares_stale |= is_changed;
    }

    /// Returns the address hashes of the daemons that reach no upstream, this one included.
    fn partitioned_address_hashes(&self, now: MonotonicTime) -> BTreeSet<u64> {
        let live = self.peers.live_peers(now);
        let direct = live.filter(|peer| peer.summary.partitioned);
        let direct = direct.map(|peer| peer.summary.peer_address);
        let digests = self.peers.zone_digests(now);
        let members = digests.flat_map(|digest| &digest.members);
        let remote = members.filter(|member| member.partitioned);
        let remote = remote.map(|member| member.peer_address);
        let own = self.is_partitioned().then_some(self.options.peer_address);
        let all = direct.chain(remote).chain(own);
        all.map(address_hash).collect()
    }

    /// Recomputes this daemon's parts of upstreams while rejections are limited. Each takes a look at
    /// all members, so it is not done in each tick.
    pub(super) fn refresh_rejection_budgets(&mut self, now: MonotonicTime) {
        if !self.fleet.rejection_limits().is_any_active(now) {
            return;
        }
        self.fleet.settle_rejections(now);
        let since_refresh = now.since(self.slot_shares_at);
        if since_refresh < SLOT_SHARE_INTERVAL && !self.slot_shares_stale {
            return;
        }
        self.slot_shares_at = now;
        self.slot_shares_stale = false;
        let relays = self.relays_by_hash(now);
        let settles_in = SETTLED_UPTIME.saturating_sub(self.uptime(now));
        let is_first = since_refresh >= DIVISION_TTL || !settles_in.is_zero();
        let first_at = is_first.then_some(now + settles_in);
        let division = RejectionDivision {
            own: address_hash(self.options.peer_address),
            members: &self.limit_members,
            relays: &relays,
            regions: &self.options.regions,
            first_at,
            is_contested: now.since(self.majority_seen_at) >= CONTESTED_AFTER,
        };
        self.fleet.refresh_owned_parts(now, &division);
    }
}

fn limit_line(
    upstream: &UpstreamLabel,
    previous: Option<RateLimit>,
    limit: Option<RateLimit>,
    source: &'static str,
) -> LogLine {
    let per_second = |limit: Option<RateLimit>| limit.map_or(0.0, RateLimit::per_second);
    let event = if limit.is_some() {
        "upstream-limited"
    } else {
        "upstream-unlimited"
    };
    LogLine::new(LogLevel::Info, event)
        .with("upstream", upstream)
        .with("per_second", per_second(limit))
        .with("before", per_second(previous))
        .with("source", source)
}
