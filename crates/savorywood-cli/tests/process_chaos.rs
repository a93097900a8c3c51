//! Random faults of every kind under load, with the promises to callers checked at the end.

use savorywood_standin::{chat_prompt, output_text};
use savorywood_testing::{
    ClusterPlan, ProcessSignal, StandinProcess, TestCall, TestCluster, TestDaemon, TestReply,
    has_end_mark, streamed_text, wait_until,
};
use serde_json::json;
use std::{
    env,
    net::SocketAddr,
    process, thread,
    time::{Duration, Instant},
};

/// Environment variable for a longer run, in seconds.
const SECONDS_VARIABLE: &str = "SAVORYWOOD_CHAOS_SECONDS";

/// Environment variable for a run with the faults of an earlier one.
const SEED_VARIABLE: &str = "SAVORYWOOD_CHAOS_SEED";

/// Length of the run in CI.
const DEFAULT_SECONDS: u64 = 6;

/// Seed of the run in CI.
const DEFAULT_SEED: u64 = 1;

const DAEMONS: usize = 3;

/// Callers of each kind.
const CALLERS: u64 = 4;

/// Time that a caller gives for a whole answer, in milliseconds.
const DEADLINE_MS: &str = "2000";

/// All is well again this long after the last fault.
const RECOVERY_TIME: Duration = Duration::from_secs(15);

/// A small generator of random numbers (xorshift by Marsaglia), so that a seed repeats a run.
struct FaultDice(u64);

impl FaultDice {
    fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound
    }

    fn index(&mut self, bound: usize) -> usize {
        usize::try_from(self.below(bound as u64)).unwrap_or(0)
    }
}

struct ChaosSetup {
    engines: Vec<StandinProcess>,
    proxies: Vec<StandinProcess>,
    plain: StandinProcess,
    cluster: TestCluster,
}

/// What callers were told.
#[derive(Debug, Default)]
struct CallerReport {
    whole: usize,
    charged: usize,
    /// Requests that were refused as "not run".
    not_run: Vec<String>,
    keys: Vec<String>,
}

fn start() -> ChaosSetup {
    let engines = [(); 2].map(|()| StandinProcess::engine(&["--decode", "200"]));
    let proxies = engines
        .iter()
        .map(|engine| StandinProcess::proxy(engine.address()));
    let proxies: Vec<_> = proxies.collect();
    let plain = StandinProcess::plain(&["--faults", "{\"latency_ms\":20}"]);
    let plan = ClusterPlan {
        daemons: DAEMONS,
        ..ClusterPlan::default()
    };
    let cluster = TestCluster::start(&plan);
    let addresses: Vec<_> = proxies.iter().map(StandinProcess::address).collect();
    cluster.declare(&addresses, &[plain.address()]);
    ChaosSetup {
        engines: engines.into(),
        proxies,
        plain,
        cluster,
    }
}

/// Hosts die and stand still, links break, engines cut answers off, the platform is out and loses
/// answers, all at random and at once. Whatever callers were told must be true: a whole answer is
/// whole and their own, what was refused as "not run" reached nobody, and nothing that may not be
/// repeated ran twice. When the faults end, all is served again.
#[test]
fn what_callers_are_told_stays_true_under_random_faults() {
    let number = |name: &str, preset: u64| {
        let value = env::var(name).ok().and_then(|text| text.parse().ok());
        value.unwrap_or(preset)
    };
    let seed = number(SEED_VARIABLE, DEFAULT_SEED);
    let run_time = Duration::from_secs(number(SECONDS_VARIABLE, DEFAULT_SECONDS));
    println!("{SEED_VARIABLE}={seed}");
    let mut setup = start();
    let addresses = setup.cluster.daemons.iter().map(TestDaemon::callers);
    let addresses: Vec<SocketAddr> = addresses.collect();
    let end = Instant::now() + run_time;
    let callers = (0..2 * CALLERS).map(|caller| {
        let addresses = addresses.clone();
        thread::spawn(move || match caller % 2 {
            0 => chat_until(end, caller, &addresses),
            _ => charge_until(end, caller, &addresses),
        })
    });
    let callers: Vec<_> = callers.collect();
    let mut dice = FaultDice::new(seed);
    while Instant::now() < end {
        strike(&mut setup, &mut dice);
    }
    heal(&mut setup);
    let reports = callers
        .into_iter()
        .map(|caller| caller.join().expect("a caller"));
    let reports: Vec<CallerReport> = reports.collect();
    check(&setup, &reports);
    for daemon in 0..DAEMONS {
        wait_until("whole answers after the faults", RECOVERY_TIME, || {
            let answer = setup.cluster.chat(daemon, "after", 3).send();
            answer.is_ok_and(|answer| has_end_mark(&answer.body))
        });
    }
}

/// One random fault, for a random time.
fn strike(setup: &mut ChaosSetup, dice: &mut FaultDice) {
    let pause = Duration::from_millis(100 + dice.below(400));
    match dice.below(8) {
        0 => {
            let daemon = dice.index(DAEMONS);
            setup.cluster.daemons[daemon].kill();
            thread::sleep(pause);
            setup.cluster.daemons[daemon].start();
        }
        1 => {
            let daemon = dice.index(DAEMONS);
            setup.cluster.daemons[daemon].signal(ProcessSignal::Stop);
            thread::sleep(pause);
            setup.cluster.daemons[daemon].signal(ProcessSignal::Continue);
        }
        2 | 3 => {
            let modes = ["cut", "half-open"];
            let proxy = &setup.proxies[dice.index(setup.proxies.len())];
            proxy.set_faults(&json!({"mode": modes[dice.index(modes.len())]}));
            thread::sleep(pause);
            proxy.set_faults(&json!({}));
        }
        4 => {
            let outages = ["refuse", "hang", "close"];
            let outage = outages[dice.index(outages.len())];
            setup
                .cluster
                .platform
                .set_faults(&json!({"outage": outage}));
            thread::sleep(pause * 2);
            setup.cluster.platform.set_faults(&json!({}));
        }
        5 => {
            let lost = dice.below(5) + 1;
            setup
                .cluster
                .platform
                .set_faults(&json!({"lose_answers": lost, "latency_ms": 30}));
            thread::sleep(pause);
            setup.cluster.platform.set_faults(&json!({}));
        }
        6 => {
            let engine = &setup.engines[dice.index(setup.engines.len())];
            let faults = ["close_after_tokens", "end_after_tokens", "fail_per_mille"];
            engine.set_faults(&json!({faults[dice.index(faults.len())]: dice.below(30)}));
            thread::sleep(pause);
            engine.set_faults(&json!({}));
        }
        _ => {
            let drops = dice.below(3) + 1;
            setup
                .plain
                .set_faults(&json!({"drop_answers": drops, "latency_ms": 20}));
            thread::sleep(pause);
            setup.plain.set_faults(&json!({"latency_ms": 20}));
        }
    }
}

fn heal(setup: &mut ChaosSetup) {
    setup.cluster.platform.set_faults(&json!({}));
    setup.plain.set_faults(&json!({}));
    for standin in setup.proxies.iter().chain(&setup.engines) {
        standin.set_faults(&json!({}));
    }
}

fn chat_until(end: Instant, caller: u64, addresses: &[SocketAddr]) -> CallerReport {
    let mut report = CallerReport::default();
    let mut dice = FaultDice::new(caller + 100);
    while Instant::now() < end {
        let content = format!("caller {caller} text {}", dice.below(1_000_000));
        let tokens = 1 + u32::try_from(dice.below(40)).unwrap_or(0);
        let address = addresses[dice.index(addresses.len())];
        let call = TestCluster::chat_at(address, &content, tokens);
        let Some(reply) = send(call) else {
            continue;
        };
        if reply.status() == 200 {
            assert!(
                has_end_mark(&reply.body),
                "a part ended as if it were whole"
            );
            let expected = output_text(&chat_prompt(&content), tokens);
            assert_eq!(streamed_text(&reply.body), expected, "another's answer");
            report.whole += 1;
        } else {
            report.note_refusal(&reply);
        }
    }
    report
}

fn charge_until(end: Instant, caller: u64, addresses: &[SocketAddr]) -> CallerReport {
    let mut report = CallerReport::default();
    let mut dice = FaultDice::new(caller + 200);
    while Instant::now() < end {
        let key = format!("key-{caller}-{}", report.keys.len());
        report.keys.push(key.clone());
        for _ in 0..addresses.len() {
            let address = addresses[dice.index(addresses.len())];
            let Some(reply) = send(TestCluster::charge_at(address, &key)) else {
                continue;
            };
            if reply.status() == 200 {
                assert_eq!(reply.text(), "{\"euro\":3}", "another's answer");
                report.charged += 1;
                break;
            }
            report.note_refusal(&reply);
        }
    }
    report
}

/// The whole answer, or nothing when the connection or the answer broke.
fn send(call: TestCall) -> Option<TestReply> {
    let call = call.header("x-savorywood-deadline-ms", DEADLINE_MS);
    let reply = call.timeout(Duration::from_secs(5)).send().ok();
    if reply.is_none() {
        thread::sleep(Duration::from_millis(20));
    }
    reply
}

impl CallerReport {
    fn note_refusal(&mut self, reply: &TestReply) {
        let request = reply.header("x-request-id");
        if reply.json()["outcome"] == "not-run" {
            self.not_run.extend(request.map(str::to_owned));
        }
    }
}

fn check(setup: &ChaosSetup, reports: &[CallerReport]) {
    let whole: usize = reports.iter().map(|report| report.whole).sum();
    let charged: usize = reports.iter().map(|report| report.charged).sum();
    assert!(
        whole > 0 && charged > 0,
        "nothing was served: {whole} {charged}"
    );
    let charges = setup.plain.runs();
    let mut all = vec![charges.clone()];
    all.extend(setup.engines.iter().map(StandinProcess::runs));
    for report in reports {
        for key in &report.keys {
            assert!(charges.count("key", key) <= 1, "{key} ran twice");
        }
        for request in &report.not_run {
            let ran = all.iter().any(|runs| runs.count("request", request) > 0);
            assert!(!ran, "{request} was refused as not run, but ran");
        }
    }
    let dispatched = all.iter().flat_map(savorywood_testing::RunView::requests);
    let mut dispatched: Vec<String> = dispatched.collect();
    let total = dispatched.len();
    dispatched.sort_unstable();
    dispatched.dedup();
    assert_eq!(dispatched.len(), total, "a request was dispatched twice");
    println!(
        "whole={whole} charged={charged} dispatched={total} process={}",
        process::id()
    );
}
