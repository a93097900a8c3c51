//! Quarantine of requests under which upstreams crash: recording, refusal, gossip and store rows.

use super::{Gateway, GatewayEffects, admission::Refusal, record::EndedAttempt};
use crate::{
    effect::GatewayEffect,
    event::{AttemptOutcome, StreamInterruption},
    label::{TeamLabel, UpstreamLabel},
    peer::name_digest,
    quarantine::{
        CrashGossip, FailedAttempt, QuarantineChange, QuarantineRow, QuarantineVerdict,
        REPEATED_REPORTS, ReportScope, RequestFingerprint, RequestFingerprints,
    },
    refusal::RefusalReason,
    upstream_memory::BrokenAttempt,
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Messages with crash reports in one round of gossip. A crash changes the entries of all parts of
/// all requests that ran at its upstream.
const MAX_CRASH_MESSAGES: usize = 4;
/// Minimum retry-after delay for a quarantined request.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Gateway {
    /// Refuses a quarantined request, unless this daemon may send it now as a probe. Returns
    /// whether the request is a probe.
    pub(super) fn check_quarantine(
        &mut self,
        now: MonotonicTime,
        fingerprints: &RequestFingerprints,
        team: Option<&TeamLabel>,
    ) -> Result<bool, Refusal> {
        let crashes = match self.quarantine.verdict_on(fingerprints) {
            QuarantineVerdict::Clear => return Ok(false),
            QuarantineVerdict::Quarantined { crashes, .. } => crashes,
        };
        if self.quarantine.allows_probe(now, fingerprints) && self.holds_probe(now, fingerprints) {
            for fingerprint in fingerprints.iter() {
                self.quarantine.begin_probe(now, fingerprint);
            }
            return Ok(true);
        }
        Err(Refusal {
            retry_after: Some(self.probe_delay(now, fingerprints)),
            team: team.cloned(),
            crashes: Some(crashes),
            ..Refusal::new(RefusalReason::Quarantined)
        })
    }

    /// Returns whether this daemon may send the probe of a request. If all daemons sent one at the
    /// same time, each could crash an upstream.
    fn holds_probe(&self, now: MonotonicTime, fingerprints: &RequestFingerprints) -> bool {
        let mut quarantined = fingerprints
            .iter()
            .filter(|fingerprint| self.is_fingerprint_quarantined(*fingerprint));
        quarantined.all(|fingerprint| self.leases.holds_key(now, fingerprint.as_u64()))
    }

    fn is_fingerprint_quarantined(&self, fingerprint: RequestFingerprint) -> bool {
        self.quarantine.verdict(fingerprint) != QuarantineVerdict::Clear
    }

    /// Returns whether requests are in quarantine; `None` before the store's list was read.
    pub(super) fn has_quarantined(&self) -> Option<bool> {
        self.quarantine_read
            .then(|| self.quarantine.quarantined_count() > 0)
    }

    pub(super) fn is_quarantined(&self, fingerprints: &RequestFingerprints) -> bool {
        self.quarantine.verdict_on(fingerprints) != QuarantineVerdict::Clear
    }

    /// Returns the time until a probe of the quarantined request is allowed, or until the end of
    /// the quarantine if no further probe is sent.
    pub(super) fn probe_delay(
        &self,
        now: MonotonicTime,
        fingerprints: &RequestFingerprints,
    ) -> Duration {
        let mut quarantined = fingerprints
            .iter()
            .filter(|fingerprint| self.is_fingerprint_quarantined(*fingerprint));
        if quarantined.all(|fingerprint| self.quarantine.is_explained(fingerprint, fingerprints)) {
            return MIN_RETRY_AFTER;
        }
        let until = match self.quarantine.verdict_on(fingerprints) {
            QuarantineVerdict::Clear => None,
            QuarantineVerdict::Quarantined { probe_at, .. } => {
                probe_at.or_else(|| self.quarantine.expires_at(fingerprints))
            }
        };
        until
            .map(|until| until.since(now))
            .unwrap_or_default()
            .max(MIN_RETRY_AFTER)
    }

    /// Records what the end of an attempt indicates about its request: the upstream crashed under
    /// it, or served it.
    pub(super) fn record_crash(
        &mut self,
        now: MonotonicTime,
        ended: EndedAttempt<'_>,
        effects: &mut GatewayEffects,
    ) {
        let EndedAttempt {
            request,
            attempt,
            outcome,
        } = ended;
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        let is_crash = match outcome {
            _ if is_broken(outcome) => true,
            AttemptOutcome::Delivered { .. } => false,
            _ => return,
        };
        for fingerprint in record.fingerprints.iter() {
            let change = if is_crash {
                self.quarantine.record_failed_attempt(
                    now,
                    FailedAttempt {
                        fingerprint,
                        upstream: name_digest(attempt.upstream.as_str()),
                        sent_at: attempt.dispatched_at,
                    },
                )
            } else {
                self.quarantine.record_complete_response(now, fingerprint)
            };
            log_change(fingerprint, change, Some(&record.request_id), effects);
        }
    }

    /// Records a broken attempt before its tokens are released. Returns whether the tokens at the
    /// upstream exceeded its memory, so that the crash is not attributed to the request. Each of the
    /// requests is placed by its tokens again, so that they do not come together at the next upstream.
    pub(super) fn record_exceeded_memory(
        &mut self,
        now: MonotonicTime,
        ended: EndedAttempt<'_>,
        effects: &mut GatewayEffects,
    ) -> bool {
        let EndedAttempt {
            request,
            attempt,
            outcome,
        } = ended;
        let Some(record) = self.requests.get(&request) else {
            return false;
        };
        let Some(capacity) = self.fleet.memory(&record.service) else {
            return false;
        };
        let Some(state) = self.fleet.get_mut(&attempt.upstream) else {
            return false;
        };
        let others = self.peers.slots_by_digest(state.digest);
        let broken = BrokenAttempt {
            size: record.size,
            dispatched_at: attempt.dispatched_at,
        };
        let others = others.unread_prompt_tokens;
        if !is_broken(outcome) || !state.memory.record_broken(now, broken, others, capacity) {
            return false;
        }
        let line = LogLine::new(LogLevel::Warn, "upstream-memory-exceeded")
            .with("request", &record.request_id)
            .with("upstream", &attempt.upstream)
            .with("own_tokens", state.memory.own_tokens())
            .with("peer_tokens", others)
            .with("capacity", capacity);
        effects.push(GatewayEffect::Log(line));
        true
    }

    /// Records that an upstream responded to a request dispatched at `sent_at`, which shows that it
    /// was running then.
    pub(super) fn record_response(
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
        let is_same_zone = gossip.zone == name_digest(self.options.zone.as_str());
        for report in &gossip.reports {
            let change = self.quarantine.merge_report(now, report, is_same_zone);
            log_change(report.fingerprint, change, None, effects);
        }
    }

    /// Returns the messages with crash reports of one round of gossip; none when nothing crashes.
    pub fn crash_gossip(&mut self, now: MonotonicTime, scope: ReportScope) -> Vec<CrashGossip> {
        let round = self.contacts.gossip_interval();
        let zone = name_digest(self.options.zone.as_str());
        let mut messages = Vec::new();
        while messages.len() < MAX_CRASH_MESSAGES && !self.quarantine.is_empty() {
            let reports = self.quarantine.reports(now, scope, round);
            if reports.is_empty() || (!messages.is_empty() && reports.len() <= REPEATED_REPORTS) {
                break;
            }
            messages.push(CrashGossip { zone, reports });
        }
        messages
    }

    pub(super) fn quarantine_read(
        &mut self,
        now: MonotonicTime,
        rows: &[QuarantineRow],
        effects: &mut GatewayEffects,
    ) {
        self.quarantine.restore_rows(now, rows);
        self.quarantine_read = true;
        let line = LogLine::new(LogLevel::Info, "quarantine-read")
            .with("rows", rows.len())
            .with("held", self.quarantine.quarantined_count());
        effects.push(GatewayEffect::Log(line));
    }

    /// Emits the writes for which this daemon holds the lease, so that quarantine outlasts all
    /// daemons.
    pub(super) fn write_quarantine(&mut self, now: MonotonicTime, effects: &mut GatewayEffects) {
        let leases = &self.leases;
        let holds = |fingerprint: RequestFingerprint| leases.holds_key(now, fingerprint.as_u64());
        let writes = self.quarantine.due_writes(now, holds);
        effects.extend(writes.into_iter().map(GatewayEffect::WriteQuarantine));
    }

    /// Returns the number of requests in quarantine.
    #[must_use]
    pub fn quarantined_requests(&self) -> usize {
        self.quarantine.quarantined_count()
    }
}

/// Returns whether the connection of an attempt broke, as in a crash of the upstream.
fn is_broken(outcome: &AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::Broken { stalled: false }
            | AttemptOutcome::StreamBroken(StreamInterruption { stalled: false, .. })
    )
}

/// Logs a change with the request of this daemon that led to it, or else a report of a peer.
fn log_change(
    fingerprint: RequestFingerprint,
    change: QuarantineChange,
    own_request: Option<&str>,
    effects: &mut GatewayEffects,
) {
    let line = match change {
        QuarantineChange::None => return,
        QuarantineChange::Quarantined(crashes) => {
            LogLine::new(LogLevel::Warn, "request-quarantined").with("crashes", crashes)
        }
        QuarantineChange::Lifted => LogLine::new(LogLevel::Warn, "quarantine-lifted"),
    };
    let source = if own_request.is_some() { "own" } else { "peer" };
    let line = line
        .with("fingerprint", fingerprint)
        .with("source", source)
        .with("request", own_request.unwrap_or("-"));
    effects.push(GatewayEffect::Log(line));
}
