//! Bounds that hold for all daemons together (team limits, retry budgets), and freshness of the
//! configuration by the store's clock.

#[path = "common/harness.rs"]
mod harness;

use harness::{GatewayHarness, arrival, config, options, upstream};
use savorywood_gateway::{
    FreshnessClock, GatewayEvent, GatewayOptions, LimitTolerance, RetryBudget, RetryBudgetOptions,
    StoreExchange, TeamLimit,
};
use savorywood_protocol::MonotonicTime;
use std::{sync::Arc, time::Duration};

const DAEMONS: usize = 7;
/// Window over which the limit is checked.
const WINDOW: Duration = Duration::from_secs(8);
/// Units of one request: 1,000 prompt tokens and 100 output tokens.
const UNITS_PER_REQUEST: f64 = 1_100.0;

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

fn start_daemon(number: usize, incarnation: u64, now: MonotonicTime) -> GatewayHarness {
    let mut harness = GatewayHarness::unconfigured(daemon_options(number, incarnation));
    harness.now = now;
    harness.step(GatewayEvent::ConfigRead(Arc::new(config(1, Some(limit())))));
    let entries = (1..=8).map(|number| upstream(number, 64)).collect();
    harness.step(GatewayEvent::UpstreamsRead(entries));
    harness.confirm();
    harness
}

/// Runs an overloaded cluster, with a restart of all daemons at a step if given. Returns the times
/// at which requests were admitted, over all daemons.
fn run(restart_at: Option<u64>) -> Vec<MonotonicTime> {
    let start = MonotonicTime(1_000_000);
    let mut daemons: Vec<_> = (0..DAEMONS)
        .map(|number| start_daemon(number, 1, start))
        .collect();
    let mut admitted = Vec::new();
    for step in 0..2_400_u64 {
        let now = start + Duration::from_millis(step * 10);
        if restart_at == Some(step) {
            daemons = (0..DAEMONS)
                .map(|number| start_daemon(number, 2, now))
                .collect();
        }
        // A team sends several times its limit, spread over all daemons.
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

fn gossip_all(daemons: &mut [GatewayHarness], now: MonotonicTime) {
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

/// Returns the most units admitted within any window.
fn max_units_in_window(admitted: &[MonotonicTime]) -> f64 {
    let counts = admitted.iter().enumerate().map(|(index, from)| {
        let later = admitted[index..].iter();
        later.take_while(|at| at.since(*from) < WINDOW).count()
    });
    counts.max().unwrap_or_default() as f64 * UNITS_PER_REQUEST
}

/// Returns the most units that may be admitted in a window, the tolerance included.
fn allowed_units() -> f64 {
    (limit().per_second * WINDOW.as_secs_f64() + limit().burst) * 1.1 + 190_000.0
}

/// A team sends five times its limit to all daemons at once, which exchange their usage four times
/// a second. Together they must admit no more than limit and tolerance, and no less than the limit.
#[test]
fn daemons_together_keep_a_limit() {
    let admitted = run(None);
    let most = max_units_in_window(&admitted);
    assert!(
        most <= allowed_units(),
        "{most} units in a window, {} allowed",
        allowed_units()
    );
    assert!(most >= limit().per_second * WINDOW.as_secs_f64(), "{most}");
}

/// Guards against several times the limit after all daemons are killed under load and restart at
/// once: their record of the usage is lost, and each would start with a full bucket.
#[test]
fn daemons_that_all_start_again_keep_a_limit() {
    for restart_at in [650, 800, 1_000, 1_550] {
        let most = max_units_in_window(&run(Some(restart_at)));
        assert!(
            most <= allowed_units(),
            "{most} units in a window, {} allowed, restart at step {restart_at}",
            allowed_units()
        );
    }
}

/// Each daemon spends the retry budget by itself, connected or not; the sum over all daemons must
/// stay within the budget of the service.
#[test]
fn retries_of_all_daemons_stay_within_the_budget() {
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
                budget.record_request(now, &options, DAEMONS);
                requests += 1;
            }
            spent += u32::from(budget.try_spend(now, &options, DAEMONS));
        }
    }
    let most = f64::from(requests) * options.ratio + options.slack;
    assert!(f64::from(spent) <= most, "{spent} of {most}");
    assert!(f64::from(spent) >= most * 0.6, "{spent} of {most}");
}

/// Returns a call to the store with the store's clock in its response; all times in microseconds.
fn exchange(sent: u64, received: u64, store: u64) -> StoreExchange {
    StoreExchange {
        sent: MonotonicTime(sent),
        received: MonotonicTime(received),
        store_micros: Some(store),
    }
}

/// Guards against taking a response as current when it is received after the machine was suspended:
/// what it states may have changed meanwhile.
#[test]
fn a_response_received_after_a_freeze_is_not_fresh() {
    let mut clock = FreshnessClock::default();
    let quick = exchange(10_000_000, 10_004_000, 500_002_000);
    clock.earliest_response_time(quick);
    let frozen = exchange(11_000_000, 19_000_000, 501_002_000);
    let fresh_as_of = clock.earliest_response_time(frozen);
    assert!(fresh_as_of < MonotonicTime(11_100_000), "{fresh_as_of:?}");
}

/// A long poll responds at its end, so it confirms the state of that moment, not of its start.
#[test]
fn a_long_poll_is_fresh_as_of_its_end() {
    let mut clock = FreshnessClock::default();
    let quick = exchange(10_000_000, 10_004_000, 500_002_000);
    clock.earliest_response_time(quick);
    let poll = exchange(11_000_000, 12_404_000, 502_402_000);
    let fresh_as_of = clock.earliest_response_time(poll);
    assert!(fresh_as_of > MonotonicTime(12_390_000), "{fresh_as_of:?}");
    assert!(fresh_as_of <= MonotonicTime(12_404_000), "{fresh_as_of:?}");
}

/// The store moves to a machine with another clock. Freshness then counts from the time at which
/// the call was sent, which is always safe.
#[test]
fn after_a_store_clock_change_freshness_falls_back_to_the_send_time() {
    let mut clock = FreshnessClock::default();
    clock.earliest_response_time(exchange(10_000_000, 11_000_000, 900_000_000));
    let fresh_as_of = clock.earliest_response_time(exchange(20_000_000, 21_000_000, 5_000_000_000));
    assert_eq!(fresh_as_of, MonotonicTime(20_000_000));
    let fresh_as_of = clock.earliest_response_time(exchange(30_000_000, 31_000_000, 1_000));
    assert_eq!(fresh_as_of, MonotonicTime(30_000_000));
}

/// Guards against taking rounding for another clock. The store reports whole milliseconds and a
/// quick call takes less than one; taken as exact, the two bounds of the clock difference
/// contradict each other at times. Each long poll then counted from its start, and a connected
/// daemon became unready.
#[test]
fn a_millisecond_clock_is_not_taken_for_a_clock_change() {
    let mut clock = FreshnessClock::default();
    let quick = exchange(10_000_900, 10_000_990, 500_000_000);
    clock.earliest_response_time(quick);
    let poll = exchange(10_001_000, 10_841_010, 500_841_000);
    let fresh_as_of = clock.earliest_response_time(poll);
    assert!(fresh_as_of > MonotonicTime(10_838_000), "{fresh_as_of:?}");
    assert!(fresh_as_of <= MonotonicTime(10_841_010), "{fresh_as_of:?}");
}
