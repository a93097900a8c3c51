//! Pace of upstreams: what readings do to expected times, and what callers get where upstreams share
//! their machines.

#[path = "common/harness.rs"]
mod harness;
#[path = "common/load.rs"]
mod load;

use load::{
    LoadEnvironment,
    calls::CallKind,
    pace::{ReportStyle, run_with_changing_pace},
    slots::SlotConditions,
};
use savorywood_gateway::{OverloadOptions, PaceReading, UpstreamPace};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

const USUAL: u16 = 100;
const SLOW: u16 = 250;

fn reading(percent: u16) -> PaceReading {
    PaceReading::from_percent(percent).expect("a valid reading")
}

fn at_millis(millis: u64) -> MonotonicTime {
    MonotonicTime(1_000_000 + millis * 1_000)
}

/// Returns the pace of an upstream that reported its usual pace for a while, to which its responses
/// agreed.
fn settled_pace() -> UpstreamPace {
    let mut pace = UpstreamPace::default();
    for _ in 0..50 {
        pace.record(at_millis(0), reading(USUAL));
        pace.record_observation(at_millis(0), 100.0, 100.0);
    }
    pace
}

/// Guards against avoiding an upstream for a slow span that has ended.
#[test]
fn a_reading_fades_within_the_length_of_a_span() {
    let mut pace = settled_pace();
    pace.record(at_millis(0), reading(SLOW));
    let factors =
        [0, 200, 400, 600, 5_000].map(|millis| pace.factor(at_millis(millis), Duration::ZERO));
    assert!(factors[0] > 2.0, "{factors:?}");
    assert!(
        factors.is_sorted_by(|earlier, later| earlier >= later),
        "{factors:?}"
    );
    assert!((factors[3] - 1.0).abs() < 1e-9, "{factors:?}");
    assert!((factors[4] - 1.0).abs() < 1e-9, "{factors:?}");
}

/// Guards against expecting long work to be slow from its beginning to its end.
#[test]
fn a_slow_span_weighs_less_on_long_work() {
    let mut pace = settled_pace();
    pace.record(at_millis(0), reading(SLOW));
    let short = pace.factor(at_millis(0), Duration::from_millis(50));
    let long = pace.factor(at_millis(0), Duration::from_secs(3));
    assert!(short > 2.0 && long < 1.3, "{short} {long}");
    assert!(long > 1.0);
}

/// Guards against a time of zero, or without end, from a figure that no pace can have.
#[test]
fn values_without_meaning_are_no_readings() {
    assert_eq!(PaceReading::from_percent(0), None);
    assert_eq!(PaceReading::from_percent(10_001), None);
    assert_eq!(
        UpstreamPace::default().factor(at_millis(0), Duration::ZERO),
        1.0
    );
    let mut pace = settled_pace();
    pace.record(at_millis(0), reading(10_000));
    assert!(pace.factor(at_millis(0), Duration::ZERO) <= 4.0);
    pace.record(at_millis(0), reading(1));
    assert!(pace.factor(at_millis(0), Duration::ZERO) >= 0.25);
}

/// Guards against work for an upstream that always claims to be fast, and none for one that always
/// claims to be slow.
#[test]
fn a_claim_that_never_changes_has_no_influence() {
    for percent in [10, 900] {
        let mut pace = UpstreamPace::default();
        for second in 0..100 {
            pace.record(at_millis(second * 1_000), reading(percent));
            pace.record_observation(at_millis(second * 1_000), 100.0, 100.0);
        }
        let factor = pace.factor(at_millis(99_000), Duration::ZERO);
        assert!((factor - 1.0).abs() < 0.05, "{percent}: {factor}");
    }
}

/// Guards against readings that move work about although responses take the same time at each of
/// them.
#[test]
fn readings_that_responses_contradict_are_ignored() {
    let mut pace = settled_pace();
    for number in 0..20 {
        let now = at_millis(number * 1_000);
        pace.record(now, reading(if number % 2 == 0 { SLOW } else { 40 }));
        pace.record_observation(now, 100.0, 100.0);
    }
    assert!(!pace.is_confirmed());
    assert_eq!(pace.factor(at_millis(19_000), Duration::ZERO), 1.0);
    // Once they agree again, they count again.
    for number in 20..60 {
        let now = at_millis(number * 1_000);
        let percent = if number % 2 == 0 { SLOW } else { USUAL };
        pace.record(now, reading(percent));
        pace.record_observation(now, f64::from(percent), 130.0);
    }
    assert!(pace.is_confirmed());
}

/// Engines that differ up to 4.4 times in speed.
const SLOWDOWNS: [f64; 12] = [1.0, 1.3, 1.7, 2.2, 2.8, 4.4, 1.0, 1.3, 1.7, 2.2, 2.8, 4.4];

fn statements(per_second: f64) -> CallKind {
    CallKind {
        path: "/statement/",
        rank: 0,
        per_second,
        resumable: true,
        prompt: (2_500.0, 0.9, 53_000.0),
        tokens: (90.0, 0.8, 1_200.0),
        objective: Duration::from_millis(1_000),
        gap_objective: Duration::from_millis(500),
        caller_idle_timeout: Duration::from_secs(4),
        deadline: Duration::from_secs(12),
    }
}

/// Returns the fraction of requests in time under changing paces, over several seeds.
fn in_time(uses_pace: bool, style: ReportStyle, per_second: f64, seeds: u64, seconds: u64) -> f64 {
    let mut served = 0;
    let mut requests = 0;
    for seed in 1..=seeds {
        let conditions = SlotConditions {
            seed,
            overload: OverloadOptions {
                upstream_pace: uses_pace,
                ..OverloadOptions::default()
            },
            reports_load: true,
            ..SlotConditions::default()
        };
        let kinds = vec![statements(per_second)];
        let mut environment = LoadEnvironment::with_conditions(4, &SLOWDOWNS, 4, kinds, conditions);
        run_with_changing_pace(&mut environment, Duration::from_secs(seconds), seed, style);
        let tally = environment.tally("/statement/");
        served += tally.in_time;
        requests += tally.requests;
    }
    f64::from(served) / f64::from(requests)
}

/// Requests a second; three quarters of what the engines can do.
const LOAD: f64 = 36.0;
/// Most of the requests that may be late because of the pace where it tells nothing, as a fraction.
const MAX_LOSS: f64 = 0.01;

/// Load: three quarters of what the engines can do, while each is slow in 15% of spans of 0.6 s.
/// Guards against placing by readings that are older than the span that they tell of.
#[test]
fn changing_paces_cost_callers_nothing_more_than_without_readings() {
    let without = in_time(false, ReportStyle::True, LOAD, 3, 10);
    let with = in_time(true, ReportStyle::True, LOAD, 3, 10);
    println!("in time: {without:.4} without readings, {with:.4} with them");
    assert!(with >= without - MAX_LOSS, "{without} {with}");
}

/// Load: as above, with readings that have nothing to do with the pace, or never change. Guards
/// against work that is moved away from good upstreams by what they claim.
#[test]
fn false_readings_cost_callers_nothing() {
    let without = in_time(false, ReportStyle::True, LOAD, 3, 10);
    for style in [ReportStyle::Random, ReportStyle::Constant(1_000)] {
        let with = in_time(true, style, LOAD, 3, 10);
        println!("in time: {without:.4} without readings, {with:.4} with {style:?}");
        assert!(with >= without - MAX_LOSS, "{style:?} {without} {with}");
    }
}

/// Prints the figures of `docs/design/upstream-pace.md`: `SAVORYWOOD_PACE_SEEDS` seeds of 20 s at
/// several loads; does nothing without it.
#[test]
fn figures_by_load() {
    let seeds = std::env::var("SAVORYWOOD_PACE_SEEDS").ok();
    let Some(seeds) = seeds.and_then(|seeds| seeds.parse().ok()) else {
        return;
    };
    for per_second in [16.0, 26.0, 36.0, 44.0, 52.0, 60.0] {
        let without = in_time(false, ReportStyle::True, per_second, seeds, 20);
        let with = in_time(true, ReportStyle::True, per_second, seeds, 20);
        println!("{per_second} a second: {without:.4} without, {with:.4} with readings");
    }
}
