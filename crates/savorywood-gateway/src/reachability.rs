//! Detection of a partition between this daemon and all upstreams.
//!
//! A single upstream that fails says nothing of this daemon's own links. When connections to several
//! upstreams fail, or all of them fall silent, connections to a few others are opened and closed
//! again: the daemon is partitioned when none of these can be opened either.

use crate::label::UpstreamLabel;
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};

/// Number of upstreams, or all of fewer, that must fail within `FAILURE_WINDOW`, or be overdue at the
/// same time, to start a check.
pub const UPSTREAMS_TO_CHECK: usize = 2;
/// Time for which a failed connection is evidence.
const FAILURE_WINDOW: Duration = Duration::from_secs(2);
/// Minimum time between two checks after failures.
const FAILURE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two checks after a silence, which may also be that of slow upstreams.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two checks during a partition.
const RECOVERY_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A check whose result has not arrived within this time was lost.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);

/// Cause of a check. The text form is part of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum CheckCause {
    /// Connections to several upstreams failed.
    Failures,
    /// No upstream sends anything although some should.
    Silence,
    /// The daemon is partitioned and looks for the end of the partition.
    Recovery,
}

impl CheckCause {
    fn interval(self) -> Duration {
        match self {
            Self::Failures => FAILURE_CHECK_INTERVAL,
            Self::Silence => SILENCE_CHECK_INTERVAL,
            Self::Recovery => RECOVERY_CHECK_INTERVAL,
        }
    }
}

/// Change that the result of a check brings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachabilityChange {
    /// No upstream can be reached any more.
    Partitioned,
    /// Upstreams can be reached again, after a partition of the given length.
    Recovered(Duration),
}

/// Whether this daemon reaches upstreams over its own links.
#[derive(Debug, Clone, Default)]
pub struct UpstreamReachability {
    partitioned_at: Option<MonotonicTime>,
    /// Last failed connections, by upstream.
    failures: BTreeMap<UpstreamLabel, MonotonicTime>,
    /// Start of the check in progress.
    check_started_at: Option<MonotonicTime>,
    /// Start of the last check.
    last_check_at: Option<MonotonicTime>,
}

impl UpstreamReachability {
    /// Returns whether no upstream can be reached.
    #[must_use]
    pub fn is_partitioned(&self) -> bool {
        self.partitioned_at.is_some()
    }

    /// Records a connection to an upstream that failed. Returns whether enough of the `known`
    /// upstreams failed for a check.
    pub fn record_failure(
        &mut self,
        now: MonotonicTime,
        upstream: &UpstreamLabel,
        known: usize,
    ) -> bool {
        self.failures
            .retain(|_, at| now.since(*at) < FAILURE_WINDOW);
        self.failures.insert(upstream.clone(), now);
        self.failures.len() >= UPSTREAMS_TO_CHECK.min(known)
    }

    /// Starts a check, unless one is in progress or the last one is too recent for `cause`.
    pub fn try_start_check(&mut self, now: MonotonicTime, cause: CheckCause) -> bool {
        let is_running = self
            .check_started_at
            .is_some_and(|at| now.since(at) < CHECK_TIMEOUT);
        let is_recent = self
            .last_check_at
            .is_some_and(|at| now.since(at) < cause.interval());
        if is_running || is_recent {
            return false;
        }
        self.check_started_at = Some(now);
        self.last_check_at = Some(now);
        true
    }

    /// Records the result of a check, which found that `reached` upstreams can be reached.
    pub fn finish_check(
        &mut self,
        now: MonotonicTime,
        reached: usize,
    ) -> Option<ReachabilityChange> {
        self.check_started_at = None;
        if reached > 0 {
            self.failures.clear();
            let partitioned_at = self.partitioned_at.take()?;
            return Some(ReachabilityChange::Recovered(now.since(partitioned_at)));
        }
        if self.is_partitioned() {
            return None;
        }
        self.partitioned_at = Some(now);
        Some(ReachabilityChange::Partitioned)
    }
}
