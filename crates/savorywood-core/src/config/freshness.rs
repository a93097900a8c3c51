//! Tracks when the table or the peers last confirmed that the configuration is the newest.

use crate::view::MemberView;
use savorywood_protocol::{ConfigRevision, HostName, MonotonicTime, peer::membership::MemberState};
use std::time::Duration;

/// Which peers can confirm the configuration while the table can't be read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PeerConfirmation {
    /// More than half of the members recorded at the last read of the table have the same revision.
    /// A minority that is partitioned from the table and the majority can't confirm itself, so it
    /// stops serving a configuration that may have been replaced elsewhere.
    #[default]
    Majority,
    /// One other member has the same revision. Keeps a region in service that is partitioned from
    /// the table, but that region may serve an old configuration for as long as the partition
    /// lasts.
    AnyPeer,
}

/// Time of the last confirmation of the configuration.
#[derive(Debug, Default)]
pub struct FreshnessTracker {
    /// `None` until the first confirmation after the start.
    confirmed_at: Option<MonotonicTime>,
    /// Serving members, this one included, at the last read of the table; 0 before the first.
    members_at_table_read: usize,
}

impl FreshnessTracker {
    /// Records that a scan of the table requested at `requested_at` showed no newer revision than
    /// the one in force now.
    pub fn confirm_by_table(&mut self, requested_at: MonotonicTime, members: &MemberView) {
        self.confirm(requested_at);
        self.members_at_table_read = members.serving().count();
    }

    /// Records that peers confirmed the configuration at `now`.
    pub fn confirm_by_peers(&mut self, now: MonotonicTime) {
        self.confirm(now);
    }

    fn confirm(&mut self, at: MonotonicTime) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Whether the last confirmation is at most `max_age` old.
    #[must_use]
    pub fn is_current(&self, now: MonotonicTime, max_age: Duration) -> bool {
        self.confirmed_at
            .is_some_and(|confirmed| now.since(confirmed) <= max_age)
    }

    /// Whether enough other members have `revision` in force, as required by `rule`, and no serving
    /// member has a newer one.
    #[must_use]
    pub fn peers_agree(
        &self,
        own: &HostName,
        revision: ConfigRevision,
        rule: PeerConfirmation,
        members: &MemberView,
    ) -> bool {
        let others = || members.serving().filter(|(host, _)| *host != own);
        if others().any(|(_, member)| member.config_revision > revision) {
            return false;
        }
        let agreeing = others()
            .filter(|(_, member)| member.config_revision == revision)
            .count();
        match rule {
            PeerConfirmation::Majority => agreeing > 0 && self.is_majority(own, agreeing, members),
            PeerConfirmation::AnyPeer => agreeing > 0,
        }
    }

    /// Whether `agreeing` other members form a majority.
    ///
    /// A daemon that has been confirmed since its start counts itself, and needs more than half of
    /// the serving members, now or at the last read of the table, whichever are more. A daemon that
    /// has not been confirmed does not count itself, and needs more than half of all members that
    /// are not leaving, those reported dead included: a network partition may separate them from
    /// this daemon, with the table and a newer revision.
    fn is_majority(&self, own: &HostName, agreeing: usize, members: &MemberView) -> bool {
        if self.confirmed_at.is_some() {
            let known = self.members_at_table_read.max(members.serving().count());
            return 2 * (agreeing + 1) > known;
        }
        let not_leaving = members
            .members
            .iter()
            .filter(|(host, member)| *host != own && member.state != MemberState::Leaving);
        2 * agreeing > not_leaving.count()
    }
}
