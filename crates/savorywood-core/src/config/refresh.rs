//! Scans of the table: when they start, how their results are used, and the fall-back to peers
//! while the table can't be read. Announces new revisions to peers.

use super::{ConfigState, ConfigTimer, SnapshotFetch};
use crate::{
    config::{
        pending_write::WriteStage,
        table_poll::{PageResult, page_request, poll_period},
    },
    effect::{DaemonEffect, EffectQueue, LogLevel, LogLine},
    snapshot::ConfigSnapshot,
    view::{MemberRecord, MemberView},
};
use rand::{Rng, seq::IteratorRandom};
use savorywood_protocol::{
    ConfigRevision, CoreTime, HostName,
    peer::{ConfigMessage, PeerMessage},
    table::TableResponse,
};
use std::time::Duration;

/// Maximum random delay between receiving the announcement of a newer revision and reading the
/// table. Spreads the reads of all daemons, which receive the announcement at nearly the same time.
const MAX_REFRESH_DELAY: Duration = Duration::from_millis(300);

/// Time after which a snapshot that a peer has not sent is requested from another peer.
const SNAPSHOT_FETCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of peers that each daemon announces a new revision to when it comes into force there.
const GOSSIP_FANOUT: usize = 3;

impl ConfigState {
    pub(super) fn start(&mut self, now: CoreTime, effects: &mut EffectQueue) {
        self.begin_scan(now, effects);
        self.schedule_poll(now, 1, effects);
    }

    pub(super) fn handle_timer(
        &mut self,
        now: CoreTime,
        number: u64,
        members: &MemberView,
        effects: &mut EffectQueue,
    ) {
        match ConfigTimer::from_number(number) {
            Some(ConfigTimer::Poll) => {
                self.log_awaited_scan(now, effects);
                self.begin_scan(now, effects);
                self.schedule_poll(now, members.serving().count(), effects);
            }
            Some(ConfigTimer::Refresh) => self.begin_scan(now, effects),
            Some(ConfigTimer::Write) => self.retry_write(now, effects),
            None => {}
        }
    }

    /// Sets the timer of the next periodic scan, up to a fifth of the period early, so that the
    /// scans of different daemons spread out.
    fn schedule_poll(&mut self, now: CoreTime, members: usize, effects: &mut EffectQueue) {
        let period = poll_period(members);
        let jitter = period.mul_f64(self.rng.random_range(0.0..0.2));
        effects.set_timer(ConfigTimer::Poll.key(), now.monotonic + (period - jitter));
    }

    pub(super) fn begin_scan(&mut self, now: CoreTime, effects: &mut EffectQueue) {
        let number = self.next_call();
        let after = self.head.commit;
        if let Some(request) = self.poll.begin(now.monotonic, number, after) {
            self.send_call(number, request, effects);
        }
    }

    /// Logs that the scan of an earlier period is still awaited. Without it, a daemon whose reads
    /// take seconds gives no sign of why a newer revision is not in force.
    fn log_awaited_scan(&self, now: CoreTime, effects: &mut EffectQueue) {
        let Some(requested_at) = self.poll.requested_at() else {
            return;
        };
        let line = LogLine::new(LogLevel::Info, "config-read-awaited")
            .with("waited_ms", now.monotonic.since(requested_at).as_millis())
            .with("in_force", self.view.revision)
            .with("newest_heard", self.newest_reported);
        effects.log(line);
    }

    pub(super) fn handle_scan_response(
        &mut self,
        now: CoreTime,
        response: TableResponse,
        members: &MemberView,
        effects: &mut EffectQueue,
    ) {
        match response {
            TableResponse::Rows { rows, more, .. } => {
                let number = self.next_call();
                match self.poll.add_page(rows, more, number) {
                    Some(PageResult::More(after)) => {
                        self.send_call(number, page_request(after), effects);
                    }
                    Some(PageResult::Done(scan)) => {
                        let requested_at = scan.requested_at;
                        if self.apply_scan(now, scan, effects) {
                            self.freshness.confirm_by_table(requested_at, members);
                        }
                        self.release_refreshed_writes(effects);
                    }
                    None => {}
                }
            }
            TableResponse::Committed { .. }
            | TableResponse::Conflict { .. }
            | TableResponse::Unavailable
            | TableResponse::Lost => {
                self.poll.fail();
                self.refuse_refreshing_writes(effects);
                self.confirm_or_fetch_from_peers(now, members, effects);
            }
        }
        if self.poll.take_rescan_request() {
            self.begin_scan(now, effects);
        }
    }

    /// Handles a failed scan: confirms the configuration if enough peers agree on its revision, and
    /// otherwise requests a snapshot from a peer that has a newer one in force. Does neither before
    /// the first complete read of the table.
    fn confirm_or_fetch_from_peers(
        &mut self,
        now: CoreTime,
        members: &MemberView,
        effects: &mut EffectQueue,
    ) {
        if self.is_ready() && self.peers_agree(self.view.revision, members) {
            self.freshness.confirm_by_peers(now.monotonic);
            return;
        }
        if !self.is_ready() {
            return;
        }
        let pending_fetch = self.snapshot_fetch.as_ref();
        if pending_fetch
            .is_some_and(|fetch| now.monotonic.since(fetch.requested_at) < SNAPSHOT_FETCH_TIMEOUT)
        {
            return;
        }
        let Some((host, member)) = self.choose_snapshot_source(members) else {
            return;
        };
        let from = host.clone();
        let address = member.peer_address;
        self.snapshot_fetch = Some(SnapshotFetch {
            from: from.clone(),
            requested_at: now.monotonic,
        });
        effects.push(DaemonEffect::FetchSnapshot { from, address });
    }

    fn peers_agree(&self, revision: ConfigRevision, members: &MemberView) -> bool {
        let own = &self.options.host;
        let rule = self.options.peer_confirmation;
        self.freshness.peers_agree(own, revision, rule, members)
    }

    /// Random member among those with the newest revision, if that is newer than the one in force
    /// here.
    fn choose_snapshot_source<'a>(
        &mut self,
        members: &'a MemberView,
    ) -> Option<(&'a HostName, &'a MemberRecord)> {
        let own = &self.options.host;
        let others = || members.serving().filter(|(host, _)| *host != own);
        let newest = others().map(|(_, member)| member.config_revision).max()?;
        if self.is_ready() && newest <= self.view.revision {
            return None;
        }
        others()
            .filter(|(_, member)| member.config_revision == newest)
            .choose(&mut self.rng)
    }

    pub(super) fn handle_snapshot(
        &mut self,
        now: CoreTime,
        from: &HostName,
        snapshot: Option<Box<ConfigSnapshot>>,
        members: &MemberView,
        effects: &mut EffectQueue,
    ) {
        if self
            .snapshot_fetch
            .as_ref()
            .is_some_and(|fetch| fetch.from == *from)
        {
            self.snapshot_fetch = None;
        }
        let Some(snapshot) = snapshot else {
            return;
        };
        let revision = snapshot.revision;
        self.observe_member_revisions(now, members, effects);
        // After a restart a daemon must not serve an older configuration than callers were served
        // under before: they would see a resource revert. The previous incarnation may have been
        // the only daemon with the newest revision in force, and then all peers agree on an older
        // one. So the first configuration comes from the table alone.
        if !self.is_ready() {
            let line = LogLine::new(LogLevel::Warn, "config-snapshot-refused")
                .with("peer", from)
                .with("revision", revision)
                .with("newest_heard", self.newest_reported);
            effects.log(line);
            return;
        }
        self.apply_snapshot(now, *snapshot, effects);
        if self.view.revision == revision && self.peers_agree(revision, members) {
            self.freshness.confirm_by_peers(now.monotonic);
        }
    }

    pub(super) fn handle_config_message(
        &mut self,
        now: CoreTime,
        message: &ConfigMessage,
        effects: &mut EffectQueue,
    ) {
        let ConfigMessage::InForce { revision } = message;
        self.observe_revision(now, *revision, effects);
    }

    pub(super) fn observe_member_revisions(
        &mut self,
        now: CoreTime,
        members: &MemberView,
        effects: &mut EffectQueue,
    ) {
        let newest = members
            .members
            .values()
            .map(|member| member.config_revision)
            .max();
        self.observe_revision(now, newest.unwrap_or_default(), effects);
    }

    fn observe_revision(
        &mut self,
        now: CoreTime,
        revision: ConfigRevision,
        effects: &mut EffectQueue,
    ) {
        if revision <= self.newest_reported {
            return;
        }
        self.newest_reported = revision;
        if revision <= self.view.revision {
            return;
        }
        let delay = MAX_REFRESH_DELAY.mul_f64(self.rng.random());
        effects.set_timer(ConfigTimer::Refresh.key(), now.monotonic + delay);
    }

    /// Announces the revision in force to [`GOSSIP_FANOUT`] random peers that are behind. Each
    /// daemon does so once per revision, so an announcement reaches all daemons in a few rounds and
    /// costs some 300 bytes per daemon and change.
    pub(super) fn gossip(&mut self, members: &MemberView, effects: &mut EffectQueue) {
        let revision = self.view.revision;
        if revision <= self.last_gossiped_revision {
            return;
        }
        self.last_gossiped_revision = revision;
        let own = &self.options.host;
        let behind = members
            .serving()
            .filter(|(host, member)| *host != own && member.config_revision < revision);
        let chosen = behind.choose_multiple(&mut self.rng, GOSSIP_FANOUT);
        for (host, member) in chosen {
            effects.push(DaemonEffect::SendPeer {
                to: host.clone(),
                address: member.peer_address,
                message: PeerMessage::Config(ConfigMessage::InForce { revision }),
            });
        }
    }

    /// Returns the changes that waited for this scan to validation. Refuses them when the
    /// configuration has still not been read completely.
    fn release_refreshed_writes(&mut self, effects: &mut EffectQueue) {
        let serial = self.poll.serial();
        if !self.is_ready() {
            self.refuse_refreshing_writes(effects);
            return;
        }
        for write in &mut self.writes {
            if matches!(write.stage, WriteStage::Refreshing { serial: needed } if needed <= serial)
            {
                write.mark_refreshed();
            }
        }
    }
}
