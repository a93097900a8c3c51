//! Upstreams that name a rate which they take from all daemons together.

#[path = "common/callers.rs"]
mod callers;
#[path = "common/field.rs"]
mod field;
#[path = "common/limits.rs"]
mod limits;
#[path = "common/scene.rs"]
mod scene;

use limits::LimitField;
use savorywood_gateway::{AnswerMarks, AttemptOutcome, GatewayEffect, GatewayEvent, RateLimit};
use scene::{GatewayScene, arrival};
use std::time::Duration;

fn marks(per_second: Option<f64>) -> AnswerMarks {
    AnswerMarks {
        limit: per_second.and_then(RateLimit::of),
        ..AnswerMarks::default()
    }
}

/// Guards against limits that upstreams name and no log shows.
#[test]
fn a_limit_that_is_named_changed_or_lifted_is_logged() {
    let mut scene = GatewayScene::ready(1);
    for per_second in [None, Some(1.2), Some(1.2), Some(3.0), None] {
        let request = scene.arrive(arrival("/safe/1"));
        let outcome = AttemptOutcome::Delivered {
            marks: marks(per_second),
            events: 0,
        };
        scene.end(request, outcome);
        scene.advance(Duration::from_secs(30));
        scene.confirm();
    }
    let lines = scene.effects.iter().filter_map(|effect| match effect {
        GatewayEffect::Log(line) => Some(line.to_string()),
        _ => None,
    });
    let named: Vec<String> = lines.filter(|line| line.contains("limited")).collect();
    assert_eq!(
        named,
        [
            "event=upstream-limited upstream=upstream-1 per_second=1.2 before=0",
            "event=upstream-limited upstream=upstream-1 per_second=3 before=1.2",
            "event=upstream-unlimited upstream=upstream-1 per_second=0 before=3",
        ]
    );
}

/// Guards against the head of a long stream that lifts a limit which was named after it.
#[test]
fn the_end_of_a_stream_says_nothing_new_of_a_limit() {
    let mut scene = GatewayScene::ready(2);
    let stream = scene.arrive(arrival("/stream/1"));
    scene.step(GatewayEvent::AnswerBegan {
        request: stream,
        marks: marks(Some(2.0)),
    });
    let limited = |scene: &GatewayScene| {
        let states = scene.gateway.fleet().iter();
        states.filter(|state| state.limit.is_some()).count()
    };
    assert_eq!(limited(&scene), 1);
    let outcome = AttemptOutcome::Delivered {
        marks: marks(None),
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
