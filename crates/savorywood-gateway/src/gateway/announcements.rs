//! Announcements that upstreams make in their responses.

use super::{Gateway, GatewayEffects, state_updates::log_change};
use crate::{
    announcement::UpstreamAnnouncement, effect::GatewayEffect, label::UpstreamLabel,
    upstream::FleetChange, upstream_limit::ObservationSource,
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Range of the pause after an upstream with a limit of rejections turned a request away.
const MIN_REJECTION_PAUSE: Duration = Duration::from_secs(1);
const MAX_REJECTION_PAUSE: Duration = Duration::from_secs(10);

impl Gateway {
    /// Applies what an upstream announced, and logs what is new of it.
    pub(super) fn upstream_announced(
        &mut self,
        now: MonotonicTime,
        upstream: &UpstreamLabel,
        request_id: &str,
        announcement: UpstreamAnnouncement,
        effects: &mut GatewayEffects,
    ) {
        let mut pause = announcement.pause.unwrap_or_default();
        let mut is_newly_limited = false;
        if let Some(state) = self.fleet.get_mut(upstream) {
            let slots = state.entry.slots;
            let service = state.entry.service.clone();
            pause = pause.max(rejection_pause(announcement, slots, self.entry_daemons));
            state.extend_pause(now + pause);
            if announcement.max_rejections.is_some() {
                let source = ObservationSource::Own;
                let limits = self.fleet.rejection_limits_mut();
                is_newly_limited = limits.announce(now, &service, source);
            }
        }
        let starts_draining = announcement.leaving && self.fleet.record_leaving(upstream);
        if !starts_draining && !is_newly_limited && pause.is_zero() {
            return;
        }
        let mut line = LogLine::new(LogLevel::Info, "upstream-announced")
            .with("upstream", upstream)
            .with("request", request_id)
            .with("leaving", announcement.leaving);
        if !pause.is_zero() {
            line = line.with("pause_ms", pause.as_millis());
        }
        if let Some(per_second) = announcement.max_rejections {
            line = line.with("max_rejections", per_second.per_second());
            line = self.with_slot_use(line, upstream);
        }
        effects.push(GatewayEffect::Log(line));
        if starts_draining {
            log_change(upstream, FleetChange::Draining, effects);
        }
    }
}

impl Gateway {
    /// Adds what this daemon knew of the slots of an upstream with a limit of rejections.
    fn with_slot_use(&self, line: LogLine, upstream: &UpstreamLabel) -> LogLine {
        let Some(state) = self.fleet.get(upstream) else {
            return line;
        };
        let others = self.peers.slots_by_digest(state.digest).running;
        line.with("slots", state.entry.slots)
            .with("share", state.slot_share)
            .with("own", state.running)
            .with("others", others)
    }
}

/// Returns the time for which a daemon sends nothing to an upstream that turned a request of it away
/// and can bear few rejections: each daemon with a share of its `slots` makes its part of them.
fn rejection_pause(announcement: UpstreamAnnouncement, slots: u32, daemons: usize) -> Duration {
    let Some(limit) = announcement
        .max_rejections
        .filter(|_| announcement.turned_away)
    else {
        return Duration::ZERO;
    };
    let senders = daemons.min(slots as usize).max(1);
    let seconds = senders as f64 / limit.per_second().max(f64::MIN_POSITIVE);
    let (min, max) = (MIN_REJECTION_PAUSE, MAX_REJECTION_PAUSE);
    Duration::from_secs_f64(seconds.clamp(min.as_secs_f64(), max.as_secs_f64()))
}
