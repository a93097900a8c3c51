//! A few daemons' claim duties over a small table that loses answers.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorywood_core::{
    DaemonEffect, EffectQueue, FailureCause, KeptAnswer, MemberView, PromptShape, QueuedRequest,
    ResponseReport, TimerKey, UpstreamEvent,
    claims::{ClaimEvent, ClaimOptions, ClaimState, ClaimVerdict, ClaimView, ClaimWish},
};
use savorywood_protocol::{
    AttemptNumber, CoreTime, HostIncarnation, HostName, MonotonicTime, OutcomeKind, RequestId,
    RequestRefusal, TierRank, WallTime,
    resource::ClaimRetention,
    table::{CommitRevision, RowKey, TableAnswer, TableCommit, TableRequest, TableRow},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use uuid::Uuid;

/// How often things go wrong, as chances a step.
#[derive(Debug, Clone, Copy)]
pub struct WorldFaults {
    pub lost: f64,
    pub unavailable: f64,
    pub kills: f64,
    pub breaks: f64,
}

impl WorldFaults {
    pub fn all() -> Self {
        Self {
            lost: 0.25,
            unavailable: 0.1,
            kills: 0.02,
            breaks: 0.2,
        }
    }

    pub fn none() -> Self {
        Self {
            lost: 0.0,
            unavailable: 0.0,
            kills: 0.0,
            breaks: 0.0,
        }
    }
}

/// A table whose commits are atomic.
#[derive(Debug, Default)]
pub struct FakeTable {
    rows: BTreeMap<RowKey, TableRow>,
    revision: CommitRevision,
}

impl FakeTable {
    pub fn answer(&mut self, request: &TableRequest) -> TableAnswer {
        match request {
            TableRequest::Get { keys } => {
                let rows = keys.iter().filter_map(|key| self.rows.get(key));
                self.rows_answer(rows.filter(|row| row.value.is_some()).cloned().collect())
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
                self.rows_answer(rows)
            }
            TableRequest::Commit(commit) => self.commit(commit),
        }
    }

    fn rows_answer(&self, rows: Vec<TableRow>) -> TableAnswer {
        TableAnswer::Rows {
            rows,
            revision: self.revision,
            more: false,
        }
    }

    fn commit(&mut self, commit: &TableCommit) -> TableAnswer {
        let failed: Vec<_> = commit
            .conditions
            .iter()
            .filter(|condition| self.live_revision(&condition.key) != condition.revision)
            .collect();
        if !failed.is_empty() {
            let rows = failed.iter().filter_map(|c| self.rows.get(&c.key));
            return TableAnswer::Conflict {
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
        TableAnswer::Committed {
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
    life: u64,
    timers: BTreeMap<TimerKey, MonotonicTime>,
    running: BTreeMap<RequestId, AttemptNumber>,
}

#[derive(Debug, Clone)]
struct TableFlight {
    daemon: usize,
    life: u64,
    number: u64,
    request: TableRequest,
}

/// Daemons, table and callers.
#[derive(Debug)]
pub struct ClaimWorld {
    pub faults: WorldFaults,
    pub now: CoreTime,
    pub table: FakeTable,
    pub refusals: Vec<(RequestId, RequestRefusal)>,
    pub replays: BTreeSet<RequestId>,
    daemons: Vec<FakeDaemon>,
    flights: Vec<TableFlight>,
    late: Vec<TableRequest>,
    keys: Vec<String>,
    key_of: BTreeMap<RequestId, usize>,
    bytes_left: BTreeMap<RequestId, usize>,
    last_request: u128,
    rng: ChaCha8Rng,
    members: MemberView,
}

const DAEMONS: usize = 3;
const KEYS: usize = 4;

impl ClaimWorld {
    pub fn new(seed: u64, faults: WorldFaults) -> Self {
        let now = CoreTime {
            monotonic: MonotonicTime(1_000_000),
            wall: WallTime(1_780_000_000_000),
        };
        let mut world = Self {
            faults,
            now,
            table: FakeTable::default(),
            refusals: Vec::new(),
            replays: BTreeSet::new(),
            daemons: Vec::new(),
            flights: Vec::new(),
            late: Vec::new(),
            keys: Vec::new(),
            key_of: BTreeMap::new(),
            bytes_left: BTreeMap::new(),
            last_request: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            members: MemberView::default(),
        };
        for number in 0..KEYS {
            let random = (number as u128) << 8 | 0x8000_0000_0000_0000;
            let key = u128::from(now.wall.0) << 80 | 7 << 76 | random;
            world.keys.push(Uuid::from_u128(key).to_string());
        }
        for number in 0..DAEMONS {
            world.daemons.push(new_daemon(number, 1));
        }
        world
    }

    /// Takes random steps.
    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.random_step();
        }
    }

    /// Lets all that is under way come to an end.
    pub fn settle(&mut self) {
        for _ in 0..4_000 {
            let idle = self.flights.is_empty() && self.open_claims() == 0;
            if idle {
                return;
            }
            match self.rng.random_range(0..3) {
                0 => self.deliver(),
                1 => self.end_call(),
                _ => self.pass_time(),
            }
        }
    }

    fn random_step(&mut self) {
        if self.rng.random_bool(self.faults.kills) {
            let number = self.rng.random_range(0..DAEMONS);
            let life = self.daemons[number].life + 1;
            self.daemons[number] = new_daemon(number, life);
            return;
        }
        match self.rng.random_range(0..10) {
            0 | 1 => self.arrive(),
            2..=4 => self.deliver(),
            5 | 6 => self.end_call(),
            7 => self.land_late(),
            _ => self.pass_time(),
        }
    }

    pub fn arrive(&mut self) {
        let key = self.rng.random_range(0..KEYS);
        let daemon = self.rng.random_range(0..DAEMONS);
        self.last_request += 1;
        let request = RequestId(self.last_request);
        self.key_of.insert(request, key);
        let wish = ClaimWish {
            request: call(request, self.now.monotonic),
            key: self.keys[key].clone(),
            fingerprint: [7; 32],
            retention: ClaimRetention::Seconds(86_400),
        };
        self.step(daemon, ClaimEvent::Wanted(Box::new(wish)));
    }

    fn deliver(&mut self) {
        if self.flights.is_empty() {
            return;
        }
        let place = self.rng.random_range(0..self.flights.len());
        let flight = self.flights.swap_remove(place);
        let answer = if self.rng.random_bool(self.faults.unavailable) {
            TableAnswer::Unavailable
        } else if self.rng.random_bool(self.faults.lost) {
            match self.rng.random_range(0..3) {
                0 => drop(self.table.answer(&flight.request)),
                1 => self.late.push(flight.request.clone()),
                _ => {}
            }
            TableAnswer::Lost
        } else {
            self.table.answer(&flight.request)
        };
        if self.daemons[flight.daemon].life == flight.life {
            let number = flight.number;
            self.step(flight.daemon, ClaimEvent::Table { number, answer });
        }
    }

    /// A write whose answer was given up long ago takes effect after all.
    fn land_late(&mut self) {
        if let Some(request) = self.late.pop() {
            self.table.answer(&request);
        }
    }

    fn end_call(&mut self) {
        let daemon = self.rng.random_range(0..DAEMONS);
        let running = self.daemons[daemon].running.pop_first();
        let Some((request, attempt)) = running else {
            return;
        };
        if self.rng.random_bool(self.faults.breaks) {
            let no_byte = self.rng.random_bool(0.5);
            if no_byte {
                *self.bytes_left.get_mut(&request).expect("a count") -= 1;
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
        let answer = Box::new(KeptAnswer {
            status: 201,
            content_type: "text/plain".to_owned(),
            body: Some(b"charged".to_vec()),
        });
        self.step(daemon, ClaimEvent::AnswerKept { request, answer });
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

    pub fn pass_time(&mut self) {
        let millis = self.rng.random_range(1..400);
        self.now = self.now.after(Duration::from_millis(millis));
        for daemon in 0..DAEMONS {
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
        let verdicts = claims.step(self.now, event, view, &mut effects);
        for ClaimVerdict::Granted(request) in verdicts {
            self.dispatch(daemon, request.request, &mut effects);
        }
        let life = self.daemons[daemon].life;
        for effect in effects.drain() {
            match effect {
                DaemonEffect::CallTable { call, request } => self.flights.push(TableFlight {
                    daemon,
                    life,
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
        assert!(claims.may_dispatch(request, false, effects));
        *self.bytes_left.entry(request).or_default() += 1;
        let running = &mut self.daemons[daemon].running;
        running.insert(request, AttemptNumber(0));
    }

    /// Calls of each key that may have reached the upstream.
    fn runs(&self) -> BTreeMap<usize, usize> {
        let mut runs = BTreeMap::new();
        for (request, count) in &self.bytes_left {
            *runs.entry(self.key_of[request]).or_default() += count;
        }
        runs
    }

    pub fn check(&self) {
        for (key, runs) in self.runs() {
            assert!(runs <= 1, "key {key} ran {runs} times");
        }
        for (request, refusal) in &self.refusals {
            let ran = self.bytes_left.get(request).is_some_and(|count| *count > 0);
            let not_run = refusal.outcome == OutcomeKind::NotRun;
            assert!(!(not_run && ran), "{request} ran: {refusal:?}");
        }
    }

    pub fn keys_run(&self) -> usize {
        self.runs().values().filter(|runs| **runs > 0).count()
    }

    pub fn keys_sent(&self) -> usize {
        self.key_of.values().collect::<BTreeSet<_>>().len()
    }

    pub fn open_claims(&self) -> usize {
        self.daemons.iter().map(|d| d.claims.open_claims()).sum()
    }
}

fn new_daemon(number: usize, life: u64) -> FakeDaemon {
    let host = HostName::new(&format!("entry-{number}")).expect("a name");
    FakeDaemon {
        claims: ClaimState::new(ClaimOptions::new(host, HostIncarnation(life), 1)),
        life,
        timers: BTreeMap::new(),
        running: BTreeMap::new(),
    }
}

pub fn call(request: RequestId, now: MonotonicTime) -> QueuedRequest {
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
