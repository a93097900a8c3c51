//! One daemon of a run: its core, its clocks and what its shell keeps.

use crate::ledger::{NodeLife, host_name};
use savorywood_core::{CoreOptions, DaemonCore, TimerKey};
use savorywood_protocol::{
    AttemptNumber, ConfigRevision, CoreTime, HostIncarnation, MonotonicTime, RequestId, WallTime,
    peer::datagram::ReplayGuard, resume_token::ResumeKey,
};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Wall time at which runs begin, in milliseconds since 1970.
const START_WALL_MILLIS: u64 = 1_780_000_000_000;
/// What a monotonic clock shows when its daemon begins, in microseconds.
const START_MONOTONIC: u64 = 1_000_000;
const MILLION: u64 = 1_000_000;

/// An attempt as the shell of a daemon runs it.
#[derive(Debug, Clone, Copy)]
pub struct ShellAttempt {
    pub attempt: AttemptNumber,
    /// The connection could not be made; the core will be told.
    pub not_sent: bool,
}

/// One daemon.
#[derive(Debug)]
pub struct WorldNode {
    /// `None` while the host is down.
    pub core: Option<DaemonCore>,
    pub at: NodeLife,
    pub timers: BTreeMap<TimerKey, MonotonicTime>,
    pub running: BTreeMap<RequestId, ShellAttempt>,
    pub guard: ReplayGuard,
    pub sequence: u64,
    pub paused_until: u64,
    pub stopping: bool,
    /// When the last fault that keeps it from table or peers ends.
    pub disturbed_until: u64,
    /// Newest revision in force in this life.
    pub revision: ConfigRevision,
    /// Newest revision under which any life on this host has served.
    pub served: ConfigRevision,
    pub has_served: bool,
    pub rate_ppm: u64,
    pub wall_offset_millis: i64,
    begun_at: u64,
}

impl WorldNode {
    /// A host on which nothing runs yet. Its clocks run at `rate_ppm` millionths.
    pub fn new(node: usize, rate_ppm: u64) -> Self {
        Self {
            core: None,
            at: NodeLife { node, life: 0 },
            timers: BTreeMap::new(),
            running: BTreeMap::new(),
            guard: ReplayGuard::default(),
            sequence: 0,
            paused_until: 0,
            stopping: false,
            disturbed_until: 0,
            revision: ConfigRevision::default(),
            served: ConfigRevision::default(),
            has_served: false,
            rate_ppm,
            wall_offset_millis: 0,
            begun_at: 0,
        }
    }

    /// Begins a new life that knows nothing.
    pub fn begin(&mut self, now: u64, seed: u64) {
        self.end();
        self.at.life += 1;
        self.begun_at = now;
        self.stopping = false;
        self.paused_until = 0;
        self.has_served = false;
        self.revision = ConfigRevision::default();
        self.guard = ReplayGuard::default();
        self.sequence = 0;
        self.core = Some(self.new_core(seed));
    }

    /// State of a daemon that begins in this life.
    pub fn new_core(&self, seed: u64) -> DaemonCore {
        let node = self.at.node;
        DaemonCore::new(CoreOptions {
            host: host_name(node),
            incarnation: HostIncarnation(self.at.life),
            zone: ["a", "b"][node % 2].parse().unwrap(),
            region: "r".parse().unwrap(),
            peer_address: peer_address(node),
            caller_address: format!("10.0.0.{}:8080", node + 1).parse().unwrap(),
            address_max_age: Duration::from_secs(2),
            resume_key: Some(resume_key()),
            seed,
        })
    }

    /// Whatever ran here is gone.
    pub fn end(&mut self) {
        self.core = None;
        self.timers.clear();
        self.running.clear();
    }

    /// Both clocks at a time of the world.
    pub fn clocks(&self, now: u64) -> CoreTime {
        let lived = now - self.begun_at;
        let monotonic = MonotonicTime(START_MONOTONIC + lived * self.rate_ppm / MILLION);
        CoreTime {
            monotonic,
            wall: wall_time(now, self.wall_offset_millis),
        }
    }

    /// Time of the world at which the monotonic clock shows `at` or more.
    pub fn world_time(&self, at: MonotonicTime) -> u64 {
        let lived = at.0.saturating_sub(START_MONOTONIC);
        self.begun_at + lived * MILLION / self.rate_ppm + 1
    }
}

/// A wall clock that is off by so much.
pub fn wall_time(now: u64, offset_millis: i64) -> WallTime {
    let millis = START_WALL_MILLIS + now / 1_000;
    WallTime(millis.saturating_add_signed(offset_millis))
}

/// Where a daemon's peers reach it.
pub fn peer_address(node: usize) -> SocketAddr {
    format!("10.0.0.{}:7000", node + 1).parse().unwrap()
}

/// Key of resume tokens, the same everywhere.
pub fn resume_key() -> ResumeKey {
    ResumeKey::derive(b"randomised runs")
}
