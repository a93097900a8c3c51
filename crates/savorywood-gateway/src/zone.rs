//! Digest of a zone that one of its daemons sends to daemons of other zones.
//!
//! Sent by each daemon to each, state costs a daemon bytes and processor time that grow with the
//! number of daemons, and links between zones carry most of it. So daemons of a zone exchange
//! summaries, and every daemon of another zone learns of them from one of them.

use crate::{
    gossip::slot_rounds,
    message::{DaemonRole, PeerPhase, SlotUpdate, SlotUse, TeamUse, VersionTally},
};
use savorywood_protocol::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// A zone that was not reported for this long counts as silent; its daemons' own summaries count then.
const FRESH_TIME: Duration = Duration::from_millis(1_300);
/// Slots sent between two digests go before those of the digests for this long; large ones, which
/// are sent more rarely, for as many times.
const SLOTS_TIME: Duration = Duration::from_millis(300);
/// A second daemon that reports a zone is ignored while the first was received within this
/// time: each keeps its own account of what teams used, and accounts of two must not be mixed.
const SENDER_TIMEOUT: Duration = Duration::from_millis(700);

/// A daemon of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneMember {
    /// Where other daemons reach it.
    pub peer_address: SocketAddr,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// What it does.
    pub phase: PeerPhase,
    /// Its part in placing requests.
    pub role: DaemonRole,
}

/// A zone as one of its daemons sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDigest {
    /// The zone.
    pub zone: String,
    /// Digest of the host that reports.
    pub sender: u64,
    /// Its life; a later one is larger.
    pub incarnation: u64,
    /// Age of that life in milliseconds.
    pub uptime_ms: u64,
    /// Grows with each message of a life.
    pub sequence: u64,
    /// Daemons of the zone that place requests.
    pub members: Vec<ZoneMember>,
    /// Daemons of the zone that count for limits, silent ones included.
    pub daemons: u32,
    /// Requests of all of them at upstreams; none for daemons that place no requests.
    pub slots: Vec<SlotUse>,
    /// What teams used at all of them since the sender began to count.
    pub usage: Vec<TeamUse>,
    /// What they have seen of roll-outs.
    pub tallies: Vec<VersionTally>,
}

/// A zone and when it was reported.
#[derive(Debug, Clone)]
pub struct ZoneState {
    /// The newest message.
    pub digest: ZoneDigest,
    /// When that came.
    pub received_at: MonotonicTime,
    slots: Option<ZoneSlotUpdate>,
}

/// Slots of a zone as a member of its entry set sent them last.
#[derive(Debug, Clone)]
struct ZoneSlotUpdate {
    update: SlotUpdate,
    received_at: MonotonicTime,
}

/// What a digest is against those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DigestOutcome {
    /// Older than what is known, or of a second sender.
    Ignored,
    /// The sender goes on.
    SameSender,
    /// Another daemon of the zone reports now.
    NewSender {
        /// Digest of the host that reported before.
        before: Option<u64>,
    },
}

impl ZoneState {
    /// A zone's first digest.
    #[must_use]
    pub fn new(now: MonotonicTime, digest: ZoneDigest) -> Self {
        Self {
            digest,
            received_at: now,
            slots: None,
        }
    }

    /// Puts a newer digest in force.
    pub fn replace(&mut self, now: MonotonicTime, digest: ZoneDigest) {
        self.digest = digest;
        self.received_at = now;
        if !self.has_fresh_slots(now) {
            self.slots = None;
        }
    }

    /// Takes slots of the zone, unless newer ones are known or another member sends them.
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
            now.since(slots.received_at) < SLOTS_TIME.saturating_mul(rounds)
        })
    }

    /// Requests of the zone at upstreams.
    #[must_use]
    pub fn slots(&self) -> &[SlotUse] {
        let slots = self.slots.as_ref();
        slots.map_or(&self.digest.slots, |slots| &slots.update.slots)
    }

    /// It was reported lately.
    #[must_use]
    pub fn is_fresh(&self, now: MonotonicTime) -> bool {
        now.since(self.received_at) < FRESH_TIME
    }

    /// What a digest brings.
    #[must_use]
    pub fn compare(&self, now: MonotonicTime, digest: &ZoneDigest) -> DigestOutcome {
        let known = &self.digest;
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
