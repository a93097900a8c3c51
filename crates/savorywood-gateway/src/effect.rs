//! What a gateway wants done.

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

/// Sends a request to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchOrder {
    /// Which request.
    pub request: LocalRequest,
    /// Which send this is, from 1.
    pub attempt: u32,
    /// Service that it is for.
    pub service: ServiceLabel,
    /// Rank of its route, 0 is the most urgent.
    pub priority: u32,
    /// To whom.
    pub upstream: UpstreamLabel,
    /// Where.
    pub address: SocketAddr,
    /// Team that the upstream gets.
    pub team: Option<TeamLabel>,
    /// When it is given up.
    pub give_up_at: MonotonicTime,
    /// The answer is a stream of events.
    pub stream: bool,
    /// The request may run again after it may have run.
    pub idempotent: bool,
}

/// One thing that a gateway wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum GatewayEffect {
    /// Send a request.
    Dispatch(DispatchOrder),
    /// Give a request its final answer at once.
    Refuse {
        /// Which request.
        request: LocalRequest,
        /// Why.
        reason: RefusalReason,
        /// When the caller may come back.
        retry_after: Option<Duration>,
    },
    /// Pass on the failure that the upstream gave.
    ForwardFailure {
        /// Which request.
        request: LocalRequest,
    },
    /// End the attempt under way: its upstream is silent, and another one has a place.
    AbandonAttempt {
        /// Which request.
        request: LocalRequest,
    },
    /// Break off the answer that has begun.
    AbortResponse {
        /// Which request.
        request: LocalRequest,
    },
    /// Write the state of a roll-out.
    WriteRollout(RolloutWrite),
    /// Write or remove the row of a request in quarantine.
    WriteQuarantine(QuarantineWrite),
    /// Write a line to the log.
    Log(LogLine),
}
