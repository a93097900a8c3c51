//! How the daemons of a large zone learn of each other, through a few of them.
//!
//! In a small zone every daemon sends its summary to every other one. In a large zone that would
//! cost each host messages in proportion to the zone, most of them from hosts that serve nobody, or
//! intervals so long that a lost host is noticed late. There a daemon reports to a fixed number of
//! coordinators, the first members of the entry set. Each replies with its view of the zone: the
//! entry set, the hosts that follow in rank, other zones, and an attestation of the store's state.
//! What a host outside the entry set sends and receives is thus independent of the number of hosts.

use crate::{
    message::PeerPhase,
    store_reads::{PeerEcho, StoreAttestation},
    zone::ZoneMember,
};
use savorywood_protocol::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};

/// Daemons of a zone to which each daemon reports.
pub const COORDINATORS: usize = 3;
/// Hosts next in rank after the entry set that a view names. They are reported to when all members
/// are silent.
pub const NEXT_SUCCESSORS: usize = 3;
/// Further hosts that a view names for the same purpose, spread over all ranks.
pub const SPREAD_SUCCESSORS: usize = 5;
/// A view computed longer ago than this is not used. Until then a change of the coordinators, and
/// the loss of some of them, must have led to a newer one.
const VIEW_TTL: Duration = Duration::from_millis(1_300);
/// Views of other coordinators are adopted when the one followed so far was silent for this long.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(700);
/// A daemon that has not replied for this long is backed up by the next one in rank.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// A daemon that has not replied for this long receives no more reports.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a silent daemon is tried again.
const RETRY_INTERVAL: Duration = Duration::from_secs(4);
/// Time for which a daemon must be listed as a coordinator before it computes the entry set: by
/// then all daemons of the zone have reported to it.
const TAKEOVER_DELAY: Duration = Duration::from_millis(700);

/// Member of an entry set, as listed in a view of its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ViewMember {
    /// Digest of the host name.
    pub host: u64,
    /// Address at which other daemons reach the daemon.
    pub peer_address: SocketAddr,
    /// Address at which callers reach the daemon.
    pub caller_address: SocketAddr,
    /// Readiness of the daemon.
    pub phase: PeerPhase,
    /// The daemon can't reach upstreams and relays no requests.
    pub partitioned: bool,
}

/// Another zone, as listed in a view.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ViewZone {
    /// Name of the availability zone.
    pub zone: String,
    /// Daemons of the zone that share limits, including those that are not live.
    pub daemons: u32,
    /// Daemons of the zone that dispatch requests.
    pub members: Vec<ZoneMember>,
}

/// Content of a view. It is sent only to daemons that do not hold it yet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ViewContent {
    /// Entry set of the zone, highest rank first. The first [`COORDINATORS`] are its coordinators.
    pub members: Vec<ViewMember>,
    /// Hosts that are reported to when all members are silent.
    pub successors: Vec<SocketAddr>,
    /// Daemons of the zone.
    pub daemons: u32,
    /// Other zones whose state is known.
    pub zones: Vec<ViewZone>,
}

impl ViewContent {
    /// Returns a number by which equal contents are recognised.
    #[must_use]
    pub fn revision(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }

    /// Returns the rank of a daemon among the coordinators.
    #[must_use]
    pub fn coordinator_rank(&self, host: u64) -> Option<usize> {
        let mut coordinators = self.members.iter().take(COORDINATORS);
        coordinators.position(|member| member.host == host)
    }
}

/// View of a zone, in reply to the summary of one of its daemons, or sent to all of them when a
/// member was lost. Encoded with postcard: the order
/// of fields is part of the format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneView {
    /// Digest of the sender's host name.
    pub sender: u64,
    /// Address at which other daemons reach the sender.
    pub sender_address: SocketAddr,
    /// Sequence number; grows with each message of the sender's incarnation.
    pub sequence: u64,
    /// Echo of the summary that is replied to; absent when the view is sent unasked.
    pub echo: Option<PeerEcho>,
    /// Attestation of the store's state; absent when the sender has no recent one.
    pub attestation: Option<StoreAttestation>,
    /// Whether requests are in quarantine; absent when the sender has not read the store's list.
    pub has_quarantined: Option<bool>,
    /// Milliseconds since a coordinator computed the content.
    pub age_ms: u32,
    /// Live daemons that the coordinator has received summaries of, itself included.
    pub heard: u32,
    /// Revision of the content.
    pub revision: u64,
    /// The content; absent when the receiver reported that it holds this revision.
    pub content: Option<ViewContent>,
}

/// Daemon whose view is followed.
#[derive(Debug, Clone, Copy)]
struct ViewSource {
    host: u64,
    address: SocketAddr,
    replied_at: MonotonicTime,
}

/// View that a daemon follows, and the replies of the daemons that it reports to.
#[derive(Debug, Clone, Default)]
pub struct ZoneFollower {
    content: Option<ViewContent>,
    revision: u64,
    heard: u32,
    /// Time at which a coordinator computed the content last received.
    computed_at: MonotonicTime,
    /// Daemon whose view is followed.
    source: Option<ViewSource>,
    /// Time of the first report to a daemon that it has not replied to yet.
    unanswered: BTreeMap<SocketAddr, MonotonicTime>,
    /// Time since which the view lists this daemon as a coordinator.
    listed_since: Option<MonotonicTime>,
}

impl ZoneFollower {
    /// Returns the view that is followed; `None` when there is no recent one.
    #[must_use]
    pub fn content(&self, now: MonotonicTime) -> Option<&ViewContent> {
        let is_fresh = now.since(self.computed_at) < VIEW_TTL;
        self.content.as_ref().filter(|_| is_fresh)
    }

    /// Returns the view that was last followed, recent or not.
    #[must_use]
    pub fn last_content(&self) -> Option<&ViewContent> {
        self.content.as_ref()
    }

    /// Returns the revision of the content held, to be reported; 0 when there is none.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the time since the content was computed.
    #[must_use]
    pub fn age(&self, now: MonotonicTime) -> Duration {
        now.since(self.computed_at)
    }

    /// Returns the number of live daemons on which the content is based.
    #[must_use]
    pub fn heard(&self) -> u32 {
        self.heard
    }

    /// Returns whether the view has listed this daemon as a coordinator for long enough to take
    /// over.
    #[must_use]
    pub fn takes_over(&self, now: MonotonicTime) -> bool {
        let listed = self.listed_since;
        listed.is_some_and(|since| now.since(since) >= TAKEOVER_DELAY)
    }

    /// Records that a daemon replied to a report.
    pub fn record_reply(&mut self, sender: SocketAddr) {
        self.unanswered.remove(&sender);
    }

    /// Adopts a view unless an equally recent one of a preferred coordinator is followed. Returns
    /// whether it was adopted.
    pub fn adopt(&mut self, now: MonotonicTime, own: u64, view: &ZoneView) -> bool {
        let age = Duration::from_millis(u64::from(view.age_ms));
        let known = view.content.as_ref().or(self.content.as_ref());
        let is_held = view.content.is_some() || view.revision == self.revision;
        let Some(content) = known.filter(|_| is_held && age < VIEW_TTL) else {
            return false;
        };
        if !self.prefers(now, view, content) {
            return false;
        }
        if let Some(content) = &view.content {
            self.content = Some(content.clone());
        }
        self.revision = view.revision;
        self.heard = view.heard;
        self.computed_at = now - age;
        self.source = Some(ViewSource {
            host: view.sender,
            address: view.sender_address,
            replied_at: now,
        });
        let content = self.content.as_ref();
        let is_listed = content.is_some_and(|content| content.coordinator_rank(own).is_some());
        self.listed_since = is_listed.then(|| self.listed_since.unwrap_or(now));
        true
    }

    /// Returns whether a received view is to be followed rather than the one held.
    fn prefers(&self, now: MonotonicTime, view: &ZoneView, content: &ViewContent) -> bool {
        let Some(source) = self.source else {
            return true;
        };
        let is_silent = now.since(source.replied_at) >= SOURCE_TIMEOUT;
        if source.host == view.sender || is_silent || self.content(now).is_none() {
            return true;
        }
        // A coordinator that has not taken over yet repeats the view of another one.
        let is_computed = view.age_ms == 0;
        let rank = |host| content.coordinator_rank(host).unwrap_or(usize::MAX);
        is_computed && rank(view.sender) < rank(source.host)
    }

    /// Returns the daemons to report to: the first in rank that are not silent, and the one whose
    /// view is followed.
    #[must_use]
    pub fn report_targets(&self, now: MonotonicTime, own: SocketAddr) -> Vec<SocketAddr> {
        let Some(content) = &self.content else {
            return Vec::new();
        };
        let members = content.members.iter().map(|member| member.peer_address);
        let ranked = members.chain(content.successors.iter().copied());
        let mut targets: Vec<SocketAddr> = Vec::new();
        let mut replying = 0;
        for address in ranked.filter(|address| *address != own) {
            let silence = self.silence(now, address);
            if silence < SILENCE_TIMEOUT {
                targets.push(address);
            }
            replying += usize::from(silence < REPLY_TIMEOUT);
            if replying >= COORDINATORS {
                break;
            }
        }
        let source = self.source.map(|source| source.address);
        targets.extend(source.filter(|address| !targets.contains(address)));
        targets
    }

    fn silence(&self, now: MonotonicTime, address: SocketAddr) -> Duration {
        let reported_at = self.unanswered.get(&address);
        reported_at.map_or(Duration::ZERO, |at| now.since(*at))
    }

    /// Records the reports that are sent, and forgets silent daemons that are due to be tried
    /// again.
    pub fn record_reports(&mut self, now: MonotonicTime, targets: &[SocketAddr]) {
        self.unanswered
            .retain(|_, reported_at| now.since(*reported_at) < RETRY_INTERVAL);
        for target in targets {
            self.unanswered.entry(*target).or_insert(now);
        }
    }

    /// Stops following, as this daemon computes the entry set itself.
    pub fn stop(&mut self) {
        self.source = None;
        self.listed_since = None;
    }
}
