//! Whom a daemon tells, and of what.

use crate::{
    name::ZoneLabel,
    peer::{PeerSummary, PeerTable, SeatNews, name_digest},
    zone::ZoneDigest,
};
use savorywood_protocol::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Up to so many daemons all tell each other; with more, zones tell each other.
pub const MOST_DIRECT: u32 = 13;
/// A contact that was neither heard nor told of for this long is forgotten.
const FORGET_TIME: Duration = Duration::from_secs(20);
/// Time between two words to the same daemon.
const TELL_TIME: Duration = Duration::from_millis(250);
/// Time between two words on seats alone.
const SEAT_TELL_TIME: Duration = Duration::from_millis(80);
/// Daemons of the own zone that are told so often; with more, each is told more rarely, so that
/// the cost of a daemon does not grow with its zone.
const OFTEN_TOLD: usize = 16;

/// What travels between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A daemon on itself.
    Summary(PeerSummary),
    /// A daemon on its zone.
    Digest(ZoneDigest),
    /// Newer seats of a daemon or of its zone.
    Seats(SeatNews),
}

/// A daemon that may be reached at an address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerContact {
    /// Where.
    pub address: SocketAddr,
    /// Its zone, where it is known.
    pub zone: Option<ZoneLabel>,
}

/// Words to be sent now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TalkPlan {
    /// Who gets a summary of this daemon.
    pub summary_to: Vec<SocketAddr>,
    /// Who gets a digest of this daemon's zone.
    pub digest_to: Vec<SocketAddr>,
}

#[derive(Debug, Clone)]
struct KnownContact {
    number: u64,
    zone: Option<ZoneLabel>,
    seen_at: MonotonicTime,
}

/// Addresses of other daemons.
#[derive(Debug, Clone)]
pub struct ContactBook {
    own_address: SocketAddr,
    own_number: u64,
    own_zone: ZoneLabel,
    contacts: BTreeMap<SocketAddr, KnownContact>,
}

/// A number for an address, the same at all daemons.
fn address_number(address: SocketAddr) -> u64 {
    name_digest(&address.to_string())
}

/// Evenly spread weight of a pair of addresses, the same at all daemons (SplitMix64's mixing).
fn pair_weight(teller: u64, hearer: u64) -> u64 {
    let mut mixed = teller ^ hearer.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

impl ContactBook {
    /// A book without contacts.
    #[must_use]
    pub fn new(own_address: SocketAddr, own_zone: ZoneLabel) -> Self {
        Self {
            own_address,
            own_number: address_number(own_address),
            own_zone,
            contacts: BTreeMap::new(),
        }
    }

    /// A daemon is or may be at an address.
    pub fn learn(&mut self, now: MonotonicTime, contact: PeerContact) {
        if contact.address == self.own_address {
            return;
        }
        let known = self.contacts.entry(contact.address);
        let known = known.or_insert(KnownContact {
            number: address_number(contact.address),
            zone: None,
            seen_at: now,
        });
        known.seen_at = now;
        if contact.zone.is_some() {
            known.zone = contact.zone;
        }
    }

    /// Daemons that there may be, this one included.
    #[must_use]
    pub fn daemons(&self) -> u32 {
        u32::try_from(self.contacts.len() + 1).unwrap_or(u32::MAX)
    }

    /// There are so many daemons that zones tell each other.
    #[must_use]
    pub fn is_zoned(&self) -> bool {
        self.daemons() > MOST_DIRECT
    }

    /// Time until the next words.
    #[must_use]
    pub fn pause(&self) -> Duration {
        TELL_TIME.saturating_mul(self.rounds())
    }

    /// Time until the next words on seats alone, while these are scarce.
    #[must_use]
    pub fn seat_pause(&self) -> Duration {
        SEAT_TELL_TIME.saturating_mul(self.rounds())
    }

    fn rounds(&self) -> u32 {
        let near = self.contacts.values().filter(|known| self.is_near(known));
        let rounds = near.count().div_ceil(OFTEN_TOLD).max(1);
        u32::try_from(rounds).unwrap_or(u32::MAX)
    }

    fn is_near(&self, contact: &KnownContact) -> bool {
        contact
            .zone
            .as_ref()
            .is_none_or(|zone| *zone == self.own_zone)
    }

    /// Whom to tell now.
    pub fn plan(&mut self, now: MonotonicTime, peers: &PeerTable) -> TalkPlan {
        self.contacts
            .retain(|_, known| now.since(known.seen_at) < FORGET_TIME);
        let mut plan = TalkPlan::default();
        if !self.is_zoned() {
            plan.summary_to = self.contacts.keys().copied().collect();
            return plan;
        }
        let neighbours = peers.neighbours(now);
        let tellers: Vec<u64> = neighbours
            .map(|peer| address_number(peer.summary.peer_address))
            .collect();
        for (address, contact) in &self.contacts {
            if self.is_near(contact) {
                plan.summary_to.push(*address);
            } else if self.tells(contact.number, &tellers) {
                plan.digest_to.push(*address);
            }
        }
        plan
    }

    /// Each daemon of another zone hears of this zone from one of its daemons, chosen alike by
    /// all of them, so that the work is spread evenly.
    fn tells(&self, hearer: u64, tellers: &[u64]) -> bool {
        let own = pair_weight(self.own_number, hearer);
        let mut others = tellers.iter();
        others.all(|teller| pair_weight(*teller, hearer) < own)
    }
}
