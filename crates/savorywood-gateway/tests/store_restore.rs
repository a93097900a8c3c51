//! Restores of the store from a backup that is some seconds old.

#[path = "common/harness.rs"]
mod harness;

use harness::{GatewayHarness, arrival, config, options, peer_summary, upstream};
use quickcheck::quickcheck;
use savorywood_gateway::{
    ContentDigest, EvacuationOrder, FailedAttempt, GatewayEffect, GatewayEvent, PeerContact,
    PeerSummary, QuarantineTable, RefusalReason, RequestFingerprint, RolloutOrder, RolloutPhase,
    RolloutStatus, RolloutWrite, ServiceLabel, StorePosition, UpstreamEntry, VersionLabel,
    ZoneLabel,
};
use savorywood_protocol::MonotonicTime;
use std::{sync::Arc, time::Duration};

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

/// Advances the clock while the configuration is confirmed.
fn advance_confirmed(harness: &mut GatewayHarness, time: Duration) {
    let end = harness.now + time;
    while harness.now < end {
        harness.advance(STEP);
        harness.confirm();
    }
}

/// Returns a ready daemon that has observed era 1 of the store.
fn harness() -> GatewayHarness {
    let mut harness = GatewayHarness::ready(2);
    harness.step(GatewayEvent::StoreEraObserved(1));
    harness
}

fn is_evacuated(harness: &GatewayHarness) -> bool {
    harness.gateway.evacuated_zones().count() > 0
}

fn read_evacuations(
    harness: &mut GatewayHarness,
    orders: &[EvacuationOrder],
    revision: StorePosition,
) {
    harness.step(GatewayEvent::EvacuationsRead {
        orders: orders.to_vec(),
        revision,
    });
}

/// Guards against ending an evacuation because the backup is older than its order.
#[test]
fn an_evacuation_that_the_backup_lacks_stays_in_force() {
    let mut harness = harness();
    harness.step(GatewayEvent::EvacuationOrdered(evacuation(1, 40)));
    harness.step(GatewayEvent::StoreEraObserved(2));
    read_evacuations(&mut harness, &[], position(2, 30));
    advance_confirmed(&mut harness, Duration::from_secs(3));
    assert!(is_evacuated(&harness));
    // The operator writes it again, with a version that was in use before the restore.
    harness.step(GatewayEvent::EvacuationOrdered(evacuation(2, 35)));
    advance_confirmed(&mut harness, Duration::from_secs(20));
    assert!(is_evacuated(&harness));
}

/// Guards against an evacuation that never ends because its withdrawal was lost or is deferred for
/// ever.
#[test]
fn an_evacuation_that_is_not_written_again_ends() {
    let mut harness = harness();
    harness.step(GatewayEvent::EvacuationOrdered(evacuation(1, 40)));
    harness.step(GatewayEvent::StoreEraObserved(2));
    read_evacuations(&mut harness, &[], position(2, 30));
    advance_confirmed(&mut harness, Duration::from_secs(8));
    assert!(!is_evacuated(&harness));
}

/// Guards against a withdrawn order that the backup brings back for good.
#[test]
fn a_withdrawal_that_the_backup_lacks_is_applied_again() {
    let mut harness = harness();
    harness.step(GatewayEvent::EvacuationOrdered(evacuation(1, 20)));
    harness.step(GatewayEvent::EvacuationWithdrawn(evacuation(1, 40)));
    assert!(!is_evacuated(&harness));
    harness.step(GatewayEvent::StoreEraObserved(2));
    read_evacuations(&mut harness, &[evacuation(2, 20)], position(2, 30));
    harness.step(GatewayEvent::EvacuationWithdrawn(evacuation(2, 31)));
    advance_confirmed(&mut harness, Duration::from_secs(8));
    assert!(!is_evacuated(&harness));
}

/// Guards against ignoring a row of the new era because its version was seen in the old one.
#[test]
fn any_position_of_a_later_era_is_later() {
    assert!(position(2, 1) > position(1, 900));
    assert!(position(2, 2) > position(2, 1));
}

/// Guards against dispatching to a draining upstream that the backup lists as ready.
#[test]
fn a_draining_upstream_stays_draining_after_a_restore() {
    let mut harness = harness();
    harness.step(GatewayEvent::UpstreamWritten(UpstreamEntry {
        draining: true,
        ..upstream(1, 1)
    }));
    harness.step(GatewayEvent::StoreEraObserved(2));
    harness.step(GatewayEvent::UpstreamsRead(vec![
        upstream(1, 1),
        upstream(2, 1),
    ]));
    let first = harness.arrive(arrival("/safe/1"));
    let second = harness.arrive(arrival("/safe/2"));
    assert_eq!(harness.orders(first)[0].upstream.as_str(), "upstream-2");
    assert!(harness.orders(second).is_empty());
}

/// Guards against dispatching to a removed upstream that the backup still lists.
#[test]
fn a_removed_upstream_is_not_restored_from_the_backup() {
    let mut harness = harness();
    let draining_upstream = UpstreamEntry {
        draining: true,
        ..upstream(1, 1)
    };
    let name = draining_upstream.name.clone();
    harness.step(GatewayEvent::UpstreamWritten(draining_upstream));
    harness.step(GatewayEvent::UpstreamRemoved(name.clone()));
    advance_confirmed(&mut harness, Duration::from_secs(1));
    harness.step(GatewayEvent::StoreEraObserved(2));
    harness.step(GatewayEvent::UpstreamsRead(vec![
        upstream(1, 1),
        upstream(2, 1),
    ]));
    assert!(harness.gateway.fleet().get(&name).is_none());
    // A new incarnation with the same name is another upstream.
    let restarted = UpstreamEntry {
        incarnation: 2,
        ..upstream(1, 1)
    };
    harness.step(GatewayEvent::UpstreamWritten(restarted));
    assert!(harness.gateway.fleet().get(&name).is_some());
}

/// Guards against dispatching to an upstream that left without draining, because the backup still
/// lists it.
#[test]
fn an_upstream_that_left_without_draining_is_not_restored_from_the_backup() {
    for is_busy in [false, true] {
        let mut harness = harness();
        let name = upstream(1, 1).name;
        let requests = ["/safe/1", "/safe/2"].map(|path| harness.arrive(arrival(path)));
        let deliver = |harness: &mut GatewayHarness| {
            for request in requests {
                harness.deliver(request);
            }
        };
        if !is_busy {
            deliver(&mut harness);
        }
        harness.step(GatewayEvent::UpstreamRemoved(name.clone()));
        advance_confirmed(&mut harness, Duration::from_secs(4));
        harness.step(GatewayEvent::StoreEraObserved(2));
        let backup = vec![upstream(1, 1), upstream(2, 1)];
        harness.step(GatewayEvent::UpstreamsRead(backup));
        if is_busy {
            deliver(&mut harness);
        }
        harness.effects.clear();
        let first = harness.arrive(arrival("/safe/3"));
        harness.arrive(arrival("/safe/4"));
        assert_eq!(harness.orders(first)[0].upstream.as_str(), "upstream-2");
        let dispatched = harness.effects.iter();
        let dispatched = dispatched.filter(|effect| matches!(effect, GatewayEffect::Dispatch(_)));
        assert_eq!(dispatched.count(), 1, "busy: {is_busy}");
        // It was only silent, and writes its registration again.
        harness.step(GatewayEvent::UpstreamWritten(upstream(1, 1)));
        assert!(harness.gateway.fleet().get(&name).is_some());
    }
}

/// Guards against ignoring an upstream that registers again in the same era, as after a silence.
#[test]
fn an_upstream_that_left_without_draining_may_register_again() {
    let mut harness = harness();
    let name = upstream(1, 1).name;
    harness.step(GatewayEvent::UpstreamRemoved(name.clone()));
    advance_confirmed(&mut harness, Duration::from_secs(4));
    let entries = vec![upstream(1, 1), upstream(2, 1)];
    harness.step(GatewayEvent::UpstreamsRead(entries));
    assert!(harness.gateway.fleet().get(&name).is_some());
}

/// Returns a daemon that starts while the store, in era 2, serves version 1 of the configuration.
fn starting_harness() -> GatewayHarness {
    let mut harness = GatewayHarness::unconfigured(options("host-a"));
    let contacts = vec![PeerContact {
        address: "10.0.0.2:80".parse().expect("an address"),
        zone: None,
        processor_millis: 0,
    }];
    harness.step(GatewayEvent::ContactsRead(contacts));
    harness.step(GatewayEvent::StoreEraObserved(2));
    harness.step(GatewayEvent::ConfigRead(Arc::new(config(1, None))));
    harness.step(GatewayEvent::UpstreamsRead(vec![upstream(1, 1)]));
    harness.confirm();
    harness
}

fn peer_with_config(config_version: u64, sequence: u64) -> GatewayEvent {
    GatewayEvent::SummaryReceived(Box::new(PeerSummary {
        config_version,
        ..peer_summary(2, "zone-a", sequence)
    }))
}

fn refusal(harness: &mut GatewayHarness) -> Option<RefusalReason> {
    let request = harness.arrive(arrival("/safe/1"));
    let reason = harness.refusal(request);
    if reason.is_none() {
        harness.deliver(request);
    }
    reason
}

/// Guards against a revoked key that a daemon accepts because it starts while the store serves a
/// backup, although its peers hold the newer configuration.
#[test]
fn a_daemon_that_starts_during_a_restore_does_not_use_an_older_configuration_than_its_peers() {
    let mut harness = starting_harness();
    assert_eq!(refusal(&mut harness), Some(RefusalReason::NotReady));
    harness.step(peer_with_config(2, 1));
    for sequence in 2..8 {
        assert_eq!(refusal(&mut harness), Some(RefusalReason::NotReady));
        assert!(!harness.gateway.is_ready(harness.now));
        advance_confirmed(&mut harness, STEP);
        harness.step(peer_with_config(2, sequence));
    }
    harness.step(GatewayEvent::ConfigRead(Arc::new(config(2, None))));
    assert_eq!(refusal(&mut harness), None);
    // Versions that are written later reach daemons one after the other.
    harness.step(peer_with_config(3, 9));
    assert_eq!(refusal(&mut harness), None);
}

/// Guards against two daemons that start during a restore and confirm the backup to each other.
#[test]
fn a_peer_that_has_just_started_confirms_no_configuration() {
    let mut harness = starting_harness();
    harness.step(GatewayEvent::SummaryReceived(Box::new(PeerSummary {
        uptime_ms: 300,
        ..peer_summary(2, "zone-a", 1)
    })));
    assert_eq!(refusal(&mut harness), Some(RefusalReason::NotReady));
    harness.step(GatewayEvent::SummaryReceived(Box::new(PeerSummary {
        config_version: 2,
        ..peer_summary(3, "zone-a", 1)
    })));
    advance_confirmed(&mut harness, Duration::from_secs(1));
    assert_eq!(refusal(&mut harness), Some(RefusalReason::NotReady));
    harness.step(GatewayEvent::ConfigRead(Arc::new(config(2, None))));
    assert_eq!(refusal(&mut harness), None);
}

/// Guards against daemons that never serve, because no peer answers or one holds a configuration that
/// nobody writes again.
#[test]
fn a_daemon_that_starts_waits_a_bounded_time_for_its_peers() {
    let mut alone = starting_harness();
    advance_confirmed(&mut alone, Duration::from_secs(1));
    assert_eq!(refusal(&mut alone), None);
    let mut behind = starting_harness();
    for sequence in 1..30 {
        behind.step(peer_with_config(2, sequence));
        advance_confirmed(&mut behind, STEP);
    }
    assert_eq!(refusal(&mut behind), None);
    let mut level = starting_harness();
    level.step(peer_with_config(1, 1));
    assert_eq!(refusal(&mut level), None);
}

fn rollout(era: u64, version: u64) -> RolloutOrder {
    RolloutOrder {
        service: ServiceLabel::from("engine"),
        target_version: VersionLabel::from("v2"),
        time_limit: Duration::from_secs(20),
        position: position(era, version),
    }
}

/// Takes all effects and returns the roll-out writes.
fn rollout_writes(harness: &mut GatewayHarness) -> Vec<RolloutWrite> {
    let effects = std::mem::take(&mut harness.effects);
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

/// Guards against running a completed roll-out again, and against losing its completion.
#[test]
fn a_completed_roll_out_is_written_as_completed_again() {
    let mut harness = harness();
    let new = UpstreamEntry {
        name: "new".into(),
        version: VersionLabel::from("v2"),
        ..upstream(3, 1)
    };
    harness.step(GatewayEvent::UpstreamsRead(vec![upstream(1, 1), new]));
    harness.step(GatewayEvent::RolloutOrdered(rollout(1, 50)));
    let service = ServiceLabel::from("engine");
    let mut last = None;
    for _ in 0..80 {
        advance_confirmed(&mut harness, STEP);
        let request = harness.arrive(arrival("/once/1"));
        harness.deliver(request);
        for write in rollout_writes(&mut harness) {
            last = Some(write.phase);
            let service = service.clone();
            harness.step(GatewayEvent::RolloutWriteFinished {
                service,
                accepted: true,
                era: 1,
            });
            harness.step(GatewayEvent::RolloutStatusRead(status(
                last,
                position(1, 60),
            )));
        }
    }
    assert_eq!(last, Some(RolloutPhase::Completed));
    harness.step(GatewayEvent::StoreEraObserved(2));
    harness.step(GatewayEvent::RolloutOrdered(rollout(2, 50)));
    let running = Some(RolloutPhase::Running);
    harness.step(GatewayEvent::RolloutStatusRead(status(
        running,
        position(2, 55),
    )));
    advance_confirmed(&mut harness, Duration::from_secs(2));
    let writes = rollout_writes(&mut harness);
    let first = writes.first().expect("it is written again");
    assert_eq!(first.phase, RolloutPhase::Completed);
    assert_eq!(first.expected_position, position(2, 55));
    assert!(
        writes
            .iter()
            .all(|write| write.phase == RolloutPhase::Completed)
    );
}

/// Guards against losing a roll-out status that was acknowledged just before a restore.
#[test]
fn a_write_that_an_earlier_era_acknowledged_is_made_again() {
    let mut harness = harness();
    harness.step(GatewayEvent::RolloutOrdered(rollout(1, 50)));
    advance_confirmed(&mut harness, Duration::from_secs(1));
    assert_eq!(rollout_writes(&mut harness).len(), 1);
    harness.step(GatewayEvent::StoreEraObserved(2));
    harness.step(GatewayEvent::RolloutWriteFinished {
        service: ServiceLabel::from("engine"),
        accepted: true,
        era: 1,
    });
    advance_confirmed(&mut harness, Duration::from_secs(1));
    assert_eq!(rollout_writes(&mut harness).len(), 1);
}

/// Guards against a quarantine that ended, but whose row the backup brings back for the next start.
#[test]
fn a_row_of_a_quarantine_that_ended_is_removed_again() {
    let mut quarantine = QuarantineTable::default();
    let now = MonotonicTime(1_000_000_000);
    let request = RequestFingerprint::new(ContentDigest(1), None);
    for upstream in 1..=3 {
        let attempt = FailedAttempt {
            fingerprint: request,
            upstream,
            sent_at: MonotonicTime::default(),
        };
        quarantine.record_failed_attempt(now, attempt);
    }
    let write_all = |quarantine: &mut QuarantineTable| {
        let writes = quarantine.due_writes(now, |_| true);
        for write in &writes {
            quarantine.record_write(write, true);
        }
        let crashes = writes.iter().map(|write| write.crashes.as_ref());
        crashes.map(|all| all.map(Vec::len)).collect::<Vec<_>>()
    };
    assert_eq!(write_all(&mut quarantine), [Some(3)]);
    quarantine.on_store_restored();
    assert_eq!(write_all(&mut quarantine), [Some(3)]);
    quarantine.record_complete_response(now, request);
    assert_eq!(write_all(&mut quarantine), [None]);
    quarantine.on_store_restored();
    assert_eq!(write_all(&mut quarantine), [None]);
}

quickcheck! {
    /// Guards against eras that decrease: a response of an earlier copy of the store may arrive
    /// last.
    fn the_era_never_decreases(eras: Vec<u8>) -> bool {
        let mut harness = harness();
        eras.iter().all(|era| {
            let before = harness.gateway.store_era();
            harness.step(GatewayEvent::StoreEraObserved(u64::from(*era)));
            harness.gateway.store_era() == before.max(u64::from(*era))
        })
    }
}
