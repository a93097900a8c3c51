//! Everything that can happen to a daemon.

use crate::{
    operator::{OperatorCallId, OperatorRequest},
    order::{OrderCallId, OrderResponse},
    request::{KeptAnswer, RequestArrival, ResumeArrival},
    snapshot::ConfigSnapshot,
};
use savorywood_protocol::{
    AttemptNumber, HostName, RegionName, RequestId, UpstreamName, ZoneName, peer::PeerMessage,
    table::TableAnswer,
};
use std::{net::SocketAddr, time::Duration};
use strum::{Display, EnumIter, IntoStaticStr};

/// A duty: one reducer of the core.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum DutyKind {
    /// Admission, queues, limits and routing.
    Scheduler,
    /// Shares of upstreams between daemons.
    Credits,
    /// Who is alive.
    Membership,
    /// Accepted configuration.
    Config,
    /// Terms of single holders.
    Leases,
    /// Moves of traffic between versions.
    Moves,
    /// Orders to engines.
    Orders,
    /// Claims of idempotency keys.
    Claims,
    /// Planned stop.
    Stop,
}

/// Names a timer. Setting the same key again replaces the timer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerKey {
    /// Duty that gets the event.
    pub duty: DutyKind,
    /// Told apart within the duty.
    pub number: u64,
}

/// Names a call of the table service, so that its answer finds the duty that asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TableCallId {
    /// Duty that gets the answer.
    pub duty: DutyKind,
    /// Told apart within the duty.
    pub number: u64,
}

/// What callers do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerEvent {
    /// A request arrived whole.
    Arrived(Box<RequestArrival>),
    /// A caller asks for the rest of a stream that another daemon began.
    Resumed(Box<ResumeArrival>),
    /// The caller closed its connection before its answer ended.
    Disconnected {
        /// Request that nobody waits for any longer.
        request: RequestId,
    },
}

/// What an upstream's answer says of the work done.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResponseReport {
    /// HTTP status of the answer.
    pub status: u16,
    /// Prompt tokens counted by the upstream.
    pub prompt_tokens: u32,
    /// Prompt tokens that its prefix cache held.
    pub cached_tokens: u32,
    /// Tokens generated.
    pub output_tokens: u32,
}

/// How a dispatched request broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum FailureCause {
    /// The connection was reset or closed before an answer began.
    Connection,
    /// The answer ended before its length or end mark.
    Truncated,
    /// Nothing came for longer than allowed.
    Stalled,
    /// The upstream said that it failed (a 5xx status).
    UpstreamError,
    /// This daemon gave it up: the caller left or the deadline passed.
    Cancelled,
}

/// Load as an upstream reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in the batch.
    pub running: u32,
    /// Requests admitted by the engine that wait for a place in the batch.
    pub waiting: u32,
    /// KV cache in use, in thousandths.
    pub kv_used_per_mille: u16,
    /// Age of the figures when they were received.
    pub age: Duration,
}

/// One change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheEvent {
    /// The block with this chained hash is cached.
    Stored(u64),
    /// The block with this chained hash was evicted.
    Removed(u64),
    /// The whole cache was emptied.
    Cleared,
}

/// Consecutive cache events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEventBatch {
    /// Number of the first event; a jump means that events were lost.
    pub first_sequence: u64,
    /// The events in order.
    pub events: Vec<CacheEvent>,
}

/// What upstreams do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamEvent {
    /// No byte of the attempt left this host: the connection could not be made.
    NotSent {
        /// Request of the attempt.
        request: RequestId,
        /// Which attempt.
        attempt: AttemptNumber,
    },
    /// The first token (model) or byte (plain) of the answer came.
    FirstToken {
        /// Request of the attempt.
        request: RequestId,
        /// Which attempt.
        attempt: AttemptNumber,
    },
    /// More tokens came.
    Tokens {
        /// Request of the attempt.
        request: RequestId,
        /// Which attempt.
        attempt: AttemptNumber,
        /// Tokens since the last event.
        count: u32,
    },
    /// The whole answer came.
    Finished {
        /// Request of the attempt.
        request: RequestId,
        /// Which attempt.
        attempt: AttemptNumber,
        /// What the answer says.
        report: ResponseReport,
    },
    /// The attempt failed after a byte may have left.
    Failed {
        /// Request of the attempt.
        request: RequestId,
        /// Which attempt.
        attempt: AttemptNumber,
        /// How.
        cause: FailureCause,
    },
    /// The upstream reported its load.
    LoadReported {
        /// Who.
        upstream: UpstreamName,
        /// What.
        report: LoadReport,
    },
    /// The upstream published cache events.
    CacheChanged {
        /// Who.
        upstream: UpstreamName,
        /// What.
        batch: CacheEventBatch,
    },
}

/// One line of the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostEntry {
    /// Name of the host.
    pub host: HostName,
    /// Where its daemon's peers reach it.
    pub peer_address: SocketAddr,
    /// Where callers reach its daemon.
    pub caller_address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// The platform plans to take the host away.
    pub leaving: bool,
}

/// Everything that can happen to a daemon.
#[derive(Debug, Clone, PartialEq)]
pub enum DaemonEvent {
    /// The daemon begins.
    Started,
    /// A timer came due.
    TimerFired(TimerKey),
    /// A caller did something.
    Caller(CallerEvent),
    /// An upstream did something.
    Upstream(UpstreamEvent),
    /// An authenticated message of another daemon came.
    Peer {
        /// Who sent it.
        from: HostName,
        /// What it says.
        message: PeerMessage,
    },
    /// The table service answered, or will not.
    Table {
        /// Which call.
        call: TableCallId,
        /// Its answer.
        response: TableAnswer,
    },
    /// An operator wants to change a resource.
    Operator {
        /// Names the call.
        call: OperatorCallId,
        /// What is wanted.
        request: Box<OperatorRequest>,
    },
    /// A peer's configuration came, or did not.
    SnapshotFetched {
        /// Who was asked.
        from: HostName,
        /// What it has in force; `None` when it could not be had.
        snapshot: Option<Box<ConfigSnapshot>>,
    },
    /// An upstream answered an order, or did not.
    OrderCompleted {
        /// Names the order's call.
        call: OrderCallId,
        /// The answer.
        response: OrderResponse,
    },
    /// The whole answer of a call that may not be repeated, small enough to be recorded. Comes
    /// before the `Finished` of the same request.
    ResponseCaptured {
        /// Request that was answered.
        request: RequestId,
        /// Its answer.
        response: Box<KeptAnswer>,
    },
    /// The host list was read.
    HostsListed(Vec<HostEntry>),
    /// The process was told to stop.
    StopRequested,
}
