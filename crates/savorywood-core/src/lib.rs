//! Deterministic state machines that make every decision of a daemon.
//!
//! The crate does no I/O, reads no clock and starts no thread. [`DaemonCore::step`] takes one
//! [`DaemonEvent`] and the current time and pushes [`DaemonEffect`]s, which a runtime (the I/O
//! layer) executes. The same events in the same order always produce the same effects.

pub mod burn;
pub mod claims;
pub mod config;
pub mod credits;
pub mod daemon;
pub mod discovery;
pub mod effect;
pub mod event;
pub mod intake;
pub mod invariant;
pub mod leases;
pub mod membership;
pub mod moves;
pub mod operator;
pub mod order;
pub mod orders;
pub mod rendezvous;
pub mod request;
pub mod resume;
pub mod scheduler;
pub mod snapshot;
pub mod stop;
pub mod view;

pub use burn::BurnTracker;
pub use daemon::{CoreOptions, DaemonCore};
pub use effect::{DaemonEffect, DispatchCommand, EffectQueue, LogField, LogLevel, LogLine};
pub use event::{
    CacheEvent, CacheEventBatch, CallerEvent, DaemonEvent, DutyKind, FailureCause, HostEntry,
    LoadReport, ResponseReport, TableCallId, TimerKey, UpstreamEvent,
};
pub use invariant::{InvariantName, InvariantViolation};
pub use operator::{OperatorCallId, OperatorReply, OperatorRequest};
pub use order::{OrderCallId, OrderResponse, UpstreamOrder};
pub use request::{
    PromptShape, QueuedRequest, RequestArrival, ResumeArrival, StoredResponse, TokenDigest,
};
pub use snapshot::ConfigSnapshot;
pub use view::{ConfigView, MemberRecord, MemberView, VersionSplit};
