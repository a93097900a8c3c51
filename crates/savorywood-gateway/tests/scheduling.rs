//! Scheduling under load on several daemons and engines of different speeds: results by rank.

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
/// Two fast, two normal and two slow engines.
const SLOWDOWNS: [f64; 6] = [0.55, 0.55, 1.0, 1.0, 2.8, 2.8];

/// Most urgent requests: long prompts, streams that can be resumed.
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
        caller_idle_timeout: Duration::from_millis(2_400),
        deadline: Duration::from_secs(12),
    }
}

/// Requests of normal rank: short prompts, streams that can't be resumed.
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

/// Requests of the lowest rank with short responses.
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

/// Returns an environment after 20 s with 1.5 times the load that all slots can serve.
fn overload() -> LoadEnvironment {
    let kinds = vec![plans(20.0), chats(100.0), digests(60.0)];
    let mut environment = environment(&SLOWDOWNS, kinds);
    environment.run(Duration::from_secs(20));
    environment
}

/// Returns a count over all kinds, as a fraction of all requests.
fn total(environment: &LoadEnvironment, count: impl Fn(&CallTally) -> u32) -> f64 {
    let requests: u32 = environment.tallies.iter().map(|tally| tally.requests).sum();
    let counted: u32 = environment.tallies.iter().map(count).sum();
    f64::from(counted) / f64::from(requests)
}

/// Lower ranks send 1.5 times the load that all slots can serve, at eight daemons that receive each
/// other's state late. Guards against giving every free slot away at once: urgent requests would
/// find all slots in use by less urgent ones for the length of a response.
#[test]
fn the_most_urgent_rank_is_served_in_time_under_overload() {
    let environment = overload();
    let plans = environment.tally("/plan/");
    let in_time = plans.fraction(plans.in_time);
    assert!(in_time >= 0.85, "{in_time:.3}: {plans:?}");
}

/// Under the same load many responses can't start before their callers time out. Guards against
/// keeping these requests queued in vain: they are refused early, with a retry-after delay that
/// leaves enough time before the deadline.
#[test]
fn requests_that_cannot_be_served_are_refused_before_callers_leave() {
    let environment = overload();
    let left = total(&environment, |tally| tally.left);
    assert!(
        left <= 0.01,
        "{left:.4} of the callers left: {:?}",
        environment.tallies
    );
    let asked_to_retry = total(&environment, |tally| tally.asked_to_retry);
    assert!(
        asked_to_retry >= 0.1,
        "only {asked_to_retry:.3} were asked to retry"
    );
    for (kind, tally) in environment.kinds.iter().zip(&environment.tallies) {
        assert!(tally.max_retry_after <= kind.deadline / 3, "{tally:?}");
    }
}

/// Under the same load the lowest rank asks for short responses. Guards against slots that stay
/// empty for more urgent requests while short ones, which free a reserved slot in time, are
/// refused.
#[test]
fn short_requests_of_the_lowest_rank_are_not_starved() {
    let environment = overload();
    let digests = environment.tally("/digest/");
    let served = digests.fraction(digests.in_time + digests.late);
    assert!(served >= 0.75, "{served:.3}: {digests:?}");
}

/// Most urgent requests of a second load: long prompts, medium responses.
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
        caller_idle_timeout: Duration::from_millis(6_400),
        deadline: Duration::from_secs(8),
    }
}

/// Requests of the lowest rank with responses of widely different length.
fn notes(per_second: f64) -> CallKind {
    CallKind {
        path: "/note/",
        rank: 2,
        per_second,
        prompt: (700.0, 1.0, 3_790.0),
        tokens: (90.0, 1.2, 1_740.0),
        objective: Duration::from_secs(2),
        caller_idle_timeout: Duration::from_secs(8),
        ..briefs(0.0)
    }
}

/// Guards against large requests of the lowest rank that never get a slot: urgent requests arrive
/// all the time, and every slot reserved for these goes to short requests as soon as it is free.
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
        "served {largest:.3} of the largest requests, {all:.3} of all"
    );
}

/// Response lengths differ by a factor of a hundred and engine speeds by a factor of five. Guards
/// against long responses on slow engines, which are broken off at their deadline after they held a
/// slot all that time.
#[test]
fn long_responses_run_on_engines_that_complete_them() {
    let mut long = chats(40.0);
    long.tokens = (300.0, 1.2, 2_950.0);
    let mut environment = environment(&[0.55, 0.55, 2.8, 2.8], vec![long]);
    environment.run(Duration::from_secs(30));
    let broken_off = total(&environment, |tally| tally.broken_off);
    assert!(
        broken_off <= 0.02,
        "{broken_off:.4} broken off: {:?}",
        environment.tallies
    );
}

/// Slow engines have free slots while fast ones free several a second. Guards against dispatching a
/// long prompt to a slow engine, where its first event is late and its prefill delays all
/// concurrent requests.
#[test]
fn long_prompts_wait_for_an_upstream_that_reads_them_in_time() {
    let mut environment = environment(&[0.55, 0.55, 4.5, 4.5], vec![plans(9.0), chats(28.0)]);
    environment.run(Duration::from_secs(30));
    let plans = environment.tally("/plan/");
    let in_time = plans.fraction(plans.in_time);
    assert!(in_time >= 0.85, "{in_time:.3}: {plans:?}");
}

/// The prefill of tens of thousands of tokens pauses all other streams of an engine for most of a
/// second. Guards against taking that for a stall: abandoned streams would start over elsewhere, or
/// be broken off where no slot is free.
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

/// One of six engines loses power with a dozen streams. All of them stop at once, long before a
/// caller times out. The daemon must resume those that can be resumed elsewhere, and dispatch
/// nothing more to the engine.
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

/// Results with or without slot updates.
struct SlotUpdateEffect {
    /// Requests of the most urgent rank that were not served in time.
    not_in_time: u32,
    /// Sum over the loads of the fraction of dispatches to full engines.
    to_full: f64,
}

/// Runs four loads under which nearly all slots are in use.
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

/// Slots are freed and taken faster than daemons send summaries. A daemon with outdated slot counts
/// dispatches urgent requests to full engines, where they queue behind all others, or keeps them
/// queued beside a free slot. Slot updates between the summaries must reduce the number of late
/// responses.
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
