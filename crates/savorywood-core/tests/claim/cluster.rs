//! Simulates the claim states of several daemons over an in-memory table that loses responses.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorywood_core::{
    DaemonEffect, EffectQueue, FailureCause, MemberView, PromptShape, QueuedRequest,
    ResponseReport, StoredResponse, TimerKey, UpstreamEvent,
    claims::{ClaimDecision, ClaimEvent, ClaimOptions, ClaimRequest, ClaimState, ClaimView},
};
use savorywood_protocol::{
    AttemptNumber, CoreTime, HostIncarnation, HostName, MonotonicTime, OutcomeKind, RequestId,
    RequestRefusal, TierRank, WallTime,
    resource::ClaimRetention,
    table::{CommitRevision, RowKey, TableCommit, TableRequest, TableResponse, TableRow},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use uuid::Uuid;

/// Probabilities of faults, each from 0 to 1. `unavailable` and `lost_responses` apply to each
/// table call, `crashes` to each random step and `broken_requests` to each attempt that ends.
#[derive(Debug, Clone, Copy)]
pub struct ClaimFaults {
    pub lost_responses: f64,
    pub unavailable: f64,
    pub crashes: f64,
    pub broken_requests: f64,
}

impl ClaimFaults {
    pub fn all() -> Self {
        Self {
            lost_responses: 0.25,
            unavailable: 0.1,
            crashes: 0.02,
            broken_requests: 0.2,
        }
    }

    pub fn none() -> Self {
        Self {
            lost_responses: 0.0,
            unavailable: 0.0,
            crashes: 0.0,
            broken_requests: 0.0,
        }
    }
}

/// An in-memory table with atomic commits.
#[derive(Debug, Default)]
pub struct FakeTable {
    rows: BTreeMap<RowKey, TableRow>,
    revision: CommitRevision,
}

impl FakeTable {
    pub fn execute(&mut self, request: &TableRequest) -> TableResponse {
        match request {
            TableRequest::Get { keys } => {
                let rows = keys.iter().filter_map(|key| self.rows.get(key));
                self.rows_response(rows.filter(|row| row.value.is_some()).cloned().collect())
            }
            TableRequest::Scan {
                prefix,
                after,
                limit,
            } => {
                let rows = self.rows.values().filter(|row| row.key.starts_with(prefix));
                let mut rows: Vec<_> = rows.filter(|row| row.revision > *after).cloned().collect();
                rows.sort_by_key(|row| row.revision);
                rows.truncate(*limit as usize);
                self.rows_response(rows)
            }
            TableRequest::Commit(commit) => self.commit(commit),
        }
    }

    fn rows_response(&self, rows: Vec<TableRow>) -> TableResponse {
        TableResponse::Rows {
            rows,
            revision: self.revision,
            more: false,
        }
    }

    fn commit(&mut self, commit: &TableCommit) -> TableResponse {
        let failed: Vec<_> = commit
            .conditions
            .iter()
            .filter(|condition| self.live_revision(&condition.key) != condition.revision)
            .collect();
        if !failed.is_empty() {
            let rows = failed.iter().filter_map(|c| self.rows.get(&c.key));
            return TableResponse::Conflict {
                rows: rows.cloned().collect(),
            };
        }
        self.revision += 1;
        for write in &commit.writes {
            let row = TableRow {
                key: write.key.clone(),
                value: write.value.clone(),
                revision: self.revision,
            };
            self.rows.insert(write.key.clone(), row);
        }
        TableResponse::Committed {
            revision: self.revision,
        }
    }

    fn live_revision(&self, key: &RowKey) -> Option<CommitRevision> {
        let row = self.rows.get(key)?;
        row.value.as_ref().map(|_| row.revision)
    }

    pub fn live_rows(&self) -> usize {
        self.rows.values().filter(|row| row.value.is_some()).count()
    }
}

#[derive(Debug)]
struct FakeDaemon {
    claims: ClaimState,
    /// Incarnation of the daemon; calls of an earlier one get no response.
    incarnation: u64,
    timers: BTreeMap<TimerKey, MonotonicTime>,
    running: BTreeMap<RequestId, AttemptNumber>,
}

/// A table call whose response has not been delivered yet.
#[derive(Debug, Clone)]
struct PendingCall {
    daemon: usize,
    incarnation: u64,
    number: u64,
    request: TableRequest,
}

/// The daemons, their table, the callers' requests and what became of them.
#[derive(Debug)]
pub struct ClaimCluster {
    pub faults: ClaimFaults,
    pub now: CoreTime,
    pub table: FakeTable,
    pub refusals: Vec<(RequestId, RequestRefusal)>,
    pub replays: BTreeSet<RequestId>,
    daemons: Vec<FakeDaemon>,
    pending_calls: Vec<PendingCall>,
    /// Calls reported as lost that may still take effect.
    delayed_writes: Vec<TableRequest>,
    keys: Vec<String>,
    /// Index of the key that each request carries.
    key_by_request: BTreeMap<RequestId, usize>,
    /// Dispatches of each request that may have reached the upstream.
    possible_executions: BTreeMap<RequestId, usize>,
    last_request: u128,
    rng: ChaCha8Rng,
    members: MemberView,
}

const DAEMON_COUNT: usize = 3;
const KEY_COUNT: usize = 4;

impl ClaimCluster {
    pub fn new(seed: u64, faults: ClaimFaults) -> Self {
        let now = CoreTime {
            monotonic: MonotonicTime(1_000_000),
            wall: WallTime(1_780_000_000_000),
        };
        let mut cluster = Self {
            faults,
            now,
            table: FakeTable::default(),
            refusals: Vec::new(),
            replays: BTreeSet::new(),
            daemons: Vec::new(),
            pending_calls: Vec::new(),
            delayed_writes: Vec::new(),
            keys: Vec::new(),
            key_by_request: BTreeMap::new(),
            possible_executions: BTreeMap::new(),
            last_request: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            members: MemberView::default(),
        };
        for number in 0..KEY_COUNT {
            let random = (number as u128) << 8 | 0x8000_0000_0000_0000;
            let key = u128::from(now.wall.0) << 80 | 7 << 76 | random;
            cluster.keys.push(Uuid::from_u128(key).to_string());
        }
        for number in 0..DAEMON_COUNT {
            cluster.daemons.push(new_daemon(number, 1));
        }
        cluster
    }

    /// Takes random steps.
    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.random_step();
        }
    }

    /// Runs until no table call is pending and no claim is open, for 4,000 steps at most. Submits
    /// no new requests.
    pub fn run_until_idle(&mut self) {
        for _ in 0..4_000 {
            let idle = self.pending_calls.is_empty() && self.open_claims() == 0;
            if idle {
                return;
            }
            match self.rng.random_range(0..3) {
                0 => self.deliver(),
                1 => self.end_attempt(),
                _ => self.advance_time(),
            }
        }
    }

    fn random_step(&mut self) {
        if self.rng.random_bool(self.faults.crashes) {
            let number = self.rng.random_range(0..DAEMON_COUNT);
            let incarnation = self.daemons[number].incarnation + 1;
            self.daemons[number] = new_daemon(number, incarnation);
            return;
        }
        match self.rng.random_range(0..10) {
            0 | 1 => self.submit_request(),
            2..=4 => self.deliver(),
            5 | 6 => self.end_attempt(),
            7 => self.apply_delayed_write(),
            _ => self.advance_time(),
        }
    }

    pub fn submit_request(&mut self) {
        let key = self.rng.random_range(0..KEY_COUNT);
        let daemon = self.rng.random_range(0..DAEMON_COUNT);
        self.last_request += 1;
        let request = RequestId(self.last_request);
        self.key_by_request.insert(request, key);
        let claim = ClaimRequest {
            request: queued_request(request, self.now.monotonic),
            key: self.keys[key].clone(),
            fingerprint: [7; 32],
            retention: ClaimRetention::Seconds(86_400),
        };
        self.step(daemon, ClaimEvent::Requested(Box::new(claim)));
    }

    fn deliver(&mut self) {
        if self.pending_calls.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.pending_calls.len());
        let call = self.pending_calls.swap_remove(index);
        let answer = if self.rng.random_bool(self.faults.unavailable) {
            TableResponse::Unavailable
        } else if self.rng.random_bool(self.faults.lost_responses) {
            match self.rng.random_range(0..3) {
                0 => drop(self.table.execute(&call.request)),
                1 => self.delayed_writes.push(call.request.clone()),
                _ => {}
            }
            TableResponse::Lost
        } else {
            self.table.execute(&call.request)
        };
        if self.daemons[call.daemon].incarnation == call.incarnation {
            let number = call.number;
            self.step(call.daemon, ClaimEvent::Table { number, answer });
        }
    }

    /// Applies a write whose response was reported as lost long before.
    fn apply_delayed_write(&mut self) {
        if let Some(request) = self.delayed_writes.pop() {
            self.table.execute(&request);
        }
    }

    fn end_attempt(&mut self) {
        let daemon = self.rng.random_range(0..DAEMON_COUNT);
        let running = self.daemons[daemon].running.pop_first();
        let Some((request, attempt)) = running else {
            return;
        };
        if self.rng.random_bool(self.faults.broken_requests) {
            let is_unsent = self.rng.random_bool(0.5);
            if is_unsent {
                *self
                    .possible_executions
                    .get_mut(&request)
                    .expect("a dispatch count") -= 1;
                let event = UpstreamEvent::NotSent { request, attempt };
                self.step(daemon, ClaimEvent::Upstream(event));
                self.step(daemon, ClaimEvent::Closed { request });
            } else {
                let cause = FailureCause::Connection;
                let event = UpstreamEvent::Failed {
                    request,
                    attempt,
                    cause,
                };
                self.step(daemon, ClaimEvent::Upstream(event));
            }
            return;
        }
        let answer = Box::new(StoredResponse {
            status: 201,
            content_type: "text/plain".to_owned(),
            body: Some(b"charged".to_vec()),
        });
        self.step(daemon, ClaimEvent::ResponseReceived { request, answer });
        let report = ResponseReport {
            status: 201,
            ..ResponseReport::default()
        };
        let event = UpstreamEvent::Finished {
            request,
            attempt,
            report,
        };
        self.step(daemon, ClaimEvent::Upstream(event));
    }

    pub fn advance_time(&mut self) {
        let millis = self.rng.random_range(1..400);
        self.now = self.now.after(Duration::from_millis(millis));
        for daemon in 0..DAEMON_COUNT {
            let timers = &mut self.daemons[daemon].timers;
            let due: Vec<_> = timers
                .iter()
                .filter(|(_, at)| **at <= self.now.monotonic)
                .map(|(key, _)| *key)
                .collect();
            for key in due {
                self.daemons[daemon].timers.remove(&key);
                let number = key.number;
                self.step(daemon, ClaimEvent::TimerFired { number });
            }
        }
    }

    fn step(&mut self, daemon: usize, event: ClaimEvent) {
        let mut effects = EffectQueue::new();
        let view = ClaimView {
            members: &self.members,
        };
        let claims = &mut self.daemons[daemon].claims;
        let decisions = claims.step(self.now, event, view, &mut effects);
        for ClaimDecision::Granted(request) in decisions {
            self.dispatch(daemon, request.request, &mut effects);
        }
        let incarnation = self.daemons[daemon].incarnation;
        for effect in effects.drain() {
            match effect {
                DaemonEffect::CallTable { call, request } => self.pending_calls.push(PendingCall {
                    daemon,
                    incarnation,
                    number: call.number,
                    request,
                }),
                DaemonEffect::SetTimer { key, at } => {
                    self.daemons[daemon].timers.insert(key, at);
                }
                DaemonEffect::Refuse { request, refusal } => {
                    self.refusals.push((request, refusal));
                }
                DaemonEffect::Replay { request, response } => {
                    assert_eq!(response.body.as_deref(), Some(&b"charged"[..]));
                    self.replays.insert(request);
                }
                DaemonEffect::InvariantViolated(breach) => panic!("{breach:?}"),
                _ => {}
            }
        }
    }

    fn dispatch(&mut self, daemon: usize, request: RequestId, effects: &mut EffectQueue) {
        let claims = &mut self.daemons[daemon].claims;
        assert!(claims.authorize_dispatch(request, false, effects));
        *self.possible_executions.entry(request).or_default() += 1;
        let running = &mut self.daemons[daemon].running;
        running.insert(request, AttemptNumber(0));
    }

    /// Counts, for each key, the dispatches that may have reached the upstream.
    fn executions(&self) -> BTreeMap<usize, usize> {
        let mut executions = BTreeMap::new();
        for (request, count) in &self.possible_executions {
            *executions.entry(self.key_by_request[request]).or_default() += count;
        }
        executions
    }

    /// Panics if a key may have been executed twice, or if a request reported as not run may have
    /// been executed.
    pub fn check_invariants(&self) {
        for (key, executions) in self.executions() {
            assert!(executions <= 1, "key {key} ran {executions} times");
        }
        for (request, refusal) in &self.refusals {
            let ran = self
                .possible_executions
                .get(request)
                .is_some_and(|count| *count > 0);
            let not_run = refusal.outcome == OutcomeKind::NotRun;
            assert!(!(not_run && ran), "{request} ran: {refusal:?}");
        }
    }

    /// Returns the number of keys that may have been executed.
    pub fn executed_keys(&self) -> usize {
        self.executions()
            .values()
            .filter(|executions| **executions > 0)
            .count()
    }

    pub fn requested_keys(&self) -> usize {
        self.key_by_request.values().collect::<BTreeSet<_>>().len()
    }

    pub fn open_claims(&self) -> usize {
        self.daemons.iter().map(|d| d.claims.open_claims()).sum()
    }
}

fn new_daemon(number: usize, incarnation: u64) -> FakeDaemon {
    let host = HostName::new(&format!("entry-{number}")).expect("a name");
    FakeDaemon {
        claims: ClaimState::new(ClaimOptions::new(host, HostIncarnation(incarnation), 1)),
        incarnation,
        timers: BTreeMap::new(),
        running: BTreeMap::new(),
    }
}

pub fn queued_request(request: RequestId, now: MonotonicTime) -> QueuedRequest {
    QueuedRequest {
        request,
        service: "charges".parse().expect("a name"),
        route: "POST /charge".to_owned(),
        team: "shop".parse().expect("a name"),
        weight: 1,
        rank: TierRank(0),
        idempotent: false,
        arrived_at: now,
        deadline_at: now + Duration::from_secs(60),
        prompt: PromptShape::default(),
    }
}
