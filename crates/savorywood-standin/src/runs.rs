//! A record of every request that a stand-in ran.

use crate::http;
use http_types::Request;
use savorywood_protocol::extension::{IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, STREAM_HEADER};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use strum::Display;

/// Runs kept at most; older ones are forgotten.
const MAX_RUNS: usize = 200_000;

/// How a run went.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RunState {
    /// Still working, or waiting for a place in the batch.
    Running,
    /// Done whole.
    Finished,
    /// Failed on purpose.
    Failed,
    /// Cancelled.
    Cancelled,
}

/// One request that reached a stand-in whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Place in the order of arrival, from one.
    pub sequence: u64,
    /// HTTP method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Value of `X-Request-Id`.
    pub request: Option<String>,
    /// Value of `X-Savorywood-Stream`.
    pub stream: Option<String>,
    /// Value of `Idempotency-Key`.
    pub key: Option<String>,
    /// How it went.
    pub state: RunState,
    /// Tokens generated.
    pub output_tokens: u32,
    /// How often a request of the same identity has run, this run included. The identity is
    /// the idempotency key, else the request id, else the stream.
    pub count: u32,
}

impl RunRecord {
    /// The record of a request that has just come.
    pub(crate) fn of(request: &Request) -> Self {
        let text = |name| http::header(request, name).map(str::to_owned);
        Self {
            sequence: 0,
            method: request.method().to_string(),
            path: request.url().path().to_owned(),
            request: text(REQUEST_ID_HEADER),
            stream: text(STREAM_HEADER),
            key: text(IDEMPOTENCY_KEY_HEADER),
            state: RunState::Running,
            output_tokens: 0,
            count: 0,
        }
    }

    fn identity(&self) -> Option<&str> {
        let key = self.key.as_deref();
        key.or(self.request.as_deref()).or(self.stream.as_deref())
    }
}

/// Answer of `GET /standin/runs`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// Requests that ever reached the stand-in whole.
    pub total: u64,
    /// The latest of them, in order.
    pub runs: Vec<RunRecord>,
}

/// The runs of one stand-in.
#[derive(Debug, Default)]
pub(crate) struct RunLedger {
    report: RunReport,
    counts: HashMap<String, u32>,
}

impl RunLedger {
    /// Records a run and returns its place in the order.
    pub(crate) fn begin(&mut self, mut run: RunRecord) -> u64 {
        self.report.total += 1;
        run.sequence = self.report.total;
        run.count = match run.identity() {
            Some(identity) => {
                let count = self.counts.entry(identity.to_owned()).or_default();
                *count += 1;
                *count
            }
            None => 1,
        };
        if self.report.runs.len() >= MAX_RUNS {
            self.report.runs.drain(..MAX_RUNS / 2);
        }
        self.report.runs.push(run);
        self.report.total
    }

    /// Records how a run went.
    pub(crate) fn end(&mut self, sequence: u64, state: RunState, output_tokens: u32) {
        let first = self.report.runs.first().map_or(0, |run| run.sequence);
        let index = usize::try_from(sequence.saturating_sub(first)).unwrap_or(usize::MAX);
        if let Some(run) = self.report.runs.get_mut(index) {
            run.state = state;
            run.output_tokens = output_tokens;
        }
    }

    pub(crate) fn report(&self) -> &RunReport {
        &self.report
    }
}
