//! Actions that the reducer of a gateway asks the I/O layer to perform.

use crate::{
    arrival::LocalRequest,
    label::{ServiceLabel, TeamLabel, UpstreamLabel},
    quarantine::QuarantineWrite,
    refusal::RefusalReason,
    rollout::RolloutWrite,
};
use savorywood_core::LogLine;
use savorywood_protocol::MonotonicTime;
use std::{net::SocketAddr, time::Duration};

/// One attempt to be dispatched to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchOrder {
    /// Request to be dispatched.
    pub request: LocalRequest,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Service that the request's route selected.
    pub service: ServiceLabel,
    /// Rank of the request's route; 0 is the most urgent.
    pub priority: u32,
    /// Upstream that receives the request.
    pub upstream: UpstreamLabel,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Team reported to the upstream; absent when the request's key belongs to no team.
    pub team: Option<TeamLabel>,
    /// Deadline of the attempt.
    pub give_up_at: MonotonicTime,
    /// Deadline of the request, until which a response that has begun continues.
    pub deadline_at: MonotonicTime,
    /// The response is a stream of events.
    pub stream: bool,
    /// Peers that relay the request, tried in this order; empty when the upstream is reached
    /// directly.
    pub relays: Vec<SocketAddr>,
    /// The request may be executed again even if an earlier attempt may have executed it.
    pub idempotent: bool,
}

/// Action that the reducer asks the I/O layer to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum GatewayEffect {
    /// Dispatch a request to an upstream.
    Dispatch(DispatchOrder),
    /// Respond to the caller with a refusal.
    Refuse {
        /// Request to be refused.
        request: LocalRequest,
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Retry-after delay sent to the caller; absent when none can be recommended, as when a
        /// retry could execute the request twice.
        retry_after: Option<Duration>,
    },
    /// Forward the failure response of the upstream to the caller.
    ForwardFailure {
        /// Request that failed.
        request: LocalRequest,
    },
    /// Cancel the attempt in flight: its upstream is stalled and another upstream has a free slot.
    AbandonAttempt {
        /// Request whose attempt is cancelled.
        request: LocalRequest,
    },
    /// End the attempt in flight as if its deadline had passed, unless its response has begun.
    ExpireAttempt {
        /// Request whose attempt ends.
        request: LocalRequest,
    },
    /// Abort a response of which a part has been sent to the caller.
    AbortResponse {
        /// Request whose response is aborted.
        request: LocalRequest,
        /// Reason for which the response is not continued.
        reason: RefusalReason,
    },
    /// Open connections to these addresses of upstreams and close them again.
    CheckUpstreams(Vec<SocketAddr>),
    /// Close the idle connections to upstreams.
    CloseIdleConnections,
    /// Write the status of a roll-out to the store.
    WriteRollout(RolloutWrite),
    /// Write or remove the row of a quarantined request in the store.
    WriteQuarantine(QuarantineWrite),
    /// Write a line to the log.
    Log(LogLine),
}
