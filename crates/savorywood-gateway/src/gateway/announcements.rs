//! Announcements that upstreams make in their responses.

use super::{Gateway, GatewayEffects, state_updates::log_change};
use crate::{
    announcement::UpstreamAnnouncement, effect::GatewayEffect, label::UpstreamLabel,
    upstream::FleetChange, upstream_limit::ObservationSource,
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;

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
        let pause = announcement.pause.unwrap_or_default();
        let mut is_newly_limited = false;
        if let Some(state) = self.fleet.get_mut(upstream) {
            state.extend_pause(now + pause);
            if let Some(limit) = announcement.max_rejections {
                let service = state.entry.service.clone();
                let limits = self.fleet.rejection_limits_mut();
                is_newly_limited = limits.announce(now, &service, limit, ObservationSource::Own);
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

    /// Adds what this daemon knew of the slots of an upstream with a limit of rejections.
    pub(super) fn with_slot_use(&self, line: LogLine, upstream: &UpstreamLabel) -> LogLine {
        let Some(state) = self.fleet.get(upstream) else {
            return line;
        };
        let others = self.peers.slots_by_digest(state.digest).running;
        let share = state
            .rejections
            .part()
            .map_or_else(|| "unknown".to_owned(), |part| part.slots.to_string());
        line.with("slots", state.entry.slots)
            .with("share", share)
            .with("own", state.running)
            .with("others", others)
    }
}
