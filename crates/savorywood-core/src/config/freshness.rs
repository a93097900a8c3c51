//! Whether this daemon can say that its configuration is the newest.

use crate::view::MemberView;
use savorywood_protocol::{ConfigRevision, HostName, MonotonicTime, peer::membership::MemberState};
use std::time::Duration;

/// Whose word counts while the table can't be read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PeerConfirmation {
    /// More than half of the members known when the table was last read have the same revision.
    /// A minority that is cut off from table and majority can't confirm itself, so it can't go on
    /// serving a configuration that was replaced elsewhere.
    #[default]
    Majority,
    /// One other member has the same revision. Keeps a region in service that is cut off from
    /// the table, at the price of serving an old configuration for as long.
    AnyPeer,
}

/// When the configuration was last confirmed.
#[derive(Debug, Default)]
pub struct FreshnessTracker {
    confirmed_at: Option<MonotonicTime>,
    members_at_table_read: usize,
}

impl FreshnessTracker {
    /// The table was asked at `asked_at` and showed nothing newer.
    pub fn confirm_by_table(&mut self, requested_at: MonotonicTime, members: &MemberView) {
        self.confirm(requested_at);
        self.members_at_table_read = members.serving().count();
    }

    /// Peers agree at `now`.
    pub fn confirm_by_peers(&mut self, now: MonotonicTime) {
        self.confirm(now);
    }

    fn confirm(&mut self, at: MonotonicTime) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Whether the last confirmation is no older than `allowed`.
    #[must_use]
    pub fn is_current(&self, now: MonotonicTime, max_age: Duration) -> bool {
        self.confirmed_at
            .is_some_and(|confirmed| now.since(confirmed) <= max_age)
    }

    /// Whether enough other members have `revision` in force and no serving one has a newer.
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

    /// A daemon that was confirmed before counts itself among the members of that time. One that
    /// begins has no vote, and counts members that it is told are dead as well: they may be on
    /// the other side of a cut, with the table and a newer revision.
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
