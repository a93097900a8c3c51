//! Share of the teams' limits of a daemon of a large zone that serves outside the entry set.

use super::Gateway;
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Time after its last request for which a daemon outside the entry set of a large zone counts as
/// serving callers.
const SERVING_PERIOD: Duration = Duration::from_secs(5);

impl Gateway {
    /// Updates the share of the teams' limits that this daemon may use.
    ///
    /// Outside the entry set of a large zone a daemon does not receive what others use. Callers that
    /// reach many such daemons at once must not get the whole limit at each of them. A daemon that
    /// has left the set keeps the callers, and the accounts, of a member until they are gone.
    pub(in crate::gateway) fn refresh_lone_share(&mut self, now: MonotonicTime) {
        let is_confirmed = self.followed_view(now).is_some() || self.is_established(now);
        let is_serving = self.is_entry_member() || self.keeps_member_callers(now);
        if is_serving && is_confirmed {
            self.last_member_at = Some(now);
        }
        let is_alone = self.has_coordinators() && !self.has_member_accounts(now);
        let share = is_alone.then(|| 1.0 / f64::from(self.contacts.daemons()));
        if share == self.lone_share {
            return;
        }
        let rejoins = self.lone_share.is_some() && share.is_none();
        self.lone_share = share;
        self.presence.advance(now);
        for limiter in self.team_limiters.values_mut() {
            limiter.set_lone_share(&self.presence, share);
            if rejoins {
                limiter.rejoin(&self.presence);
            }
        }
    }

    /// Returns whether this daemon has left the entry set and has had callers without a gap since.
    pub(in crate::gateway) fn keeps_member_callers(&self, now: MonotonicTime) -> bool {
        !self.is_entry_member() && self.has_member_accounts(now) && self.has_callers()
    }

    fn has_member_accounts(&self, now: MonotonicTime) -> bool {
        self.last_member_at
            .is_some_and(|at| now.since(at) < SERVING_PERIOD)
    }

    /// Forgets the last arrival once callers no longer use the addresses of this daemon.
    pub(in crate::gateway) fn expire_arrival(&mut self, now: MonotonicTime) {
        self.last_arrival_at
            .take_if(|at| now.since(*at) >= SERVING_PERIOD);
    }
}
