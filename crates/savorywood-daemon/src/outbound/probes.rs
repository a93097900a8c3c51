//! Asks upstreams for their load and their cache events, within a budget.
//!
//! Both are late hints. Asking every upstream from every daemon would cost 350 x 600 calls a
//! round, so each daemon asks a fixed number of upstreams a second, in turn, and only those that
//! can answer.

use crate::daemon::DaemonShared;
use http_types::Method;
use savorywood_core::{CacheEvent, CacheEventBatch, DaemonEvent, LoadReport, UpstreamEvent};
use savorywood_http::CallRequest;
use savorywood_protocol::{
    UpstreamName,
    extension::{
        CACHE_EVENTS_PATH, CacheEventDocument, CacheEventsDocument, LOAD_PATH, LoadDocument,
    },
    resource::UpstreamExtension,
};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

/// Time between two calls: four a second, some 2 KB/s.
const PROBE_PERIOD: Duration = Duration::from_millis(250);

/// Time for one call.
const PROBE_TIME: Duration = Duration::from_millis(500);

/// Largest batch of cache events that is read, in bytes.
const MAX_EVENTS_BYTES: usize = 256 * 1_024;

/// What is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ProbeKind {
    Load,
    CacheEvents,
}

/// One thing to ask.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ProbeTarget {
    upstream: UpstreamName,
    kind: ProbeKind,
    address: SocketAddr,
}

/// Asks for good.
pub async fn probe_for_good(shared: Arc<DaemonShared>) {
    let mut prober = UpstreamProber {
        shared,
        last: None,
        sequences: BTreeMap::new(),
    };
    loop {
        prober.shared.driver.clock().sleep(PROBE_PERIOD).await;
        if let Some(target) = prober.next_target() {
            prober.probe(&target).await;
            prober.last = Some(target);
        }
    }
}

struct UpstreamProber {
    shared: Arc<DaemonShared>,
    last: Option<ProbeTarget>,
    sequences: BTreeMap<UpstreamName, u64>,
}

impl UpstreamProber {
    /// The target after the last one, in order, and the first again after all.
    fn next_target(&mut self) -> Option<ProbeTarget> {
        let config = self.shared.driver.config();
        let mut targets = Vec::new();
        for (name, spec) in &config.upstreams {
            for extension in &spec.extensions {
                let kind = match extension {
                    UpstreamExtension::Load => ProbeKind::Load,
                    UpstreamExtension::CacheEvents => ProbeKind::CacheEvents,
                    _ => continue,
                };
                targets.push(ProbeTarget {
                    upstream: name.clone(),
                    kind,
                    address: spec.address,
                });
            }
        }
        targets.sort_unstable();
        self.sequences
            .retain(|upstream, _| config.upstreams.contains_key(upstream));
        let last = self.last.as_ref();
        let next = targets
            .iter()
            .find(|target| last.is_none_or(|last| *target > last));
        next.or(targets.first()).cloned()
    }

    async fn probe(&mut self, target: &ProbeTarget) {
        let path = match target.kind {
            ProbeKind::Load => LOAD_PATH.to_owned(),
            ProbeKind::CacheEvents => {
                let after = self.sequences.get(&target.upstream).copied();
                format!("{CACHE_EVENTS_PATH}?after={}", after.unwrap_or_default())
            }
        };
        let mut call = CallRequest::new(target.address, Method::Get, path);
        call.timeout = PROBE_TIME;
        call.answer_bytes = MAX_EVENTS_BYTES;
        let body = match self.shared.client.call(&call).await {
            Ok(answer) if answer.status == 200 => answer.body,
            Ok(answer) => return log_failure(target, &format!("status {}", answer.status)),
            Err(error) => return log_failure(target, &error.to_string()),
        };
        match target.kind {
            ProbeKind::Load => self.take_load(target, &body),
            ProbeKind::CacheEvents => self.take_events(target, &body),
        }
    }

    fn take_load(&self, target: &ProbeTarget, body: &[u8]) {
        let Ok(document) = serde_json::from_slice::<LoadDocument>(body) else {
            return log_failure(target, "not a load report");
        };
        let report = LoadReport {
            running: document.running,
            waiting: document.waiting,
            kv_used_per_mille: document.kv_used_per_mille,
            age: Duration::from_millis(document.age_ms),
        };
        let upstream = target.upstream.clone();
        let event = UpstreamEvent::LoadReported { upstream, report };
        self.shared.driver.step(DaemonEvent::Upstream(event));
    }

    fn take_events(&mut self, target: &ProbeTarget, body: &[u8]) {
        let Ok(document) = serde_json::from_slice::<CacheEventsDocument>(body) else {
            return log_failure(target, "not a batch of cache events");
        };
        if document.events.is_empty() {
            return;
        }
        let next = document.first_sequence + document.events.len() as u64 - 1;
        self.sequences.insert(target.upstream.clone(), next);
        let batch = CacheEventBatch {
            first_sequence: document.first_sequence,
            events: document.events.iter().map(cache_event).collect(),
        };
        let upstream = target.upstream.clone();
        let event = UpstreamEvent::CacheChanged { upstream, batch };
        self.shared.driver.step(DaemonEvent::Upstream(event));
    }
}

fn cache_event(document: &CacheEventDocument) -> CacheEvent {
    match document {
        CacheEventDocument::Stored { block } => CacheEvent::Stored(block.0),
        CacheEventDocument::Removed { block } => CacheEvent::Removed(block.0),
        CacheEventDocument::Cleared => CacheEvent::Cleared,
    }
}

fn log_failure(target: &ProbeTarget, reason: &str) {
    log::debug!(
        "event=probe-failed upstream={} error={reason:?}",
        target.upstream
    );
}
