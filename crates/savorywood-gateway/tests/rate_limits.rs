//! Upstreams that name a rate which they take from all daemons together.

#[path = "common/callers.rs"]
mod callers;
#[path = "common/field.rs"]
mod field;
#[path = "common/limits.rs"]
mod limits;
#[path = "common/scene.rs"]
mod scene;

use limits::{LimitField, LimitTally};
use savorywood_gateway::{
    AttemptOutcome, GatewayEffect, GatewayEvent, RateLimit, ResponseMetadata, UpstreamEntry,
};
use scene::{GatewayScene, arrival, upstream};
use std::time::Duration;

fn marks(per_second: Option<f64>) -> ResponseMetadata {
    ResponseMetadata {
        rate_limit: per_second.and_then(RateLimit::from_per_second),
        ..ResponseMetadata::default()
    }
}

/// Guards against limits that upstreams name and no log shows.
#[test]
fn a_limit_that_is_named_changed_or_lifted_is_logged() {
    let mut scene = GatewayScene::ready(1);
    for per_second in [None, Some(1.2), Some(1.2), Some(3.0), None] {
        let request = scene.arrive(arrival("/safe/1"));
        let outcome = AttemptOutcome::Delivered {
            metadata: marks(per_second),
            events: 0,
        };
        scene.end(request, outcome);
        for _ in 0..60 {
            scene.advance(Duration::from_millis(500));
            scene.confirm();
        }
    }
    let lines = scene.effects.iter().filter_map(|effect| match effect {
        GatewayEffect::Log(line) => Some(line.to_string()),
        _ => None,
    });
    let named: Vec<String> = lines.filter(|line| line.contains("limited")).collect();
    assert_eq!(
        named,
        [
            "event=upstream-limited upstream=upstream-1 per_second=1.2 before=0 source=own",
            "event=upstream-limited upstream=upstream-1 per_second=3 before=1.2 source=own",
            "event=upstream-unlimited upstream=upstream-1 per_second=0 before=3 source=own",
        ]
    );
}

/// Guards against the head of a long stream that lifts a limit which was named after it.
#[test]
fn the_end_of_a_stream_says_nothing_new_of_a_limit() {
    let mut scene = GatewayScene::ready(2);
    let stream = scene.arrive(arrival("/stream/1"));
    scene.step(GatewayEvent::ResponseStarted {
        request: stream,
        metadata: marks(Some(2.0)),
    });
    let limited = |scene: &GatewayScene| {
        let states = scene.gateway.fleet().iter();
        states.filter(|state| state.limit.limit().is_some()).count()
    };
    assert_eq!(limited(&scene), 1);
    let outcome = AttemptOutcome::Delivered {
        metadata: marks(None),
        events: 3,
    };
    scene.end(stream, outcome);
    assert_eq!(limited(&scene), 1);
}

/// Guards against daemons that each send an upstream in need what it takes from all of them.
#[test]
fn all_daemons_together_keep_to_the_limit_that_an_upstream_names() {
    for daemons in [1, 8, 48] {
        let mut field = LimitField::new(daemons, 6, 1);
        field.arrivals = 3;
        field.advance(Duration::from_secs(3));
        field.set_limit(0, Some(1.2));
        field.set_limit(1, Some(1.7));
        field.advance(Duration::from_secs(20));
        field.assert_limits_kept(&format!("{daemons} daemons"));
    }
}

/// Shares of what limited upstreams take and of all requests, over some time.
fn play_limits(daemons: usize, limited: usize, per_second: f64, arrivals: usize) -> LimitShares {
    let mut field = LimitField::new(daemons, 6, 7);
    field.arrivals = arrivals;
    field.advance(Duration::from_secs(3));
    for number in 0..limited {
        field.set_limit(number, Some(per_second));
    }
    field.advance(Duration::from_secs(4));
    field.tally = LimitTally::default();
    let span = Duration::from_secs(20);
    field.advance(span);
    field.assert_limits_kept(&format!("{limited} at {per_second} with {daemons} daemons"));
    let sent: usize = (0..limited)
        .map(|number| field.sent_in_last(number, span))
        .sum();
    LimitShares {
        used: sent as f64 / (per_second * limited as f64 * span.as_secs_f64()),
        served: field.tally.served as f64 / field.tally.arrived as f64,
    }
}

#[derive(Debug)]
struct LimitShares {
    used: f64,
    served: f64,
}

/// Guards against limits that are kept by leaving most of what an upstream still takes unused.
#[test]
fn what_limited_upstreams_take_is_used_while_requests_wait() {
    for daemons in [1, 8, 48] {
        for (limited, per_second) in [(2, 1.2), (2, 8.0), (6, 1.2), (6, 4.0)] {
            let shares = play_limits(daemons, limited, per_second, 4);
            println!(
                "{daemons} daemons, {limited} of 6 at {per_second}: used {:.2}, served {:.3}",
                shares.used, shares.served
            );
            let is_scarce = limited == 6;
            assert!(
                !is_scarce || shares.used > 0.5,
                "most of it is left: {shares:?}"
            );
        }
    }
}

/// A field with two limited upstreams of six, long enough for all to know of them.
fn limited_field(daemons: usize, seed: u64) -> LimitField {
    let mut field = LimitField::new(daemons, 6, seed);
    field.advance(Duration::from_secs(2));
    field.set_limit(0, Some(1.2));
    field.set_limit(1, Some(2.5));
    field.advance(Duration::from_secs(4));
    field
}

/// Guards against parts of a limit that daemons save up while there is no work and spend at once.
#[test]
fn a_burst_after_a_rest_keeps_the_limit() {
    for daemons in [8, 48] {
        let mut field = limited_field(daemons, 3);
        for _ in 0..2 {
            field.arrivals = 0;
            field.advance(Duration::from_secs(45));
            field.arrivals = 60;
            field.advance(Duration::from_secs(2));
        }
        field.assert_limits_kept(&format!("{daemons} daemons"));
    }
}

/// Guards against daemons that start again, or take over from killed ones, and send the limit anew.
#[test]
fn the_limit_holds_while_daemons_are_killed_and_start_again() {
    for seed in 1..=6 {
        let mut field = limited_field(12, seed);
        field.arrivals = 6;
        for _ in 0..10 {
            for _ in 0..2 {
                let daemon = field.draws.below(12);
                field.restart(daemon);
            }
            let millis = 300 + field.draws.below(2_500) as u64;
            field.advance(Duration::from_millis(millis));
        }
        field.assert_limits_kept(&format!("seed {seed}"));
    }
}

/// Guards against daemons that are cut off from the others and take over what those hold.
#[test]
fn the_limit_holds_while_daemons_are_cut_off_from_each_other() {
    for seed in 1..=6 {
        let mut field = limited_field(24, seed);
        field.arrivals = 6;
        for _ in 0..5 {
            for _ in 0..8 {
                let daemon = field.draws.below(24);
                field.field.cut_off.insert(daemon);
            }
            field.advance(Duration::from_secs(3));
            field.field.cut_off.clear();
            field.advance(Duration::from_secs(2));
        }
        field.assert_limits_kept(&format!("seed {seed}"));
    }
}

/// Guards against limits that outlast the need, and against old answers that lift a new one.
#[test]
fn a_limit_follows_what_the_upstream_says() {
    for daemons in [8, 48] {
        let mut field = limited_field(daemons, 5);
        field.arrivals = 4;
        field.set_limit(1, Some(0.4));
        field.advance(Duration::from_secs(12));
        field.assert_limits_kept("a limit that fell below one a second");
        field.set_limit(1, Some(6.0));
        field.advance(Duration::from_secs(12));
        field.assert_limits_kept("a limit that rose");
        let span = Duration::from_secs(4);
        let risen = field.sent_in_last(1, span);
        assert!(risen >= 12, "{risen} in 4 s at {daemons} daemons");
        field.set_limit(1, None);
        field.advance(Duration::from_secs(8));
        let free = field.sent_in_last(1, span);
        let other = field.sent_in_last(2, span);
        assert!(free * 2 > other, "{free} of {other} at {daemons} daemons");
    }
}

/// Guards against work without a limit that is held against an upstream once it names one again.
#[test]
fn a_limit_that_is_named_again_is_used_at_once() {
    let mut field = limited_field(8, 4);
    field.arrivals = 4;
    field.set_limit(0, None);
    field.advance(Duration::from_secs(30));
    field.set_limit(0, Some(4.0));
    field.advance(Duration::from_secs(10));
    field.assert_limits_kept("a limit that was named again");
    let sent = field.sent_in_last(0, Duration::from_secs(8));
    assert!(sent >= 16, "{sent} in 8 s, 32 taken");
}

/// Guards against a limit of an upstream's last life that binds the next one.
#[test]
fn an_upstream_that_starts_anew_is_not_bound_by_what_it_said_before() {
    let mut scene = GatewayScene::ready(1);
    let request = scene.arrive(arrival("/safe/1"));
    let outcome = AttemptOutcome::Delivered {
        metadata: marks(Some(0.2)),
        events: 0,
    };
    scene.end(request, outcome);
    let waiting = scene.arrive(arrival("/safe/2"));
    assert!(scene.orders(waiting).is_empty());
    let reborn = UpstreamEntry {
        incarnation: 2,
        ..upstream(1, 1)
    };
    scene.step(GatewayEvent::UpstreamWritten(reborn));
    assert_eq!(scene.orders(waiting).len(), 1);
}

/// Guards against a daemon that reads late that an earlier limit ended, and passes it on as new.
#[test]
fn the_limit_holds_when_a_frozen_daemon_reads_that_an_earlier_one_ended() {
    for seed in 1..=8 {
        let mut field = limited_field(24, seed);
        field.arrivals = 8;
        field.advance(Duration::from_secs(2));
        field.set_limit(0, None);
        field.advance(Duration::from_millis(300));
        for daemon in 0..12 {
            field.freeze(daemon);
        }
        field.advance(Duration::from_secs(1));
        field.set_limit(0, Some(1.2));
        field.advance(Duration::from_secs(5));
        for daemon in 0..12 {
            field.thaw(daemon);
            field.advance(Duration::from_millis(400));
        }
        field.advance(Duration::from_secs(4));
        field.assert_limits_kept(&format!("seed {seed}"));
    }
}
