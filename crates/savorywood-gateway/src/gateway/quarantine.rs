//! Requests under which upstreams crash: what is noted, what is refused, what peers and the store get.

use super::{Gateway, GatewayEffects, admission::Denial, record::RunningAttempt};
use crate::{
    arrival::LocalRequest,
    effect::GatewayEffect,
    event::{AttemptOutcome, StreamInterruption},
    label::{TeamLabel, UpstreamLabel},
    peer::name_digest,
    quarantine::{
        CrashGossip, FailedAttempt, QuarantineChange, QuarantineRow, QuarantineVerdict,
        ReportScope, RequestFingerprint,
    },
    refusal::RefusalReason,
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Least time after which a caller whose request is in quarantine is asked to come back.
const LEAST_RETURN: Duration = Duration::from_secs(1);

impl Gateway {
    /// Refuses a request in quarantine, unless this daemon may try it now; whether it is such a
    /// trial.
    pub(super) fn pass_quarantine(
        &mut self,
        now: MonotonicTime,
        fingerprint: RequestFingerprint,
        team: Option<&TeamLabel>,
    ) -> Result<bool, Denial> {
        let (crashes, trial_at) = match self.quarantine.verdict(fingerprint) {
            QuarantineVerdict::Clear => return Ok(false),
            QuarantineVerdict::Quarantined {
                crashes,
                probe_at: trial_at,
            } => (crashes, trial_at),
        };
        // Daemons that all tried it at the same moment would crash an upstream each.
        if now >= trial_at && self.leases.holds_key(now, fingerprint.as_u64()) {
            self.quarantine.begin_probe(now, fingerprint);
            return Ok(true);
        }
        Err(Denial {
            retry_after: Some(trial_at.since(now).max(LEAST_RETURN)),
            team: team.cloned(),
            crashes: Some(crashes),
            ..Denial::of(RefusalReason::Quarantined)
        })
    }

    pub(super) fn is_quarantined(&self, fingerprint: RequestFingerprint) -> bool {
        self.quarantine.verdict(fingerprint) != QuarantineVerdict::Clear
    }

    /// Time until a request in quarantine may be tried.
    pub(super) fn trial_time(
        &self,
        now: MonotonicTime,
        fingerprint: RequestFingerprint,
    ) -> Duration {
        match self.quarantine.verdict(fingerprint) {
            QuarantineVerdict::Clear => LEAST_RETURN,
            QuarantineVerdict::Quarantined {
                probe_at: trial_at, ..
            } => trial_at.since(now).max(LEAST_RETURN),
        }
    }

    /// Notes what an attempt's end says of its request: an upstream ended under it, or served it.
    pub(super) fn note_crash(
        &mut self,
        now: MonotonicTime,
        request: LocalRequest,
        attempt: &RunningAttempt,
        outcome: &AttemptOutcome,
        effects: &mut GatewayEffects,
    ) {
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        let fingerprint = record.fingerprint;
        let change = match outcome {
            AttemptOutcome::Broken { stalled: false }
            | AttemptOutcome::StreamBroken(StreamInterruption { stalled: false, .. }) => {
                let broken = FailedAttempt {
                    fingerprint,
                    upstream: name_digest(attempt.upstream.as_str()),
                    sent_at: attempt.sent_at,
                };
                self.quarantine.record_failed_attempt(now, broken)
            }
            AttemptOutcome::Delivered { .. } => {
                self.quarantine.record_complete_response(now, fingerprint)
            }
            _ => return,
        };
        log_change(fingerprint, change, "own", effects);
    }

    /// An upstream answered what was sent there at a moment.
    pub(super) fn note_alive(
        &mut self,
        now: MonotonicTime,
        upstream: &UpstreamLabel,
        sent_at: MonotonicTime,
    ) {
        if let Some(state) = self.fleet.get(upstream) {
            self.quarantine.record_response(now, state.digest, sent_at);
        }
    }

    pub(super) fn crashes_reported(
        &mut self,
        now: MonotonicTime,
        gossip: &CrashGossip,
        effects: &mut GatewayEffects,
    ) {
        let is_near = gossip.zone == name_digest(self.options.zone.as_str());
        for report in &gossip.reports {
            let change = self.quarantine.merge_report(now, report, is_near);
            log_change(report.fingerprint, change, "peer", effects);
        }
    }

    /// What peers get of crashes in a round of gossip.
    pub fn crash_gossip(&mut self, now: MonotonicTime, scope: ReportScope) -> Option<CrashGossip> {
        if self.quarantine.is_empty() {
            return None;
        }
        let round = self.contacts.pause();
        let reports = self.quarantine.reports(now, scope, round);
        let zone = name_digest(self.options.zone.as_str());
        (!reports.is_empty()).then_some(CrashGossip { zone, reports })
    }

    pub(super) fn quarantine_read(
        &mut self,
        now: MonotonicTime,
        rows: &[QuarantineRow],
        effects: &mut GatewayEffects,
    ) {
        self.quarantine.restore_rows(now, rows);
        let line = LogLine::new(LogLevel::Info, "quarantine-read")
            .with("rows", rows.len())
            .with("held", self.quarantine.quarantined_count());
        effects.push(GatewayEffect::Log(line));
    }

    /// Has one daemon write what must last beyond all of them.
    pub(super) fn write_quarantine(&mut self, now: MonotonicTime, effects: &mut GatewayEffects) {
        let leases = &self.leases;
        let holds = |fingerprint: RequestFingerprint| leases.holds_key(now, fingerprint.as_u64());
        let writes = self.quarantine.due_writes(now, holds);
        effects.extend(writes.into_iter().map(GatewayEffect::WriteQuarantine));
    }

    /// Requests in quarantine.
    #[must_use]
    pub fn quarantined_requests(&self) -> usize {
        self.quarantine.quarantined_count()
    }
}

fn log_change(
    fingerprint: RequestFingerprint,
    change: QuarantineChange,
    source: &'static str,
    effects: &mut GatewayEffects,
) {
    let line = match change {
        QuarantineChange::None => return,
        QuarantineChange::Quarantined(crashes) => {
            LogLine::new(LogLevel::Warn, "request-quarantined").with("crashes", crashes)
        }
        QuarantineChange::Lifted => LogLine::new(LogLevel::Warn, "quarantine-lifted"),
    };
    let line = line.with("fingerprint", fingerprint).with("source", source);
    effects.push(GatewayEffect::Log(line));
}
