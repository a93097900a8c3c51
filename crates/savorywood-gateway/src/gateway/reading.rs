//! Who reads the store, how often, and from whom this daemon learns of a table.

use super::Gateway;
use crate::store_reads::{ReadPlan, SharedTable};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Part of the bound for which one call may wait for changes of what is declared.
const WAIT_PART: f64 = 0.28;
/// The same at a daemon that attests to others.
const READER_WAIT_PART: f64 = 0.14;
/// Part of the bound for which a daemon with a new proof waits for its zone's reader.
const AWAIT_PART: f64 = 0.2;
/// Daemons of a zone that ask the store first.
const FIRST_READERS: usize = 2;
/// Part of the bound after which a daemon no longer relies on attestations.
const STALE_PART: f64 = 0.4;

impl Gateway {
    /// Time for which one call may wait for changes of what is declared: two that fail in a row
    /// must not leave the daemon unready. One that attests to others asks more often, as its message
    /// takes time to reach them.
    #[must_use]
    pub fn config_poll_timeout(&self) -> Duration {
        let part = if self.contacts.uses_zone_digests() {
            READER_WAIT_PART
        } else {
            WAIT_PART
        };
        self.options.bounds.max_confirmation_age().mul_f64(part)
    }

    /// Daemons that read the store themselves: one a zone where zones exchange digests.
    #[must_use]
    pub fn store_reader_count(&self, now: MonotonicTime) -> u32 {
        let readers = if self.contacts.uses_zone_digests() {
            self.peers.zone_digests(now).count()
        } else {
            self.peers.peer_count(now)
        };
        u32::try_from(readers + 1).unwrap_or(u32::MAX)
    }

    /// This daemon is one of those of its zone that ask the store first while nobody's proof is
    /// known. The others ask more rarely: after an outage they have the proof by gossip before
    /// they could all ask, and hundreds of them would keep a store busy that is just coming back.
    #[must_use]
    pub fn is_initial_reader(&self, now: MonotonicTime) -> bool {
        let own = self.options.host.as_str();
        let neighbours = self.peers.neighbours(now);
        let before = neighbours.filter(|peer| peer.summary.host.as_str() < own);
        !self.contacts.uses_zone_digests() || before.count() < FIRST_READERS
    }

    /// How to learn of a table now.
    #[must_use]
    pub fn read_plan(&self, now: MonotonicTime, table: SharedTable) -> ReadPlan {
        // A neighbour whose messages arrive may not get those of this daemon, and then echoes nothing.
        let stale = self
            .options
            .bounds
            .max_confirmation_age()
            .mul_f64(STALE_PART);
        let confirmed = self.proof_age(now) < stale;
        let relies = self.contacts.uses_zone_digests() && !self.stopping && confirmed;
        let plan = if relies {
            self.reads.read_plan(now, &self.options.host, table)
        } else {
            ReadPlan::Direct
        };
        if plan == ReadPlan::Direct && self.awaits_reader(now) {
            ReadPlan::AwaitReader
        } else {
            plan
        }
    }

    /// What this daemon has just read is fresh enough to wait for the daemon that reads the store
    /// for its zone.
    fn awaits_reader(&self, now: MonotonicTime) -> bool {
        let fresh = self
            .options
            .bounds
            .max_confirmation_age()
            .mul_f64(AWAIT_PART);
        let is_reader = self.knows_own_zone(now) && self.is_initial_reader(now);
        let may_follow = !self.contacts_read || (self.contacts.uses_zone_digests() && !is_reader);
        !self.stopping && may_follow && self.proof_age(now) < fresh
    }
}
