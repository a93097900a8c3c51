//! Options of the claim duty.

use savorywood_protocol::{HostIncarnation, HostName};
use std::time::Duration;

/// Identity of the claiming daemon, with the timeouts and limits of claims.
#[derive(Debug, Clone)]
pub struct ClaimOptions {
    /// Host that the daemon runs on.
    pub host: HostName,
    /// Incarnation of the host.
    pub incarnation: HostIncarnation,
    /// Seed of the random number generator. Must differ between incarnations: otherwise two of them
    /// generate the same nonces, and the second treats the first one's claims as its own.
    pub seed: u64,
    /// How long row writes are collected before they are committed together.
    pub batch_window: Duration,
    /// Maximum number of rows in one transaction.
    pub max_batch_rows: usize,
    /// Maximum number of row writes that wait for a transaction; further calls are refused.
    pub max_queued: usize,
    /// Commits per second for claims over all daemons; each daemon takes an equal share.
    pub fleet_commits_per_second: u32,
    /// How long a call waits for its claim before it is refused.
    pub wait_timeout: Duration,
    /// Delay before rows in doubt are read back.
    pub retry_interval: Duration,
    /// Maximum number of attempts to record an outcome or to release a claim.
    pub max_record_attempts: u32,
    /// How far a caller's clock may be ahead of this daemon's.
    pub clock_skew: Duration,
    /// How long a claim is retained after its key has expired. Must exceed `wait_timeout` plus the
    /// clock difference between any two daemons.
    pub sweep_margin: Duration,
    /// Interval between two scans for expired claims.
    pub sweep_interval: Duration,
    /// Maximum number of rows that one scan reads.
    pub max_sweep_rows: u32,
    /// Maximum size of a response body that is recorded for replay.
    pub max_recorded_body_bytes: usize,
}

impl ClaimOptions {
    /// Creates options with the default timeouts and limits.
    #[must_use]
    pub fn new(host: HostName, incarnation: HostIncarnation, seed: u64) -> Self {
        Self {
            host,
            incarnation,
            seed,
            batch_window: Duration::from_millis(5),
            max_batch_rows: 64,
            max_queued: 512,
            fleet_commits_per_second: 150,
            wait_timeout: Duration::from_secs(3),
            retry_interval: Duration::from_millis(250),
            max_record_attempts: 240,
            clock_skew: Duration::from_secs(60),
            sweep_margin: Duration::from_secs(600),
            sweep_interval: Duration::from_secs(10),
            max_sweep_rows: 200,
            max_recorded_body_bytes: 16 * 1_024,
        }
    }

    /// Minimum interval between two commits of one daemon when `daemons` share the budget.
    #[must_use]
    pub fn commit_interval(&self, daemons: usize) -> Duration {
        let daemons = u32::try_from(daemons.max(1)).unwrap_or(u32::MAX);
        Duration::from_secs(1) * daemons / self.fleet_commits_per_second.max(1)
    }
}
