//! Coordination of a large zone: which daemon computes its entry set, and which follow the view of
//! another one.

mod reads;
mod shares;
mod targets;
mod views;

use super::{Gateway, GatewayEffects};
use crate::{
    coordination::{ViewContent, ZoneFollower},
    effect::GatewayEffect,
    peer::name_digest,
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Daemons of the own zone that were not heard from for this long are removed by a daemon that
/// follows the view of another one.
const FOLLOWER_PEER_TTL: Duration = Duration::from_secs(3);
/// Part of its zone, as a divisor, that must report to a daemon without a recent view before it
/// computes the entry set.
const MIN_HEARD_DIVISOR: u32 = 4;
/// Time for which a daemon that others report to collects reports before it computes the entry set.
const REPORT_PERIOD: Duration = Duration::from_millis(400);
/// Time after which a daemon that has found no recent view computes the entry set in any case.
const SEARCH_PERIOD: Duration = Duration::from_millis(1_500);
/// Time after which a coordinator that hears from few daemons of its zone takes these for all that
/// are left, or that it can reach.
const SETTLE_PERIOD: Duration = Duration::from_secs(3);

/// Coordination of the own zone as this daemon takes part in it.
#[derive(Debug, Clone, Default)]
pub(super) struct ZoneCoordination {
    follower: ZoneFollower,
    /// This daemon computes the entry set, rather than follow the view of another one.
    computes: bool,
    /// Time since which it does so.
    computes_since: Option<MonotonicTime>,
    /// Most daemons heard from since then.
    most_heard: u32,
    /// Time since which it neither does so nor follows a recent view.
    searches_since: Option<MonotonicTime>,
    /// Content of this daemon's own view, while it computes the entry set.
    content: ViewContent,
    revision: u64,
    /// A member of the entry set, or another zone, was lost since the view was last sent unasked.
    has_loss: bool,
    /// Daemons that receive summaries until a time, as they may not know this one.
    introductions: BTreeMap<SocketAddr, MonotonicTime>,
}

impl Gateway {
    /// Returns whether the daemons of the own zone report to coordinators.
    #[must_use]
    pub fn has_coordinators(&self) -> bool {
        self.contacts.is_large_zone()
    }

    /// Returns the last view that this daemon followed, recent or not; `None` when it computes the
    /// entry set itself.
    pub(super) fn last_view(&self) -> Option<&ViewContent> {
        let follows = self.has_coordinators() && !self.coordination.computes;
        self.coordination
            .follower
            .last_content()
            .filter(|_| follows)
    }

    /// Returns the view that this daemon follows; `None` when it computes the entry set itself.
    pub(super) fn followed_view(&self, now: MonotonicTime) -> Option<&ViewContent> {
        let follows = self.has_coordinators() && !self.coordination.computes;
        self.coordination.follower.content(now).filter(|_| follows)
    }

    /// Returns whether this daemon computes the entry set of its zone itself.
    #[must_use]
    pub fn computes(&self) -> bool {
        self.coordination.computes
    }

    /// Returns whether this daemon is a coordinator of its zone by its own computation.
    pub(super) fn is_coordinator(&self) -> bool {
        let own = self.own_digest();
        let content = &self.coordination.content;
        self.has_coordinators()
            && self.coordination.computes
            && content.coordinator_rank(own).is_some()
    }

    pub(super) fn own_digest(&self) -> u64 {
        name_digest(self.options.host.as_str())
    }

    fn heard_daemons(&self, now: MonotonicTime) -> u32 {
        u32::try_from(self.peers.neighbours(now).count() + 1).unwrap_or(u32::MAX)
    }

    /// Returns whether this daemon is a coordinator that has heard from enough of its zone, or has
    /// had the time to.
    pub(super) fn is_established(&self, now: MonotonicTime) -> bool {
        let since = self.coordination.computes_since.max(self.started_at);
        let has_settled = since.is_some_and(|since| now.since(since) >= SETTLE_PERIOD);
        self.is_coordinator() && (self.is_reported_to(now) || has_settled)
    }

    /// Returns whether enough daemons of the zone report to this one.
    fn is_reported_to(&self, now: MonotonicTime) -> bool {
        let heard = self.heard_daemons(now).saturating_mul(MIN_HEARD_DIVISOR);
        heard >= self.contacts.zone_daemons()
    }

    /// Starts to compute the entry set when the followed view has expired or has listed this daemon
    /// as a coordinator for long enough.
    pub(super) fn refresh_coordination(
        &mut self,
        now: MonotonicTime,
        effects: &mut GatewayEffects,
    ) {
        if !self.has_coordinators() {
            return;
        }
        if self.coordination.computes {
            return self.check_reporters(now, effects);
        }
        let follower = &self.coordination.follower;
        let is_expired = follower.content(now).is_none();
        if !is_expired {
            self.coordination.searches_since = None;
            if !follower.takes_over(now) {
                return self.remove_silent_neighbours(now);
            }
        } else if !self.may_start_alone(now) {
            return;
        }
        let follower = &self.coordination.follower;
        let age = follower.last_content().map(|_| follower.age(now));
        let age = age.map_or_else(|| "none".to_owned(), |age| age.as_millis().to_string());
        let line = LogLine::new(LogLevel::Info, "coordination-started")
            .with("view_age_ms", age)
            .with("expired", is_expired)
            .with("heard", self.heard_daemons(now));
        effects.push(GatewayEffect::Log(line));
        self.coordination.computes = true;
        self.coordination.most_heard = 0;
        self.coordination.computes_since = Some(now);
        self.coordination.searches_since = None;
        self.coordination.follower.stop();
        // Until now most daemons sent their summaries elsewhere.
        self.peers.forget_gaps(now);
    }

    /// Removes the daemons of the zone that no longer send their summaries to this one, which is no
    /// coordinator. They no longer serve callers either, so none of the teams' limits is kept for
    /// them.
    fn remove_silent_neighbours(&mut self, now: MonotonicTime) {
        let removed = self.peers.remove_silent(now, FOLLOWER_PEER_TTL);
        for peer in &removed {
            self.presence.remove(now, *peer);
        }
        if !removed.is_empty() {
            self.end_usage(&removed);
        }
    }

    /// Ends the computation of the entry set when most of the daemons that reported here have turned
    /// to others.
    fn check_reporters(&mut self, now: MonotonicTime, effects: &mut GatewayEffects) {
        let heard = self.heard_daemons(now);
        let most = heard.max(self.coordination.most_heard);
        let zone = self.contacts.zone_daemons();
        let is_enough = |count: u32| count.saturating_mul(MIN_HEARD_DIVISOR) >= zone;
        self.coordination.most_heard = most;
        if is_enough(heard) || !is_enough(most) {
            return;
        }
        let line = LogLine::new(LogLevel::Info, "coordination-lost")
            .with("heard", heard)
            .with("before", most)
            .with("daemons", zone);
        effects.push(GatewayEffect::Log(line));
        self.coordination.computes = false;
    }

    /// Returns whether this daemon, which has no recent view, is to compute the entry set: enough
    /// daemons report to it, or it has found no other daemon that does.
    ///
    /// A view of few daemons would only lead others astray.
    fn may_start_alone(&mut self, now: MonotonicTime) -> bool {
        let since = *self.coordination.searches_since.get_or_insert(now);
        let is_first =
            self.coordination.follower.revision() == 0 && self.contacts.is_bootstrap_contact();
        let searched = now.since(since);
        let is_chosen = is_first || self.is_reported_to(now);
        searched >= SEARCH_PERIOD || (is_chosen && searched >= REPORT_PERIOD)
    }
}
