//! Whether the configuration of a daemon that starts is as new as that of its peers.
//!
//! A store that was restored from a backup serves an older configuration until the operator has
//! written the newer one again. A daemon that starts meanwhile would accept keys and routes that its
//! peers refuse, although the store has just confirmed them.

use super::{Gateway, GatewayEffects, store_restore::REWRITE_PERIOD};
use crate::effect::GatewayEffect;
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Rounds of gossip for which a daemon that starts waits for the first message of a peer.
const PEER_WAIT_ROUNDS: u32 = 2;
/// Time for which it waits beyond them, for the way of the messages.
const PEER_WAIT_MARGIN: Duration = Duration::from_millis(100);

/// State of a daemon's comparison with its peers after the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum CatchUpState {
    /// No configuration was read.
    #[default]
    Unread,
    /// The configuration is not known to be as new as that of the peers.
    Pending {
        /// Time at which a configuration was first read.
        since: MonotonicTime,
        /// A peer has reported a newer one.
        behind: bool,
    },
    /// It is, or no peer has said otherwise in time.
    Level,
}

impl Gateway {
    /// Returns whether the configuration may be used.
    pub(super) fn has_caught_up(&self) -> bool {
        self.catch_up == CatchUpState::Level
    }

    /// Compares the configuration with those that live peers report, until it is as new for the first
    /// time. The wait is bounded, as a peer may hold a configuration that nobody writes again.
    pub(super) fn refresh_catch_up(&mut self, now: MonotonicTime, effects: &mut GatewayEffects) {
        if self.has_caught_up() || self.config.is_none() {
            return;
        }
        let (since, was_behind) = match self.catch_up {
            CatchUpState::Pending { since, behind } => (since, behind),
            CatchUpState::Unread | CatchUpState::Level => (now, false),
        };
        let own = self.config_version();
        let newest = self.newest_peer_config(now);
        let limit = if newest > own {
            REWRITE_PERIOD
        } else if self.is_confirmed_by_peer(now) || !self.may_miss_restore() {
            Duration::ZERO
        } else {
            self.contacts.gossip_interval() * PEER_WAIT_ROUNDS + PEER_WAIT_MARGIN
        };
        let is_level = now.since(since) >= limit;
        if is_level {
            self.catch_up = CatchUpState::Level;
            return self.log_readiness_change(now, effects);
        }
        let behind = newest > own;
        if behind && !was_behind {
            let line = LogLine::new(LogLevel::Warn, "config-behind-peers")
                .with("config", own)
                .with("newest", newest)
                .with("era", self.store_era());
            effects.push(GatewayEffect::Log(line));
        }
        self.catch_up = CatchUpState::Pending { since, behind };
    }

    /// Returns the newest version of the configuration that a live peer reports; 0 if none does.
    fn newest_peer_config(&self, now: MonotonicTime) -> u64 {
        let reported = self.peers.live_peers(now);
        let reported = reported.map(|peer| peer.summary.config_version);
        reported.max().unwrap_or_default()
    }

    /// Returns whether a live peer holds this configuration that may know of a newer one. One that has
    /// just started as well may have read the same backup.
    fn is_confirmed_by_peer(&self, now: MonotonicTime) -> bool {
        self.peers.live_peers(now).any(|peer| {
            let uptime = Duration::from_millis(peer.summary.uptime_ms);
            peer.summary.config_version == self.config_version() && uptime >= REWRITE_PERIOD
        })
    }

    /// Returns whether the store may have been restored without notice of this daemon, and other
    /// daemons may know more.
    fn may_miss_restore(&self) -> bool {
        self.store_era() > 0 && self.contacts.daemons() > 1
    }
}
