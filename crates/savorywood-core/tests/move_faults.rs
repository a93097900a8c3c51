//! Failures of moves, brought about with several reducers, a fake table and a seeded workload.

#[path = "support/fake_table.rs"]
mod fake_table;
#[path = "support/move_lab.rs"]
mod move_lab;

use move_lab::{FaultOnset, LabPlan, MoveLab};
use quickcheck::{QuickCheck, quickcheck};
use savorywood_core::moves::evaluator::{EvaluationResult, VersionEvaluator};
use savorywood_protocol::{
    MonotonicTime,
    peer::moves::{RouteStatistics, VersionStatistics},
    resource::MoveState,
};
use std::time::Duration;

fn failing(onset: FaultOnset) -> LabPlan {
    LabPlan {
        onset,
        failure_rate: 0.5,
        ..LabPlan::default()
    }
}

/// A version is good and the room grows hot while it takes over: all engines slow down, and for
/// some seconds both versions fail. Taking it back would cost the users their release for nothing.
#[test]
fn a_good_version_is_done_in_time_on_a_hot_afternoon() {
    let mut lab = MoveLab::new(LabPlan::default(), 2);
    lab.run_until(600.0);
    assert_eq!(
        lab.result.state,
        Some(MoveState::Completed),
        "{}",
        lab.reason(0)
    );
    assert_eq!(lab.result.breaches, 0);
}

/// Guards against a good version that is taken back since fewer callers come than while the move
/// measured them.
#[test]
fn a_good_version_is_done_in_time_when_fewer_callers_come() {
    let plan = LabPlan {
        rate: 90.0,
        later_rate: Some(20.0),
        deadline: 300.0,
        hot: false,
        ..LabPlan::default()
    };
    for seed in 1..=6 {
        let mut lab = MoveLab::new(plan, seed);
        lab.run_until(300.0);
        let state = lab.result.state;
        let reason = lab.reason(0);
        assert_eq!(state, Some(MoveState::Completed), "seed {seed}: {reason}");
        assert_eq!(lab.result.breaches, 0);
    }
}

/// Guards against a first share that takes the time which larger shares need for their proof.
#[test]
fn a_good_version_is_done_in_time_by_a_short_move() {
    let plan = LabPlan {
        rate: 690.0,
        later_rate: Some(250.0),
        deadline: 75.0,
        soak_seconds: 1,
        hot: false,
        ..LabPlan::default()
    };
    let ends = (1..=20).map(|seed| {
        let mut lab = MoveLab::new(plan, seed);
        lab.run_until(plan.deadline);
        let is_done = lab.result.state == Some(MoveState::Completed);
        (seed, is_done, lab.reason(0))
    });
    let missed: Vec<_> = ends.filter(|(_, is_done, _)| !is_done).collect();
    assert!(missed.is_empty(), "{} of 20: {missed:?}", missed.len());
}

/// A version turns bad in one of the ways that the users name, at any time. Callers get errors or
/// slow answers. It must be taken back by the deadline with few requests having met it, and get
/// none a second after the first daemon saw it.
fn bad_version(seed: u64) -> Result<(), String> {
    let onsets = [
        FaultOnset::AtOnce,
        FaultOnset::After(50.0 + (seed % 400) as f64),
        FaultOnset::UnderLoad(200),
        FaultOnset::OneRoute,
    ];
    let onset = onsets[(seed % 4) as usize];
    let slow = LabPlan {
        onset,
        slowdown: 1.6,
        ..LabPlan::default()
    };
    let plan = if seed % 8 < 4 { failing(onset) } else { slow };
    let mut lab = MoveLab::new(plan, seed);
    lab.run_until(600.0);
    let result = lab.result;
    let met = f64::from(result.met_bad) / f64::from(result.requests);
    let right = result.state == Some(MoveState::TakenBack)
        && met < 0.02
        && result.spread < 1.0
        && result.breaches == 0;
    if right {
        Ok(())
    } else {
        Err(format!("{plan:?}: {result:?}, met {met}"))
    }
}

#[test]
fn bad_versions_are_taken_back() {
    QuickCheck::new()
        .tests(12)
        .quickcheck(bad_version as fn(u64) -> Result<(), String>);
}

/// The version fails while the table is down. Nobody can write that it is taken back, yet no
/// caller may get it any longer, and no operator may be told that it was taken back before it is
/// so in the table.
#[test]
fn a_stop_works_without_the_table() {
    let mut lab = MoveLab::new(failing(FaultOnset::After(40.0)), 3);
    lab.run_until(35.0);
    lab.outage = true;
    lab.run_until(140.0);
    assert!((0..7).all(|node| lab.share(node) == 0));
    assert_eq!(lab.state(0), MoveState::Moving);
    lab.outage = false;
    lab.run_until(150.0);
    assert!((0..7).all(|node| lab.state(node) == MoveState::TakenBack));
}

/// The holder is cut off from the table and the others for good. The others still see the version
/// fail and must stop it by themselves.
#[test]
fn daemons_stop_a_version_without_the_holder() {
    let mut lab = MoveLab::new(failing(FaultOnset::After(40.0)), 5);
    lab.run_until(35.0);
    lab.cut_off.insert(0);
    lab.run_until(400.0);
    assert!((1..7).all(|node| lab.share(node) == 0));
}

/// The holder dies in the middle of a move and another daemon takes over, knowing only the rows.
/// Were it to begin anew, the move would not be done in time; were it to go on without a proof of
/// its own, it could push a bad version through.
#[test]
fn another_holder_goes_on_with_the_move() {
    let mut good = MoveLab::new(LabPlan::default(), 13);
    good.run_until(300.0);
    good.cut_off.insert(0);
    good.run_until(320.0);
    good.holder = 3;
    good.run_until(600.0);
    assert_eq!(good.state(3), MoveState::Completed, "{}", good.reason(3));
    let mut bad = MoveLab::new(failing(FaultOnset::UnderLoad(50)), 13);
    bad.run_until(300.0);
    bad.cut_off.insert(0);
    bad.run_until(320.0);
    bad.holder = 3;
    bad.run_until(600.0);
    assert_eq!(bad.state(3), MoveState::TakenBack, "{}", bad.reason(3));
    assert_eq!(good.result.breaches + bad.result.breaches, 0);
}

/// The table loses every other answer, also the one to the row that says "completed". Operators
/// must not be told that the move is done before the row says so, nor may it stand still.
#[test]
fn lost_answers_neither_hold_up_nor_run_ahead_of_the_table() {
    let mut lab = MoveLab::new(LabPlan::default(), 17);
    lab.lost = 50;
    lab.run_until(600.0);
    assert!(
        (0..7).all(|node| lab.state(node) == MoveState::Completed),
        "{}",
        lab.reason(0)
    );
    assert_eq!(lab.result.breaches, 0);
}

/// Table and holder are gone until after the deadline, and the version is not proved. Were each
/// daemon to wait for a row, it would keep its share for as long as the outage lasts.
#[test]
fn an_unproven_version_has_no_share_after_the_deadline() {
    let mut lab = MoveLab::new(LabPlan::default(), 7);
    lab.run_until(60.0);
    assert!((0..7).all(|node| lab.share(node) > 0));
    lab.outage = true;
    lab.run_until(601.0);
    assert!((0..7).all(|node| lab.share(node) == 0));
    assert_ne!(lab.state(0), MoveState::Completed);
}

/// A service gets hardly any requests, so nothing can be proved in the time that there is. The
/// version must be taken back by the deadline with a reason, rather than pushed through.
#[test]
fn without_proof_the_version_is_taken_back_by_the_deadline() {
    let plan = LabPlan {
        rate: 0.2,
        ..LabPlan::default()
    };
    let mut lab = MoveLab::new(plan, 11);
    lab.run_until(599.0);
    assert_eq!(lab.state(0), MoveState::TakenBack);
    assert!(
        lab.reason(0).contains("too few requests"),
        "{}",
        lab.reason(0)
    );
}

fn evidence(old: [u32; 2], new: [u32; 2]) -> RouteStatistics {
    let arm = |[finished, failed]: [u32; 2]| VersionStatistics {
        finished,
        failed,
        ..VersionStatistics::default()
    };
    RouteStatistics {
        route: "/a".into(),
        old: arm(old),
        new: arm(new),
    }
}

quickcheck! {
    /// Something that both versions need is down for minutes, and both fail at whatever rate. The
    /// new one is not to blame and must not be taken back.
    fn shared_trouble_is_no_fault_of_the_new_version(rates: Vec<u8>) -> bool {
        let mut judge = VersionEvaluator::new(Duration::from_secs(1));
        for (second, rate) in rates.iter().enumerate() {
            let now = MonotonicTime(1_000_000 * (second as u64 + 1));
            let failed = 40 * u32::from(rate % 100) / 100;
            judge.close_window(now);
            judge.add(now, &evidence([40, failed], [20, failed / 2]));
        }
        !matches!(judge.result(), EvaluationResult::Worse { .. })
    }
}
