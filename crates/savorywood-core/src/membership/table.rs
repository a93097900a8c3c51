//! What is known of each member, and which of two pieces of news is the newer one.

use crate::{
    rendezvous,
    view::{MemberRecord, MemberView},
};
use savorywood_protocol::{
    HostName, MonotonicTime,
    peer::membership::{MemberPlace, MemberState, MemberUpdate, TableDigest},
};
use std::collections::{BTreeMap, BTreeSet};

/// Parts of the table that are compared one by one.
pub const TABLE_PARTS: u8 = 64;

/// One member.
#[derive(Debug, Clone)]
pub struct TableEntry {
    /// Newest news of it.
    pub update: MemberUpdate,
    /// Where it stands.
    pub place: MemberPlace,
    /// When its state last changed.
    pub since: MonotonicTime,
    /// Whether it has answered us, so that it knows where we stand.
    pub knows_our_place: bool,
    part: u8,
    digest: u32,
}

/// What a piece of news did to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Nothing new.
    Stale,
    /// News of a member whose place is not known: nothing can be done with it.
    UnknownPlace,
    /// Only the configuration revision is new.
    Revision,
    /// A new member or a new life of one.
    Joined,
    /// The state or refutation of a known life is new.
    Changed,
}

/// By which way a piece of news came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateSource {
    /// From the member that it is about.
    Member,
    /// Passed on while it is fresh.
    Rumor,
    /// Read out of another daemon's table, so of any age.
    Table,
}

/// All members, this daemon included.
#[derive(Debug, Default)]
pub struct MemberTable {
    entries: BTreeMap<HostName, TableEntry>,
    listed_leaving: BTreeSet<HostName>,
    view: MemberView,
}

impl MemberTable {
    /// Members as other duties read them.
    #[must_use]
    pub fn view(&self) -> &MemberView {
        &self.view
    }

    /// All members.
    pub fn entries(&self) -> impl Iterator<Item = (&HostName, &TableEntry)> {
        self.entries.iter()
    }

    /// One member.
    #[must_use]
    pub fn get(&self, host: &HostName) -> Option<&TableEntry> {
        self.entries.get(host)
    }

    /// Number of members, dead ones included.
    #[must_use]
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Notes whether a member knows where we stand.
    pub fn set_knows_our_place(&mut self, host: &HostName, knows_our_place: bool) {
        if let Some(entry) = self.entries.get_mut(host) {
            entry.knows_our_place = knows_our_place;
        }
    }

    /// Takes in a piece of news.
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
        let Some(place) = update.place.clone() else {
            return MergeOutcome::UnknownPlace;
        };
        let update = MemberUpdate {
            place: None,
            ..update.clone()
        };
        let host = update.host.clone();
        let entry = TableEntry {
            part: part_of(&host),
            digest: digest_of(&update),
            update,
            place,
            since: now,
            knows_our_place: false,
        };
        self.entries.insert(host.clone(), entry);
        self.publish(&host);
        MergeOutcome::Joined
    }

    /// Lets the time of all suspicions begin anew.
    pub fn restart_suspicions(&mut self, now: MonotonicTime) {
        let entries = self.entries.values_mut();
        let suspects = entries.filter(|entry| entry.update.state == MemberState::Suspect);
        suspects.for_each(|entry| entry.since = now);
    }

    /// Removes members that `keep` refuses.
    pub fn retain(&mut self, mut keep: impl FnMut(&HostName, &TableEntry) -> bool) -> bool {
        let before = self.entries.len();
        self.entries.retain(|host, entry| keep(host, entry));
        let entries = &self.entries;
        self.view
            .members
            .retain(|host, _| entries.contains_key(host));
        self.entries.len() != before
    }

    /// Takes in which members the host list calls leaving; says whether the view changed.
    ///
    /// The list lags, so what it says holds only while it says so and is told to nobody: a host
    /// that was replaced under its old name must not be out for the whole of its new life. A
    /// list that calls every live member leaving is taken for wrong, since believing it would
    /// leave callers without any address.
    pub fn set_listed_leaving(&mut self, leaving: BTreeSet<HostName>) -> bool {
        let before = self.view.clone();
        let mut live = self.entries.values().filter(|entry| is_live(entry));
        let wrong = live.all(|entry| leaving.contains(&entry.update.host));
        self.listed_leaving = if wrong { BTreeSet::new() } else { leaving };
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
            peer_address: entry.place.peer_address,
            caller_address: entry.place.caller_address,
            zone: entry.place.zone.clone(),
            region: entry.place.region.clone(),
            config_revision: entry.update.config_revision,
        };
        self.view.members.insert(host.clone(), record);
    }

    /// News of a member as it would be sent.
    #[must_use]
    pub fn update_of(&self, host: &HostName, with_place: bool) -> Option<MemberUpdate> {
        let entry = self.entries.get(host)?;
        let place = with_place.then(|| entry.place.clone());
        Some(MemberUpdate {
            place,
            ..entry.update.clone()
        })
    }

    /// Digests of `count` parts from `first` on.
    #[must_use]
    pub fn digest(&self, first: u8, count: u8) -> TableDigest {
        let parts = (0..count).map(|offset| self.part_digest((first + offset) % TABLE_PARTS));
        TableDigest {
            first,
            parts: parts.collect(),
        }
    }

    fn part_digest(&self, part: u8) -> u32 {
        let entries = self.entries.values().filter(|entry| entry.part == part);
        entries.fold(0, |sum, entry| sum ^ entry.digest)
    }

    /// Members in the parts where the sender's digest differs from ours.
    #[must_use]
    pub fn differing(&self, digest: &TableDigest) -> Vec<HostName> {
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

/// Whether news of an unknown member is taken in.
///
/// Daemons forget those that are gone at different times. Were news of an unknown dead member
/// taken in, or of a leaving one out of a table, they would remind each other of it for ever.
fn should_add(state: MemberState, source: UpdateSource) -> bool {
    match state {
        MemberState::Alive | MemberState::Suspect => true,
        MemberState::Leaving => source != UpdateSource::Table,
        MemberState::Dead => false,
    }
}

/// Whether a member takes part: alive or merely suspected.
#[must_use]
pub fn is_live(entry: &TableEntry) -> bool {
    matches!(
        entry.update.state,
        MemberState::Alive | MemberState::Suspect
    )
}

/// Whether `new` is newer than `old` about the same life of the same member.
///
/// Leaving is sticky: nothing that says alive or suspect undoes it, whatever its refutation.
/// Only the member itself raises the refutation, so a later one is its own later word.
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

/// Digest of what all members should come to agree on. Suspicions pass, and those that are gone
/// are forgotten, so neither counts. The refutation does: a daemon that missed it would suspect
/// a healthy member of another region for good, since it never judges that member itself.
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
