//! State of one engine as observed by the lease holder, and the next action for it.

use crate::order::{OrderCallId, OrderResponse};
use savorywood_protocol::{MonotonicTime, VersionName};
use std::time::Duration;

/// Interval between two reads of an engine that runs its declared version.
const READY_READ_INTERVAL: Duration = Duration::from_secs(10);

/// Interval between two reads of an engine that is loading or whose state is not known.
const LOADING_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout after which a call without a response is abandoned.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval after which an order is repeated if the engine still reports another version.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_secs(60);

/// An engine that is not ready for this long no longer counts as loading. Otherwise an engine that
/// crashed while loading would block the orders to all others.
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);

/// State that an engine reported last.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ReportedState {
    version: VersionName,
    ready: bool,
}

/// An order that was sent in this term.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SentOrder {
    version: VersionName,
    at: MonotonicTime,
}

/// A call in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct EngineCall {
    call: OrderCallId,
    sent_at: MonotonicTime,
}

/// Next action for an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EngineAction {
    Nothing,
    Read,
    Order,
}

/// State of one engine as observed in the current lease term.
#[derive(Debug, Default)]
pub(super) struct EngineRecord {
    report: Option<ReportedState>,
    last_order: Option<SentOrder>,
    call: Option<EngineCall>,
    last_call_at: Option<MonotonicTime>,
    loading_since: Option<MonotonicTime>,
}

impl EngineRecord {
    pub(super) fn is_current_call(&self, call: OrderCallId) -> bool {
        self.call.is_some_and(|current| current.call == call)
    }

    pub(super) fn handle_response(&mut self, now: MonotonicTime, response: OrderResponse) {
        self.call = None;
        match response {
            OrderResponse::Running { version, ready, .. } => {
                let last_order = self.last_order.as_ref();
                let is_loaded =
                    ready && last_order.is_none_or(|last_order| last_order.version == version);
                if is_loaded {
                    self.loading_since = None;
                } else {
                    self.loading_since.get_or_insert(now);
                }
                self.report = Some(ReportedState { version, ready });
            }
            // The engine may or may not have accepted the order. Its state must be read before
            // another engine may load, although repeating the order at once would be harmless.
            OrderResponse::Lost | OrderResponse::Fenced { .. } => self.report = None,
        }
    }

    /// Whether the engine is loading, or may be because an order was sent and its effect has not
    /// been read back yet.
    pub(super) fn may_load(&self, now: MonotonicTime) -> bool {
        self.loading_since
            .is_some_and(|since| now.since(since) < LOAD_TIMEOUT)
    }

    pub(super) fn is_ready(&self) -> bool {
        self.report.as_ref().is_some_and(|report| report.ready)
    }

    /// Returns the next action for an engine whose resource declares this version.
    pub(super) fn next_action(&self, now: MonotonicTime, declared: &VersionName) -> EngineAction {
        let call_pending = self
            .call
            .is_some_and(|call| now.since(call.sent_at) < CALL_TIMEOUT);
        if call_pending {
            return EngineAction::Nothing;
        }
        let Some(report) = &self.report else {
            return self.read_after(now, LOADING_READ_INTERVAL);
        };
        let matches = report.version == *declared;
        let last_order = self
            .last_order
            .as_ref()
            .filter(|last_order| last_order.version == *declared);
        match (matches, report.ready) {
            (true, true) => self.read_after(now, READY_READ_INTERVAL),
            (true, false) => self.read_after(now, LOADING_READ_INTERVAL),
            (false, _)
                if last_order
                    .is_some_and(|last_order| now.since(last_order.at) < ORDER_RETRY_INTERVAL) =>
            {
                self.read_after(now, LOADING_READ_INTERVAL)
            }
            (false, _) => EngineAction::Order,
        }
    }

    fn read_after(&self, now: MonotonicTime, period: Duration) -> EngineAction {
        let is_due = self.last_call_at.is_none_or(|at| now.since(at) >= period);
        if is_due {
            EngineAction::Read
        } else {
            EngineAction::Nothing
        }
    }

    /// Records a call that was sent. `ordered` is the version that it orders; `None` for a read.
    pub(super) fn record_call(
        &mut self,
        now: MonotonicTime,
        call: OrderCallId,
        ordered: Option<VersionName>,
    ) {
        self.last_call_at = Some(now);
        self.call = Some(EngineCall { call, sent_at: now });
        if let Some(version) = ordered {
            self.last_order = Some(SentOrder { version, at: now });
            self.loading_since = Some(now);
        }
    }
}
