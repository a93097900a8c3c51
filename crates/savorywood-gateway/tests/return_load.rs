//! Refused callers under load: an outage of the store, a team over its limit, and overload.
//!
//! `SAVORYWOOD_RETURN_SEEDS` sets the number of seeds of the comparison, which is ignored otherwise.

#[path = "common/harness.rs"]
mod harness;
#[path = "common/load.rs"]
mod load;

use load::{
    LoadEnvironment,
    calls::CallKind,
    returns::{ReturnSettings, StoreOutage},
};
use savorywood_gateway::{OutageOrder, ReturnPolicy, WhenFull};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

const DAEMONS: usize = 6;
const SLOTS: u32 = 4;
/// Upstreams of different speed: 1.65 is the normal speed of the deployments.
const SLOWDOWNS: [f64; 12] = [
    1.0, 1.0, 1.3, 1.3, 1.65, 1.65, 1.65, 1.65, 1.65, 1.65, 2.0, 2.0,
];
/// Value of a response in time and late, by rank.
const WORTH: [(f64, f64); 3] = [(5.1, 0.51), (2.6, 0.26), (0.33, 0.033)];
const REVOCATION_DELAY: Duration = Duration::from_secs(2);
const WARM_UP: Duration = Duration::from_secs(10);

/// Returns the requests of the three ranks; `load` 1 is the usual load.
fn kinds(load: f64) -> Vec<CallKind> {
    let kind = |rank: u32, path| CallKind {
        path,
        rank,
        per_second: [16.0, 19.6, 17.7][rank as usize] * load,
        resumable: rank != 1,
        prompt: ([2_700.0, 2_100.0, 830.0][rank as usize], 0.8, 53_200.0),
        tokens: ([85.0, 37.0, 120.0][rank as usize], 0.8, 1_200.0),
        objective: Duration::from_millis([1_200, 1_000, 800][rank as usize]),
        gap_objective: Duration::from_millis(800),
        caller_idle_timeout: Duration::from_secs([12, 6, 15][rank as usize]),
        deadline: Duration::from_secs([12, 6, 15][rank as usize]),
    };
    vec![kind(0, "/zero/"), kind(1, "/one/"), kind(2, "/two/")]
}

fn environment(kinds: Vec<CallKind>, settings: ReturnSettings) -> LoadEnvironment {
    let mut environment =
        LoadEnvironment::with_settings(DAEMONS, &SLOWDOWNS, SLOTS, kinds, settings);
    environment.seed_arrivals(settings.seed.unwrap_or(42));
    environment
}

/// Variants that are compared: the option off, on, and on with other rules.
fn variants() -> Vec<(&'static str, bool, ReturnPolicy)> {
    let rules = ReturnPolicy::default();
    let late = ReturnPolicy {
        when_full: WhenFull::Latest,
        ..rules
    };
    let early = ReturnPolicy {
        outage: OutageOrder::EarliestFirst,
        ..rules
    };
    let uniform = ReturnPolicy {
        outage: OutageOrder::Uniform,
        ..rules
    };
    let unrecognised = ReturnPolicy {
        recognises_returns: false,
        ..rules
    };
    let unheld = ReturnPolicy {
        holds_units: false,
        ..rules
    };
    vec![
        ("off", false, rules),
        ("on", true, rules),
        ("latest-if-full", true, late),
        ("earliest-first", true, early),
        ("uniform", true, uniform),
        ("unrecognised", true, unrecognised),
        ("unheld", true, unheld),
    ]
}

/// Results of one run.
#[derive(Debug, Clone, Default)]
struct RunResult {
    /// Value in each window.
    values: Vec<f64>,
    /// The same by the time of the first attempt.
    by_arrival: Vec<f64>,
    returns: u32,
    refused_again: usize,
    /// Those refused again although the store was available.
    again_with_store: usize,
    untimed: usize,
}

fn result(environment: &LoadEnvironment, worth: &[(f64, f64)], from: MonotonicTime) -> RunResult {
    let record = &environment.returns;
    let values = record.values(from, 20, worth);
    RunResult {
        values,
        returns: record.returns,
        by_arrival: record.values_by_arrival(from, 20, worth),
        refused_again: record.refused_again(),
        again_with_store: record.refused_again_with_store(),
        untimed: record
            .refused
            .iter()
            .filter(|call| !call.kept_time && call.retry_after.is_none())
            .count(),
    }
}

/// Runs with an outage of the store for `daemons` daemons, or without one.
fn run_outage(
    settings: ReturnSettings,
    load: f64,
    outage: Duration,
    daemons: usize,
) -> (RunResult, RunResult) {
    let run = |daemons| {
        let mut environment = environment(kinds(load), settings);
        environment.advance(WARM_UP, true);
        let from = environment.now;
        environment.returns.outage = Some(StoreOutage {
            from,
            until: from + outage,
            daemons,
        });
        environment.advance(outage + Duration::from_secs(14), true);
        environment.advance(Duration::from_secs(6), false);
        result(&environment, &WORTH, from + outage)
    };
    (run(daemons), run(0))
}

/// Sums of results over several seeds.
#[derive(Debug, Clone, Default)]
struct Totals {
    with: Vec<f64>,
    without: Vec<f64>,
    arrived_with: Vec<f64>,
    arrived_without: Vec<f64>,
    returns: u32,
    again: usize,
    again_with_store: usize,
    untimed: usize,
}

/// Windows after an outage that are compared.
const WINDOWS: usize = 6;

fn add(sums: &mut Vec<f64>, values: &[f64]) {
    sums.resize(WINDOWS, 0.0);
    for (sum, value) in sums.iter_mut().zip(values) {
        *sum += value;
    }
}

fn ratios(with: &[f64], without: &[f64]) -> Vec<f64> {
    let pairs = with.iter().zip(without);
    pairs.map(|(with, without)| with / without).collect()
}

impl Totals {
    fn add(&mut self, with: &RunResult, without: &RunResult) {
        add(&mut self.with, &with.values);
        add(&mut self.without, &without.values);
        add(&mut self.arrived_with, &with.by_arrival);
        add(&mut self.arrived_without, &without.by_arrival);
        self.returns += with.returns;
        self.again += with.refused_again;
        self.again_with_store += with.again_with_store;
        self.untimed += with.untimed;
    }
}

#[test]
#[ignore = "comparison of variants, several minutes"]
fn compare_variants_under_an_outage() {
    let seeds = std::env::var("SAVORYWOOD_RETURN_SEEDS");
    let seeds: u64 = seeds.map_or(1, |seeds| seeds.parse().expect("a number"));
    for (load, outage_s, daemons) in [
        (1.0, 5, DAEMONS),
        (1.4, 5, DAEMONS),
        (1.4, 8, DAEMONS),
        (1.4, 5, DAEMONS / 3),
    ] {
        for (name, return_schedule, policy) in variants() {
            let mut totals = Totals::default();
            for seed in 1..=seeds {
                let settings = ReturnSettings {
                    return_schedule,
                    policy,
                    revocation_delay: Some(REVOCATION_DELAY),
                    seed: Some(seed),
                    ..ReturnSettings::default()
                };
                let outage = Duration::from_secs(outage_s);
                let (with, without) = run_outage(settings, load, outage, daemons);
                totals.add(&with, &without);
            }
            println!(
                "load={load} outage={outage_s} cut={daemons} {name}: completed={:.2?} \
                 arrived={:.2?} returns={} again={} again_with_store={} untimed={}",
                ratios(&totals.with, &totals.without),
                ratios(&totals.arrived_with, &totals.arrived_without),
                totals.returns,
                totals.again,
                totals.again_with_store,
                totals.untimed,
            );
        }
    }
}
