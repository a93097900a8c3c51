//! Which daemons of a large zone read the store, and from whom the others take its tables.

use super::Gateway;
use crate::store_reads::{ReadPlan, SharedTable};
use savorywood_protocol::MonotonicTime;
use std::{net::SocketAddr, time::Duration};

/// Fraction of the maximum confirmation age after which a coordinator or another member of the entry
/// set of a large zone no longer relies on others. The rest must be enough to read the store and to
/// confirm the copies of the daemons that rely on this one.
const SERVING_READ_FRACTION: f64 = 0.3;
/// Fractions of the maximum confirmation age between which the daemons of a large zone begin to
/// read the store themselves when no coordinator attests. They are spread over this range.
const FOLLOWER_READ_FRACTIONS: [f64; 2] = [0.5, 0.75];
/// Times after the start between which the daemons of a large zone begin to read the store
/// themselves when no other daemon hands them its tables.
const START_READ_DELAYS: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(8)];
/// Time after the first start of all daemons for which their zones may turn out to be large.
const FIRST_START_WAIT: Duration = Duration::from_secs(2);
/// Time for which the statement of a view that no request is in quarantine counts.
const NONE_QUARANTINED_TTL: Duration = Duration::from_millis(1_300);
/// Time after the start for which the list of daemons is awaited before the store is read.
const CONTACTS_WAIT: Duration = Duration::from_millis(1_500);

impl Gateway {
    /// Returns whether this daemon needs the requests in quarantine: in a large zone, only if it
    /// is a member of the entry set, or serves callers and there are such requests.
    #[must_use]
    pub fn needs_quarantine(&self, now: MonotonicTime) -> bool {
        if !self.is_zone_size_known(now) {
            return false;
        }
        let is_recent = |at: MonotonicTime| now.since(at) < NONE_QUARANTINED_TTL;
        let is_needless = self.none_quarantined_at.is_some_and(is_recent);
        let has_view = self.followed_view(now).is_some() || self.is_established(now);
        let is_member = self.is_entry_member() && has_view;
        !self.has_coordinators() || is_member || (self.has_callers() && !is_needless)
    }

    /// Returns whether the list of daemons has been read and is complete, or has been awaited for
    /// long enough. It is not complete while all daemons register for the first time.
    fn is_zone_size_known(&self, now: MonotonicTime) -> bool {
        let uptime = self.uptime(now);
        if !self.contacts_read {
            return uptime >= CONTACTS_WAIT;
        }
        let may_grow = self.options.first_start && self.contacts.daemons() > 1;
        self.has_coordinators() || !may_grow || uptime >= FIRST_START_WAIT
    }

    /// Returns the daemons that may hand this one their copies of the store's tables; none before a
    /// daemon has attested that its copies are current.
    #[must_use]
    pub fn table_sources(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        let own = self.options.peer_address;
        let mut sources = Vec::new();
        if self.store_reads.is_attested_in_view(now) {
            sources = self.coordination.follower.report_targets(now, own);
        }
        let neighbours = self.peers.neighbours(now);
        let attesting = neighbours.filter(|peer| peer.summary.attestation.is_some());
        for peer in attesting {
            if !sources.contains(&peer.summary.peer_address) {
                sources.push(peer.summary.peer_address);
            }
        }
        sources
    }

    /// Returns whether this daemon may read tables of which it has no copy from the store, rather
    /// than wait for another daemon of its zone that hands it its own.
    #[must_use]
    pub fn may_read_first(&self, now: MonotonicTime) -> bool {
        if !self.is_zone_size_known(now) {
            return false;
        }
        if !self.contacts_read || !self.has_coordinators() {
            return true;
        }
        let [least, most] = START_READ_DELAYS;
        let delay = least + (most - least).mul_f64(self.spread());
        self.is_initial_reader(now) || self.uptime(now) >= delay
    }

    /// Returns whether no coordinator of the large zone is known and this daemon is one of those to
    /// which all others report until then.
    pub(in crate::gateway) fn is_first_of_unknown_zone(&self, now: MonotonicTime) -> bool {
        self.followed_view(now).is_none() && self.contacts.is_bootstrap_contact()
    }

    /// Returns a number from 0 up to 1 that differs between hosts.
    pub(in crate::gateway) fn spread(&self) -> f64 {
        f64::from(self.own_digest() as u32) / (f64::from(u32::MAX) + 1.0)
    }

    /// Returns how a daemon of a large zone keeps a table current.
    pub(in crate::gateway) fn large_zone_read_plan(
        &self,
        now: MonotonicTime,
        table: SharedTable,
    ) -> ReadPlan {
        if self.may_read_for_zone(now) {
            self.coordinator_read_plan(now, table)
        } else {
            self.follower_read_plan(now, table)
        }
    }

    /// Returns how a coordinator keeps a table current. It relies on the one that reads the store,
    /// as that one's summaries or the views of any of them attest, while that confirms its own
    /// copies.
    fn coordinator_read_plan(&self, now: MonotonicTime, table: SharedTable) -> ReadPlan {
        let bound = self.options.bounds.max_confirmation_age();
        let max_age = bound.mul_f64(SERVING_READ_FRACTION);
        if self.is_stopping() || self.time_since_confirmed(now) >= max_age {
            return ReadPlan::Direct;
        }
        let plan = self.store_reads.read_plan(now, &self.options.host, table);
        // The views of others may only repeat what this daemon attests itself.
        let is_reader = self.store_reads.attestation(now).is_some();
        if plan != ReadPlan::Direct || is_reader {
            return plan;
        }
        self.store_reads.follower_plan(now, table)
    }

    /// Returns how a daemon that is no coordinator keeps a table current. If no coordinator confirms
    /// its copies, it reads the store itself, soon if it serves callers.
    fn follower_read_plan(&self, now: MonotonicTime, table: SharedTable) -> ReadPlan {
        let [least, most] = FOLLOWER_READ_FRACTIONS;
        let fraction = if self.is_entry_member() {
            SERVING_READ_FRACTION
        } else {
            least + (most - least) * self.spread()
        };
        let max_age = self.options.bounds.max_confirmation_age().mul_f64(fraction);
        let is_confirmed = self.time_since_confirmed(now) < max_age;
        match self.store_reads.follower_plan(now, table) {
            plan if plan != ReadPlan::Direct && is_confirmed => plan,
            _ if is_confirmed || !self.may_read_first(now) => ReadPlan::AwaitReader,
            _ => ReadPlan::Direct,
        }
    }

    /// Returns whether this daemon of a large zone may read the store for the others: it is a
    /// coordinator, or stands in until there are coordinators.
    pub(in crate::gateway) fn may_read_for_zone(&self, now: MonotonicTime) -> bool {
        let is_start =
            self.coordination.follower.revision() == 0 && self.uptime(now) < START_READ_DELAYS[0];
        let stands_in = self.coordination.computes && self.is_reported_to(now) && !is_start;
        stands_in || self.is_established(now)
    }
}
