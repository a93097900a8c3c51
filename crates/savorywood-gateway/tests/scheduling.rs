//! Loads on several daemons and unlike engines: what callers of each rank get.

#[path = "common/harness.rs"]
mod harness;
#[path = "common/load.rs"]
mod load;

use load::{
    LoadEnvironment,
    calls::{CallKind, CallTally},
};
use std::time::Duration;

const DAEMONS: usize = 8;
const SLOTS: u32 = 12;
/// Fast, ordinary and slow engines.
const SLOWDOWNS: [f64; 6] = [0.55, 0.55, 1.0, 1.0, 2.8, 2.8];

fn plans(per_second: f64) -> CallKind {
    CallKind {
        path: "/plan/",
        rank: 0,
        per_second,
        resumable: true,
        prompt: (2_500.0, 1.4, 54_000.0),
        tokens: (125.0, 1.5, 3_850.0),
        objective: Duration::from_millis(600),
        gap_objective: Duration::from_millis(300),
        caller_timeout: Duration::from_millis(2_400),
        deadline: Duration::from_secs(12),
    }
}

fn chats(per_second: f64) -> CallKind {
    CallKind {
        path: "/chat/",
        rank: 1,
        per_second,
        resumable: false,
        prompt: (380.0, 1.0, 3_300.0),
        tokens: (95.0, 1.5, 2_950.0),
        deadline: Duration::from_secs(10),
        ..plans(0.0)
    }
}

fn digests(per_second: f64) -> CallKind {
    CallKind {
        path: "/digest/",
        rank: 2,
        per_second,
        resumable: true,
        prompt: (770.0, 1.3, 6_900.0),
        tokens: (7.0, 1.5, 220.0),
        objective: Duration::from_secs(1),
        deadline: Duration::from_millis(2_500),
        ..plans(0.0)
    }
}

fn environment(slowdown: &[f64], kinds: Vec<CallKind>) -> LoadEnvironment {
    LoadEnvironment::new(DAEMONS, slowdown, SLOTS, kinds)
}

/// Half as much again as all slots can serve.
fn overload() -> LoadEnvironment {
    let kinds = vec![plans(20.0), chats(100.0), digests(60.0)];
    let mut environment = environment(&SLOWDOWNS, kinds);
    environment.run(Duration::from_secs(20));
    environment
}

fn total(environment: &LoadEnvironment, count: impl Fn(&CallTally) -> u32) -> f64 {
    let requests: u32 = environment.tallies.iter().map(|tally| tally.requests).sum();
    let counted: u32 = environment.tallies.iter().map(count).sum();
    f64::from(counted) / f64::from(requests)
}

/// Callers of the lower ranks ask for half as much again as all slots can serve, at eight daemons
/// that learn of each other late. Were each free slot given away at once, the most urgent callers
/// would find all of them taken for the length of an answer, and wait behind work that could wait.
#[test]
fn the_most_urgent_rank_is_served_in_time_under_overload() {
    let environment = overload();
    let plans = environment.tally("/plan/");
    let in_time = plans.fraction(plans.in_time);
    assert!(in_time >= 0.85, "{in_time:.3}: {plans:?}");
}

/// Under the same load no answer can begin for many callers before they leave. They are refused before
/// that, with a time to come back that leaves them time for the answer; left without an answer they
/// would have waited for nothing.
#[test]
fn requests_that_cannot_be_served_are_refused_before_callers_leave() {
    let environment = overload();
    let left = total(&environment, |tally| tally.left);
    assert!(left <= 0.01, "{left:.4} left: {:?}", environment.tallies);
    let asked_to_retry = total(&environment, |tally| tally.asked_to_retry);
    assert!(
        asked_to_retry >= 0.1,
        "only {asked_to_retry:.3} were sent back"
    );
    for (kind, tally) in environment.kinds.iter().zip(&environment.tallies) {
        assert!(tally.max_retry_after <= kind.deadline / 3, "{tally:?}");
    }
}

/// Under the same load the lowest rank asks for short answers. More urgent work that can't use a
/// slot must not keep them from it, and a slot that is kept for the most urgent work is given back
/// by a short answer in time; otherwise most of these callers get nothing beside slots that stand
/// empty.
#[test]
fn short_requests_of_the_lowest_rank_are_not_starved() {
    let environment = overload();
    let digests = environment.tally("/digest/");
    let served = digests.fraction(digests.in_time + digests.late);
    assert!(served >= 0.75, "{served:.3}: {digests:?}");
}

fn briefs(per_second: f64) -> CallKind {
    CallKind {
        path: "/brief/",
        rank: 0,
        per_second,
        resumable: true,
        prompt: (2_000.0, 1.1, 53_200.0),
        tokens: (60.0, 1.2, 1_200.0),
        objective: Duration::from_secs(1),
        gap_objective: Duration::from_millis(800),
        caller_timeout: Duration::from_millis(6_400),
        deadline: Duration::from_secs(8),
    }
}

fn notes(per_second: f64) -> CallKind {
    CallKind {
        path: "/note/",
        rank: 2,
        per_second,
        prompt: (700.0, 1.0, 3_790.0),
        tokens: (90.0, 1.2, 1_740.0),
        objective: Duration::from_secs(2),
        caller_timeout: Duration::from_secs(8),
        ..briefs(0.0)
    }
}

/// Guards against large requests of the lowest rank that never get a slot: more urgent work comes
/// all the time, and every slot that is kept for it goes to short answers as soon as it is free.
#[test]
fn large_requests_of_the_lowest_rank_are_not_starved() {
    let mut environment =
        LoadEnvironment::new(DAEMONS, &SLOWDOWNS, 4, vec![briefs(20.0), notes(40.0)]);
    environment.run(Duration::from_secs(30));
    let notes = environment.tally("/note/");
    let (all, largest) = notes.served_fraction_by_size();
    assert!(all <= 0.95, "no overload: {all:.3}");
    assert!(
        largest >= all / 2.0,
        "{largest:.3} of the largest, {all:.3} of all"
    );
}

/// Answers differ a hundredfold in length and engines five times in speed. A long answer on a slow
/// engine is cut off at its deadline, after it held a slot for all that time; short ones end there.
#[test]
fn long_responses_run_on_engines_that_complete_them() {
    let mut long = chats(40.0);
    long.tokens = (300.0, 1.2, 2_950.0);
    let mut environment = environment(&[0.55, 0.55, 2.8, 2.8], vec![long]);
    environment.run(Duration::from_secs(30));
    let broken_off = total(&environment, |tally| tally.broken_off);
    assert!(
        broken_off <= 0.02,
        "{broken_off:.4} cut: {:?}",
        environment.tallies
    );
}

/// Slow engines have free slots while the fast ones give back several a second. A long prompt that
/// goes to a slow one is late before its first event, and makes all that runs beside it late.
#[test]
fn long_prompts_wait_for_an_upstream_that_reads_them_in_time() {
    let mut environment = environment(&[0.55, 0.55, 4.5, 4.5], vec![plans(9.0), chats(28.0)]);
    environment.run(Duration::from_secs(30));
    let plans = environment.tally("/plan/");
    let in_time = plans.fraction(plans.in_time);
    assert!(in_time >= 0.85, "{in_time:.3}: {plans:?}");
}

/// An engine reads a prompt of tens of thousands of tokens, and all that runs there pauses for
/// most of a second. That is no silence: taken away, the answers would be read from the start
/// elsewhere, or broken off where nobody has room for them.
#[test]
fn a_pause_during_a_long_prefill_is_not_a_stall() {
    let mut long = plans(2.0);
    long.prompt = (20_000.0, 0.3, 54_000.0);
    let mut short = plans(12.0);
    short.path = "/short/";
    short.prompt = (400.0, 0.5, 2_000.0);
    let mut environment = environment(&[2.8, 2.8, 2.8, 2.8], vec![long, short]);
    environment.run(Duration::from_secs(30));
    let longest = environment
        .tallies
        .iter()
        .map(|tally| tally.max_event_gap)
        .max();
    assert!(longest > Some(Duration::from_millis(500)), "{longest:?}");
    assert_eq!(
        environment.abandoned_streams, 0,
        "{:?}",
        environment.tallies
    );
}

/// One of six engines loses its power while a dozen answers run there. All of them fall silent at
/// once, long before any caller leaves. What may run again is read on elsewhere, and new work goes
/// there no more.
#[test]
fn a_stalled_upstream_is_detected_when_all_its_streams_stop() {
    let mut environment = environment(&SLOWDOWNS, vec![plans(16.0)]);
    environment.advance(Duration::from_secs(5), true);
    environment.engines[0].stalled = true;
    environment.advance(Duration::from_secs(5), true);
    environment.run(Duration::from_secs(2));
    let plans = environment.tally("/plan/");
    assert!(plans.redispatched > 0, "{plans:?}");
    let lost = plans.fraction(plans.left + plans.broken_off + plans.refused);
    assert!(lost <= 0.02, "{lost:.4}: {plans:?}");
}

/// Most urgent callers that were not answered in time, and the share of sends to full engines.
struct SlotUpdateEffect {
    not_in_time: u32,
    to_full: f64,
}

/// Several loads under which nearly all slots are taken.
fn run_scarce_loads(sends_slot_updates: bool) -> SlotUpdateEffect {
    let mut effect = SlotUpdateEffect {
        not_in_time: 0,
        to_full: 0.0,
    };
    for (urgent, other) in [(12.0, 55.0), (14.0, 70.0), (18.0, 60.0), (24.0, 40.0)] {
        let mut environment = environment(&SLOWDOWNS, vec![plans(urgent), chats(other)]);
        environment.sends_slot_updates = sends_slot_updates;
        environment.run(Duration::from_secs(30));
        let plans = environment.tally("/plan/");
        effect.not_in_time += plans.requests - plans.in_time;
        effect.to_full +=
            f64::from(environment.dispatched_to_full) / f64::from(environment.dispatched);
    }
    effect
}

/// Slots turn over in less time than passes between two full summaries of a daemon. A daemon that
/// learns late sends the most urgent request to an engine that is full, where it waits behind all
/// others, or keeps it waiting beside a free one. Sent slots alone while these are scarce,
/// fewer of these callers wait too long.
#[test]
fn slot_updates_reduce_late_urgent_responses() {
    let reported = run_scarce_loads(true);
    let unreported = run_scarce_loads(false);
    let (late, late_before) = (reported.not_in_time, unreported.not_in_time);
    assert!(
        f64::from(late) < f64::from(late_before) * 0.9,
        "{late} with slot updates, {late_before} without"
    );
    let (full, full_before) = (reported.to_full, unreported.to_full);
    assert!(
        full < full_before * 0.9,
        "{full:.3} with slot updates, {full_before:.3} without"
    );
}
