//! Options of the move duty.

use savorywood_protocol::HostName;

/// Options that the daemon core passes to the move duty at startup.
#[derive(Debug, Clone)]
pub struct MoveOptions {
    /// Host of this daemon; written to rows as the lease holder.
    pub host: HostName,
    /// Seed of the random numbers for gossip targets and poll jitter.
    pub seed: u64,
}
