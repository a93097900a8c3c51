//! Everything that can happen to a gateway.

use crate::{
    arrival::{LocalRequest, RequestArrival},
    config::DeclaredConfig,
    entry_set::HostResources,
    evacuation::EvacuationOrder,
    gateway::GatewayBounds,
    gossip::PeerContact,
    label::{HostLabel, ServiceLabel, UpstreamLabel},
    message::{PeerHeartbeat, PeerSummary, SlotUpdate},
    position::StorePosition,
    quarantine::{CrashGossip, QuarantineRow, QuarantineWrite},
    rollout::{RolloutOrder, RolloutStatus},
    store_reads::{SharedTable, TablePosition},
    upstream::UpstreamEntry,
    upstream_limit::{LimitGossip, RateLimit},
    zone::ZoneDigest,
};
use savorywood_protocol::MonotonicTime;
use std::{sync::Arc, time::Duration};

/// Load of an upstream as one of its answers reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// What an answer's head says beside the answer itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Load there.
    pub load: Option<ReportedLoad>,
    /// The upstream ends its connections: it is leaving, or just tidies up.
    pub closes_connection: bool,
    /// Time for which it is still cold, where it says so.
    pub cold_for: Option<Duration>,
    /// Requests that it takes from all daemons together, while it is in need.
    pub rate_limit: Option<RateLimit>,
}

/// How a stream stopped before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamInterruption {
    /// Events passed on so far.
    pub events: u32,
    /// The upstream fell silent; otherwise the connection broke.
    pub stalled: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte left this host.
    NotSent,
    /// The upstream says that it did not run it.
    NotRun {
        /// Another incarnation answers at that address.
        misdirected: bool,
        /// Marks of its answer.
        metadata: ResponseMetadata,
    },
    /// The upstream said itself that it failed; its answer is kept and may be passed on.
    Failed {
        /// Marks of its answer.
        metadata: ResponseMetadata,
    },
    /// No whole answer came, and nothing of it has reached the caller.
    Broken {
        /// The upstream fell silent; otherwise the connection broke or the answer was nonsense.
        stalled: bool,
    },
    /// A stream of which events have reached the caller stopped early.
    StreamBroken(StreamInterruption),
    /// The whole answer reached the caller.
    Delivered {
        /// Marks of its answer.
        metadata: ResponseMetadata,
        /// Events of a stream.
        events: u32,
    },
    /// The time for it is up.
    Expired,
    /// The caller has gone.
    CallerDisconnected,
}

impl AttemptOutcome {
    /// The upstream said something.
    #[must_use]
    pub fn was_received(&self) -> bool {
        matches!(
            self,
            Self::NotRun { .. } | Self::Failed { .. } | Self::Delivered { .. }
        )
    }

    /// Its name in logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::NotSent => "not-sent",
            Self::NotRun {
                misdirected: true, ..
            } => "misdirected",
            Self::NotRun { .. } => "not-run",
            Self::Failed { .. } => "failed",
            Self::Broken { stalled: true } => "silent",
            Self::Broken { .. } => "broken",
            Self::StreamBroken(end) if end.stalled => "stream-silent",
            Self::StreamBroken(_) => "stream-broken",
            Self::Delivered { .. } => "delivered",
            Self::Expired => "expired",
            Self::CallerDisconnected => "caller-left",
        }
    }
}

/// Everything that can happen to a gateway.
#[derive(Debug, Clone)]
pub enum GatewayEvent {
    /// A request arrived whole.
    Arrived {
        /// Its name here.
        request: LocalRequest,
        /// What it asks.
        arrival: Box<RequestArrival>,
    },
    /// Its caller closed the connection before an attempt was under way.
    CallerDisconnected(LocalRequest),
    /// The first event of a stream (or the head of a plain answer) came.
    ResponseStarted {
        /// Which request.
        request: LocalRequest,
        /// Marks of its head.
        metadata: ResponseMetadata,
    },
    /// More events of a stream have reached its caller.
    ResponseProgressed {
        /// Which request.
        request: LocalRequest,
        /// Events passed on together.
        events: u32,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Which request.
        request: LocalRequest,
        /// How.
        outcome: AttemptOutcome,
    },
    /// A version of the configuration was read.
    ConfigRead(Arc<DeclaredConfig>),
    /// All upstream registrations were read.
    UpstreamsRead(Vec<UpstreamEntry>),
    /// One upstream registration was written.
    UpstreamWritten(UpstreamEntry),
    /// One upstream registration was removed.
    UpstreamRemoved(UpstreamLabel),
    /// The store answered: its rows of the configuration were as known at that moment.
    ConfigConfirmed {
        /// When they were.
        at: MonotonicTime,
    },
    /// A table was read, or rows of it were handed on by a neighbour.
    TableRead {
        /// Which.
        table: SharedTable,
        /// What is known of it now.
        position: TablePosition,
        /// When the store is proved to have said so; none for rows that were handed on.
        confirmed_at: Option<MonotonicTime>,
    },
    /// An operator evacuates a zone.
    EvacuationOrdered(EvacuationOrder),
    /// An operator took an evacuation back, at the order's position.
    EvacuationWithdrawn(EvacuationOrder),
    /// All orders of evacuations were read.
    EvacuationsRead {
        /// Those in force.
        orders: Vec<EvacuationOrder>,
        /// Position of the store that was read.
        revision: StorePosition,
    },
    /// An answer of the store names its era.
    StoreEraObserved(u64),
    /// Bounds were read from changed settings.
    BoundsRead(GatewayBounds),
    /// The store failed to answer a call.
    StoreFailed,
    /// An operator ordered a roll-out, or changed one.
    RolloutOrdered(RolloutOrder),
    /// What the store says of a roll-out.
    RolloutStatusRead(RolloutStatus),
    /// The write of a roll-out's status was answered, or not.
    RolloutWriteFinished {
        /// Which service's.
        service: ServiceLabel,
        /// It is known to be in the store.
        accepted: bool,
        /// Era of the store that said so.
        era: u64,
    },
    /// Another daemon reported itself.
    SummaryReceived(Box<PeerSummary>),
    /// A daemon of another zone reported its zone.
    DigestReceived(Box<ZoneDigest>),
    /// Another daemon sent its slots, or its zone's.
    SlotsReceived(SlotUpdate),
    /// Where other daemons may be, as the settings say.
    SeedsRead(Vec<PeerContact>),
    /// The list of daemons was read from the store.
    ContactsRead(Vec<PeerContact>),
    /// A member of the entry set sent a sign of life.
    HeartbeatReceived(PeerHeartbeat),
    /// Another daemon reported requests under which upstreams crashed.
    CrashesReported(CrashGossip),
    /// Another daemon reported limits that upstreams name.
    LimitsReported(LimitGossip),
    /// Requests in quarantine were read from the store.
    QuarantineRead(Vec<QuarantineRow>),
    /// The write of a row on a request in quarantine was answered, or not.
    QuarantineWriteFinished {
        /// What was written.
        write: QuarantineWrite,
        /// It is known to be in the store.
        accepted: bool,
        /// Era of the store that said so.
        era: u64,
    },
    /// What this process uses of its host was measured.
    LoadMeasured(HostResources),
    /// Another daemon is known to have ended.
    PeerEnded(HostLabel),
    /// Time passes; comes every few milliseconds while requests wait.
    Tick,
    /// The process was ordered to stop within a time.
    StopRequested {
        /// Time until it is killed.
        grace: Duration,
    },
}
