//! Compares what callers were told with what the stand-ins ran.

use super::TrafficLedger;
use http_types::Method;
use savorywood_http::{CallRequest, ClientLimits, HttpClient};
use serde::Deserialize;
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
};

/// Path of a stand-in's record.
const RUNS_PATH: &str = "/standin/runs";

#[derive(Debug, Deserialize)]
struct RunReport {
    runs: Vec<RunEntry>,
}

#[derive(Debug, Deserialize)]
struct RunEntry {
    request: Option<String>,
    key: Option<String>,
}

/// What the comparison showed.
#[derive(Debug, Default)]
pub struct RunAudit {
    /// Refusals that said "not run" although a stand-in ran the request.
    pub false_refusals: usize,
    /// Requests that ran more than once, by key or by identity.
    pub doubled: usize,
    /// Stand-ins whose record could not be read.
    pub unread: usize,
}

impl RunAudit {
    /// Reads the records of all stand-ins.
    pub async fn collect(standins: &[SocketAddr], ledger: &TrafficLedger) -> Self {
        let client = HttpClient::new(ClientLimits::default());
        let mut audit = Self::default();
        let mut counts: HashMap<String, usize> = HashMap::new();
        let mut requests = HashSet::new();
        for standin in standins {
            let call = CallRequest::new(*standin, Method::Get, RUNS_PATH);
            let answer = client.call(&call).await;
            let report = answer.ok().and_then(|answer| parse(&answer.body));
            let Some(report) = report else {
                audit.unread += 1;
                continue;
            };
            for run in report.runs {
                if let Some(identity) = run.key.or_else(|| run.request.clone()) {
                    *counts.entry(identity).or_default() += 1;
                }
                requests.extend(run.request);
            }
        }
        audit.doubled = counts.values().filter(|count| **count > 1).count();
        let false_refusals = ledger.not_run.iter();
        audit.false_refusals = false_refusals
            .filter(|request| requests.contains(*request))
            .count();
        audit
    }

    /// Whether nothing was found and all was read.
    pub fn is_clean(&self) -> bool {
        self.false_refusals == 0 && self.doubled == 0 && self.unread == 0
    }
}

fn parse(body: &[u8]) -> Option<RunReport> {
    serde_json::from_slice(body).ok()
}
