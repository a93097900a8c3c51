//! Rounds of sound requests beside some that crash upstreams, and what is asserted of them.
#![allow(dead_code, reason = "each test file uses a part of the module")]

use crate::{
    callers::SeededRandom,
    crash_records::{AttemptShare, MAX_LATE_DISPATCHES},
    crashing_parts::PartEnvironment,
    prompt_requests::{
        KINDS, PromptRequest, RequestSender, any_kind, first_part, middle_part, shared_parts,
    },
};
use savorywood_protocol::MonotonicTime;
use std::{ops::Range, time::Duration};

/// A part that crashes upstreams.
pub const CRASHING_PART: u64 = 9_001;
/// Another one.
pub const OTHER_CRASHING_PART: u64 = 9_002;
/// A part that sound requests use as well.
pub const RARE_PART: u64 = 8_001;
/// Time from the fifth crash after which sound requests must be dispatched as before.
const SOUND_BOUND: Duration = Duration::from_secs(6);
/// Requests with a part from which their share is compared.
pub const MIN_COMPARED: usize = 20;
/// Rounds without crashes at the start.
const QUIET_ROUNDS: usize = 16;
const UPSTREAMS: u16 = 8;
pub const SOUND_PER_ROUND: usize = 8;

/// Requests with a crashing part in the middle of their prompts.
#[derive(Debug, Clone)]
pub struct CrashingRequests {
    pub part: u64,
    pub per_round: usize,
    /// Kind of all of them; `None` for any.
    pub kind: Option<u64>,
    /// Part that all of them have as well.
    pub companion: Option<u64>,
    /// The crashing part is the first of the prompt.
    pub is_first: bool,
    pub sender: RequestSender,
}

impl CrashingRequests {
    pub fn new(part: u64, per_round: usize) -> Self {
        Self {
            part,
            per_round,
            kind: None,
            companion: None,
            is_first: false,
            sender: RequestSender::Team,
        }
    }

    pub fn draw(&self, environment: &mut PartEnvironment) -> PromptRequest {
        let random = &mut environment.random;
        let kind = self.kind.unwrap_or_else(|| any_kind(random));
        let mut parts = shared_parts(random, kind);
        if self.is_first {
            parts[0] = self.part;
        } else {
            insert_inside(random, &mut parts, self.part);
        }
        if let Some(companion) = self.companion {
            insert_inside(random, &mut parts, companion);
        }
        let sender = self.sender;
        PromptRequest {
            sender,
            ..environment.new_request(&parts)
        }
    }
}

/// Inserts a part somewhere behind the first.
fn insert_inside(random: &mut SeededRandom, parts: &mut Vec<u64>, part: u64) {
    let position = 1 + random.below(parts.len());
    parts.insert(position, part);
}

/// Returns sound requests of any kinds, at any daemons.
pub fn sound_requests(
    environment: &mut PartEnvironment,
    count: usize,
) -> Vec<(usize, PromptRequest)> {
    let receivers = environment.receivers();
    let requests = (0..count).map(|_| {
        let daemon = receivers[environment.random.below(receivers.len())];
        let kind = any_kind(&mut environment.random);
        let parts = shared_parts(&mut environment.random, kind);
        (daemon, environment.new_request(&parts))
    });
    requests.collect()
}

/// Runs one round with the given requests and some that crash upstreams, at one daemon after the
/// other.
pub fn run_round(
    environment: &mut PartEnvironment,
    round: usize,
    mut requests: Vec<(usize, PromptRequest)>,
    crashing: &[CrashingRequests],
) {
    let receivers = environment.receivers();
    for source in crashing {
        for number in 0..source.per_round {
            let daemon = receivers[(round * source.per_round + number) * 5 % receivers.len()];
            let position = environment.random.below(requests.len() + 1);
            requests.insert(position, (daemon, source.draw(environment)));
        }
    }
    environment.advance_round(requests);
}

/// Runs rounds with sound requests, and with some that crash upstreams.
pub fn run_rounds(
    environment: &mut PartEnvironment,
    rounds: usize,
    sound: usize,
    crashing: &[CrashingRequests],
) {
    for round in 0..rounds {
        let requests = sound_requests(environment, sound);
        run_round(environment, round, requests, crashing);
    }
}

/// Returns an environment in which the given parts crash upstreams, after some rounds without them.
pub fn quiet_environment(daemons: usize, seed: u64, parts: &[u64]) -> PartEnvironment {
    let mut environment = PartEnvironment::new(daemons, UPSTREAMS, seed);
    environment.crashing_parts.extend(parts);
    run_rounds(&mut environment, QUIET_ROUNDS, SOUND_PER_ROUND, &[]);
    environment
}

/// Asserts that few requests with a crashing part were dispatched after the bound.
pub fn assert_few_late(environment: &PartEnvironment, label: &str) {
    for (part, record) in &environment.parts {
        let (late, crashes) = (record.late_dispatches(), record.crashes.len());
        println!("{label}: part {part} crashes {crashes} late {late}");
    }
    for (part, record) in &environment.parts {
        let late = record.late_dispatches();
        assert!(
            late <= MAX_LATE_DISPATCHES,
            "{late} of part {part}, {label}"
        );
    }
}

/// Returns the period before the first crash.
pub fn period_before(environment: &PartEnvironment) -> Range<MonotonicTime> {
    let records = environment.parts.values();
    let first = records.filter_map(|record| record.crashes.first().copied());
    MonotonicTime::default()..first.min().expect("a crash")
}

/// Returns the period in which sound requests must be dispatched as before the crashes.
pub fn period_after(environment: &PartEnvironment) -> Range<MonotonicTime> {
    let records = environment.parts.values();
    let starts =
        records.filter_map(|record| record.bound_start().or(record.crashes.last().copied()));
    starts.max().expect("a crash") + SOUND_BOUND..environment.cluster.now
}

/// Asserts that sound requests, and those with each part that enough of them have, are dispatched
/// at the first attempt at least half as often as before. Returns the share of all.
pub fn assert_sound_are_dispatched(environment: &PartEnvironment, label: &str) -> AttemptShare {
    let (before, after) = (period_before(environment), period_after(environment));
    let compare = |name: &str, matches: &dyn Fn(&[u64]) -> bool| {
        let earlier = environment.first_attempt_share(&before, matches);
        let later = environment.first_attempt_share(&after, matches);
        let is_compared = earlier.sent >= MIN_COMPARED && later.sent >= MIN_COMPARED;
        assert!(
            !is_compared || later.as_fraction() >= earlier.as_fraction() / 2.0,
            "{name}: {earlier:?}, then {later:?}, {label}"
        );
        later
    };
    for part in (0..KINDS).map(first_part).chain((0..60).map(middle_part)) {
        compare(&format!("part {part}"), &|parts| parts.contains(&part));
    }
    let share = compare("all", &|_| true);
    assert!(share.sent >= MIN_COMPARED, "{share:?}, {label}");
    let ends = environment.sound_ends;
    println!("{label}: sound requests {share:?}, {ends:?}");
    share
}
