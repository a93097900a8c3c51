//! What a whole daemon core costs as teams, upstreams and open requests grow.
//!
//! Run with `cargo run --release -p savorywood-core --example core_slopes -- TEAMS UPSTREAMS`, one case
//! a process, since memory is the growth of the process. Times are of one thread without the shell.
//! Columns: teams, upstreams, MB after the configuration was read, microseconds a request, KB an open
//! request, microseconds a second at rest.

use savorywood_core::{
    CallerEvent, CoreOptions, DaemonCore, DaemonEffect, DaemonEvent, DispatchCommand, DutyKind,
    EffectQueue, PromptShape, RequestArrival, ResponseReport, TableCallId, TimerKey, TokenDigest,
    UpstreamEvent,
    config::row::{HEAD_KEY, HeadRow, ResourceRow, row_key},
};
use savorywood_protocol::{
    ConfigRevision, CoreTime, HostIncarnation, MonotonicTime, RequestId, WallTime,
    resource::ResourceDocument,
    table::{TableResponse, TableRow},
};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    fs,
    time::{Duration, Instant},
};

/// Requests that are timed.
const REQUESTS: u32 = 20_000;

/// Requests that are open at once for the memory of one.
const OPEN_REQUESTS: u32 = 5_000;

/// Token events of each request, as a stream of a few packets gives.
const TOKEN_EVENTS: u32 = 16;

/// Time to the first token. Short, so that the timers of a daemon at rest hardly count.
const FIRST_TOKEN: Duration = Duration::from_micros(30);

/// Time between two token events.
const TOKEN_GAP: Duration = Duration::from_micros(5);

/// Bytes of a page, as `/proc/self/statm` counts.
const PAGE_BYTES: u64 = 4_096;

#[derive(Debug, Clone, Copy)]
struct SlopeCase {
    teams: u32,
    upstreams: u32,
}

#[derive(Debug, Clone, Copy)]
struct SlopeRow {
    config_bytes: u64,
    request_time: Duration,
    open_bytes: u64,
    tick_time: Duration,
}

fn main() {
    let mut arguments = std::env::args().skip(1).map(|text| text.parse().ok());
    let (Some(Some(teams)), Some(Some(upstreams))) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: core_slopes TEAMS UPSTREAMS");
        return;
    };
    let row = measure(SlopeCase { teams, upstreams });
    println!(
        "| {teams} | {upstreams} | {:.1} | {:.1} | {:.1} | {:.0} |",
        row.config_bytes as f64 / 1e6,
        row.request_time.as_secs_f64() * 1e6,
        row.open_bytes as f64 / 1e3,
        row.tick_time.as_secs_f64() * 1e6,
    );
}

fn measure(case: SlopeCase) -> SlopeRow {
    let before = resident_bytes();
    let mut rig = CoreRig::new();
    rig.configure(case);
    let configured = resident_bytes();
    // The first requests grow what the later ones reuse.
    for number in 0..REQUESTS / 10 {
        rig.request(number, case);
    }
    let started = Instant::now();
    for number in 0..REQUESTS {
        rig.request(REQUESTS + number, case);
    }
    let request_time = started.elapsed() / REQUESTS;
    let tick_time = rig.rest();
    let idle = resident_bytes();
    for number in 0..OPEN_REQUESTS {
        rig.arrive(10 * REQUESTS + number, case);
    }
    let open = resident_bytes();
    SlopeRow {
        config_bytes: configured.saturating_sub(before),
        request_time,
        open_bytes: open.saturating_sub(idle) / u64::from(OPEN_REQUESTS),
        tick_time,
    }
}

fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE_BYTES
}

/// One core with a clock that the rig moves.
struct CoreRig {
    core: DaemonCore,
    now: CoreTime,
    effects: EffectQueue,
    timers: BTreeMap<TimerKey, MonotonicTime>,
    calls: Vec<TableCallId>,
}

impl CoreRig {
    fn new() -> Self {
        let address = ([127, 0, 0, 1], 7_000).into();
        let options = CoreOptions {
            host: "entry-1".parse().expect("a name"),
            incarnation: HostIncarnation(1),
            zone: "zone-a".parse().expect("a name"),
            region: "region-1".parse().expect("a name"),
            peer_address: address,
            caller_address: address,
            address_max_age: Duration::from_secs(10),
            resume_key: None,
            seed: 7,
        };
        Self {
            core: DaemonCore::new(options),
            now: CoreTime {
                monotonic: MonotonicTime(1_000_000),
                wall: WallTime(1_780_000_000_000),
            },
            effects: EffectQueue::new(),
            timers: BTreeMap::new(),
            calls: Vec::new(),
        }
    }

    /// Steps the core and gives the dispatches that came of it.
    fn step(&mut self, event: DaemonEvent) -> Vec<DispatchCommand> {
        self.core.step(self.now, event, &mut self.effects);
        let mut orders = Vec::new();
        let effects: Vec<_> = self.effects.drain().collect();
        for effect in effects {
            match effect {
                DaemonEffect::Dispatch(order) => orders.push(order),
                DaemonEffect::SetTimer { key, at } => {
                    self.timers.insert(key, at);
                }
                DaemonEffect::InvariantViolated(breach) => panic!("{breach:?}"),
                DaemonEffect::Refuse { refusal, .. } => panic!("{refusal:?}"),
                DaemonEffect::CallTable { call, .. } => self.calls.push(call),
                _ => {}
            }
        }
        orders
    }

    fn configure(&mut self, case: SlopeCase) {
        self.step(DaemonEvent::Started);
        let rows = table_rows(case);
        for call in std::mem::take(&mut self.calls) {
            let read = match call.duty {
                DutyKind::Config => rows.clone(),
                _ => Vec::new(),
            };
            let response = TableResponse::Rows {
                revision: rows.len() as u64,
                rows: read,
                more: false,
            };
            self.step(DaemonEvent::Table { call, response });
        }
        drop(rows);
        let ready = self.core.readiness(self.now);
        assert!(ready.is_ok(), "{ready:?}");
    }

    fn arrive(&mut self, number: u32, case: SlopeCase) -> Vec<DispatchCommand> {
        let mut token = [0; 32];
        token[..4].copy_from_slice(&(number % case.teams).to_be_bytes());
        let arrival = RequestArrival {
            request: RequestId(u128::from(number) + 1),
            token: Some(TokenDigest(token)),
            service: "notes".to_owned(),
            method: "POST".to_owned(),
            path: "/v1/chat/completions".to_owned(),
            tier: None,
            deadline: None,
            idempotency_key: None,
            fingerprint: [0; 32],
            prompt: PromptShape {
                tokens: 200,
                prefix_hashes: vec![u64::from(number % 50), u64::from(number)],
                max_output_tokens: Some(64),
            },
        };
        self.step(DaemonEvent::Caller(CallerEvent::Arrived(Box::new(arrival))))
    }

    /// One request from arrival to the end of its answer.
    fn request(&mut self, number: u32, case: SlopeCase) {
        let orders = self.arrive(number, case);
        assert_eq!(orders.len(), 1, "a request at rest is sent at once");
        for order in orders {
            let request = order.request;
            let attempt = order.attempt;
            self.now = self.now.after(FIRST_TOKEN);
            self.step(DaemonEvent::Upstream(UpstreamEvent::FirstToken {
                request,
                attempt,
            }));
            for _ in 0..TOKEN_EVENTS {
                self.now = self.now.after(TOKEN_GAP);
                self.step(DaemonEvent::Upstream(UpstreamEvent::Tokens {
                    request,
                    attempt,
                    count: 4,
                }));
            }
            let report = ResponseReport {
                status: 200,
                prompt_tokens: 200,
                cached_tokens: 64,
                output_tokens: 64,
            };
            self.step(DaemonEvent::Upstream(UpstreamEvent::Finished {
                request,
                attempt,
                report,
            }));
        }
    }

    /// Time that the timers of one second take while nothing else happens.
    fn rest(&mut self) -> Duration {
        let end = self.now.monotonic + Duration::from_secs(10);
        let started = Instant::now();
        self.calls.clear();
        while let Some((key, at)) = self
            .timers
            .iter()
            .map(|(key, at)| (*key, *at))
            .min_by_key(|(_, at)| *at)
            .filter(|(_, at)| *at <= end)
        {
            self.timers.remove(&key);
            let wait = at.since(self.now.monotonic);
            self.now = self.now.after(wait);
            self.step(DaemonEvent::TimerFired(key));
            for call in std::mem::take(&mut self.calls) {
                let response = TableResponse::Rows {
                    rows: Vec::new(),
                    revision: 1,
                    more: false,
                };
                self.step(DaemonEvent::Table { call, response });
            }
        }
        started.elapsed() / 10
    }
}

/// The configuration as the table holds it.
fn table_rows(case: SlopeCase) -> Vec<TableRow> {
    let mut documents = vec![
        json!({"kind": "tier", "name": "usual", "spec": {"rank": 1}}),
        json!({"kind": "service", "name": "notes", "spec": {"protocol": "model"}}),
        json!({"kind": "version", "name": "v1", "spec": {"service": "notes"}}),
    ];
    documents.extend((0..case.teams).map(|number| {
        json!({"kind": "team", "name": format!("team-{number}"), "spec": {
            "token_sha256": format!("{number:08x}{:056x}", 0), "tiers": ["usual"]}})
    }));
    documents.extend((0..case.upstreams).map(|number| {
        json!({"kind": "upstream", "name": format!("engine-{number}"), "spec": {
            "address": format!("127.0.0.1:{}", 10_000 + number), "service": "notes",
            "version": "v1", "zone": "zone-a", "seats": 16}})
    }));
    let count = documents.len() as u64;
    let mut rows: Vec<_> = documents
        .into_iter()
        .zip(1..)
        .map(|(document, revision)| resource_row(document, revision))
        .collect();
    let head = HeadRow {
        revision: ConfigRevision(count),
        recent: Vec::new(),
    };
    rows.push(TableRow {
        key: HEAD_KEY.to_owned(),
        value: serde_json::to_string(&head).ok(),
        revision: count,
    });
    rows
}

fn resource_row(document: Value, revision: u64) -> TableRow {
    let document: ResourceDocument = serde_json::from_value(document).expect("a resource");
    let key = row_key(&document.key());
    let row = ResourceRow {
        revision: ConfigRevision(revision),
        nonce: savorywood_core::config::row::ChangeNonce(revision),
        document: Some(document),
    };
    TableRow {
        key,
        value: serde_json::to_string(&row).ok(),
        revision,
    }
}
