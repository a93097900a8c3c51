//! Faults of a plain service, settable at start and while it runs.

use crate::body::{LimitAction, ReadFault, ReadLimit};
use serde::{Deserialize, Serialize};

/// Body of `PUT /standin/faults` at a plain service. Members left out have no fault.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlainFaults {
    /// Time between the whole request and its answer, in milliseconds.
    pub latency_ms: u64,
    /// Share of requests answered with status 500, in thousandths. They count as run.
    pub fail_per_mille: u16,
    /// Each request fails after this many have been taken.
    pub fail_after_requests: Option<u64>,
    /// Requests fail while more than this many are under way.
    pub fail_above_load: Option<u32>,
    /// The connection is closed after this many bytes of the body.
    pub close_after_bytes: Option<usize>,
    /// The connection stays open but carries nothing after this many bytes of the body.
    pub stall_after_bytes: Option<usize>,
    /// The call runs, then the connection is closed without an answer, this many times.
    pub drop_answers: u32,
    /// Path prefix to which the faults above are limited; `None` for all paths.
    pub only_route: Option<String>,
}

/// What a request's failure may depend on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlainContext {
    /// Requests taken before this one.
    pub(crate) requests: u64,
    /// Requests under way, without this one.
    pub(crate) load: u32,
    /// A random number below one thousand.
    pub(crate) dice: u16,
}

impl PlainFaults {
    pub(crate) fn strikes(&self, path: &str) -> bool {
        let route = self.only_route.as_deref();
        route.is_none_or(|route| path.starts_with(route))
    }

    pub(crate) fn fails(&self, context: PlainContext) -> bool {
        let by_share = context.dice < self.fail_per_mille;
        let by_count = self
            .fail_after_requests
            .is_some_and(|after| context.requests >= after);
        let by_load = self
            .fail_above_load
            .is_some_and(|most| context.load >= most);
        by_share || by_count || by_load
    }

    pub(crate) fn read_fault(&self) -> Option<ReadFault> {
        let close = self.close_after_bytes.map(|bytes| ReadFault {
            limit: ReadLimit::Bytes(bytes),
            action: LimitAction::Close,
        });
        let stall = self.stall_after_bytes.map(|bytes| ReadFault {
            limit: ReadLimit::Bytes(bytes),
            action: LimitAction::Stall,
        });
        close.or(stall)
    }
}
