//! Orders to engines. They are declarative: giving one twice does what giving it once does.

use savorywood_protocol::{FencingNumber, MonotonicTime, VersionName};

/// Names one call that carries an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderCallId(pub u64);

/// What an engine is to be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamOrder {
    /// Term of the lease under which the order is given.
    pub fencing: FencingNumber,
    /// Version that the engine is to run; `None` only reads back what it runs.
    pub version: Option<VersionName>,
    /// Not to be sent at or after this time: the lease may have another holder by then. Whoever
    /// sends looks at the clock right before it does, since it may have been paused.
    pub act_by: MonotonicTime,
}

/// What came back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderResponse {
    /// The engine says what it runs now, and the newest fencing number it has seen.
    Running {
        /// Version loaded.
        version: VersionName,
        /// Whether it is loaded whole and takes requests.
        ready: bool,
        /// Newest fencing number seen, if the engine keeps one.
        fencing: Option<FencingNumber>,
    },
    /// The engine refused the order: it has seen a newer fencing number.
    Fenced {
        /// That number.
        newest: FencingNumber,
    },
    /// No answer: the order may or may not have been taken.
    Lost,
}
