//! Selection of the daemon that reads the store for its zone, and what the others take from it.
//!
//! If every daemon read the store, the load of the store would grow with the number of daemons,
//! both for reads and for changes. Where zones exchange digests, the first daemon of a zone that
//! can reach the store therefore reads it, attests that the copies of the others are current, and
//! forwards changed rows at once. A daemon that receives no such attestation reads the store
//! itself.

use crate::{label::HostLabel, message::PeerSummary, peer::name_digest, position::StorePosition};
use savorywood_protocol::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use strum::Display;

/// An attestation that was not renewed within this time expires: its daemon ended or is
/// unreachable.
const ATTESTATION_TIMEOUT: Duration = Duration::from_millis(900);
/// A copy confirmed longer ago than this is not attested: the daemon cannot reach the store itself.
const MAX_ATTESTED_AGE: Duration = Duration::from_millis(1_900);
/// Messages received longer ago than this are not echoed.
const ECHO_TTL: Duration = Duration::from_millis(900);
/// The attestation in a view expires after this time: its sender ended or is unreachable.
const VIEWED_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Failures of the store longer ago than this are not reported.
const FAILURE_REPORT_WINDOW: Duration = Duration::from_secs(4);

/// Table of the store of which all daemons hold a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SharedTable {
    /// Resources that operators declare.
    Declared,
    /// Registrations of upstreams.
    Upstreams,
}

/// Statement of one daemon about the state of a table in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableAttestation {
    /// Position of the last change of the table.
    pub last_change: StorePosition,
    /// Position of the store up to which that is known to be the last one.
    pub read_through: StorePosition,
    /// Milliseconds since the store confirmed that nothing changed after that position.
    pub confirmation_age_ms: u32,
}

/// Statement of a daemon that reads the store itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreAttestation {
    /// State of the declared resources.
    pub declared: TableAttestation,
    /// State of the registrations of upstreams.
    pub upstreams: TableAttestation,
    /// Milliseconds since a call to the store last failed; absent when none failed recently.
    pub store_failure_age_ms: Option<u32>,
}

impl TableAttestation {
    fn new(position: TablePosition, age: Duration) -> Self {
        Self {
            last_change: position.last_change,
            read_through: position.read_through,
            confirmation_age_ms: millis(age) + 1,
        }
    }
}

impl StoreAttestation {
    /// Returns the statement about one table.
    #[must_use]
    pub fn table(&self, table: SharedTable) -> TableAttestation {
        match table {
            SharedTable::Declared => self.declared,
            SharedTable::Upstreams => self.upstreams,
        }
    }
}

/// Echo of the last message of a peer. It lets the peer relate this daemon's message to its own
/// clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEcho {
    /// Digest of the peer's host name.
    pub peer: u64,
    /// Clock of the peer when it sent the message.
    pub sent: MonotonicTime,
    /// Microseconds between receiving the message and sending the echo.
    pub held_micros: u32,
}

/// How a daemon keeps its copy of a table current. The text form is part of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ReadPlan {
    /// Reads the store continuously.
    Direct,
    /// Reads the changes that are missing once.
    CatchUp,
    /// Relies on the attestation of another daemon.
    #[strum(serialize = "rest")]
    FollowAttestation,
    /// Waits until another daemon may attest to what was just read.
    #[strum(serialize = "await")]
    AwaitReader,
}

/// How far the copy of a table follows the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TablePosition {
    /// All changes up to this position have been applied.
    pub read_through: StorePosition,
    /// Position of the last change that was observed.
    pub last_change: StorePosition,
}

#[derive(Debug, Clone, Copy, Default)]
struct ReadState {
    position: TablePosition,
    confirmed_at: Option<MonotonicTime>,
    /// What another daemon last attested to.
    attested: Option<AttestedState>,
}

/// State of a table to which another daemon attested, and which the copy held here has reached.
#[derive(Debug, Clone, Copy)]
struct AttestedState {
    position: TablePosition,
    /// Time, by this daemon's clock, at which that was the state of the store.
    at: MonotonicTime,
}

#[derive(Debug, Clone, Copy)]
struct LastMessage {
    sent_at: MonotonicTime,
    received_at: MonotonicTime,
}

#[derive(Debug, Clone)]
struct ReceivedAttestation {
    attestation: StoreAttestation,
    received_at: MonotonicTime,
}

/// Own reads of the store, messages to be echoed, and attestations of neighbours.
#[derive(Debug, Clone, Default)]
pub struct StoreReadTracker {
    declared: ReadState,
    upstreams: ReadState,
    failed_at: Option<MonotonicTime>,
    last_messages: BTreeMap<u64, LastMessage>,
    attestations: BTreeMap<HostLabel, ReceivedAttestation>,
    /// Newest attestation in the view of a coordinator.
    viewed: Option<ReceivedAttestation>,
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

    fn state_mut(&mut self, table: SharedTable) -> &mut ReadState {
        match table {
            SharedTable::Declared => &mut self.declared,
            SharedTable::Upstreams => &mut self.upstreams,
        }
    }

    /// Records that a table was read, or that rows of it were forwarded by a neighbour; only a read
    /// has a `confirmed_at`.
    pub fn record_read(
        &mut self,
        table: SharedTable,
        position: TablePosition,
        confirmed_at: Option<MonotonicTime>,
    ) {
        let state = self.state_mut(table);
        state.position = position;
        state.confirmed_at = state.confirmed_at.max(confirmed_at);
    }

    /// Records that a call to the store failed.
    pub fn record_store_failure(&mut self, now: MonotonicTime) {
        self.failed_at = Some(now);
    }

    /// Records the message of a neighbour, to be echoed, and its attestation.
    pub fn record_summary(&mut self, now: MonotonicTime, summary: &PeerSummary) {
        let message = LastMessage {
            sent_at: summary.sent_at,
            received_at: now,
        };
        self.last_messages
            .insert(name_digest(&summary.host), message);
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

    /// Returns the attestation of this daemon; absent unless it has read both tables itself
    /// recently.
    #[must_use]
    pub fn attestation(&self, now: MonotonicTime) -> Option<StoreAttestation> {
        let attest = |state: &ReadState, max_age: Duration| {
            let age = now.since(state.confirmed_at?);
            (age < max_age).then(|| TableAttestation::new(state.position, age))
        };
        let failed = self.failed_at.map(|at| now.since(at));
        Some(StoreAttestation {
            declared: attest(&self.declared, MAX_ATTESTED_AGE)?,
            upstreams: attest(&self.upstreams, MAX_ATTESTED_AGE * 2)?,
            store_failure_age_ms: failed
                .filter(|age| *age < FAILURE_REPORT_WINDOW)
                .map(millis),
        })
    }

    /// Returns the attestation that this daemon passes on: its own, or else what another daemon
    /// attested to recently.
    #[must_use]
    pub fn relayed_attestation(&self, now: MonotonicTime) -> Option<StoreAttestation> {
        let relay = |state: &ReadState, max_age: Duration| {
            let attested = state.attested?;
            let age = now.since(attested.at);
            (age < max_age).then(|| TableAttestation::new(attested.position, age))
        };
        self.attestation(now).or_else(|| {
            Some(StoreAttestation {
                declared: relay(&self.declared, MAX_ATTESTED_AGE)?,
                upstreams: relay(&self.upstreams, MAX_ATTESTED_AGE * 2)?,
                store_failure_age_ms: None,
            })
        })
    }

    /// Records the attestation in the view of a coordinator. Returns the moment, by this daemon's
    /// clock, at which it confirms the copy of the declared resources held here.
    pub fn record_view(
        &mut self,
        now: MonotonicTime,
        attestation: StoreAttestation,
        echo: &PeerEcho,
    ) -> Option<MonotonicTime> {
        // After a complete read a daemon attests to a later position than others do for the same
        // rows, so the newest attestation only counts until it expires.
        let known = self.recent_view(now);
        let is_older = known.is_some_and(|known| {
            known.attestation.declared.last_change > attestation.declared.last_change
                || known.attestation.upstreams.last_change > attestation.upstreams.last_change
        });
        if !is_older {
            self.viewed = Some(ReceivedAttestation {
                attestation,
                received_at: now,
            });
        }
        self.record_attested(&attestation, echo)
    }

    /// Records what an attestation confirms of the copies held here. Returns the moment, by this
    /// daemon's clock, at which it confirms the copy of the declared resources.
    fn record_attested(
        &mut self,
        attestation: &StoreAttestation,
        echo: &PeerEcho,
    ) -> Option<MonotonicTime> {
        for table in [SharedTable::Declared, SharedTable::Upstreams] {
            let Some(at) = self.confirmation(attestation, echo, table) else {
                continue;
            };
            let reported = attestation.table(table);
            let state = self.state_mut(table);
            if state.attested.is_none_or(|known| known.at < at) {
                let position = TablePosition {
                    read_through: reported.read_through,
                    last_change: reported.last_change,
                };
                state.attested = Some(AttestedState { position, at });
            }
        }
        self.confirmation(attestation, echo, SharedTable::Declared)
    }

    /// Returns the position up to which the copy of a table is complete, as another daemon attests;
    /// absent when that is no later than known here.
    ///
    /// The change feed reaches back only so far. A daemon that kept the position of the last change
    /// could not use the feed after some time without any, and would read the whole table.
    #[must_use]
    pub fn attested_read_through(&self, table: SharedTable) -> Option<StorePosition> {
        let state = self.state(table);
        let attested = state.attested?.position;
        let own = state.position.read_through;
        let is_complete = attested.last_change <= own;
        (is_complete && own < attested.read_through).then_some(attested.read_through)
    }

    /// Returns whether a coordinator has attested to the tables in a recent view.
    #[must_use]
    pub fn is_attested_in_view(&self, now: MonotonicTime) -> bool {
        self.recent_view(now).is_some()
    }

    /// Returns the newest attestation in the view of a coordinator, unless it has expired.
    fn recent_view(&self, now: MonotonicTime) -> Option<&ReceivedAttestation> {
        let viewed = self.viewed.as_ref();
        viewed.filter(|known| now.since(known.received_at) < VIEWED_TIMEOUT)
    }

    /// Returns how a daemon that follows a view keeps its copy of a table current.
    #[must_use]
    pub fn follower_plan(&self, now: MonotonicTime, table: SharedTable) -> ReadPlan {
        match self.recent_view(now) {
            Some(known) => self.plan_for(&known.attestation, table),
            None => ReadPlan::Direct,
        }
    }

    fn plan_for(&self, attestation: &StoreAttestation, table: SharedTable) -> ReadPlan {
        let reported = attestation.table(table);
        if self.state(table).position.read_through < reported.last_change {
            ReadPlan::CatchUp
        } else {
            ReadPlan::FollowAttestation
        }
    }

    /// Returns the echoes of recent messages of neighbours.
    #[must_use]
    pub fn echoes(&self, now: MonotonicTime) -> Vec<PeerEcho> {
        let fresh = self.last_messages.iter();
        let fresh = fresh.filter(|(_, summary)| now.since(summary.received_at) < ECHO_TTL);
        let echoes = fresh.map(|(peer, summary)| PeerEcho {
            peer: *peer,
            sent: summary.sent_at,
            held_micros: u32::try_from(now.since(summary.received_at).as_micros())
                .unwrap_or(u32::MAX),
        });
        echoes.collect()
    }

    /// Removes expired messages and attestations.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.last_messages
            .retain(|_, summary| now.since(summary.received_at) < ECHO_TTL);
        self.attestations
            .retain(|_, received| now.since(received.received_at) < ATTESTATION_TIMEOUT);
    }

    /// Returns the attestation of the first neighbour by host name, if that precedes this daemon.
    fn preferred_attestation(
        &self,
        now: MonotonicTime,
        own: &HostLabel,
    ) -> Option<&StoreAttestation> {
        let mut attestations = self.attestations.iter();
        let found = attestations
            .find(|(_, received)| now.since(received.received_at) < ATTESTATION_TIMEOUT);
        let (host, received) = found?;
        (host < own).then_some(&received.attestation)
    }

    /// Returns how to keep the copy of a table current.
    #[must_use]
    pub fn read_plan(&self, now: MonotonicTime, own: &HostLabel, table: SharedTable) -> ReadPlan {
        match self.preferred_attestation(now, own) {
            Some(attestation) => self.plan_for(attestation, table),
            None => ReadPlan::Direct,
        }
    }

    /// Records what the attestation of a neighbour confirms. Returns the moment, by this daemon's
    /// clock, at which it confirms the copy of the declared resources held here.
    ///
    /// The neighbour's clock cannot be compared with this one, and its message may have been
    /// delayed. It echoes a message of this daemon, however: what the neighbour confirmed at some
    /// time after receiving that message was true at least that long after the message was sent.
    pub fn record_confirmation(
        &mut self,
        own: u64,
        summary: &PeerSummary,
    ) -> Option<MonotonicTime> {
        let attestation = summary.attestation?;
        let echo = summary.echoes.iter().find(|echo| echo.peer == own)?;
        self.record_attested(&attestation, echo)
    }

    fn confirmation(
        &self,
        attestation: &StoreAttestation,
        echo: &PeerEcho,
        table: SharedTable,
    ) -> Option<MonotonicTime> {
        let reported = attestation.table(table);
        if self.state(table).position.read_through < reported.last_change {
            return None;
        }
        let held_for = Duration::from_micros(u64::from(echo.held_micros));
        let age = Duration::from_millis(u64::from(reported.confirmation_age_ms));
        Some((echo.sent + held_for) - age)
    }
}
