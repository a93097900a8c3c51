//! Request scheduling, gossip and roll-out decisions of a gateway daemon whose routes, teams and
//! upstreams are declared in a shared store.
//!
//! [`Gateway`] is a single reducer: it handles every event and returns effects as data. It reads no
//! clock and does no I/O, so equal events give equal effects.

mod affinity;
mod announcement;
mod arrival;
mod config;
mod coordination;
mod demand;
mod effect;
mod entry_set;
mod estimate;
mod evacuation;
mod event;
mod freshness;
mod gateway;
mod gossip;
mod health;
mod label;
mod latency;
mod lease;
mod limits;
mod message;
mod outlier;
mod overload;
mod peer;
mod placing;
mod position;
mod quarantine;
mod queue;
mod queueing;
mod reachability;
mod refusal;
mod region;
mod registration;
mod rejection_limit;
mod relay;
mod rendezvous;
mod retry_budget;
mod rollout;
mod selection;
mod stop;
mod store_reads;
mod team_limit;
mod upstream;
mod upstream_limit;
mod upstream_memory;
mod warmup;
mod zone;

pub use announcement::UpstreamAnnouncement;
pub use arrival::{ContentDigest, LocalRequest, PromptPart, RequestArrival, RequestSize};
pub use config::{
    CallerLimits, DeclaredConfig, EngineSpec, RetrySafety, RouteSpec, ServiceSpec, TeamLimit,
    TeamSpec, TrafficShare,
};
pub use coordination::{COORDINATORS, ViewContent, ViewMember, ViewZone, ZoneView};
pub use effect::{DispatchOrder, GatewayEffect};
pub use entry_set::{
    EntryCandidate, EntrySet, HostResources, MemberRanking, PeakLoad, rank_members, select_members,
};
pub use evacuation::{EvacuationOrder, EvacuationTable};
pub use event::{AttemptOutcome, GatewayEvent, ReportedLoad, ResponseMetadata, StreamInterruption};
pub use freshness::{FreshnessClock, StoreExchange};
pub use gateway::{Gateway, GatewayBounds, GatewayOptions, GatewayStatus};
pub use gossip::{
    GossipPlan, PeerContact, PeerMessage, ReportedDaemons, SlotPlan, uses_coordinators,
};
pub use health::{PaceReading, PaceReport, UpstreamPace};
pub use label::{
    HostLabel, RegionLabel, ServiceLabel, TeamLabel, UpstreamLabel, VersionLabel, ZoneLabel,
};
pub use lease::{LeaseShare, MemberLeases};
pub use limits::{
    OutageOrder, ReturnCause, ReturnCounters, ReturnKey, ReturnPolicy, ReturnPreference,
    ReturnPromise, ReturnQuery, ReturnSchedule, ReturningCallers, UsualLoad, WhenFull,
};
pub use message::{
    DaemonRole, PeerHeartbeat, PeerPhase, PeerSummary, SlotScope, SlotUpdate, SlotUse, TeamUse,
    VersionTally,
};
pub use outlier::OutlierState;
pub use overload::OverloadOptions;
pub use peer::{PeerTable, SlotTotal, name_digest};
pub use placing::{
    HoldCause, LoadRecord, MemberHistory, ReservationPolicy, ServiceUse, SlotClaim,
    SlotReservation, Vacancies, rank_claim,
};
pub use position::StorePosition;
pub use quarantine::{
    CrashGossip, CrashRecord, CrashReport, FailedAttempt, QUARANTINE_CRASHES, QuarantineChange,
    QuarantineRow, QuarantineTable, QuarantineVerdict, QuarantineWrite, ReportScope, ReportedCrash,
    RequestFingerprint, RequestFingerprints, StoredCrash,
};
pub use queue::{QueuePosition, QueueStage, RequestRank};
pub use queueing::{
    EarlyRefusal, LateWorkRule, OrderedRequest, QueueCounters, QueuePolicy, QueuedRequest,
    RankRate, RefusalCause, ReservationRule, UrgentRank, UrgentReservation, WaitingWork, WorkRates,
    early_refusals, expected_wait, order_requests,
};
pub use refusal::RefusalReason;
pub use region::{CallerLocation, RegionMap};
pub use registration::MemberRegistration;
pub use rejection_limit::SlotUsage;
pub use relay::RelayRefusal;
pub use retry_budget::{
    BudgetLevel, RetryBudget, RetryBudgetOptions, RetryCounters, RetryDecision,
};
pub use rollout::{
    PaceSums, RolloutEvidence, RolloutOrder, RolloutPhase, RolloutStatus, RolloutWrite,
    RouteDigest, RouteEvidence, UpstreamSketch,
};
pub use selection::RoutingPolicy;
pub use stop::{RequestEnd, StopSchedule};
pub use store_reads::{
    PeerEcho, ReadPlan, SharedTable, StoreAttestation, TableAttestation, TablePosition,
};
pub use team_limit::{
    BucketLevels, LimitQuery, LimitTolerance, LimitVerdict, PeerPresence, PeerUsage,
    PresenceReport, TeamLimiter,
};
pub use upstream::{UpstreamEntry, UpstreamFleet};
pub use upstream_limit::{
    LimitGossip, LimitObservation, LimitReport, ObservationSource, RateLimit, RejectionLimitReport,
    UpstreamLimit,
};
pub use warmup::{WarmupSpec, WarmupTolerance};
pub use zone::{ZoneDigest, ZoneMember};
