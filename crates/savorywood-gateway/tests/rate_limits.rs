//! Rate limits that upstreams announce for the sum of all daemons.

#[path = "common/callers.rs"]
mod callers;
#[path = "common/cluster.rs"]
mod cluster;
#[path = "common/harness.rs"]
mod harness;
#[path = "common/limits.rs"]
mod limits;

use harness::{GatewayHarness, arrival, upstream};
use limits::{LimitEnvironment, LimitTally};
use savorywood_gateway::{
    AttemptOutcome, GatewayEffect, GatewayEvent, RateLimit, ResponseMetadata, UpstreamEntry,
};
use std::time::Duration;

fn metadata(per_second: Option<f64>) -> ResponseMetadata {
    ResponseMetadata {
        rate_limit: per_second.and_then(RateLimit::from_per_second),
        ..ResponseMetadata::default()
    }
}

/// Guards against announced limits that do not show in the log.
#[test]
fn announced_changed_and_lifted_limits_are_logged() {
    let mut harness = GatewayHarness::ready(1);
    for per_second in [None, Some(1.2), Some(1.2), Some(3.0), None] {
        let request = harness.arrive(arrival("/safe/1"));
        let outcome = AttemptOutcome::Delivered {
            metadata: metadata(per_second),
            events: 0,
        };
        harness.end(request, outcome);
        for _ in 0..60 {
            harness.advance(Duration::from_millis(500));
            harness.confirm();
        }
    }
    let lines = harness.effects.iter().filter_map(|effect| match effect {
        GatewayEffect::Log(line) => Some(line.to_string()),
        _ => None,
    });
    let logged: Vec<String> = lines.filter(|line| line.contains("limited")).collect();
    assert_eq!(
        logged,
        [
            "event=upstream-limited upstream=upstream-1 per_second=1.2 before=0 source=own",
            "event=upstream-limited upstream=upstream-1 per_second=3 before=1.2 source=own",
            "event=upstream-unlimited upstream=upstream-1 per_second=0 before=3 source=own",
        ]
    );
}

/// Guards against applying the metadata of a long stream's head again at its end, after a limit was
/// announced.
#[test]
fn the_end_of_a_stream_does_not_change_a_limit() {
    let mut harness = GatewayHarness::ready(2);
    let stream = harness.arrive(arrival("/stream/1"));
    harness.step(GatewayEvent::ResponseStarted {
        request: stream,
        metadata: metadata(Some(2.0)),
    });
    let limited = |harness: &GatewayHarness| {
        let states = harness.gateway.fleet().iter();
        states.filter(|state| state.limit.limit().is_some()).count()
    };
    assert_eq!(limited(&harness), 1);
    let outcome = AttemptOutcome::Delivered {
        metadata: metadata(None),
        events: 3,
    };
    harness.end(stream, outcome);
    assert_eq!(limited(&harness), 1);
}

/// Guards against daemons that each dispatch the full announced rate.
#[test]
fn all_daemons_together_keep_an_announced_limit() {
    for daemons in [1, 8, 48] {
        let mut environment = LimitEnvironment::new(daemons, 6, 1);
        environment.arrivals = 3;
        environment.advance(Duration::from_secs(3));
        environment.set_limit(0, Some(1.2));
        environment.set_limit(1, Some(1.7));
        environment.advance(Duration::from_secs(20));
        environment.assert_limits_kept(&format!("{daemons} daemons"));
    }
}

/// Returns which fraction of the announced limits was used, and which fraction of all requests was
/// served, over 20 s.
fn run_limits(daemons: usize, limited: usize, per_second: f64, arrivals: usize) -> LimitUsage {
    let mut environment = LimitEnvironment::new(daemons, 6, 7);
    environment.arrivals = arrivals;
    environment.advance(Duration::from_secs(3));
    for number in 0..limited {
        environment.set_limit(number, Some(per_second));
    }
    environment.advance(Duration::from_secs(4));
    environment.tally = LimitTally::default();
    let span = Duration::from_secs(20);
    environment.advance(span);
    environment.assert_limits_kept(&format!("{limited} at {per_second} with {daemons} daemons"));
    let sent: usize = (0..limited)
        .map(|number| environment.dispatched_in_last(number, span))
        .sum();
    LimitUsage {
        used: sent as f64 / (per_second * limited as f64 * span.as_secs_f64()),
        served: environment.tally.served as f64 / environment.tally.arrived as f64,
    }
}

/// Fractions from 0 to 1.
#[derive(Debug)]
struct LimitUsage {
    used: f64,
    served: f64,
}

/// Guards against keeping a limit by leaving most of it unused.
#[test]
fn what_limited_upstreams_take_is_used_while_requests_wait() {
    for daemons in [1, 8, 48] {
        for (limited, per_second) in [(2, 1.2), (2, 8.0), (6, 1.2), (6, 4.0)] {
            let usage = run_limits(daemons, limited, per_second, 4);
            println!(
                "{daemons} daemons, {limited} of 6 at {per_second}: used {:.2}, served {:.3}",
                usage.used, usage.served
            );
            let is_scarce = limited == 6;
            assert!(
                !is_scarce || usage.used > 0.5,
                "most of the limit is unused: {usage:?}"
            );
        }
    }
}

/// Returns an environment in which two of six upstreams announce a limit that all daemons have
/// received.
fn limited_environment(daemons: usize, seed: u64) -> LimitEnvironment {
    let mut environment = LimitEnvironment::new(daemons, 6, seed);
    environment.advance(Duration::from_secs(2));
    environment.set_limit(0, Some(1.2));
    environment.set_limit(1, Some(2.5));
    environment.advance(Duration::from_secs(4));
    environment
}

/// Guards against shares of a limit that daemons accumulate while idle and spend at once.
#[test]
fn a_burst_after_an_idle_period_keeps_the_limit() {
    for daemons in [8, 48] {
        let mut environment = limited_environment(daemons, 3);
        for _ in 0..2 {
            environment.arrivals = 0;
            environment.advance(Duration::from_secs(45));
            environment.arrivals = 60;
            environment.advance(Duration::from_secs(2));
        }
        environment.assert_limits_kept(&format!("{daemons} daemons"));
    }
}

/// Guards against daemons that spend the limit anew after a restart, or after they take over the
/// share of a killed one.
#[test]
fn the_limit_holds_while_daemons_are_killed_and_start_again() {
    for seed in 1..=6 {
        let mut environment = limited_environment(12, seed);
        environment.arrivals = 6;
        for _ in 0..10 {
            for _ in 0..2 {
                let daemon = environment.random.below(12);
                environment.restart(daemon);
            }
            let millis = 300 + environment.random.below(2_500) as u64;
            environment.advance(Duration::from_millis(millis));
        }
        environment.assert_limits_kept(&format!("seed {seed}"));
    }
}

/// Guards against partitioned daemons that take over the shares of those they can't reach.
#[test]
fn the_limit_holds_while_daemons_are_cut_off_from_each_other() {
    for seed in 1..=6 {
        let mut environment = limited_environment(24, seed);
        environment.arrivals = 6;
        for _ in 0..5 {
            for _ in 0..8 {
                let daemon = environment.random.below(24);
                environment.cluster.cut_off.insert(daemon);
            }
            environment.advance(Duration::from_secs(3));
            environment.cluster.cut_off.clear();
            environment.advance(Duration::from_secs(2));
        }
        environment.assert_limits_kept(&format!("seed {seed}"));
    }
}

/// Guards against limits that stay in force after they were raised or lifted, and against old
/// responses that lift a newer one.
#[test]
fn a_limit_follows_the_announced_rate() {
    for daemons in [8, 48] {
        let mut environment = limited_environment(daemons, 5);
        environment.arrivals = 4;
        environment.set_limit(1, Some(0.4));
        environment.advance(Duration::from_secs(12));
        environment.assert_limits_kept("a limit that fell below one a second");
        environment.set_limit(1, Some(6.0));
        environment.advance(Duration::from_secs(12));
        environment.assert_limits_kept("a limit that rose");
        let span = Duration::from_secs(4);
        let risen = environment.dispatched_in_last(1, span);
        assert!(risen >= 12, "{risen} in 4 s at {daemons} daemons");
        environment.set_limit(1, None);
        environment.advance(Duration::from_secs(8));
        let unlimited = environment.dispatched_in_last(1, span);
        let other = environment.dispatched_in_last(2, span);
        assert!(
            unlimited * 2 > other,
            "{unlimited} of {other} at {daemons} daemons"
        );
    }
}

/// Guards against charging requests from the time without a limit to a limit that is announced
/// again.
#[test]
fn a_limit_announced_again_is_usable_at_once() {
    let mut environment = limited_environment(8, 4);
    environment.arrivals = 4;
    environment.set_limit(0, None);
    environment.advance(Duration::from_secs(30));
    environment.set_limit(0, Some(4.0));
    environment.advance(Duration::from_secs(10));
    environment.assert_limits_kept("a limit that was named again");
    let sent = environment.dispatched_in_last(0, Duration::from_secs(8));
    assert!(sent >= 16, "{sent} in 8 s, 32 taken");
}

/// Guards against keeping the limit of an upstream's previous incarnation.
#[test]
fn a_restarted_upstream_is_not_bound_by_its_previous_limit() {
    let mut harness = GatewayHarness::ready(1);
    let request = harness.arrive(arrival("/safe/1"));
    let outcome = AttemptOutcome::Delivered {
        metadata: metadata(Some(0.2)),
        events: 0,
    };
    harness.end(request, outcome);
    let waiting = harness.arrive(arrival("/safe/2"));
    assert!(harness.orders(waiting).is_empty());
    let restarted = UpstreamEntry {
        incarnation: 2,
        ..upstream(1, 1)
    };
    harness.step(GatewayEvent::UpstreamWritten(restarted));
    assert_eq!(harness.orders(waiting).len(), 1);
}

/// Guards against a daemon that, after a freeze, handles the end of an earlier limit and gossips it
/// as the end of the current one.
#[test]
fn the_limit_holds_when_a_frozen_daemon_reads_that_an_earlier_one_ended() {
    for seed in 1..=8 {
        let mut environment = limited_environment(24, seed);
        environment.arrivals = 8;
        environment.advance(Duration::from_secs(2));
        environment.set_limit(0, None);
        environment.advance(Duration::from_millis(300));
        for daemon in 0..12 {
            environment.freeze(daemon);
        }
        environment.advance(Duration::from_secs(1));
        environment.set_limit(0, Some(1.2));
        environment.advance(Duration::from_secs(5));
        for daemon in 0..12 {
            environment.thaw(daemon);
            environment.advance(Duration::from_millis(400));
        }
        environment.advance(Duration::from_secs(4));
        environment.assert_limits_kept(&format!("seed {seed}"));
    }
}

/// Guards against daemons that send nothing to limited upstreams once half of the others are lost.
#[test]
fn daemons_that_see_no_majority_use_a_part_of_the_limit() {
    for seed in 1..=6 {
        let mut environment = LimitEnvironment::new(4, 6, seed);
        environment.arrivals = 1;
        environment.advance(Duration::from_secs(3));
        for number in 0..6 {
            environment.set_limit(number, Some(20.0));
        }
        environment.advance(Duration::from_secs(4));
        environment.cluster.cut_off.extend([0, 1]);
        environment.advance(Duration::from_secs(3));
        environment.tally = LimitTally::default();
        environment.advance(Duration::from_secs(20));
        environment.assert_limits_kept(&format!("seed {seed}"));
        let LimitTally {
            arrived, served, ..
        } = environment.tally;
        assert!(served * 10 > arrived * 9, "{served} of {arrived}");
    }
}
