//! Digest of a zone that one of its daemons sends to daemons of other zones.
//!
//! If each daemon sent its state to every other one, the bytes and processor time per daemon would
//! grow with the number of daemons, and most bytes would cross the links between zones. Daemons of
//! a zone therefore exchange summaries, and each daemon of another zone receives a digest from one
//! of them.

use crate::{
    gossip::slot_rounds,
    message::{DaemonRole, PeerPhase, SlotUpdate, SlotUse, TeamUse, VersionTally},
};
use savorywood_protocol::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// A digest older than this is stale; the summaries of the zone's daemons are used in its place.
const DIGEST_TTL: Duration = Duration::from_millis(1_300);
/// A slot update takes precedence over the slots of later digests for this long. Large updates are
/// sent less often, and their time grows by the same factor.
const SLOT_UPDATE_TTL: Duration = Duration::from_millis(300);
/// Digests of a second sender are ignored while the first was received within this time: each
/// sender accounts for the usage of teams on its own, and two accounts must not be mixed.
const SENDER_TIMEOUT: Duration = Duration::from_millis(700);

/// A daemon of a zone, as listed in the digest of the zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ZoneMember {
    /// Address at which other daemons reach the daemon.
    pub peer_address: SocketAddr,
    /// Address at which callers reach the daemon.
    pub caller_address: SocketAddr,
    /// Readiness of the daemon.
    pub phase: PeerPhase,
    /// Role of the daemon in dispatching requests.
    pub role: DaemonRole,
    /// The daemon can't reach upstreams and relays no requests.
    pub partitioned: bool,
}

/// State of a zone as one of its daemons reports it. Encoded with postcard: the order of fields is
/// part of the format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDigest {
    /// Name of the availability zone.
    pub zone: String,
    /// Digest of the sender's host name.
    pub sender: u64,
    /// Incarnation of the sender; a later one is larger.
    pub incarnation: u64,
    /// Uptime of the incarnation, in milliseconds.
    pub uptime_ms: u64,
    /// Sequence number; grows with each message of an incarnation.
    pub sequence: u64,
    /// Daemons of the zone that dispatch requests.
    pub members: Vec<ZoneMember>,
    /// Daemons of the zone that share limits, including those that are not live.
    pub daemons: u32,
    /// Slots in use by all daemons of the zone; empty when the receiver dispatches no requests.
    pub slots: Vec<SlotUse>,
    /// Usage of teams at all daemons of the zone since the sender began to count.
    pub usage: Vec<TeamUse>,
    /// Results that the zone's daemons have observed for roll-outs.
    pub tallies: Vec<VersionTally>,
}

/// Last state received from another zone.
#[derive(Debug, Clone)]
pub struct ZoneState {
    /// Newest digest.
    pub digest: ZoneDigest,
    /// Time at which the digest was received.
    pub received_at: MonotonicTime,
    /// The state was listed by a coordinator of the own zone, without slots and usage.
    pub is_listed: bool,
    slots: Option<ZoneSlotUpdate>,
}

/// Slots of a zone as last sent by a member of its entry set.
#[derive(Debug, Clone)]
struct ZoneSlotUpdate {
    update: SlotUpdate,
    received_at: MonotonicTime,
}

/// Relation of a received digest to the one held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DigestOutcome {
    /// Older than the one held, or from a second sender while the first still reports.
    Ignored,
    /// Newer, from the same sender.
    SameSender,
    /// Newer, from another daemon of the zone.
    NewSender {
        /// Digest of the previous sender's host name; absent for the first digest of a zone.
        before: Option<u64>,
    },
}

impl ZoneState {
    /// Creates the state of a zone from its first digest.
    #[must_use]
    pub fn new(now: MonotonicTime, digest: ZoneDigest) -> Self {
        Self {
            digest,
            received_at: now,
            is_listed: false,
            slots: None,
        }
    }

    /// Creates the state of a zone that a coordinator of the own zone lists.
    #[must_use]
    pub fn listed(now: MonotonicTime, digest: ZoneDigest) -> Self {
        Self {
            is_listed: true,
            ..Self::new(now, digest)
        }
    }

    /// Replaces the state by one that a coordinator of the own zone lists.
    pub fn replace_listed(&mut self, now: MonotonicTime, digest: ZoneDigest) {
        self.replace(now, digest);
        self.is_listed = true;
    }

    /// Replaces the digest, and drops a slot update that has expired.
    pub fn replace(&mut self, now: MonotonicTime, digest: ZoneDigest) {
        self.digest = digest;
        self.received_at = now;
        self.is_listed = false;
        if !self.has_fresh_slots(now) {
            self.slots = None;
        }
    }

    /// Applies a slot update. Returns false when a newer one is held, or when another member's
    /// update has not expired.
    pub fn apply_slot_update(&mut self, now: MonotonicTime, update: SlotUpdate) -> bool {
        let fresh = self.has_fresh_slots(now);
        let known = self.slots.as_ref().map(|slots| &slots.update);
        let is_newer = known.is_none_or(|known| {
            if known.sender == update.sender {
                (known.incarnation, known.sequence) < (update.incarnation, update.sequence)
            } else {
                !fresh
            }
        });
        if is_newer {
            self.slots = Some(ZoneSlotUpdate {
                update,
                received_at: now,
            });
        }
        is_newer
    }

    fn has_fresh_slots(&self, now: MonotonicTime) -> bool {
        let slots = self.slots.as_ref();
        slots.is_some_and(|slots| {
            let rounds = slot_rounds(slots.update.slots.len());
            now.since(slots.received_at) < SLOT_UPDATE_TTL.saturating_mul(rounds)
        })
    }

    /// Returns the slots in use by the zone, from the newest slot update or else from the digest.
    #[must_use]
    pub fn slots(&self) -> &[SlotUse] {
        let slots = self.slots.as_ref();
        slots.map_or(&self.digest.slots, |slots| &slots.update.slots)
    }

    /// Returns whether the digest is recent enough to be used.
    #[must_use]
    pub fn is_fresh(&self, now: MonotonicTime) -> bool {
        now.since(self.received_at) < DIGEST_TTL
    }

    /// Classifies a received digest relative to the one held.
    #[must_use]
    pub fn classify(&self, now: MonotonicTime, digest: &ZoneDigest) -> DigestOutcome {
        let known = &self.digest;
        if self.is_listed {
            return DigestOutcome::NewSender { before: None };
        }
        if known.sender != digest.sender {
            return if now.since(self.received_at) < SENDER_TIMEOUT {
                DigestOutcome::Ignored
            } else {
                DigestOutcome::NewSender {
                    before: Some(known.sender),
                }
            };
        }
        let is_old = (known.incarnation, known.sequence) >= (digest.incarnation, digest.sequence);
        if is_old {
            DigestOutcome::Ignored
        } else {
            DigestOutcome::SameSender
        }
    }
}
