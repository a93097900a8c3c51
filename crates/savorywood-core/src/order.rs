//! Orders to engines and their responses. Orders declare a desired state and are idempotent.

use savorywood_protocol::{FencingNumber, MonotonicTime, VersionName};

/// Identifies one call to an engine that carries an order. Unique within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderCallId(pub u64);

/// Desired state of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamOrder {
    /// Fencing number of the lease term under which the order is given.
    pub fencing: FencingNumber,
    /// Version that the engine must run; `None` only reads which version it runs.
    pub version: Option<VersionName>,
    /// End of the time in which the order may be sent: from then on the lease may have another
    /// holder. The runtime checks the clock right before it sends, since the process may have been
    /// paused.
    pub act_by: MonotonicTime,
}

/// Result of a call to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderResponse {
    /// The engine reports its state and the newest fencing number that it has received.
    Running {
        /// Version that the engine has loaded last.
        version: VersionName,
        /// Whether the version is completely loaded and the engine accepts requests; false while it
        /// loads another version.
        ready: bool,
        /// Newest fencing number that the engine has received; `None` if it does not check them.
        fencing: Option<FencingNumber>,
    },
    /// The engine rejected the order because it has received a newer fencing number.
    Fenced {
        /// Newest fencing number that the engine has received.
        newest: FencingNumber,
    },
    /// No response was received: the engine may or may not have accepted the order.
    Lost,
}
