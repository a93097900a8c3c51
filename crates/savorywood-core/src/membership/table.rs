//! Member table, and precedence between updates of the same member.

use crate::{
    rendezvous,
    view::{MemberRecord, MemberView},
};
use savorywood_protocol::{
    HostName, MonotonicTime,
    peer::membership::{MemberLocation, MemberState, MemberTableDigest, MemberUpdate},
};
use std::collections::{BTreeMap, BTreeSet};

/// Number of parts into which the table is divided for comparison by digest.
pub const TABLE_PARTS: u8 = 64;

/// State of one member.
#[derive(Debug, Clone)]
pub struct TableEntry {
    /// Newest update of the member, without its location.
    pub update: MemberUpdate,
    /// Zone, region and addresses of the member.
    pub location: MemberLocation,
    /// When the member's state last changed, or its suspicion was restarted.
    pub since: MonotonicTime,
    /// Whether the member has acknowledged a ping of this daemon, and so has its location.
    pub knows_our_location: bool,
    part: u8,
    digest: u32,
}

/// Effect of an update on the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The update contains nothing new.
    Stale,
    /// The update is about an unknown member and has no location, so it cannot be added.
    UnknownLocation,
    /// Only the configuration revision is newer.
    Revision,
    /// The member, or its incarnation, is new.
    Joined,
    /// The state or refutation of a known incarnation changed.
    Changed,
}

/// How an update was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateSource {
    /// From the member that it is about.
    Member,
    /// Piggybacked by another member while it was recent.
    Rumor,
    /// Read from another daemon's table, so of any age.
    Table,
}

/// All members, including this daemon.
#[derive(Debug, Default)]
pub struct MemberTable {
    entries: BTreeMap<HostName, TableEntry>,
    listed_leaving: BTreeSet<HostName>,
    view: MemberView,
}

impl MemberTable {
    /// Member view for other duties.
    #[must_use]
    pub fn view(&self) -> &MemberView {
        &self.view
    }

    /// All members, dead ones included.
    pub fn entries(&self) -> impl Iterator<Item = (&HostName, &TableEntry)> {
        self.entries.iter()
    }

    /// Entry of one member.
    #[must_use]
    pub fn get(&self, host: &HostName) -> Option<&TableEntry> {
        self.entries.get(host)
    }

    /// Number of members, dead ones included.
    #[must_use]
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Records whether a member has this daemon's location.
    pub fn set_knows_our_location(&mut self, host: &HostName, knows_our_location: bool) {
        if let Some(entry) = self.entries.get_mut(host) {
            entry.knows_our_location = knows_our_location;
        }
    }

    /// Merges an update into the table.
    pub fn merge(
        &mut self,
        now: MonotonicTime,
        update: &MemberUpdate,
        source: UpdateSource,
    ) -> MergeOutcome {
        let Some(entry) = self.entries.get(&update.host) else {
            if !should_add(update.state, source) {
                return MergeOutcome::Stale;
            }
            return self.add(now, update);
        };
        let old = &entry.update;
        if update.incarnation > old.incarnation {
            return self.add(now, update);
        }
        if update.incarnation < old.incarnation {
            return MergeOutcome::Stale;
        }
        let newer_state = supersedes(update, old);
        let newer_revision = update.config_revision > old.config_revision;
        if !newer_state && !newer_revision {
            return MergeOutcome::Stale;
        }
        self.apply(now, update, newer_state);
        match newer_state {
            true => MergeOutcome::Changed,
            false => MergeOutcome::Revision,
        }
    }

    fn apply(&mut self, now: MonotonicTime, update: &MemberUpdate, newer_state: bool) {
        let Some(entry) = self.entries.get_mut(&update.host) else {
            return;
        };
        let revision = entry.update.config_revision.max(update.config_revision);
        if newer_state {
            if entry.update.state != update.state {
                entry.since = now;
            }
            entry.update.state = update.state;
            entry.update.refutation = update.refutation;
        }
        entry.update.config_revision = revision;
        entry.digest = digest_of(&entry.update);
        self.publish(&update.host);
    }

    fn add(&mut self, now: MonotonicTime, update: &MemberUpdate) -> MergeOutcome {
        let Some(location) = update.location.clone() else {
            return MergeOutcome::UnknownLocation;
        };
        let update = MemberUpdate {
            location: None,
            ..update.clone()
        };
        let host = update.host.clone();
        let entry = TableEntry {
            part: part_of(&host),
            digest: digest_of(&update),
            update,
            location,
            since: now,
            knows_our_location: false,
        };
        self.entries.insert(host.clone(), entry);
        self.publish(&host);
        MergeOutcome::Joined
    }

    /// Restarts the timeouts of all suspicions.
    pub fn restart_suspicions(&mut self, now: MonotonicTime) {
        let entries = self.entries.values_mut();
        let suspects = entries.filter(|entry| entry.update.state == MemberState::Suspect);
        suspects.for_each(|entry| entry.since = now);
    }

    /// Removes the members for which `keep` returns false; returns whether any were removed.
    pub fn retain(&mut self, mut keep: impl FnMut(&HostName, &TableEntry) -> bool) -> bool {
        let before = self.entries.len();
        self.entries.retain(|host, entry| keep(host, entry));
        let entries = &self.entries;
        self.view
            .members
            .retain(|host, _| entries.contains_key(host));
        self.entries.len() != before
    }

    /// Sets which members the host list marks as leaving; returns whether the view changed.
    ///
    /// The list lags, so a mark applies only while it is listed and is not gossiped: a host that
    /// was replaced under the same name must not be excluded for its whole new incarnation. A list
    /// that marks every live member as leaving is ignored, since applying it would leave callers
    /// without any address.
    pub fn set_listed_leaving(&mut self, leaving: BTreeSet<HostName>) -> bool {
        let before = self.view.clone();
        let mut live = self.entries.values().filter(|entry| is_live(entry));
        let all_leaving = live.all(|entry| leaving.contains(&entry.update.host));
        self.listed_leaving = if all_leaving {
            BTreeSet::new()
        } else {
            leaving
        };
        let hosts: Vec<_> = self.entries.keys().cloned().collect();
        for host in &hosts {
            self.publish(host);
        }
        self.view != before
    }

    fn publish(&mut self, host: &HostName) {
        let Some(entry) = self.entries.get(host) else {
            return;
        };
        let listed = is_live(entry) && self.listed_leaving.contains(host);
        let state = match listed {
            true => MemberState::Leaving,
            false => entry.update.state,
        };
        let record = MemberRecord {
            incarnation: entry.update.incarnation,
            state,
            peer_address: entry.location.peer_address,
            caller_address: entry.location.caller_address,
            zone: entry.location.zone.clone(),
            region: entry.location.region.clone(),
            config_revision: entry.update.config_revision,
        };
        self.view.members.insert(host.clone(), record);
    }

    /// Current update of a member, as sent to others.
    #[must_use]
    pub fn update_of(&self, host: &HostName, with_location: bool) -> Option<MemberUpdate> {
        let entry = self.entries.get(host)?;
        let location = with_location.then(|| entry.location.clone());
        Some(MemberUpdate {
            location,
            ..entry.update.clone()
        })
    }

    /// Digests of `count` parts, starting at `first`.
    #[must_use]
    pub fn digest(&self, first: u8, count: u8) -> MemberTableDigest {
        let parts = (0..count).map(|offset| self.part_digest((first + offset) % TABLE_PARTS));
        MemberTableDigest {
            first,
            parts: parts.collect(),
        }
    }

    fn part_digest(&self, part: u8) -> u32 {
        let entries = self.entries.values().filter(|entry| entry.part == part);
        entries.fold(0, |sum, entry| sum ^ entry.digest)
    }

    /// Members in the parts whose digest differs from the sender's.
    #[must_use]
    pub fn differing(&self, digest: &MemberTableDigest) -> Vec<HostName> {
        let parts = (0..TABLE_PARTS).zip(&digest.parts);
        let differing: BTreeSet<u8> = parts
            .map(|(offset, theirs)| (digest.first.wrapping_add(offset) % TABLE_PARTS, *theirs))
            .filter(|(part, theirs)| self.part_digest(*part) != *theirs)
            .map(|(part, _)| part)
            .collect();
        let entries = self.entries.iter();
        let hosts = entries.filter(|(_, entry)| differing.contains(&entry.part));
        hosts.map(|(host, _)| host.clone()).collect()
    }
}

/// Whether an update of an unknown member adds it to the table.
///
/// Daemons remove dead members at different times. If updates of unknown dead members were
/// accepted, or of leaving ones from a table, daemons would keep restoring them in each other's
/// tables.
fn should_add(state: MemberState, source: UpdateSource) -> bool {
    match state {
        MemberState::Alive | MemberState::Suspect => true,
        MemberState::Leaving => source != UpdateSource::Table,
        MemberState::Dead => false,
    }
}

/// Whether a member is live: alive or only suspected.
#[must_use]
pub fn is_live(entry: &TableEntry) -> bool {
    matches!(
        entry.update.state,
        MemberState::Alive | MemberState::Suspect
    )
}

/// Whether `new` supersedes `old` for the same incarnation of a member.
///
/// Leaving is final: no alive or suspect update reverts it, whatever its refutation. Only the
/// member itself increases the refutation, so a higher one is its own later update.
#[must_use]
pub fn supersedes(new: &MemberUpdate, old: &MemberUpdate) -> bool {
    let live = |state| matches!(state, MemberState::Alive | MemberState::Suspect);
    if live(old.state) && new.state == MemberState::Leaving {
        return true;
    }
    if live(new.state) && old.state == MemberState::Leaving {
        return false;
    }
    (new.refutation, new.state) > (old.refutation, old.state)
}

fn part_of(host: &HostName) -> u8 {
    let part = rendezvous::hash_parts(&[host.as_str()]) % u64::from(TABLE_PARTS);
    u8::try_from(part).unwrap_or_default()
}

/// Digest of the state on which all members must converge. Suspicions are temporary and dead
/// members are removed, so neither counts. The refutation does: a daemon that missed one would
/// suspect a healthy member of another region forever, since it never declares that member dead
/// itself.
fn digest_of(update: &MemberUpdate) -> u32 {
    if !matches!(update.state, MemberState::Alive | MemberState::Suspect) {
        return 0;
    }
    let host = rendezvous::hash_parts(&[update.host.as_str()]);
    let life = rendezvous::mix_bits(host ^ update.incarnation.0);
    let refutation = rendezvous::mix_bits(life ^ u64::from(update.refutation));
    let state = rendezvous::mix_bits(refutation ^ update.config_revision.0);
    u32::try_from(state >> 32).unwrap_or_default()
}
