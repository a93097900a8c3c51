//! A cluster whose upstreams crash under requests with certain parts in their prompts.
#![allow(dead_code, reason = "each test file uses a part of the environment")]

use crate::{
    callers::SeededRandom,
    cluster::{DaemonCluster, TeamLoad},
    crash_records::{
        AttemptShare, CrashTraffic, FirstAttempt, FirstOutcome, PROPAGATION_BOUND, PartRecord,
        RequestEnd, SoundEnds,
    },
    harness::upstream,
    prompt_requests::{PromptRequest, RequestSender},
};
use savorywood_gateway::{
    AttemptOutcome, DispatchOrder, GatewayEffect, GatewayEvent, LocalRequest, QuarantineRow,
    QuarantineWrite, RefusalReason, RequestFingerprint, ResponseMetadata, StoredCrash,
    UpstreamEntry, UpstreamLabel,
};
use savorywood_protocol::MonotonicTime;
use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
    time::Duration,
};

/// Steps of the simulated clock between two gossip rounds.
pub const STEPS_PER_ROUND: usize = 5;
/// Step of the simulated clock, unless a test sets another.
const STEP: Duration = Duration::from_millis(50);
/// Time after which a crashed upstream is replaced.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(3);
/// Time from the dispatch of a request with a crashing part to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(100);
/// Most rounds that other requests run.
const MAX_ROUNDS: usize = 8;
/// Retries by a caller after a broken attempt.
const MAX_RETRIES: u32 = 2;
const SLOTS: u32 = 1_000;

/// A request, with the daemon that received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId {
    pub daemon: usize,
    pub request: LocalRequest,
}

/// An attempt that runs at an upstream until a given time.
#[derive(Debug, Clone)]
struct RunningAttempt {
    id: RequestId,
    upstream: UpstreamLabel,
    ends_at: MonotonicTime,
    crashing_parts: Vec<u64>,
}

/// An upstream that is due to be replaced at the same address.
#[derive(Debug, Clone)]
struct CrashedUpstream {
    upstream: UpstreamLabel,
    slot: u16,
    at: MonotonicTime,
}

/// A caller that waits for a response.
#[derive(Debug, Clone)]
struct WaitingCaller {
    request: PromptRequest,
    id: RequestId,
    retries: u32,
}

/// Daemons, their upstreams and their callers.
pub struct PartEnvironment {
    pub cluster: DaemonCluster,
    pub random: SeededRandom,
    /// Parts that crash upstreams.
    pub crashing_parts: BTreeSet<u64>,
    /// Callers reach only the entry set.
    pub only_members: bool,
    /// Step of the simulated clock.
    pub step_time: Duration,
    /// Live upstreams with the number of their address.
    live_upstreams: BTreeMap<UpstreamLabel, u16>,
    next_upstream: u32,
    crashed: Vec<CrashedUpstream>,
    running: Vec<RunningAttempt>,
    requests: BTreeMap<RequestId, PromptRequest>,
    callers: Vec<WaitingCaller>,
    next_number: u64,
    /// Ends of requests whose callers have not seen them yet.
    ends: BTreeMap<RequestId, RequestEnd>,
    /// Daemons that were cut off, with the time of their return.
    returned_at: BTreeMap<usize, MonotonicTime>,
    pub crash_count: usize,
    pub parts: BTreeMap<u64, PartRecord>,
    /// First attempts of sound requests by number.
    pub first_attempts: BTreeMap<u64, FirstAttempt>,
    pub sound_ends: SoundEnds,
    /// Quarantine rows of the store.
    pub rows: BTreeMap<RequestFingerprint, Vec<StoredCrash>>,
    pub writes: usize,
    /// Reports of crashes by round, then by daemon.
    pub crash_gossip: Vec<BTreeMap<usize, CrashTraffic>>,
}

fn entry(name: &UpstreamLabel, slot: u16) -> UpstreamEntry {
    let address = format!("10.1.{}.{}:80", slot / 200, slot % 200 + 1);
    UpstreamEntry {
        name: name.clone(),
        address: address.parse().expect("an address"),
        ..upstream(1, SLOTS)
    }
}

impl PartEnvironment {
    pub fn new(daemons: usize, upstreams: u16, seed: u64) -> Self {
        let mut environment = Self {
            cluster: DaemonCluster::with_load(daemons, TeamLoad::unlimited(daemons)),
            random: SeededRandom(seed),
            crashing_parts: BTreeSet::new(),
            only_members: false,
            step_time: STEP,
            live_upstreams: BTreeMap::new(),
            next_upstream: 1,
            crashed: Vec::new(),
            running: Vec::new(),
            requests: BTreeMap::new(),
            callers: Vec::new(),
            next_number: 1,
            ends: BTreeMap::new(),
            returned_at: BTreeMap::new(),
            crash_count: 0,
            parts: BTreeMap::new(),
            first_attempts: BTreeMap::new(),
            sound_ends: SoundEnds::default(),
            rows: BTreeMap::new(),
            writes: 0,
            crash_gossip: Vec::new(),
        };
        for slot in 0..upstreams {
            let name = environment.next_name();
            environment.live_upstreams.insert(name, slot);
        }
        environment.read_upstreams();
        environment
    }

    fn next_name(&mut self) -> UpstreamLabel {
        self.next_upstream += 1;
        UpstreamLabel::from(format!("engine-{}", self.next_upstream).as_str())
    }

    fn read_upstreams(&mut self) {
        let upstreams = self.live_upstreams.iter();
        let entries: Vec<_> = upstreams.map(|(name, slot)| entry(name, *slot)).collect();
        for daemon in 0..self.cluster.daemons.len() {
            self.step_daemon(daemon, GatewayEvent::UpstreamsRead(entries.clone()));
        }
    }

    /// Restarts all daemons at once, which read the quarantine rows of the store; their requests
    /// are lost.
    pub fn restart_all(&mut self) {
        self.cluster.restart_all();
        self.running.clear();
        self.callers.clear();
        self.requests.clear();
        self.ends.clear();
        self.read_upstreams();
        let rows = self.rows.iter();
        let rows: Vec<_> = rows
            .map(|(fingerprint, crashes)| QuarantineRow {
                fingerprint: *fingerprint,
                crashes: crashes.clone(),
            })
            .collect();
        for daemon in 0..self.cluster.daemons.len() {
            self.step_daemon(daemon, GatewayEvent::QuarantineRead(rows.clone()));
        }
    }

    /// Returns the daemons that callers reach.
    pub fn receivers(&self) -> Vec<usize> {
        let daemons = self.cluster.daemons.iter().enumerate();
        let reached =
            daemons.filter(|(_, daemon)| !self.only_members || daemon.gateway.is_entry_member());
        reached.map(|(number, _)| number).collect()
    }

    /// Returns a request that no other equals, whose last part is its own.
    pub fn new_request(&mut self, shared_parts: &[u64]) -> PromptRequest {
        let number = self.next_number;
        self.next_number += 1;
        PromptRequest::new(number, shared_parts)
    }

    /// Sends a request of a new caller, which sends it again if it breaks.
    pub fn send(&mut self, daemon: usize, request: PromptRequest) -> RequestId {
        let is_sound = request.crashing_parts(&self.crashing_parts).is_empty();
        if is_sound {
            let attempt = FirstAttempt {
                at: self.cluster.now,
                parts: request.parts.clone(),
                outcome: None,
            };
            self.first_attempts.insert(request.number, attempt);
        }
        self.send_attempt(daemon, request, 0)
    }

    fn send_attempt(&mut self, daemon: usize, request: PromptRequest, retries: u32) -> RequestId {
        let harness = &mut self.cluster.daemons[daemon];
        harness.now = self.cluster.now;
        harness.confirm();
        let local = harness.next_request();
        let id = RequestId {
            daemon,
            request: local,
        };
        let arrival = Box::new(request.to_arrival());
        self.requests.insert(id, request.clone());
        self.callers.push(WaitingCaller {
            request,
            id,
            retries,
        });
        self.step_daemon(
            daemon,
            GatewayEvent::Arrived {
                request: local,
                arrival,
            },
        );
        id
    }

    /// Handles an event and all events that its effects lead to.
    fn step_daemon(&mut self, daemon: usize, event: GatewayEvent) {
        let harness = &mut self.cluster.daemons[daemon];
        harness.now = self.cluster.now;
        harness.step(event);
        for effect in std::mem::take(&mut harness.effects) {
            match effect {
                GatewayEffect::Dispatch(order) => self.on_dispatch(daemon, &order),
                GatewayEffect::Refuse {
                    request, reason, ..
                } => {
                    let id = RequestId { daemon, request };
                    self.record_first(id, FirstOutcome::Refused(reason));
                    self.ends.insert(id, RequestEnd::Refused(reason));
                }
                GatewayEffect::WriteQuarantine(write) => self.write_row(daemon, write),
                _ => {}
            }
        }
    }

    fn write_row(&mut self, daemon: usize, write: QuarantineWrite) {
        self.writes += 1;
        match write.crashes.clone() {
            Some(crashes) => self.rows.insert(write.fingerprint, crashes),
            None => self.rows.remove(&write.fingerprint),
        };
        let finished = GatewayEvent::QuarantineWriteFinished {
            write,
            accepted: true,
            era: 0,
        };
        self.step_daemon(daemon, finished);
    }

    fn record_first(&mut self, id: RequestId, outcome: FirstOutcome) {
        if let Some(request) = self.requests.get(&id)
            && let Some(attempt) = self.first_attempts.get_mut(&request.number)
        {
            attempt.outcome.get_or_insert(outcome);
        }
    }

    fn on_dispatch(&mut self, daemon: usize, order: &DispatchOrder) {
        let id = RequestId {
            daemon,
            request: order.request,
        };
        let upstream = order.upstream.clone();
        if !self.live_upstreams.contains_key(&upstream) {
            return self.end_attempt(id, AttemptOutcome::NotSent);
        }
        self.record_first(id, FirstOutcome::Dispatched);
        let now = self.cluster.now;
        let crashing_parts = self.requests[&id].crashing_parts(&self.crashing_parts);
        let time = if crashing_parts.is_empty() {
            let steps = 1 + self.random.below(MAX_ROUNDS * STEPS_PER_ROUND);
            STEP * u32::try_from(steps).expect("few steps")
        } else {
            CRASH_DELAY
        };
        if self.is_in_touch(daemon) {
            for part in &crashing_parts {
                let record = self.parts.entry(*part).or_default();
                record.dispatches.push(now);
            }
        }
        self.running.push(RunningAttempt {
            id,
            upstream,
            ends_at: now + time,
            crashing_parts,
        });
    }

    fn end_attempt(&mut self, id: RequestId, outcome: AttemptOutcome) {
        let request = id.request;
        self.step_daemon(id.daemon, GatewayEvent::AttemptEnded { request, outcome });
    }

    /// Crashes an upstream, which breaks all requests that run there.
    pub fn crash(&mut self, upstream: &UpstreamLabel) {
        let Some(slot) = self.live_upstreams.remove(upstream) else {
            return;
        };
        self.crashed.push(CrashedUpstream {
            upstream: upstream.clone(),
            slot,
            at: self.cluster.now,
        });
        let runs_there = |attempt: &mut RunningAttempt| attempt.upstream == *upstream;
        let broken: Vec<_> = self.running.extract_if(.., runs_there).collect();
        for attempt in broken {
            self.end_attempt(attempt.id, AttemptOutcome::Broken { stalled: false });
        }
    }

    /// Ends the attempts that are due: upstreams crash, or respond completely.
    fn end_due_attempts(&mut self) {
        let now = self.cluster.now;
        while let Some(index) = self.running.iter().position(|a| a.ends_at <= now) {
            let attempt = &self.running[index];
            if !attempt.crashing_parts.is_empty() {
                let upstream = attempt.upstream.clone();
                for part in &attempt.crashing_parts {
                    self.parts.entry(*part).or_default().crashes.push(now);
                }
                self.crash_count += 1;
                self.crash(&upstream);
                continue;
            }
            let attempt = self.running.swap_remove(index);
            self.ends.insert(attempt.id, RequestEnd::Served);
            let metadata = ResponseMetadata::default();
            self.end_attempt(
                attempt.id,
                AttemptOutcome::Delivered {
                    metadata,
                    events: 1,
                },
            );
        }
    }

    /// Sends requests that broke again, to any daemon.
    fn advance_callers(&mut self) {
        for caller in std::mem::take(&mut self.callers) {
            let Some(end) = self.ends.remove(&caller.id) else {
                self.callers.push(caller);
                continue;
            };
            self.requests.remove(&caller.id);
            let is_retried = match end {
                RequestEnd::Served | RequestEnd::Refused(RefusalReason::Quarantined) => false,
                RequestEnd::Refused(_) => {
                    let is_repeatable = caller.request.sender != RequestSender::Once;
                    is_repeatable && caller.retries < MAX_RETRIES
                }
            };
            if is_retried {
                let daemon = self.random.below(self.cluster.daemons.len());
                self.send_attempt(daemon, caller.request, caller.retries + 1);
            } else if self.first_attempts.contains_key(&caller.request.number) {
                match end {
                    RequestEnd::Served => self.sound_ends.served += 1,
                    RequestEnd::Refused(RefusalReason::Quarantined) => {
                        self.sound_ends.quarantined += 1;
                    }
                    RequestEnd::Refused(_) => self.sound_ends.failed += 1,
                }
            }
        }
    }

    /// Advances the clock by one gossip round, in which the given requests are sent to the given
    /// daemons.
    pub fn advance_round(&mut self, requests: Vec<(usize, PromptRequest)>) {
        let count = requests.len();
        let mut requests = requests.into_iter();
        for step in 0..STEPS_PER_ROUND {
            self.end_due_attempts();
            self.advance_callers();
            let sent = count * step / STEPS_PER_ROUND;
            let due = count * (step + 1) / STEPS_PER_ROUND;
            for (daemon, request) in requests.by_ref().take(due - sent) {
                self.send(daemon, request);
            }
            if step + 1 < STEPS_PER_ROUND {
                self.cluster.now = self.cluster.now + self.step_time;
            }
        }
        let traffic = self.cluster.gossip_round(self.step_time);
        self.crash_gossip
            .push(CrashTraffic::by_sender(&traffic.crash_gossip));
        for daemon in 0..self.cluster.daemons.len() {
            self.step_daemon(daemon, GatewayEvent::Tick);
        }
        self.replace_upstreams();
    }

    /// Cuts a daemon off from the gossip of all others.
    pub fn cut_off(&mut self, daemon: usize) {
        self.cluster.cut_off.insert(daemon);
    }

    /// Lets a daemon gossip again that was cut off.
    pub fn reconnect(&mut self, daemon: usize) {
        self.cluster.cut_off.remove(&daemon);
        self.returned_at.insert(daemon, self.cluster.now);
    }

    /// Returns whether a daemon has exchanged gossip with the others for `PROPAGATION_BOUND`.
    fn is_in_touch(&self, daemon: usize) -> bool {
        let is_new = |at: &MonotonicTime| self.cluster.now.since(*at) <= PROPAGATION_BOUND;
        let is_cut_off = self.cluster.cut_off.contains(&daemon);
        !is_cut_off && !self.returned_at.get(&daemon).is_some_and(is_new)
    }

    /// Returns how many of the sound requests that were sent in a period, and whose parts match,
    /// were sent to an upstream at the first attempt.
    pub fn first_attempt_share(
        &self,
        period: &Range<MonotonicTime>,
        matches: impl Fn(&[u64]) -> bool,
    ) -> AttemptShare {
        let mut share = AttemptShare::default();
        for attempt in self.first_attempts.values() {
            if period.contains(&attempt.at) && matches(&attempt.parts) {
                share.sent += 1;
                let is_dispatched = attempt.outcome == Some(FirstOutcome::Dispatched);
                share.dispatched += usize::from(is_dispatched);
            }
        }
        share
    }

    /// Returns how many of the sound requests that were sent in a period were refused at the first
    /// attempt as quarantined.
    pub fn quarantined_first_attempts(&self, period: &Range<MonotonicTime>) -> usize {
        let refused = FirstOutcome::Refused(RefusalReason::Quarantined);
        let attempts = self.first_attempts.values();
        attempts
            .filter(|attempt| period.contains(&attempt.at) && attempt.outcome == Some(refused))
            .count()
    }

    /// Returns the time at which the first sound request that was sent from a given time on, and
    /// whose parts match, was sent if it was dispatched at the first attempt.
    pub fn first_dispatch(
        &self,
        from: MonotonicTime,
        matches: impl Fn(&[u64]) -> bool,
    ) -> Option<MonotonicTime> {
        let attempts = self.first_attempts.values();
        let mut dispatched = attempts.filter(|attempt| {
            let is_dispatched = attempt.outcome == Some(FirstOutcome::Dispatched);
            attempt.at >= from && is_dispatched && matches(&attempt.parts)
        });
        dispatched.next().map(|attempt| attempt.at)
    }

    /// Replaces crashed upstreams that are due.
    fn replace_upstreams(&mut self) {
        let now = self.cluster.now;
        let is_due = |crashed: &mut CrashedUpstream| now.since(crashed.at) >= REPLACEMENT_DELAY;
        let due: Vec<_> = self.crashed.extract_if(.., is_due).collect();
        for crashed in due {
            let name = self.next_name();
            self.live_upstreams.insert(name.clone(), crashed.slot);
            for daemon in 0..self.cluster.daemons.len() {
                let removed = GatewayEvent::UpstreamRemoved(crashed.upstream.clone());
                self.step_daemon(daemon, removed);
                let written = GatewayEvent::UpstreamWritten(entry(&name, crashed.slot));
                self.step_daemon(daemon, written);
            }
        }
    }
}
