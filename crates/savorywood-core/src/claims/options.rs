//! Settings of the claim duty.

use savorywood_protocol::{HostIncarnation, HostName};
use std::time::Duration;

/// Who claims, and the times and limits of claims.
#[derive(Debug, Clone)]
pub struct ClaimOptions {
    /// Host it runs on.
    pub host: HostName,
    /// Its life.
    pub incarnation: HostIncarnation,
    /// Seed of its random numbers. It must differ between lives, or two lives draw the same
    /// nonces and the second takes the first one's claims for its own.
    pub seed: u64,
    /// Time for which claims are gathered into one transaction.
    pub batch_window: Duration,
    /// Rows of one transaction at most.
    pub max_batch_rows: usize,
    /// Claims that may wait for a transaction.
    pub max_queued: usize,
    /// Commits a second of claims by all daemons together; each takes its even part.
    pub fleet_commits_per_second: u32,
    /// Time that a call waits for its claim before it is refused.
    pub wait_timeout: Duration,
    /// Time between two tries to read a row back.
    pub retry_interval: Duration,
    /// Tries to record an outcome, or to release a claim, before it is given up.
    pub max_record_attempts: u32,
    /// How far the clocks of callers may be ahead.
    pub clock_skew: Duration,
    /// Time that a claim is kept beyond the age at which its key is refused. It must outlast
    /// the patience and the difference between any two daemons' clocks.
    pub sweep_margin: Duration,
    /// Time between two looks for claims to delete.
    pub sweep_interval: Duration,
    /// Rows that one look reads at most.
    pub max_sweep_rows: u32,
    /// Largest body that is kept for repeats, in bytes.
    pub max_recorded_body_bytes: usize,
}

impl ClaimOptions {
    /// Options with the usual times and limits.
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

    /// Least time between two commits when so many daemons share the budget.
    #[must_use]
    pub fn commit_interval(&self, daemons: usize) -> Duration {
        let daemons = u32::try_from(daemons.max(1)).unwrap_or(u32::MAX);
        Duration::from_secs(1) * daemons / self.fleet_commits_per_second.max(1)
    }
}
