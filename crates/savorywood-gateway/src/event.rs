//! Events that the reducer of a gateway handles, and the outcomes of attempts that they carry.

use crate::{
    announcement::UpstreamAnnouncement,
    arrival::{LocalRequest, RequestArrival},
    config::DeclaredConfig,
    coordination::ZoneView,
    entry_set::HostResources,
    evacuation::EvacuationOrder,
    gateway::GatewayBounds,
    gossip::PeerContact,
    health::PaceReport,
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

/// Load of an upstream as reported in one of its responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that the upstream is executing.
    pub running: u32,
    /// Requests that wait in the upstream's own queue.
    pub waiting: u32,
    /// Requests that the upstream executes concurrently.
    pub slots: u32,
    /// Current pace of the upstream.
    pub pace: PaceReport,
}

/// Metadata that a response head carries beside the response itself. The adapter parses it; a field
/// is absent when the upstream does not report it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Load of the upstream.
    pub load: Option<ReportedLoad>,
    /// The upstream closes the connection after this response: it is leaving, or it closes idle
    /// connections.
    pub closes_connection: bool,
    /// Remaining time for which the upstream is still cold.
    pub cold_for: Option<Duration>,
    /// Rate that the upstream accepts from all daemons together; present while it limits its
    /// callers.
    pub rate_limit: Option<RateLimit>,
}

/// Interruption of a stream before its last event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamInterruption {
    /// Events forwarded to the caller before the interruption.
    pub events: u32,
    /// No data was received for too long. Otherwise the connection broke.
    pub stalled: bool,
}

/// Result of one attempt at an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte of the request reached the upstream: no connection to it could be opened.
    NotSent,
    /// No byte of the request reached the upstream: no peer relayed it.
    NotRelayed,
    /// The upstream reports that it did not execute the request.
    NotRun {
        /// Another incarnation of the upstream responded at that address.
        misdirected: bool,
        /// Metadata of the response head.
        metadata: ResponseMetadata,
    },
    /// The upstream reported a failure of its own. The response is kept and may be forwarded to the
    /// caller.
    Failed {
        /// Metadata of the response head.
        metadata: ResponseMetadata,
    },
    /// No complete response was received, and none of it has reached the caller.
    Broken {
        /// No data was received for too long. Otherwise the connection broke or the response was
        /// malformed.
        stalled: bool,
    },
    /// A stream was interrupted after some of its events had reached the caller.
    StreamBroken(StreamInterruption),
    /// The complete response reached the caller.
    Delivered {
        /// Metadata of the response head.
        metadata: ResponseMetadata,
        /// Events of a stream; not meaningful for other responses.
        events: u32,
    },
    /// The deadline of the request passed.
    Expired,
    /// The caller closed its connection.
    CallerDisconnected,
}

impl AttemptOutcome {
    /// Returns whether the upstream sent a response.
    #[must_use]
    pub fn has_response(&self) -> bool {
        matches!(
            self,
            Self::NotRun { .. } | Self::Failed { .. } | Self::Delivered { .. }
        )
    }

    /// Returns the metadata of the response head, if the upstream sent a response.
    #[must_use]
    pub fn metadata(&self) -> Option<ResponseMetadata> {
        match self {
            Self::NotRun { metadata, .. }
            | Self::Failed { metadata }
            | Self::Delivered { metadata, .. } => Some(*metadata),
            _ => None,
        }
    }

    /// Returns the name of the outcome in logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::NotSent => "not-sent",
            Self::NotRelayed => "not-relayed",
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

/// Input of the reducer: requests and responses, rows of the store, messages of peers, and time.
#[derive(Debug, Clone)]
pub enum GatewayEvent {
    /// A complete request was received from a caller.
    Arrived {
        /// Identifier assigned by this daemon.
        request: LocalRequest,
        /// Parsed content of the request.
        arrival: Box<RequestArrival>,
    },
    /// The caller closed its connection before an attempt was dispatched.
    CallerDisconnected(LocalRequest),
    /// The first event of a stream, or the head of another response, was received.
    ResponseStarted {
        /// Request that the response belongs to.
        request: LocalRequest,
        /// Metadata of the response head.
        metadata: ResponseMetadata,
    },
    /// Further events of a stream were forwarded to the caller.
    ResponseProgressed {
        /// Request that the stream belongs to.
        request: LocalRequest,
        /// Events forwarded since the previous report.
        events: u32,
    },
    /// An attempt at an upstream ended, with or without a response.
    AttemptEnded {
        /// Request that was attempted.
        request: LocalRequest,
        /// Result of the attempt.
        outcome: AttemptOutcome,
    },
    /// A version of the configuration was read from the store or received from a neighbour.
    ConfigRead(Arc<DeclaredConfig>),
    /// A complete list of upstream registrations was read.
    UpstreamsRead(Vec<UpstreamEntry>),
    /// An upstream registration was added or changed.
    UpstreamWritten(UpstreamEntry),
    /// An upstream registration was removed.
    UpstreamRemoved(UpstreamLabel),
    /// The store confirmed that the rows of the configuration held here were current at a moment.
    ConfigConfirmed {
        /// The moment, by this daemon's clock.
        at: MonotonicTime,
    },
    /// A table was read, or a neighbour forwarded some of its rows.
    TableRead {
        /// Table that the rows belong to.
        table: SharedTable,
        /// How far the copy held here follows the table.
        position: TablePosition,
        /// Moment at which the store confirmed the rows; absent for rows that a neighbour
        /// forwarded.
        confirmed_at: Option<MonotonicTime>,
    },
    /// An operator ordered the evacuation of an availability zone.
    EvacuationOrdered(EvacuationOrder),
    /// An operator withdrew the evacuation of a zone; the position is that of the withdrawal.
    EvacuationWithdrawn(EvacuationOrder),
    /// A complete list of evacuation orders was read.
    EvacuationsRead {
        /// Orders in force.
        orders: Vec<EvacuationOrder>,
        /// Position of the store at the time of the read.
        revision: StorePosition,
    },
    /// A response of the store reported its era.
    StoreEraObserved(u64),
    /// Bounds were read from changed settings.
    BoundsRead(GatewayBounds),
    /// A call to the store failed.
    StoreFailed,
    /// An operator ordered a roll-out or changed its order.
    RolloutOrdered(RolloutOrder),
    /// The status of a roll-out was read from the store.
    RolloutStatusRead(RolloutStatus),
    /// The write of a roll-out's status completed or failed.
    RolloutWriteFinished {
        /// Service that is rolled out.
        service: ServiceLabel,
        /// The store confirmed the write.
        accepted: bool,
        /// Era of the store that responded.
        era: u64,
    },
    /// Another daemon sent its summary.
    SummaryReceived(Box<PeerSummary>),
    /// A daemon of another zone sent the digest of its zone.
    DigestReceived(Box<ZoneDigest>),
    /// A daemon of the own zone replied to a summary with its view of the zone.
    ViewReceived(Box<ZoneView>),
    /// Another daemon sent newer slots in use, its own or those of its zone.
    SlotsReceived(SlotUpdate),
    /// Addresses of possible peers were read from the settings.
    SeedsRead(Vec<PeerContact>),
    /// The list of daemons was read from the store.
    ContactsRead(Vec<PeerContact>),
    /// A member of the entry set sent a heartbeat.
    HeartbeatReceived(PeerHeartbeat),
    /// Another daemon reported requests under which upstreams crashed.
    CrashesReported(CrashGossip),
    /// Another daemon reported rate limits that upstreams had sent.
    LimitsReported(LimitGossip),
    /// The rows of quarantined requests were read from the store.
    QuarantineRead(Vec<QuarantineRow>),
    /// The write of a quarantined request's row completed or failed.
    QuarantineWriteFinished {
        /// The write in question.
        write: QuarantineWrite,
        /// The store confirmed the write.
        accepted: bool,
        /// Era of the store that responded.
        era: u64,
    },
    /// The head of a response made announcements, for a request of this daemon or of a peer.
    UpstreamAnnounced {
        /// Upstream that responded.
        upstream: UpstreamLabel,
        /// Identifier that the caller gave the request, for the log.
        request_id: String,
        /// What it announced.
        announcement: UpstreamAnnouncement,
    },
    /// A check of upstreams ended.
    UpstreamsChecked {
        /// Number of upstreams to which a connection could be opened.
        reached: usize,
    },
    /// A connection to an upstream could not be opened for a request of a peer.
    RelayConnectFailed(UpstreamLabel),
    /// An upstream began to respond to a request of a peer.
    RelayDecided {
        /// Upstream that responded.
        upstream: UpstreamLabel,
        /// Identifier that the caller gave the request, for the log.
        request_id: String,
        /// Number of the relayed request.
        number: u64,
        /// The upstream turned the request away.
        rejected: bool,
    },
    /// A request of a peer has ended.
    RelayEnded {
        /// Its upstream.
        upstream: UpstreamLabel,
        /// Number of the relayed request.
        number: u64,
        /// The upstream may have received it.
        sent: bool,
    },
    /// Resources of the host that this process uses were measured.
    LoadMeasured(HostResources),
    /// Another daemon has ended and is removed from the table of peers.
    PeerEnded(HostLabel),
    /// Periodic timer; fires every few milliseconds while requests wait.
    Tick,
    /// The process was asked to stop.
    StopRequested {
        /// Time until the process is killed.
        grace: Duration,
    },
    /// The process exits shortly: the requests that are still open get their final responses.
    StopForced,
}
