//! Upstreams that can bear few rejections and have less room than slots for a long time.

#[path = "common/callers.rs"]
mod callers;
#[path = "common/cluster.rs"]
mod cluster;
#[path = "common/harness.rs"]
mod harness;
#[path = "common/rejections.rs"]
mod rejections;

use rejections::RejectionEnvironment;
use std::{env, ops::RangeInclusive, time::Duration};

/// Requests that arrive in a step of 50 ms.
const ARRIVALS: u64 = 9;
/// Sizes of a deployment: daemons and upstreams.
const SIZES: [(usize, u16); 3] = [(7, 12), (8, 9), (7, 24)];
const ROOM_TIME: Duration = Duration::from_secs(6);

/// Returns the seeds that are played: those of `SAVORYWOOD_REJECTION_SEEDS`, as `FIRST..LAST`, or one.
fn seeds() -> RangeInclusive<u64> {
    let text = env::var("SAVORYWOOD_REJECTION_SEEDS").unwrap_or_default();
    let parsed = text
        .split_once("..")
        .and_then(|(first, last)| Some(first.parse().ok()?..=last.parse().ok()?));
    parsed.unwrap_or(1..=1)
}

/// Plays a scenario for all sizes, limits and seeds, and checks how often upstreams fell.
fn play(name: &str, scenario: impl Fn(&mut RejectionEnvironment)) {
    let mut broken = Vec::new();
    for max_rejections in [1, 2, 3] {
        let (mut falls, mut served, mut arrivals, mut relayed) = (0, 0, 0, 0);
        for (daemons, upstreams) in SIZES {
            for seed in seeds() {
                let mut environment = RejectionEnvironment::new(daemons, upstreams, seed);
                environment.max_rejections = max_rejections;
                environment.advance(Duration::from_secs(4), ARRIVALS);
                scenario(&mut environment);
                falls += environment.falls;
                served += environment.served;
                arrivals += environment.arrivals;
                relayed += environment.relayed;
                if environment.falls > environment.max_falls() {
                    broken.push(format!(
                        "{daemons} daemons, {upstreams} upstreams, {max_rejections} rejections a \
                         second, seed {seed}: {} falls",
                        environment.falls
                    ));
                }
            }
        }
        println!(
            "{name}, {max_rejections} rejections a second: {falls} falls, {served} served of \
             {arrivals}, {relayed} relayed"
        );
    }
    assert!(broken.is_empty(), "{name}: {broken:#?}");
}

/// Restarts a daemon every two seconds.
fn restart_daemons(environment: &mut RejectionEnvironment, restarts: usize) {
    for _ in 0..restarts {
        environment.advance(Duration::from_millis(1_500), ARRIVALS);
        let daemon = environment.random.below(environment.cluster.daemons.len());
        environment.kill(daemon);
        environment.advance(Duration::from_millis(500), ARRIVALS);
        environment.restart_down();
    }
}

/// Guards against upstreams that fail again as soon as they are back with as little room as before.
#[test]
fn upstreams_with_half_of_their_room_seldom_fail() {
    play("half of the room", |environment| {
        environment.room = 2;
        environment.advance(ROOM_TIME * 3, ARRIVALS);
    });
}

/// Guards against owners that take an upstream which runs one request for one that runs none.
#[test]
fn upstreams_with_room_for_one_request_seldom_fail() {
    play("room for one", |environment| {
        environment.room = 1;
        environment.advance(ROOM_TIME * 3, ARRIVALS);
    });
}

/// Guards against owners that all find out by a rejection of their own that the room shrinks.
#[test]
fn upstreams_whose_room_shrinks_seldom_fail() {
    play("shrinking room", |environment| {
        for room in [3, 2, 1] {
            environment.room = room;
            environment.advance(ROOM_TIME, ARRIVALS);
        }
    });
}

/// Guards against what a daemon learned of an upstream's room being lost with its process.
#[test]
fn upstreams_whose_room_shrinks_seldom_fail_while_daemons_restart() {
    play("shrinking room, restarts", |environment| {
        for room in [3, 2, 1] {
            environment.room = room;
            restart_daemons(environment, 3);
        }
    });
}

/// Guards against requests of killed daemons that go on at upstreams and take room that none of the
/// others counts.
#[test]
fn upstreams_that_finish_requests_of_killed_daemons_seldom_fail() {
    play("orphaned requests of 0.3 to 3 s", |environment| {
        environment.work_ms = 300..3_000;
        environment.keeps_orphans = true;
        restart_daemons(environment, 9);
    });
}

/// Guards against daemons on both sides of a partition that outlasts the time for which shares of
/// lost members are kept.
#[test]
fn upstreams_seldom_fail_in_long_partitions() {
    for cut_off in [2, 5] {
        play(&format!("{cut_off} daemons cut off"), |environment| {
            environment.cluster.cut_off = (0..cut_off).collect();
            environment.advance(Duration::from_secs(20), ARRIVALS);
            environment.cluster.cut_off.clear();
            environment.advance(Duration::from_secs(3), ARRIVALS);
        });
    }
}

/// Guards against callers that wait in vain at daemons which own no upstream of a small service.
#[test]
fn callers_of_daemons_that_own_no_upstream_are_served() {
    for max_rejections in [1, 2, 3] {
        let mut environment = RejectionEnvironment::new(8, 3, 1);
        environment.max_rejections = max_rejections;
        environment.work_ms = 40..80;
        environment.advance(Duration::from_secs(20), 1);
        println!(
            "{max_rejections} rejections a second: served by daemon {:?} of {}, {} relayed",
            environment.served_by, environment.arrivals, environment.relayed
        );
        assert!(environment.served as u64 * 100 >= environment.arrivals * 95);
        let fewest = environment.served_by.iter().min().expect("daemons");
        assert!(*fewest as u64 * 16 >= environment.arrivals, "{fewest}");
        environment.assert_few_falls("a small service");
    }
}
