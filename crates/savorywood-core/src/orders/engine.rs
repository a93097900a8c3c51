//! What the holder knows of one engine in this term.

use crate::order::{OrderCallId, OrderResponse};
use savorywood_protocol::{MonotonicTime, VersionName};
use std::time::Duration;

/// Between two reads of an engine that runs what it should.
const CALM_PERIOD: Duration = Duration::from_secs(10);

/// Between two reads of an engine that loads.
const LOADING_PERIOD: Duration = Duration::from_secs(1);

/// A call whose answer has not come for so long is given up.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// An order that an engine seems not to follow is given again after this time.
const REPEAT_AFTER: Duration = Duration::from_secs(60);

/// An engine that is not ready for so long no longer counts as loading: one that died while it
/// loaded would otherwise keep all others from being changed.
const LOAD_LIMIT: Duration = Duration::from_secs(600);

/// What an engine said last.
#[derive(Debug, Clone, PartialEq, Eq)]
struct EngineReport {
    version: VersionName,
    ready: bool,
}

/// An order that was given in this term.
#[derive(Debug, Clone, PartialEq, Eq)]
struct GivenOrder {
    version: VersionName,
    at: MonotonicTime,
}

/// A call under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct EngineCall {
    call: OrderCallId,
    sent_at: MonotonicTime,
}

/// What must be done with an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EngineNeed {
    Nothing,
    Read,
    Order,
}

/// What the holder knows of one engine in this term.
#[derive(Debug, Default)]
pub(super) struct EngineRecord {
    report: Option<EngineReport>,
    given: Option<GivenOrder>,
    call: Option<EngineCall>,
    asked_at: Option<MonotonicTime>,
    loading_since: Option<MonotonicTime>,
}

impl EngineRecord {
    pub(super) fn owns(&self, call: OrderCallId) -> bool {
        self.call.is_some_and(|current| current.call == call)
    }

    pub(super) fn answered(&mut self, now: MonotonicTime, response: OrderResponse) {
        self.call = None;
        match response {
            OrderResponse::Running { version, ready, .. } => {
                let given = self.given.as_ref();
                let done = ready && given.is_none_or(|given| given.version == version);
                if done {
                    self.loading_since = None;
                } else {
                    self.loading_since.get_or_insert(now);
                }
                self.report = Some(EngineReport { version, ready });
            }
            // The order may or may not have been taken. Giving it again at once would be harmless
            // to the engine, but its state must be known before another engine may load.
            OrderResponse::Lost | OrderResponse::Fenced { .. } => self.report = None,
        }
    }

    /// Whether the engine loads, or may do so because an order was given and not yet read back.
    pub(super) fn may_load(&self, now: MonotonicTime) -> bool {
        self.loading_since
            .is_some_and(|since| now.since(since) < LOAD_LIMIT)
    }

    pub(super) fn is_ready(&self) -> bool {
        self.report.as_ref().is_some_and(|report| report.ready)
    }

    pub(super) fn need(&self, now: MonotonicTime, wanted: &VersionName) -> EngineNeed {
        let waiting = self
            .call
            .is_some_and(|call| now.since(call.sent_at) < CALL_LIMIT);
        if waiting {
            return EngineNeed::Nothing;
        }
        let Some(report) = &self.report else {
            return self.read_after(now, LOADING_PERIOD);
        };
        let right = report.version == *wanted;
        let given = self.given.as_ref().filter(|given| given.version == *wanted);
        match (right, report.ready) {
            (true, true) => self.read_after(now, CALM_PERIOD),
            (true, false) => self.read_after(now, LOADING_PERIOD),
            (false, _) if given.is_some_and(|given| now.since(given.at) < REPEAT_AFTER) => {
                self.read_after(now, LOADING_PERIOD)
            }
            (false, _) => EngineNeed::Order,
        }
    }

    fn read_after(&self, now: MonotonicTime, period: Duration) -> EngineNeed {
        let due = self.asked_at.is_none_or(|at| now.since(at) >= period);
        if due {
            EngineNeed::Read
        } else {
            EngineNeed::Nothing
        }
    }

    pub(super) fn sent(
        &mut self,
        now: MonotonicTime,
        call: OrderCallId,
        ordered: Option<VersionName>,
    ) {
        self.asked_at = Some(now);
        self.call = Some(EngineCall { call, sent_at: now });
        if let Some(version) = ordered {
            self.given = Some(GivenOrder { version, at: now });
            self.loading_since = Some(now);
        }
    }
}
