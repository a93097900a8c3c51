//! A store that is restored from a backup some seconds old.

#[path = "common/scene.rs"]
mod scene;

use quickcheck::quickcheck;
use savorywood_gateway::{
    ContentDigest, EvacuationOrder, FailedAttempt, GatewayEffect, GatewayEvent, QuarantineTable,
    RequestFingerprint, RolloutOrder, RolloutPhase, RolloutStatus, RolloutWrite, ServiceLabel,
    StorePosition, UpstreamEntry, VersionLabel, ZoneLabel,
};
use savorywood_protocol::MonotonicTime;
use scene::{GatewayScene, arrival, upstream};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(250);

fn position(era: u64, version: u64) -> StorePosition {
    StorePosition::new(era, version)
}

fn evacuation(era: u64, version: u64) -> EvacuationOrder {
    EvacuationOrder {
        zone: ZoneLabel::from("zone-a"),
        position: position(era, version),
    }
}

fn pass(scene: &mut GatewayScene, time: Duration) {
    let end = scene.now + time;
    while scene.now < end {
        scene.advance(STEP);
        scene.confirm();
    }
}

/// A ready daemon that has seen the first era.
fn scene() -> GatewayScene {
    let mut scene = GatewayScene::ready(2);
    scene.step(GatewayEvent::StoreEraObserved(1));
    scene
}

fn is_evacuated(scene: &GatewayScene) -> bool {
    scene.gateway.evacuated_zones().count() > 0
}

fn read_evacuations(scene: &mut GatewayScene, orders: &[EvacuationOrder], revision: StorePosition) {
    scene.step(GatewayEvent::EvacuationsRead {
        orders: orders.to_vec(),
        revision,
    });
}

/// Guards against an evacuation that ends as the backup is older than its order.
#[test]
fn an_evacuation_that_the_backup_lacks_stays_in_force() {
    let mut scene = scene();
    scene.step(GatewayEvent::EvacuationOrdered(evacuation(1, 40)));
    scene.step(GatewayEvent::StoreEraObserved(2));
    read_evacuations(&mut scene, &[], position(2, 30));
    pass(&mut scene, Duration::from_secs(3));
    assert!(is_evacuated(&scene));
    // The operator writes it again, under a version that was given out before.
    scene.step(GatewayEvent::EvacuationOrdered(evacuation(2, 35)));
    pass(&mut scene, Duration::from_secs(20));
    assert!(is_evacuated(&scene));
}

/// Guards against an evacuation that never ends as its withdrawal was lost, or put off for good.
#[test]
fn an_evacuation_that_is_not_written_again_ends() {
    let mut scene = scene();
    scene.step(GatewayEvent::EvacuationOrdered(evacuation(1, 40)));
    scene.step(GatewayEvent::StoreEraObserved(2));
    read_evacuations(&mut scene, &[], position(2, 30));
    pass(&mut scene, Duration::from_secs(8));
    assert!(!is_evacuated(&scene));
}

/// Guards against an order that the backup brings back after it was withdrawn, for good.
#[test]
fn a_withdrawal_that_the_backup_lacks_is_learned_once_more() {
    let mut scene = scene();
    scene.step(GatewayEvent::EvacuationOrdered(evacuation(1, 20)));
    scene.step(GatewayEvent::EvacuationWithdrawn(evacuation(1, 40)));
    assert!(!is_evacuated(&scene));
    scene.step(GatewayEvent::StoreEraObserved(2));
    read_evacuations(&mut scene, &[evacuation(2, 20)], position(2, 30));
    scene.step(GatewayEvent::EvacuationWithdrawn(evacuation(2, 31)));
    pass(&mut scene, Duration::from_secs(8));
    assert!(!is_evacuated(&scene));
}

/// Guards against a row of the new era that is taken for an old one as its version was known.
#[test]
fn any_position_of_a_later_era_is_later() {
    assert!(position(2, 1) > position(1, 900));
    assert!(position(2, 2) > position(2, 1));
}

/// Guards against work for an upstream that is leaving, as the backup has it ready.
#[test]
fn a_leaving_upstream_stays_leaving() {
    let mut scene = scene();
    scene.step(GatewayEvent::UpstreamWritten(UpstreamEntry {
        draining: true,
        ..upstream(1, 1)
    }));
    scene.step(GatewayEvent::StoreEraObserved(2));
    scene.step(GatewayEvent::UpstreamsRead(vec![
        upstream(1, 1),
        upstream(2, 1),
    ]));
    let first = scene.arrive(arrival("/safe/1"));
    let second = scene.arrive(arrival("/safe/2"));
    assert_eq!(scene.orders(first)[0].upstream.as_str(), "upstream-2");
    assert!(scene.orders(second).is_empty());
}

/// Guards against work for an upstream that has left, as the backup brings it back.
#[test]
fn an_upstream_that_left_does_not_come_back() {
    let mut scene = scene();
    let leaving = UpstreamEntry {
        draining: true,
        ..upstream(1, 1)
    };
    let name = leaving.name.clone();
    scene.step(GatewayEvent::UpstreamWritten(leaving));
    scene.step(GatewayEvent::UpstreamRemoved(name.clone()));
    pass(&mut scene, Duration::from_secs(1));
    scene.step(GatewayEvent::StoreEraObserved(2));
    scene.step(GatewayEvent::UpstreamsRead(vec![
        upstream(1, 1),
        upstream(2, 1),
    ]));
    assert!(scene.gateway.fleet().get(&name).is_none());
    // A new start under the same name is another one.
    let reborn = UpstreamEntry {
        incarnation: 2,
        ..upstream(1, 1)
    };
    scene.step(GatewayEvent::UpstreamWritten(reborn));
    assert!(scene.gateway.fleet().get(&name).is_some());
}

fn rollout(era: u64, version: u64) -> RolloutOrder {
    RolloutOrder {
        service: ServiceLabel::from("engine"),
        target_version: VersionLabel::from("v2"),
        time_limit: Duration::from_secs(20),
        position: position(era, version),
    }
}

fn rollout_writes(scene: &mut GatewayScene) -> Vec<RolloutWrite> {
    let effects = std::mem::take(&mut scene.effects);
    let writes = effects.into_iter().filter_map(|effect| match effect {
        GatewayEffect::WriteRollout(write) => Some(write),
        _ => None,
    });
    writes.collect()
}

fn status(phase: Option<RolloutPhase>, position: StorePosition) -> RolloutStatus {
    RolloutStatus {
        service: ServiceLabel::from("engine"),
        target_version: phase.map(|_| VersionLabel::from("v2")),
        phase,
        position,
    }
}

/// Guards against a roll-out that was completed and begins anew, or whose end is lost.
#[test]
fn a_completed_roll_out_is_said_to_be_complete_again() {
    let mut scene = scene();
    scene.step(GatewayEvent::RolloutOrdered(rollout(1, 50)));
    let service = ServiceLabel::from("engine");
    let mut last = None;
    for _ in 0..80 {
        pass(&mut scene, STEP);
        for write in rollout_writes(&mut scene) {
            last = Some(write.phase);
            let service = service.clone();
            scene.step(GatewayEvent::RolloutWriteFinished {
                service,
                accepted: true,
                era: 1,
            });
            scene.step(GatewayEvent::RolloutStatusRead(status(
                last,
                position(1, 60),
            )));
        }
    }
    assert_eq!(last, Some(RolloutPhase::Completed));
    scene.step(GatewayEvent::StoreEraObserved(2));
    scene.step(GatewayEvent::RolloutOrdered(rollout(2, 50)));
    let running = Some(RolloutPhase::Running);
    scene.step(GatewayEvent::RolloutStatusRead(status(
        running,
        position(2, 55),
    )));
    pass(&mut scene, Duration::from_secs(2));
    let writes = rollout_writes(&mut scene);
    let first = writes.first().expect("it is written again");
    assert_eq!(first.phase, RolloutPhase::Completed);
    assert_eq!(first.expected_position, position(2, 55));
    assert!(
        writes
            .iter()
            .all(|write| write.phase == RolloutPhase::Completed)
    );
}

/// Guards against an end of a roll-out that is lost, as it was acknowledged just before a restore.
#[test]
fn a_write_that_an_earlier_era_acknowledged_is_made_again() {
    let mut scene = scene();
    scene.step(GatewayEvent::RolloutOrdered(rollout(1, 50)));
    pass(&mut scene, Duration::from_secs(1));
    assert_eq!(rollout_writes(&mut scene).len(), 1);
    scene.step(GatewayEvent::StoreEraObserved(2));
    scene.step(GatewayEvent::RolloutWriteFinished {
        service: ServiceLabel::from("engine"),
        accepted: true,
        era: 1,
    });
    pass(&mut scene, Duration::from_secs(1));
    assert_eq!(rollout_writes(&mut scene).len(), 1);
}

/// Guards against a row of a request that is no longer in quarantine, brought back by the backup and
/// read at the next start.
#[test]
fn a_row_of_a_quarantine_that_ended_is_removed_again() {
    let mut book = QuarantineTable::default();
    let now = MonotonicTime(1_000_000_000);
    let request = RequestFingerprint::new(ContentDigest(1), None);
    for upstream in 1..=3 {
        let attempt = FailedAttempt {
            fingerprint: request,
            upstream,
            sent_at: MonotonicTime::default(),
        };
        book.record_failed_attempt(now, attempt);
    }
    let write_all = |book: &mut QuarantineTable| {
        let writes = book.due_writes(now, |_| true);
        for write in &writes {
            book.record_write(write, true);
        }
        let crashes = writes.iter().map(|write| write.crashes.as_ref());
        crashes.map(|all| all.map(Vec::len)).collect::<Vec<_>>()
    };
    assert_eq!(write_all(&mut book), [Some(3)]);
    book.on_store_restored();
    assert_eq!(write_all(&mut book), [Some(3)]);
    book.record_complete_response(now, request);
    assert_eq!(write_all(&mut book), [None]);
    book.on_store_restored();
    assert_eq!(write_all(&mut book), [None]);
}

quickcheck! {
    /// Guards against eras that fall: an answer of an earlier copy may come last.
    fn the_era_never_falls(eras: Vec<u8>) -> bool {
        let mut scene = scene();
        eras.iter().all(|era| {
            let before = scene.gateway.store_era();
            scene.step(GatewayEvent::StoreEraObserved(u64::from(*era)));
            scene.gateway.store_era() == before.max(u64::from(*era))
        })
    }
}
