//! Faults of an engine, settable at start and while it runs.

use crate::body::{LimitAction, ReadFault, ReadLimit};
use serde::{Deserialize, Serialize};

/// Body of `PUT /standin/faults` at an engine. Members left out have no fault.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaults {
    /// Share of requests answered with status 500, in thousandths.
    pub fail_per_mille: u16,
    /// Each request fails after this many have been taken.
    pub fail_after_requests: Option<u64>,
    /// Requests fail while more than this many are in the batch or wait for it.
    pub fail_above_load: Option<u32>,
    /// The connection stays open but carries nothing after this many tokens. The engine goes on:
    /// the stream can be resumed.
    pub stall_after_tokens: Option<u32>,
    /// The connection is closed without an end mark after this many tokens. The engine goes on:
    /// the stream can be resumed.
    pub close_after_tokens: Option<u32>,
    /// The answer ends in order, but without its end mark, after this many tokens. The engine
    /// goes on: the stream can be resumed.
    pub end_after_tokens: Option<u32>,
    /// The connection is closed before any answer, after the request was taken.
    pub drop_answers: bool,
    /// Path prefix to which the faults above are limited; `None` for all paths.
    pub only_route: Option<String>,
    /// All work takes this many thousandths of its time, as a bad version does.
    pub slow_per_mille: u32,
    /// All work takes this many thousandths of its time, as in a hot room.
    pub heat_per_mille: u32,
    /// The batch makes no progress at all.
    pub frozen: bool,
    /// Age of the load report, in milliseconds.
    pub load_lag_ms: u64,
    /// Age of the newest cache event given out, in milliseconds.
    pub cache_lag_ms: u64,
    /// Share of cache events lost, in thousandths.
    pub cache_loss_per_mille: u16,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            fail_per_mille: 0,
            fail_after_requests: None,
            fail_above_load: None,
            stall_after_tokens: None,
            close_after_tokens: None,
            end_after_tokens: None,
            drop_answers: false,
            only_route: None,
            slow_per_mille: 1_000,
            heat_per_mille: 1_000,
            frozen: false,
            load_lag_ms: 0,
            cache_lag_ms: 0,
            cache_loss_per_mille: 0,
        }
    }
}

/// What a request's failure may depend on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FaultContext<'a> {
    pub(crate) path: &'a str,
    /// Requests taken before this one.
    pub(crate) requests: u64,
    /// Requests in the batch and waiting for it.
    pub(crate) load: u32,
    /// A random number below one thousand.
    pub(crate) dice: u16,
}

impl EngineFaults {
    fn strikes(&self, path: &str) -> bool {
        let route = self.only_route.as_deref();
        route.is_none_or(|route| path.starts_with(route))
    }

    pub(crate) fn fails(&self, context: FaultContext<'_>) -> bool {
        let by_share = context.dice < self.fail_per_mille;
        let by_count = self
            .fail_after_requests
            .is_some_and(|after| context.requests >= after);
        let by_load = self.fail_above_load.is_some_and(|most| context.load > most);
        self.strikes(context.path) && (by_share || by_count || by_load)
    }

    pub(crate) fn drops_answer(&self, path: &str) -> bool {
        self.drop_answers && self.strikes(path)
    }

    pub(crate) fn read_fault(&self, path: &str) -> Option<ReadFault> {
        if !self.strikes(path) {
            return None;
        }
        let fault = |tokens, action| ReadFault {
            limit: ReadLimit::Tokens(tokens),
            action,
        };
        let close = self
            .close_after_tokens
            .map(|at| fault(at, LimitAction::Close));
        let end = self.end_after_tokens.map(|at| fault(at, LimitAction::End));
        let stall = self
            .stall_after_tokens
            .map(|at| fault(at, LimitAction::Stall));
        close.or(end).or(stall)
    }

    /// Both causes of slowness together, in thousandths.
    pub(crate) fn stretch_per_mille(&self) -> u32 {
        let both = u64::from(self.slow_per_mille) * u64::from(self.heat_per_mille) / 1_000;
        u32::try_from(both).unwrap_or(u32::MAX)
    }
}
