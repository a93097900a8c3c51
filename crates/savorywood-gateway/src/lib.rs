//! Request scheduling, gossip and roll-out decisions of a gateway daemon whose routes, teams and
//! upstreams are declared in a shared store.
//!
//! [`Gateway`] is a single reducer: it handles every event and returns effects as data. It reads no
//! clock and does no I/O, so equal events give equal effects.

mod affinity;
mod arrival;
mod budget;
mod declared;
mod demand;
mod effect;
mod entry;
mod estimate;
mod evacuation;
mod event;
mod freshness;
mod gateway;
mod gossip;
mod lease;
mod limit;
mod message;
mod name;
mod outlier;
mod pace;
mod peer;
mod pick;
mod position;
mod quarantine;
mod queue;
mod rate_limit;
mod refusal;
mod region;
mod rendezvous;
mod rollout;
mod store_reads;
mod upstream;
mod warmup;
mod zone;

pub use arrival::{ContentDigest, LocalRequest, PromptPart, RequestArrival, RequestSize};
pub use budget::{BudgetOptions, RetryBudget};
pub use declared::{
    CallerLimits, DeclaredConfig, EngineSpec, RepeatKind, RouteSpec, ServiceSpec, TeamLimit,
    TeamSpec, TrafficShare,
};
pub use effect::{DispatchOrder, GatewayEffect};
pub use entry::{EntryCandidate, EntrySet, HostResources, LoadPeak, select_members};
pub use evacuation::{EvacuationBook, EvacuationOrder};
pub use event::{AttemptOutcome, GatewayEvent, ReportedLoad, ResponseMetadata, StreamInterruption};
pub use freshness::{FreshnessClock, StoreExchange};
pub use gateway::{Gateway, GatewayBounds, GatewayOptions, GatewayStatus};
pub use gossip::{GossipPlan, PeerContact, PeerMessage, SlotPlan};
pub use lease::{LeaseShare, MemberLeases};
pub use limit::{LimitTolerance, MeterLevels, MeterQuery, MeterVerdict, PeerReading, TeamMeter};
pub use message::{
    DaemonRole, PeerHeartbeat, PeerPhase, PeerSummary, SlotScope, SlotUpdate, SlotUse, TeamUse,
    VersionTally,
};
pub use name::{
    HostLabel, RegionLabel, ServiceLabel, TeamLabel, UpstreamLabel, VersionLabel, ZoneLabel,
};
pub use outlier::OutlierState;
pub use peer::{PeerTable, SlotTotal, name_digest};
pub use pick::RoutingPolicy;
pub use position::StorePosition;
pub use quarantine::{
    BrokenAttempt, CrashAge, CrashGossip, CrashMark, CrashReport, QUARANTINE_CRASHES,
    QuarantineBook, QuarantineChange, QuarantineRow, QuarantineVerdict, QuarantineWrite,
    ReportScope, RequestFingerprint, StoredCrash,
};
pub use queue::RequestRank;
pub use rate_limit::{
    LimitGossip, LimitReading, LimitReport, RateLimit, ReadingSource, UpstreamLimit,
};
pub use refusal::RefusalReason;
pub use region::{CallerPlace, RegionMap};
pub use rollout::{RolloutOrder, RolloutPhase, RolloutStatus, RolloutWrite};
pub use store_reads::{
    PeerEcho, ReadPlan, SharedTable, StoreAttestation, TableAttestation, TablePosition,
};
pub use upstream::{UpstreamEntry, UpstreamFleet};
pub use warmup::{WarmupSpec, WarmupTolerance};
pub use zone::{ZoneDigest, ZoneMember};
