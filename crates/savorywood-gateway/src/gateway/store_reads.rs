//! Selection of the daemons that read the store, and of how this daemon keeps its tables current.

use super::Gateway;
use crate::{
    position::StorePosition,
    store_reads::{ReadPlan, SharedTable},
};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Fraction of the maximum confirmation age for which a call may wait for changes of the declared
/// resources.
const POLL_TIMEOUT_FRACTION: f64 = 0.28;
/// The same at a daemon that attests to others.
const READER_POLL_TIMEOUT_FRACTION: f64 = 0.14;
/// Fraction of the maximum confirmation age for which a daemon with a new confirmation waits for
/// the daemon that reads the store for its zone.
const AWAIT_READER_FRACTION: f64 = 0.2;
/// Daemons of a zone that read the store first while nothing is confirmed.
const INITIAL_READERS: usize = 2;
/// Fraction of the maximum confirmation age after which a daemon no longer relies on attestations.
const STALE_ATTESTATION_FRACTION: f64 = 0.4;

impl Gateway {
    /// Returns the time for which a call may wait for changes of the declared resources: two failed
    /// calls in a row must not make the daemon unready. A daemon that attests to others calls more
    /// often, as its message takes time to reach them.
    #[must_use]
    pub fn config_poll_timeout(&self) -> Duration {
        let fraction = if self.contacts.uses_zone_digests() {
            READER_POLL_TIMEOUT_FRACTION
        } else {
            POLL_TIMEOUT_FRACTION
        };
        self.options.bounds.max_confirmation_age().mul_f64(fraction)
    }

    /// Returns the number of daemons that read the store themselves: one per zone where zones
    /// exchange digests.
    #[must_use]
    pub fn store_reader_count(&self, now: MonotonicTime) -> u32 {
        let readers = if self.contacts.uses_zone_digests() {
            self.peers.zone_digests(now).count()
        } else {
            self.peers.peer_count(now)
        };
        u32::try_from(readers + 1).unwrap_or(u32::MAX)
    }

    /// Returns whether this daemon is one of those in its zone that read the store first while
    /// nothing is confirmed.
    ///
    /// The others read less often: after an outage they receive the confirmation by gossip before
    /// they could all read, and hundreds of readers would overload a store that is just recovering.
    #[must_use]
    pub fn is_initial_reader(&self, now: MonotonicTime) -> bool {
        if self.has_coordinators() {
            return self.may_read_for_zone(now) || self.is_first_of_unknown_zone(now);
        }
        let own = self.options.host.as_str();
        let neighbours = self.peers.neighbours(now);
        let before = neighbours.filter(|peer| peer.summary.host.as_str() < own);
        !self.contacts.uses_zone_digests() || before.count() < INITIAL_READERS
    }

    /// Returns the position up to which the copy of a table is complete, as another daemon attests;
    /// absent when that is no later than known here.
    #[must_use]
    pub fn attested_read_through(&self, table: SharedTable) -> Option<StorePosition> {
        self.store_reads.attested_read_through(table)
    }

    /// Returns how to keep the copy of a table current.
    #[must_use]
    pub fn read_plan(&self, now: MonotonicTime, table: SharedTable) -> ReadPlan {
        if self.has_coordinators() {
            return self.large_zone_read_plan(now, table);
        }
        // A neighbour whose messages arrive may not receive those of this daemon, and then echoes
        // nothing.
        let max_age = self
            .options
            .bounds
            .max_confirmation_age()
            .mul_f64(STALE_ATTESTATION_FRACTION);
        let is_confirmed = self.time_since_confirmed(now) < max_age;
        let uses_attestations =
            self.contacts.uses_zone_digests() && !self.is_stopping() && is_confirmed;
        let plan = if uses_attestations {
            self.store_reads.read_plan(now, &self.options.host, table)
        } else {
            ReadPlan::Direct
        };
        if plan == ReadPlan::Direct && self.awaits_reader(now) {
            ReadPlan::AwaitReader
        } else {
            plan
        }
    }

    /// Returns whether what this daemon has just read is recent enough to wait for the daemon that
    /// reads the store for its zone.
    fn awaits_reader(&self, now: MonotonicTime) -> bool {
        let max_age = self
            .options
            .bounds
            .max_confirmation_age()
            .mul_f64(AWAIT_READER_FRACTION);
        let is_reader = self.has_discovered_zone(now) && self.is_initial_reader(now);
        let may_follow = !self.contacts_read || (self.contacts.uses_zone_digests() && !is_reader);
        !self.is_stopping() && may_follow && self.time_since_confirmed(now) < max_age
    }
}
