//! Who reads the store in a zone, and what the others take from it.
//!
//! Read by every daemon, the store is asked as often as there are daemons, and each change is sent
//! as often. So where zones exchange digests, the first daemon of a zone that can read the store
//! does so and attests to what the others hold; it hands on changed rows at once. Whoever sees no
//! such daemon reads by itself.

use crate::{label::HostLabel, message::PeerSummary, peer::name_digest, position::StorePosition};
use savorywood_protocol::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use strum::Display;

/// An attestation that was not renewed within this time ends; its daemon died, or is cut off.
const ATTESTATION_TIMEOUT: Duration = Duration::from_millis(900);
/// A proof older than this is not attested: its daemon can't reach the store itself.
const LONGEST_PROOF: Duration = Duration::from_millis(1_900);
/// Messages older than this are not echoed.
const ECHO_TIME: Duration = Duration::from_millis(900);
/// Failures of the store that lie longer ago than this are not reported.
const FAILURE_TIME: Duration = Duration::from_secs(4);

/// Tables whose contents all daemons hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SharedTable {
    /// What operators declare.
    Declared,
    /// Registrations of upstreams.
    Upstreams,
}

/// What a daemon says of a table in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableAttestation {
    /// Position of its last change.
    pub last_change: StorePosition,
    /// Age in milliseconds of the proof that nothing changed since.
    pub confirmation_age_ms: u32,
}

/// What a daemon that reads the store itself says of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreAttestation {
    /// What operators declare.
    pub declared: TableAttestation,
    /// Registrations of upstreams.
    pub upstreams: TableAttestation,
    /// Time in milliseconds since a call to the store failed, if that was lately.
    pub store_failure_age_ms: Option<u32>,
}

/// When a peer's last message was sent, by that peer's clock, and for how long it has been held here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEcho {
    /// Digest of the peer's name.
    pub peer: u64,
    /// Its clock when it sent the message.
    pub sent: MonotonicTime,
    /// Microseconds between the message's coming and the echo.
    pub held_micros: u32,
}

/// How a daemon learns of a table now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ReadPlan {
    /// It reads the store.
    Direct,
    /// It reads once what it lacks.
    CatchUp,
    /// Another daemon attests to what it holds.
    #[strum(serialize = "rest")]
    FollowAttestation,
    /// It waits until another daemon may attest to what it has just read.
    #[strum(serialize = "await")]
    AwaitReader,
}

/// What is known of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TablePosition {
    /// All changes up to this position are known.
    pub read_through: StorePosition,
    /// Position of the last change, as far as it is known.
    pub last_change: StorePosition,
}

#[derive(Debug, Clone, Copy, Default)]
struct ReadState {
    knowledge: TablePosition,
    proof_at: Option<MonotonicTime>,
}

#[derive(Debug, Clone, Copy)]
struct HeldSummary {
    sent: MonotonicTime,
    received_at: MonotonicTime,
}

#[derive(Debug, Clone)]
struct ReceivedAttestation {
    attestation: StoreAttestation,
    received_at: MonotonicTime,
}

/// Own reads, messages to be echoed, and attestations of others.
#[derive(Debug, Clone, Default)]
pub struct StoreReadTracker {
    declared: ReadState,
    upstreams: ReadState,
    failed_at: Option<MonotonicTime>,
    held: BTreeMap<u64, HeldSummary>,
    attestations: BTreeMap<HostLabel, ReceivedAttestation>,
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

impl StoreReadTracker {
    fn state(&self, table: SharedTable) -> &ReadState {
        match table {
            SharedTable::Declared => &self.declared,
            SharedTable::Upstreams => &self.upstreams,
        }
    }

    /// A table was read, or rows of it were handed on; only a read proves anything.
    pub fn record_read(
        &mut self,
        table: SharedTable,
        knowledge: TablePosition,
        proof_at: Option<MonotonicTime>,
    ) {
        let state = match table {
            SharedTable::Declared => &mut self.declared,
            SharedTable::Upstreams => &mut self.upstreams,
        };
        state.knowledge = knowledge;
        state.proof_at = state.proof_at.max(proof_at);
    }

    /// A call to the store failed.
    pub fn record_store_failure(&mut self, now: MonotonicTime) {
        self.failed_at = Some(now);
    }

    /// A neighbour's message came.
    pub fn record_summary(&mut self, now: MonotonicTime, summary: &PeerSummary) {
        let message = HeldSummary {
            sent: summary.sent_at,
            received_at: now,
        };
        self.held.insert(name_digest(&summary.host), message);
        let host = HostLabel::from(summary.host.as_str());
        match summary.attestation {
            Some(attestation) => {
                let received = ReceivedAttestation {
                    attestation,
                    received_at: now,
                };
                self.attestations.insert(host, received);
            }
            None => {
                self.attestations.remove(&host);
            }
        }
    }

    /// What this daemon attests to: it has read both tables itself lately.
    #[must_use]
    pub fn attestation(&self, now: MonotonicTime) -> Option<StoreAttestation> {
        let of = |state: &ReadState, longest: Duration| {
            let age = now.since(state.proof_at?);
            (age < longest).then(|| TableAttestation {
                last_change: state.knowledge.last_change,
                confirmation_age_ms: millis(age) + 1,
            })
        };
        let failed = self.failed_at.map(|at| now.since(at));
        Some(StoreAttestation {
            declared: of(&self.declared, LONGEST_PROOF)?,
            upstreams: of(&self.upstreams, LONGEST_PROOF * 2)?,
            store_failure_age_ms: failed.filter(|age| *age < FAILURE_TIME).map(millis),
        })
    }

    /// Echoes of what neighbours said lately.
    #[must_use]
    pub fn echoes(&self, now: MonotonicTime) -> Vec<PeerEcho> {
        let fresh = self.held.iter();
        let fresh = fresh.filter(|(_, summary)| now.since(summary.received_at) < ECHO_TIME);
        let echoes = fresh.map(|(peer, summary)| PeerEcho {
            peer: *peer,
            sent: summary.sent,
            held_micros: u32::try_from(now.since(summary.received_at).as_micros())
                .unwrap_or(u32::MAX),
        });
        echoes.collect()
    }

    /// Forgets messages and attestations that are too old to matter.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.held
            .retain(|_, summary| now.since(summary.received_at) < ECHO_TIME);
        self.attestations
            .retain(|_, received| now.since(received.received_at) < ATTESTATION_TIMEOUT);
    }

    /// Attestation of the first neighbour that goes before this daemon.
    fn followed(&self, now: MonotonicTime, own: &HostLabel) -> Option<&StoreAttestation> {
        let mut attestations = self.attestations.iter();
        let found = attestations
            .find(|(_, received)| now.since(received.received_at) < ATTESTATION_TIMEOUT);
        let (host, received) = found?;
        (host < own).then_some(&received.attestation)
    }

    /// How to learn of a table now.
    #[must_use]
    pub fn read_plan(&self, now: MonotonicTime, own: &HostLabel, table: SharedTable) -> ReadPlan {
        let Some(attestation) = self.followed(now, own) else {
            return ReadPlan::Direct;
        };
        let reported = match table {
            SharedTable::Declared => attestation.declared,
            SharedTable::Upstreams => attestation.upstreams,
        };
        if self.state(table).knowledge.read_through < reported.last_change {
            ReadPlan::CatchUp
        } else {
            ReadPlan::FollowAttestation
        }
    }

    /// Moment of this daemon's clock at which an attestation proves what this daemon holds of a table.
    ///
    /// The neighbour's clock means nothing here, and its message may have been on its way for long. But
    /// it echoes a message of this daemon: what it proved at a time after that message's coming was true
    /// at a time after the message's sending.
    #[must_use]
    pub fn confirmed_at(
        &self,
        own: u64,
        summary: &PeerSummary,
        table: SharedTable,
    ) -> Option<MonotonicTime> {
        let attestation = summary.attestation?;
        let reported = match table {
            SharedTable::Declared => attestation.declared,
            SharedTable::Upstreams => attestation.upstreams,
        };
        if self.state(table).knowledge.read_through < reported.last_change {
            return None;
        }
        let echo = summary.echoes.iter().find(|echo| echo.peer == own)?;
        let held = Duration::from_micros(u64::from(echo.held_micros));
        let age = Duration::from_millis(u64::from(reported.confirmation_age_ms));
        Some((echo.sent + held) - age)
    }
}
