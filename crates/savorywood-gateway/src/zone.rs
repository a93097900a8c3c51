//! What one daemon of a zone tells daemons of other zones about all of its zone.
//!
//! Told by each daemon to each, news costs a daemon bytes and processor time that grow with the
//! number of daemons, and links between zones carry most of it. So daemons of a zone tell each
//! other, and every daemon of another zone hears of them from one of them.

use crate::peer::{PeerPhase, SeatUse, TeamUse, VersionTally};
use savorywood_protocol::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// A zone that was not told of for this long counts as unheard; its daemons' own word counts then.
const FRESH_TIME: Duration = Duration::from_millis(1_300);
/// A second daemon that tells of a zone is not listened to while the first was heard within this
/// time: each keeps its own account of what teams used, and accounts of two must not be mixed.
const TELLER_TIME: Duration = Duration::from_millis(700);

/// A daemon of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneMember {
    /// Where other daemons reach it.
    pub peer_address: SocketAddr,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// What it does.
    pub phase: PeerPhase,
}

/// A zone as one of its daemons sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDigest {
    /// The zone.
    pub zone: String,
    /// Digest of the host that tells.
    pub teller: u64,
    /// Its life; a later one is larger.
    pub incarnation: u64,
    /// Age of that life in milliseconds.
    pub age_ms: u64,
    /// Grows with each word of a life.
    pub sequence: u64,
    /// Daemons of the zone that were heard lately, the teller included.
    pub members: Vec<ZoneMember>,
    /// Daemons of the zone that count for limits, silent ones included.
    pub daemons: u32,
    /// Requests of all of them at upstreams.
    pub seats: Vec<SeatUse>,
    /// What teams used at all of them since the teller began to count.
    pub usage: Vec<TeamUse>,
    /// What they have seen of roll-outs.
    pub tallies: Vec<VersionTally>,
}

/// A zone and when it was told of.
#[derive(Debug, Clone)]
pub struct KnownZone {
    /// The newest word.
    pub digest: ZoneDigest,
    /// When that came.
    pub heard_at: MonotonicTime,
}

/// What a digest is against those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneNews {
    /// Older than what is known, or of a second teller.
    Ignored,
    /// The teller goes on.
    SameTeller,
    /// Another daemon of the zone tells now.
    NewTeller {
        /// Digest of the host that told before.
        before: Option<u64>,
    },
}

impl KnownZone {
    /// It was told of lately.
    #[must_use]
    pub fn is_fresh(&self, now: MonotonicTime) -> bool {
        now.since(self.heard_at) < FRESH_TIME
    }

    /// What a digest brings.
    #[must_use]
    pub fn compare(&self, now: MonotonicTime, digest: &ZoneDigest) -> ZoneNews {
        let known = &self.digest;
        if known.teller != digest.teller {
            return if now.since(self.heard_at) < TELLER_TIME {
                ZoneNews::Ignored
            } else {
                ZoneNews::NewTeller {
                    before: Some(known.teller),
                }
            };
        }
        let is_old = (known.incarnation, known.sequence) >= (digest.incarnation, digest.sequence);
        if is_old {
            ZoneNews::Ignored
        } else {
            ZoneNews::SameTeller
        }
    }
}
