//! Several daemons with one limit, one budget, one clock.

#[path = "common/scene.rs"]
mod scene;

use savorywood_gateway::{
    FreshnessClock, GatewayEvent, GatewayOptions, LimitTolerance, RetryBudget, RetryBudgetOptions,
    StoreExchange, TeamLimit,
};
use savorywood_protocol::MonotonicTime;
use scene::{GatewayScene, arrival, config, options, upstream};
use std::{sync::Arc, time::Duration};

const DAEMONS: usize = 7;
const WINDOW: Duration = Duration::from_secs(8);
const UNITS: f64 = 1_100.0;

fn daemon_options(number: usize, incarnation: u64) -> GatewayOptions {
    let mut options = options(&format!("host-{number}"));
    options.incarnation = incarnation;
    options.first_start = incarnation == 1;
    options.bounds.limit_tolerance = LimitTolerance {
        window: WINDOW,
        overage: 0.1,
        slack: 190_000.0,
    };
    options
}

fn limit() -> TeamLimit {
    TeamLimit {
        per_second: 58_000.0,
        burst: 58_000.0,
        in_tokens: true,
        default_tokens: 200,
    }
}

fn begin(number: usize, incarnation: u64, now: MonotonicTime) -> GatewayScene {
    let mut scene = GatewayScene::empty(daemon_options(number, incarnation));
    scene.now = now;
    scene.step(GatewayEvent::ConfigRead(Arc::new(config(1, Some(limit())))));
    let entries = (1..=8).map(|number| upstream(number, 64)).collect();
    scene.step(GatewayEvent::UpstreamsRead(entries));
    scene.confirm();
    scene
}

/// Times at which units were admitted, over all daemons.
fn play(restart_at: Option<u64>) -> Vec<MonotonicTime> {
    let start = MonotonicTime(1_000_000);
    let mut daemons: Vec<_> = (0..DAEMONS).map(|number| begin(number, 1, start)).collect();
    let mut admitted = Vec::new();
    for step in 0..2_400_u64 {
        let now = start + Duration::from_millis(step * 10);
        if restart_at == Some(step) {
            daemons = (0..DAEMONS).map(|number| begin(number, 2, now)).collect();
        }
        // A team that sends several times what it may, spread over all daemons.
        let daemon = &mut daemons[(step % DAEMONS as u64) as usize];
        daemon.now = now;
        daemon.confirm();
        for _ in 0..3 {
            let request = daemon.arrive(arrival("/safe/1"));
            if daemon.refusal(request).is_none() {
                admitted.push(now);
                daemon.deliver(request);
            }
        }
        if step % 25 == 24 {
            gossip_all(&mut daemons, now);
        }
    }
    admitted
}

fn gossip_all(daemons: &mut [GatewayScene], now: MonotonicTime) {
    for index in 0..daemons.len() {
        let summary = daemons[index].gateway.summary(now);
        for (other, daemon) in daemons.iter_mut().enumerate() {
            if other != index {
                daemon.now = now;
                daemon.step(GatewayEvent::SummaryReceived(Box::new(summary.clone())));
            }
        }
    }
}

fn most_in_a_window(admitted: &[MonotonicTime]) -> f64 {
    let counts = admitted.iter().enumerate().map(|(index, from)| {
        let later = admitted[index..].iter();
        later.take_while(|at| at.since(*from) < WINDOW).count()
    });
    counts.max().unwrap_or_default() as f64 * UNITS
}

fn allowed() -> f64 {
    (limit().per_second * WINDOW.as_secs_f64() + limit().burst) * 1.1 + 190_000.0
}

/// A team sends five times what it may, to all daemons at once. They learn of each other four
/// times a second; together they admit no more than operators tolerate, and no less than the
/// limit.
#[test]
fn daemons_together_keep_a_limit() {
    let admitted = play(None);
    let most = most_in_a_window(&admitted);
    assert!(most <= allowed(), "{most} of {}", allowed());
    assert!(most >= limit().per_second * WINDOW.as_secs_f64(), "{most}");
}

/// All daemons are killed together in the middle of it and start again at once, knowing nothing
/// of what they admitted. Each beginning with a full burst, they would admit several limits.
#[test]
fn daemons_that_all_start_again_keep_a_limit() {
    for restart_at in [650, 800, 1_000, 1_550] {
        let most = most_in_a_window(&play(Some(restart_at)));
        assert!(most <= allowed(), "{most} of {} at {restart_at}", allowed());
    }
}

/// Each daemon spends second tries by itself, cut off from the others or not; the sum stays within
/// what the service may get.
#[test]
fn second_tries_of_all_daemons_stay_within_the_budget() {
    let options = RetryBudgetOptions {
        ratio: 0.2,
        slack: 54.0,
        window: Duration::from_secs(10),
    };
    let mut budgets = vec![RetryBudget::default(); DAEMONS];
    let mut spent = 0;
    let mut requests = 0;
    for step in 0..1_000_u64 {
        let now = MonotonicTime(step * 10_000);
        for budget in &mut budgets {
            if step % 10 == 0 {
                budget.record_request(now);
                requests += 1;
            }
            spent += u32::from(budget.try_acquire(now, &options, DAEMONS));
        }
    }
    let most = f64::from(requests) * options.ratio + options.slack;
    assert!(f64::from(spent) <= most, "{spent} of {most}");
    assert!(f64::from(spent) >= most * 0.6, "{spent} of {most}");
}

/// A call to the store, with the store's clock in its answer; all in microseconds.
fn exchange(sent: u64, received: u64, store: u64) -> StoreExchange {
    StoreExchange {
        sent: MonotonicTime(sent),
        received: MonotonicTime(received),
        store_micros: Some(store),
    }
}

/// The machine was suspended while an answer was on its way. Taken as of its receiving, the answer
/// would prove what may have changed meanwhile.
#[test]
fn an_answer_that_waited_out_a_freeze_is_old() {
    let mut clock = FreshnessClock::default();
    let quick = exchange(10_000_000, 10_004_000, 500_002_000);
    clock.earliest_response_time(quick);
    let frozen = exchange(11_000_000, 19_000_000, 501_002_000);
    let proof = clock.earliest_response_time(frozen);
    assert!(proof < MonotonicTime(11_100_000), "{proof:?}");
}

/// A long poll was answered at its end, within a moment: it proves what was true then, not when it
/// was sent.
#[test]
fn a_long_poll_proves_its_end() {
    let mut clock = FreshnessClock::default();
    let quick = exchange(10_000_000, 10_004_000, 500_002_000);
    clock.earliest_response_time(quick);
    let poll = exchange(11_000_000, 12_404_000, 502_402_000);
    let proof = clock.earliest_response_time(poll);
    assert!(proof > MonotonicTime(12_390_000), "{proof:?}");
    assert!(proof <= MonotonicTime(12_404_000), "{proof:?}");
}

/// The store moved to another machine with another clock. What is proved falls back to the time of
/// sending, which is always true.
#[test]
fn another_clock_of_the_store_proves_no_more_than_the_sending() {
    let mut clock = FreshnessClock::default();
    clock.earliest_response_time(exchange(10_000_000, 11_000_000, 900_000_000));
    let proof = clock.earliest_response_time(exchange(20_000_000, 21_000_000, 5_000_000_000));
    assert_eq!(proof, MonotonicTime(20_000_000));
    let proof = clock.earliest_response_time(exchange(30_000_000, 31_000_000, 1_000));
    assert_eq!(proof, MonotonicTime(30_000_000));
}

/// The store reports its clock in whole milliseconds, and a quick call takes less than one. Taken as
/// exact, the two bounds of the clocks' difference contradict each other now and then; each long
/// poll then seemed as old as its wait, and a daemon that is in touch called itself unready.
#[test]
fn a_clock_in_whole_milliseconds_is_no_other_clock() {
    let mut clock = FreshnessClock::default();
    let quick = exchange(10_000_900, 10_000_990, 500_000_000);
    clock.earliest_response_time(quick);
    let poll = exchange(10_001_000, 10_841_010, 500_841_000);
    let proof = clock.earliest_response_time(poll);
    assert!(proof > MonotonicTime(10_838_000), "{proof:?}");
    assert!(proof <= MonotonicTime(10_841_010), "{proof:?}");
}
