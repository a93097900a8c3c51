#![allow(
    clippy::unwrap_used,
    reason = "a value that can't be made is a broken test"
)]
//! Whole daemons in one thread: all duties at once, faults of everything around them, and rules
//! that are checked inside the program and from outside.

#[path = "whole/callers.rs"]
mod callers;
#[path = "support/fake_table.rs"]
mod fake_table;
#[path = "whole/faults.rs"]
mod faults;
#[path = "whole/ledger.rs"]
mod ledger;
#[path = "whole/links.rs"]
mod links;
#[path = "whole/node.rs"]
mod node;
#[path = "whole/operators.rs"]
mod operators;
#[path = "whole/resources.rs"]
mod resources;
#[path = "whole/sabotage.rs"]
mod sabotage;
#[path = "whole/schedule.rs"]
mod schedule;
#[path = "whole/upstreams.rs"]
mod upstreams;
#[path = "whole/world.rs"]
mod world;

use crate::{
    ledger::WorldRule,
    sabotage::WorldSabotage,
    schedule::WorldSchedule,
    world::{RunFigures, World},
};
use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeSet;
use strum::IntoEnumIterator;

/// Schedules in an ordinary run.
const DEFAULT_RUNS: u64 = 40;
/// Schedules within which a deliberate fault must be noticed.
const SABOTAGED_RUNS: u64 = 40;
/// Size that quickcheck is given; schedules choose their own.
const GEN_SIZE: usize = 100;

/// Has a test of its own.
const RESTART_RULE: WorldRule = WorldRule::RestartNeverReverts;

fn number_from(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn schedule_of(number: u64) -> WorldSchedule {
    let mut gen_state = Gen::from_size_and_seed(GEN_SIZE, number);
    WorldSchedule::arbitrary(&mut gen_state)
}

/// Leaves out of a failing schedule what its first breach does not need, and prints the rest.
/// Takes minutes, so it is done only when `SAVORYWOOD_SHRINK` is set.
fn report_failure(number: u64) {
    let mut smallest = schedule_of(number);
    let breaches = World::run(&smallest, None).ledger.breaches;
    let mut rules = breaches.iter().map(|breach| breach.rule);
    let rule = rules
        .find(|rule| *rule != RESTART_RULE)
        .unwrap_or(RESTART_RULE);
    let fails = |schedule: &WorldSchedule| {
        let breaches = World::run(schedule, None).ledger.breaches;
        breaches.iter().any(|breach| breach.rule == rule)
    };
    while let Some(smaller) = smallest.shrink().find(fails) {
        smallest = smaller;
    }
    println!("schedule {number} breaks {rule} with these actions of it:");
    for (at, action) in &smallest.actions {
        println!("  {at} us: {action:?}");
    }
    for breach in World::run(&smallest, None).ledger.breaches {
        println!("  {}: {}", breach.rule, breach.detail);
    }
}

/// Anything may fail at any moment, together or twice: daemons die, stand still and are stopped,
/// links are cut one way or both, the table is away, slow or loses answers after their effect,
/// clocks drift and jump, the host list lies, upstreams refuse, break off and stall. Callers
/// repeat, leave and resume; operators race. A caller or operator notices nothing but delays and
/// refusals that are true.
#[test]
fn whole_daemons_keep_all_rules() {
    let first = number_from("SAVORYWOOD_FIRST", 0);
    let runs = number_from("SAVORYWOOD_RUNS", DEFAULT_RUNS);
    let mut total = RunFigures::default();
    let mut failed = Vec::new();
    for number in first..first + runs {
        let world = World::run(&schedule_of(number), None);
        let mut breaches = world.ledger.breaches.iter();
        if let Some(breach) = breaches.find(|breach| breach.rule != RESTART_RULE) {
            println!("schedule {number}: {}: {}", breach.rule, breach.detail);
            failed.push(number);
        }
        let mut known = world.ledger.breaches.iter();
        if let Some(breach) = known.find(|breach| breach.rule == RESTART_RULE) {
            println!("known in {number}: {}: {}", breach.rule, breach.detail);
        }
        total.add(&world.figures);
    }
    println!("{runs} schedules from {first}: {total:?}");
    if std::env::var_os("SAVORYWOOD_SHRINK").is_some()
        && let Some(number) = failed.first()
    {
        report_failure(*number);
    }
    assert!(failed.is_empty(), "schedules that break rules: {failed:?}");
    assert!(total.whole_answers > 0 && total.accepted > 0);
}

/// A schedule that once broke a rule keeps all of them.
fn keeps_all_rules(number: u64) {
    let breaches = World::run(&schedule_of(number), None).ledger.breaches;
    let mut breaches = breaches.iter();
    let found = breaches.find(|breach| breach.rule != RESTART_RULE);
    assert!(found.is_none(), "schedule {number}: {found:?}");
}

/// All upstreams are full, so requests of several tiers are turned away and held while daemons are
/// asked whether anything lower waits. When they are tried again, a caller of the highest tier was
/// refused for load although one of a lower tier was still held at the same daemon.
#[test]
fn held_requests_of_lower_tiers_yield_first() {
    keeps_all_rules(15);
}

/// A daemon stands still for seconds while it holds a request of the highest tier, and goes on
/// after the deadline. Its caller was told "overloaded" while a lower tier waited, as if the order
/// of tiers had been turned round; the deadline had passed.
#[test]
fn a_held_request_whose_deadline_passed_is_told_so() {
    keeps_all_rules(117);
}

/// The floor of a service rises, and the next request to arrive is of the lowest tier. What waited
/// in a higher tier was shed before it.
#[test]
fn an_arrival_below_the_floor_is_shed_in_its_order() {
    keeps_all_rules(585);
}

/// A caller leaves in the moment in which a seat becomes free for its request. The daemon had
/// forgotten the request already and reported a second dispatch that there was not.
#[test]
fn a_caller_that_leaves_as_its_turn_comes_breaches_nothing() {
    keeps_all_rules(164);
}

/// The answer to a claim is lost and its caller leaves while the claim is to be written again.
/// Nobody read the row back, so the daemon's planned stop did not end.
#[test]
fn a_claim_in_doubt_whose_caller_left_does_not_hold_up_a_stop() {
    keeps_all_rules(101_724);
}

/// A connection is refused, the request is turned away, held and tried again, and a late report of
/// the first attempt comes. It was taken for the second attempt, and the request ran twice.
#[test]
fn a_request_that_was_held_is_told_apart_from_its_first_attempt() {
    keeps_all_rules(303_061);
}

/// Schedule in which the only daemon that knows of a change is replaced during an outage.
const REPLACED_DURING_OUTAGE: u64 = 82;

/// The table takes a change and goes out at once. The daemon that wrote it has it in force and
/// dies before any other has read it; the one that replaces it can't read the table and takes the
/// configuration that all others have. A caller of that host meets a configuration that was
/// replaced before, until the table is back.
#[test]
fn a_replaced_daemon_serves_no_older_configuration() {
    let world = World::run(&schedule_of(REPLACED_DURING_OUTAGE), None);
    let breaches = world.ledger.breaches.iter();
    let found: Vec<_> = breaches
        .filter(|breach| breach.rule == RESTART_RULE)
        .collect();
    assert!(found.is_empty(), "{found:#?}");
}

/// Each deliberate fault of the world is noticed by the check that is meant for it. A check that
/// can't fail proves nothing.
#[test]
fn each_rule_notices_its_breach() {
    for sabotage in WorldSabotage::iter() {
        for rule in sabotage.broken_rules() {
            let noticed = (0..SABOTAGED_RUNS).find(|number| {
                let breaches = World::run(&schedule_of(*number), Some(sabotage))
                    .ledger
                    .breaches;
                breaches.iter().any(|breach| breach.rule == *rule)
            });
            let Some(number) = noticed else {
                panic!("{sabotage} is not noticed by {rule} within {SABOTAGED_RUNS} schedules");
            };
            println!("{sabotage} is noticed by {rule} in schedule {number}");
        }
    }
    let rules = WorldSabotage::iter().flat_map(WorldSabotage::broken_rules);
    let rules: BTreeSet<_> = rules.collect();
    assert_eq!(rules.len(), WorldRule::iter().count());
}
