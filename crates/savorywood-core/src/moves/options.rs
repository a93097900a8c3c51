//! Settings of the move duty.

use savorywood_protocol::HostName;

/// Settings of the move duty.
#[derive(Debug, Clone)]
pub struct MoveOptions {
    /// Host that the daemon runs on.
    pub host: HostName,
    /// Seed of its random numbers.
    pub seed: u64,
}
