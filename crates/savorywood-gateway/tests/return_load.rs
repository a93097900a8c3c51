//! Refused callers under load: an outage of the store, a team over its limit, and overload.
//!
//! The comparisons of variants, which take several minutes, run with `SAVORYWOOD_RETURN_SEEDS`, their
//! number of seeds; `SAVORYWOOD_RETURN_VARIANTS` selects variants.

#[path = "common/harness.rs"]
mod harness;
#[path = "common/load.rs"]
mod load;

use harness::{GatewayHarness, arrival, config, options, peer_summary, upstream};
use load::{
    LoadEnvironment,
    calls::CallKind,
    returns::{ReturnSettings, StoreOutage},
};
use savorywood_gateway::{
    GatewayEffect, GatewayEvent, OutageOrder, ReturnPolicy, TeamLimit, WhenFull,
};
use savorywood_protocol::MonotonicTime;
use std::{sync::Arc, time::Duration};

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

type Variant = (&'static str, bool, ReturnPolicy);

/// Variants that are compared: the option off, on, and on with other rules.
fn variants() -> Vec<Variant> {
    let rules = ReturnPolicy::default();
    let outage = |outage, when_full| ReturnPolicy {
        outage,
        when_full,
        ..rules
    };
    let late = outage(OutageOrder::LatestFirst, WhenFull::NoTime);
    let or_latest = outage(OutageOrder::LatestFirst, WhenFull::Latest);
    let or_in_time = outage(OutageOrder::LatestFirst, WhenFull::InTime);
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
        (
            "on-latest",
            true,
            outage(OutageOrder::InTime, WhenFull::Latest),
        ),
        ("late-or-none", true, late),
        ("late-or-latest", true, or_latest),
        ("late-or-in-time", true, or_in_time),
        ("unrecognised", true, unrecognised),
        ("unheld", true, unheld),
    ]
}

/// Returns the variants that `SAVORYWOOD_RETURN_VARIANTS` lists, or else all.
fn selected_variants() -> Vec<Variant> {
    let selected = std::env::var("SAVORYWOOD_RETURN_VARIANTS").unwrap_or_default();
    let names: Vec<&str> = selected
        .split(',')
        .filter(|name| !name.is_empty())
        .collect();
    let mut variants = variants();
    variants.retain(|variant| names.is_empty() || names.contains(&variant.0));
    variants
}

/// Returns the number of seeds of the comparisons; zero skips them.
fn seeds() -> u64 {
    let seeds = std::env::var("SAVORYWOOD_RETURN_SEEDS");
    seeds.map_or(0, |seeds| seeds.parse().expect("a number"))
}

fn settings(variant: Variant, seed: u64) -> ReturnSettings {
    ReturnSettings {
        return_schedule: variant.1,
        policy: variant.2,
        revocation_delay: Some(REVOCATION_DELAY),
        seed: Some(seed),
        ..ReturnSettings::default()
    }
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
    max_delay: Duration,
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
        max_delay: record
            .refused
            .iter()
            .filter_map(|call| call.retry_after)
            .max()
            .unwrap_or_default(),
    }
}

/// Runs with an outage of the store for `daemons` daemons, or without one if that is 0.
fn run_outage(settings: ReturnSettings, load: f64, outage: Duration, daemons: usize) -> RunResult {
    let mut environment = environment(kinds(load), settings);
    environment.advance(WARM_UP, true);
    let from = environment.now;
    environment.returns.outage = Some(StoreOutage {
        from,
        until: from + outage,
        daemons,
    });
    environment.advance(outage + Duration::from_secs(12), true);
    environment.advance(Duration::from_secs(4), false);
    result(&environment, &WORTH, from + outage)
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
fn compare_variants_under_an_outage() {
    if seeds() == 0 {
        return;
    }
    for (load, outage_s, daemons) in [
        (1.4, 5, DAEMONS),
        (1.8, 5, DAEMONS),
        (1.4, 8, DAEMONS),
        (1.4, 3, DAEMONS),
        (1.4, 5, DAEMONS / 3),
    ] {
        let outage = Duration::from_secs(outage_s);
        let variants = variants();
        let base =
            (1..=seeds()).map(|seed| run_outage(settings(variants[0], seed), load, outage, 0));
        let base: Vec<RunResult> = base.collect();
        for variant in &selected_variants() {
            let mut totals = Totals::default();
            for (seed, base) in (1..).zip(&base) {
                totals.add(
                    &run_outage(settings(*variant, seed), load, outage, daemons),
                    base,
                );
            }
            println!(
                "load={load} outage={outage_s} cut={daemons} {}: completed={:.2?} \
                 arrived={:.2?} returns={} again={} again_with_store={} untimed={}",
                variant.0,
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

/// Limit of the team that sends too much; its usual requests need 24,000 tokens per second.
const LIMIT: TeamLimit = TeamLimit {
    per_second: 30_000.0,
    burst: 30_000.0,
    in_tokens: true,
    default_tokens: 1_000,
};
const TEAM_RATE: f64 = 8.0;
const BURST: Duration = Duration::from_secs(8);

/// Runs with a team that sends 7.5 times its usual requests for some time.
fn run_team(mut settings: ReturnSettings) -> LoadEnvironment {
    settings.limit = Some(LIMIT);
    settings.first_limited_kind = Some(3);
    let mut kinds = kinds(0.8);
    let mut team = kinds[1].clone();
    team.path = "/team/";
    team.per_second = TEAM_RATE;
    team.prompt = (1_500.0, 1.2, 53_200.0);
    kinds.push(team);
    let mut environment = environment(kinds, settings);
    environment.advance(WARM_UP, true);
    environment.kinds[3].per_second = TEAM_RATE * 7.5;
    environment.advance(BURST, true);
    environment.kinds[3].per_second = TEAM_RATE;
    environment.advance(Duration::from_secs(8), true);
    environment.advance(Duration::from_secs(6), false);
    environment
}

#[test]
fn compare_variants_with_a_team_over_its_limit() {
    if seeds() == 0 {
        return;
    }
    let worth = [WORTH[0], WORTH[1], WORTH[2], WORTH[1]];
    for variant in selected_variants() {
        let mut value = [0.0; 2];
        let mut counts = [0; 5];
        let mut max_units = 0.0_f64;
        for seed in 1..=seeds() {
            let environment = run_team(settings(variant, seed));
            let record = &environment.returns;
            for call in &record.served {
                let (in_time, late) = worth[call.kind];
                value[usize::from(call.kind == 3)] += if call.late { late } else { in_time };
            }
            max_units = max_units.max(record.max_units(Duration::from_secs(8)));
            let team = record.refused.iter().filter(|call| call.kind == 3);
            let others = record.refused.iter().filter(|call| call.kind < 3);
            counts[0] += team
                .clone()
                .filter(|call| !call.kept_time && call.retry_after.is_some())
                .count();
            counts[1] += team.clone().filter(|call| call.kept_time).count();
            counts[2] += team
                .filter(|call| !call.kept_time && call.retry_after.is_none())
                .count();
            counts[3] += others.clone().count();
            counts[4] += record
                .served
                .iter()
                .filter(|call| call.kind == 3)
                .map(|call| call.units as usize)
                .sum::<usize>();
        }
        println!(
            "team {}: value others={:.0} team={:.0} returns={} again={} untimed={} others_refused={} units={} max_8s={max_units:.0}",
            variant.0, value[0], value[1], counts[0], counts[1], counts[2], counts[3], counts[4]
        );
    }
}

#[test]
fn compare_variants_under_overload() {
    if seeds() == 0 {
        return;
    }
    for variant in selected_variants() {
        let mut value = 0.0;
        let mut counts = [0; 3];
        for seed in 1..=seeds() {
            let mut kinds = kinds(2.2);
            for kind in &mut kinds {
                kind.caller_idle_timeout = Duration::from_millis(2_500);
            }
            let mut environment = environment(kinds, settings(variant, seed));
            environment.advance(Duration::from_secs(25), true);
            environment.advance(Duration::from_secs(14), false);
            let record = &environment.returns;
            for call in &record.served {
                let (in_time, late) = WORTH[call.kind];
                value += if call.late { late } else { in_time };
            }
            counts[0] += record.returns as usize;
            counts[1] += record.refused_again();
            counts[2] += record
                .refused
                .iter()
                .filter(|call| !call.kept_time && call.retry_after.is_none())
                .count();
        }
        println!(
            "overload {}: value={value:.0} returns={} again={} untimed={}",
            variant.0, counts[0], counts[1], counts[2]
        );
    }
}

/// Callers arrive in deployment A at 0.75 of the capacity while the store is unavailable to all
/// daemons for 5 s. Guards against refused callers whose returns take the capacity of the usual
/// arrivals when the store is available again, or come too late to be of value.
#[test]
fn the_value_served_after_an_outage_of_the_store_is_kept() {
    let outage = Duration::from_secs(5);
    let [off, on, ..] = variants()[..] else {
        panic!("two variants");
    };
    let mut totals = Totals::default();
    for seed in 1..=2 {
        let with = run_outage(settings(on, seed), 1.4, outage, DAEMONS);
        let without = run_outage(settings(off, seed), 1.4, outage, 0);
        totals.add(&with, &without);
    }
    assert!(totals.returns > 100, "{totals:?}");
    for values in [
        ratios(&totals.with, &totals.without),
        ratios(&totals.arrived_with, &totals.arrived_without),
    ] {
        assert!(values.iter().all(|value| *value >= 0.85), "{values:.2?}");
    }
}

/// The store is unavailable to two of six daemons. Guards against callers that wait although other
/// daemons could serve them, or that are refused there again.
#[test]
fn callers_of_daemons_without_the_store_are_served_elsewhere() {
    let on = variants()[1];
    let result = run_outage(settings(on, 1), 1.4, Duration::from_secs(5), DAEMONS / 3);
    assert!(result.returns > 50, "{result:?}");
    assert_eq!(result.refused_again + result.untimed, 0, "{result:?}");
    assert!(result.max_delay <= Duration::from_millis(300), "{result:?}");
}

/// A team sends 7.5 times its usual requests for 8 s, with prompts of very different size. Guards
/// against returns that are admitted beyond the limit and its tolerance, against refused callers
/// that are given times at which there is no room, and against refusals of other teams.
#[test]
fn returns_of_a_team_over_its_limit_stay_within_it() {
    let [off, on, ..] = variants()[..] else {
        panic!("two variants");
    };
    let again = |variant| {
        let environment = run_team(settings(variant, 1));
        let record = &environment.returns;
        assert!(record.refused.iter().all(|call| call.kind == 3));
        let fraction = record.refused_again() as f64 / f64::from(record.returns);
        (fraction, record.max_units(Duration::from_secs(8)))
    };
    let (off, _) = again(off);
    let (on, units) = again(on);
    // 8 s of the limit, its burst, and the tolerance of a tenth.
    let max_units = (LIMIT.per_second * 8.0 + LIMIT.burst) * 1.1;
    assert!(units <= max_units, "{units} units, at most {max_units}");
    assert!(
        on <= off * 0.6,
        "{on:.2} of the returns were refused, without {off:.2}"
    );
}

/// Returns the log line of a refusal at a daemon that has confirmed no keys for 5 s.
fn refusal_without_keys(return_schedule: bool, has_ready_peer: bool) -> String {
    let mut options = options("host-a");
    options.overload.return_schedule = return_schedule;
    let mut harness = GatewayHarness::unconfigured(options);
    harness.step(GatewayEvent::ConfigRead(Arc::new(config(1, None))));
    harness.step(GatewayEvent::UpstreamsRead(vec![upstream(1, 1)]));
    harness.confirm();
    harness.advance(Duration::from_secs(5));
    if has_ready_peer {
        let summary = Box::new(peer_summary(2, "zone-a", 1));
        harness.step(GatewayEvent::SummaryReceived(summary));
    }
    harness.effects.clear();
    harness.arrive(arrival("/safe/1"));
    let lines = harness.effects.iter().filter_map(|effect| match effect {
        GatewayEffect::Log(line) => Some(line.to_string()),
        _ => None,
    });
    let mut refused = lines.filter(|line| line.starts_with("event=request-refused"));
    refused.next().expect("a refusal")
}

/// Guards against delays in the log that can't be explained, and against other delays with the
/// option off.
#[test]
fn refusals_log_the_inputs_of_their_delay() {
    let alone = refusal_without_keys(true, false);
    assert!(alone.contains(" cause=store-outage capacity="), "{alone}");
    let cut_off = refusal_without_keys(true, true);
    assert!(cut_off.contains(" cause=cut-off capacity="), "{cut_off}");
    let off = refusal_without_keys(false, false);
    assert!(
        off.contains(" retry_ms=200 ") && !off.contains("cause="),
        "{off}"
    );
}
