//! Roll-outs of versions whose streams are slower than those of the old one.

#[path = "common/callers.rs"]
mod callers;
#[path = "common/cluster.rs"]
mod cluster;
#[path = "common/harness.rs"]
mod harness;
#[path = "common/versions.rs"]
mod versions;

use savorywood_gateway::RolloutPhase;
use std::time::Duration;
use versions::{TIME_LIMIT, VersionEnvironment, VersionResult, VersionScenario};

/// Fraction of a service's requests that a bad version may receive, and the number besides.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;

const RESTART_INTERVAL: Duration = Duration::from_millis(1_500);

fn results(scenario: VersionScenario) -> Vec<VersionResult> {
    let seeds = 1..=12;
    let results = seeds.map(|seed| VersionEnvironment::new(scenario, seed).run());
    let results: Vec<VersionResult> = results.collect();
    let phase = |result: &VersionResult| result.ended.map(|(phase, _)| phase);
    let rolled_back = results
        .iter()
        .filter(|result| phase(result) == Some(RolloutPhase::RolledBack));
    let new: Vec<u32> = results.iter().map(|result| result.dispatched_new).collect();
    println!(
        "{} of {} rolled back, sent to the new version {new:?}, {scenario:?}",
        rolled_back.count(),
        results.len()
    );
    results
}

fn assert_rolled_back(scenario: VersionScenario) {
    for result in results(scenario) {
        let (phase, after) = result.ended.expect("an end");
        assert_eq!(phase, RolloutPhase::RolledBack, "{scenario:?}");
        assert!(after < TIME_LIMIT, "{after:?}, {scenario:?}");
        let allowed = f64::from(result.dispatched) * EXPOSURE_SHARE + EXPOSURE_SLACK;
        assert!(f64::from(result.dispatched_new) <= allowed, "{result:?}");
    }
}

fn assert_completed(scenario: VersionScenario) {
    for result in results(scenario) {
        let (phase, after) = result.ended.expect("an end");
        assert_eq!(phase, RolloutPhase::Completed, "{scenario:?}");
        assert!(after < TIME_LIMIT, "{after:?}, {scenario:?}");
    }
}

/// A version eight times slower, whose callers leave before its first event.
fn slow_to_start() -> VersionScenario {
    VersionScenario {
        daemons: 3,
        old_upstreams: 6,
        new_upstreams: 6,
        arrivals_per_second: 20.0,
        slowness: 8.0,
        first_event_ms: 350.0,
        patience: Some(Duration::from_millis(2_400)),
        ..VersionScenario::default()
    }
}

fn disturbed() -> [VersionScenario; 3] {
    let usual = VersionScenario::default();
    [
        usual,
        VersionScenario {
            burst: 2.0,
            ..usual
        },
        VersionScenario {
            arrivals_per_second: 12.0,
            ..usual
        },
    ]
}

/// Guards against a version that is several times slower and is kept, as its streams are delivered.
#[test]
fn a_version_with_slow_streams_is_rolled_back() {
    for slowness in [4.0, 8.0] {
        for scenario in disturbed() {
            assert_rolled_back(VersionScenario {
                slowness,
                ..scenario
            });
        }
        assert_rolled_back(VersionScenario {
            slowness,
            restart_interval: Some(RESTART_INTERVAL),
            ..VersionScenario::default()
        });
    }
}

/// Guards against rolling a sound version back for load, restarts or unlike upstreams.
#[test]
fn a_version_with_usual_streams_is_completed() {
    for scenario in disturbed() {
        assert_completed(scenario);
        assert_completed(VersionScenario {
            spread: 2.0,
            ..scenario
        });
    }
    assert_completed(VersionScenario {
        slow_upstreams: 1,
        ..VersionScenario::default()
    });
}

/// Shows how versions that are less slow are decided; either decision is in order.
#[test]
fn a_version_that_is_slightly_slower_is_decided_in_time() {
    for slowness in [1.5, 2.0] {
        for scenario in disturbed() {
            for result in results(VersionScenario {
                slowness,
                ..scenario
            }) {
                let (_, after) = result.ended.expect("an end");
                assert!(after < TIME_LIMIT, "{after:?}");
            }
        }
    }
}

/// Guards against a roll-out that ends late because a daemon that starts counts its time anew.
#[test]
fn a_roll_out_ends_in_time_while_daemons_restart() {
    assert_completed(VersionScenario {
        restart_interval: Some(RESTART_INTERVAL),
        ..VersionScenario::default()
    });
}

/// Guards against a version that is accepted because callers leave before it responds.
#[test]
fn a_version_whose_callers_leave_before_it_responds_is_rolled_back() {
    let scenario = slow_to_start();
    assert_rolled_back(scenario);
    assert_rolled_back(VersionScenario {
        arrivals_per_second: 4.0,
        ..scenario
    });
}

/// Guards against taking callers that leave after a moment for evidence against a version.
#[test]
fn a_version_whose_callers_leave_after_a_moment_is_completed() {
    assert_completed(VersionScenario {
        slowness: 1.0,
        hasty_callers: 0.4,
        ..slow_to_start()
    });
}

/// Guards against refusing a service because the new version has lost its only upstream.
#[test]
fn a_version_without_upstreams_takes_no_requests_from_the_old_one() {
    let usual = VersionScenario {
        daemons: 3,
        old_upstreams: 6,
        new_upstreams: 1,
        arrivals_per_second: 12.0,
        ..VersionScenario::default()
    };
    for scenario in [
        VersionScenario {
            lost_after: Some(Duration::from_secs(1)),
            ..usual
        },
        VersionScenario {
            registered_after: TIME_LIMIT,
            ..usual
        },
        VersionScenario {
            rejects: true,
            ..usual
        },
    ] {
        assert_rolled_back(scenario);
        for result in results(scenario) {
            assert_eq!(result.refused, 0, "{scenario:?}");
        }
    }
}

/// Guards against a version that fails on one route, which has few of the requests.
#[test]
fn a_version_that_fails_on_a_small_route_is_rolled_back() {
    let scenario = VersionScenario {
        daemons: 3,
        old_upstreams: 4,
        new_upstreams: 4,
        arrivals_per_second: 24.0,
        plain_share: 0.05,
        plain_failures: 1.0,
        ..VersionScenario::default()
    };
    assert_rolled_back(scenario);
    assert_completed(VersionScenario {
        plain_failures: 0.0,
        ..scenario
    });
}

/// Guards against a quiet service whose sound version is never accepted, or whose bad one is.
#[test]
fn a_version_of_a_quiet_service_is_decided_by_its_few_responses() {
    let scenario = VersionScenario {
        daemons: 3,
        old_upstreams: 4,
        new_upstreams: 2,
        arrivals_per_second: 1.0,
        plain_share: 1.0,
        ..VersionScenario::default()
    };
    assert_completed(scenario);
    assert_rolled_back(VersionScenario {
        plain_failures: 1.0,
        ..scenario
    });
}
