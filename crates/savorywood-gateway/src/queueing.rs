//! Order and admission of waiting requests under overload.
//!
//! The decisions are pure functions of the waiting requests and of the rates that this daemon
//! observed. They exchange no messages with other daemons.

mod early_refusal;
mod load;
mod order;
mod reservation;

pub use early_refusal::{EarlyRefusal, RefusalCause, WaitingWork, early_refusals, expected_wait};
pub use load::{ArrivedWork, DispatchedWork, RankRate, ServiceLoad, WorkRates};
pub use order::{LateWorkRule, OrderedRequest, QueuedRequest, order_requests};
pub use reservation::{ReservationRule, UrgentRank, UrgentReservation};

use crate::label::ServiceLabel;
use std::collections::BTreeMap;

/// Rules of the queue under overload. All but the defaults serve for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuePolicy {
    /// Place of requests that can no longer be in time.
    pub late_work: LateWorkRule,
    /// How many slots are kept free for more urgent requests.
    pub reservation: ReservationRule,
    /// Whether requests are refused before their time has passed.
    pub refuses_early: bool,
}

impl Default for QueuePolicy {
    fn default() -> Self {
        Self {
            late_work: LateWorkRule::default(),
            reservation: ReservationRule::default(),
            refuses_early: true,
        }
    }
}

/// Decisions of the queue, by cause, since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueCounters {
    /// Requests refused early because they cannot be complete by their deadline.
    pub refused_for_deadline: u64,
    /// Requests refused early because their callers would leave before the first event.
    pub refused_for_first_event: u64,
    /// Dispatches of requests that could no longer be in time.
    pub late_dispatches: u64,
}

impl QueueCounters {
    /// Iterates over the causes, as they appear in metrics, and their counts.
    pub fn iter(self) -> impl Iterator<Item = (&'static str, u64)> {
        [
            ("refused-for-deadline", self.refused_for_deadline),
            ("refused-for-first-event", self.refused_for_first_event),
            ("late-dispatch", self.late_dispatches),
        ]
        .into_iter()
    }
}

/// State of the queue decisions: the load of each service and the counters.
#[derive(Debug, Clone, Default)]
pub struct QueueController {
    /// Rules in force.
    pub policy: QueuePolicy,
    /// Load by service, as observed by this daemon.
    pub loads: BTreeMap<ServiceLabel, ServiceLoad>,
    /// Decisions by cause.
    pub counters: QueueCounters,
}
