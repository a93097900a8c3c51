//! Roll-outs over several daemons.

#[path = "common/scene.rs"]
mod scene;

use savorywood_gateway::{
    AttemptOutcome, GatewayEffect, GatewayEvent, ResponseMetadata, RolloutOrder, RolloutPhase,
    RolloutStatus, RolloutWrite, ServiceLabel, StorePosition, UpstreamEntry, UpstreamLabel,
    VersionLabel,
};
use savorywood_protocol::MonotonicTime;
use scene::{GatewayScene, arrival, config, options, upstream};
use std::{sync::Arc, time::Duration};

const DAEMONS: usize = 4;
const WITHIN: Duration = Duration::from_secs(12);

fn new_upstream(number: u16) -> UpstreamEntry {
    UpstreamEntry {
        name: UpstreamLabel::from(format!("new-{number}").as_str()),
        version: VersionLabel::from("v2"),
        address: format!("10.0.2.{number}:80").parse().expect("an address"),
        ..upstream(number, 8)
    }
}

/// What a deployment did with a roll-out.
#[derive(Debug, Default)]
struct RolloutPlay {
    sent: u32,
    sent_new: u32,
    sent_new_after_verdict: u32,
    bad_seen: u32,
    writes: Vec<RolloutWrite>,
    ended: Option<(RolloutPhase, Duration)>,
}

/// What a play varies.
#[derive(Debug, Clone, Copy)]
struct PlayOptions {
    /// Share of the new version's answers that are bad.
    bad_share: f64,
    /// Daemons learn of each other.
    linked: bool,
    /// Answers to writes are lost; what was written is found by reading.
    lose_writes: bool,
}

fn play(play_options: PlayOptions) -> RolloutPlay {
    let start = MonotonicTime(1_000_000);
    let mut daemons: Vec<GatewayScene> = (0..DAEMONS).map(|number| begin(number, start)).collect();
    let mut result = RolloutPlay::default();
    let mut stored: Option<(RolloutWrite, u64)> = None;
    for step in 0..1_300_u64 {
        let now = start + Duration::from_millis(step * 10);
        for daemon in &mut daemons {
            daemon.now = now;
            daemon.confirm();
            daemon.step(GatewayEvent::Tick);
        }
        let daemon = &mut daemons[(step % DAEMONS as u64) as usize];
        let request = daemon.arrive(arrival("/safe/1"));
        let order = daemon.orders(request)[0].clone();
        let new = order.upstream.as_str().starts_with("new-");
        result.sent += 1;
        result.sent_new += u32::from(new);
        let verdict = stored
            .as_ref()
            .is_some_and(|(write, _)| write.phase == RolloutPhase::RolledBack);
        result.sent_new_after_verdict += u32::from(new && verdict);
        let bad = new && (step * 7 % 100) as f64 / 100.0 < play_options.bad_share;
        result.bad_seen += u32::from(bad);
        let metadata = ResponseMetadata::default();
        let outcome = if bad {
            AttemptOutcome::Failed { metadata }
        } else {
            AttemptOutcome::Delivered {
                metadata,
                events: 0,
            }
        };
        daemon.end(request, outcome);
        if !daemon.orders(request).is_empty() && bad {
            daemon.deliver(request);
        }
        let elapsed = now.since(start);
        for daemon in &mut daemons {
            take_writes(daemon, &mut stored, &mut result, elapsed, play_options);
        }
        if step % 25 == 24 {
            tell_all(&mut daemons, now, play_options.linked, stored.as_ref());
        }
    }
    result
}

fn begin(number: usize, now: MonotonicTime) -> GatewayScene {
    let mut scene = GatewayScene::empty(options(&format!("host-{number}")));
    scene.now = now;
    scene.step(GatewayEvent::ConfigRead(Arc::new(config(1, None))));
    let mut entries: Vec<UpstreamEntry> = (1..=4).map(|number| upstream(number, 8)).collect();
    entries.extend((1..=4).map(new_upstream));
    scene.step(GatewayEvent::UpstreamsRead(entries));
    scene.confirm();
    scene.step(GatewayEvent::RolloutOrdered(RolloutOrder {
        service: ServiceLabel::from("engine"),
        target_version: VersionLabel::from("v2"),
        time_limit: WITHIN,
        position: StorePosition::new(1, 50),
    }));
    scene
}

/// The store: takes a write whose condition holds.
fn take_writes(
    daemon: &mut GatewayScene,
    stored: &mut Option<(RolloutWrite, u64)>,
    result: &mut RolloutPlay,
    elapsed: Duration,
    play_options: PlayOptions,
) {
    let effects = std::mem::take(&mut daemon.effects);
    for effect in effects {
        let GatewayEffect::WriteRollout(write) = effect else {
            continue;
        };
        result.writes.push(write.clone());
        let version = stored.as_ref().map_or(0, |(_, version)| *version);
        let holds = write.expected_position.version == version;
        if holds {
            if write.phase != RolloutPhase::Running {
                result.ended.get_or_insert((write.phase, elapsed));
            }
            *stored = Some((write.clone(), version + 1));
        }
        let service = write.service.clone();
        let accepted = holds && !play_options.lose_writes;
        daemon.step(GatewayEvent::RolloutWriteFinished {
            service,
            accepted,
            era: 1,
        });
        daemon.step(GatewayEvent::RolloutStatusRead(status(stored.as_ref())));
    }
}

fn status(stored: Option<&(RolloutWrite, u64)>) -> RolloutStatus {
    RolloutStatus {
        service: ServiceLabel::from("engine"),
        target_version: stored.map(|(write, _)| write.target_version.clone()),
        phase: stored.map(|(write, _)| write.phase),
        position: StorePosition::new(1, stored.map_or(0, |(_, version)| *version)),
    }
}

fn tell_all(
    daemons: &mut [GatewayScene],
    now: MonotonicTime,
    linked: bool,
    stored: Option<&(RolloutWrite, u64)>,
) {
    for index in 0..daemons.len() {
        daemons[index].step(GatewayEvent::RolloutStatusRead(status(stored)));
        let summary = daemons[index].gateway.summary(now);
        for (other, daemon) in daemons.iter_mut().enumerate() {
            if other != index && linked {
                daemon.step(GatewayEvent::SummaryReceived(Box::new(summary.clone())));
            }
        }
    }
}

const SOUND: PlayOptions = PlayOptions {
    bad_share: 0.0,
    linked: true,
    lose_writes: false,
};

#[test]
fn a_good_version_is_completed_in_time() {
    let play = play(SOUND);
    let (phase, after) = play.ended.expect("an end");
    assert_eq!(phase, RolloutPhase::Completed);
    assert!(after < WITHIN, "{after:?}");
}

/// A version fails one answer in four from its start. Few requests meet it, it is taken back, and
/// nothing reaches it afterwards.
#[test]
fn a_bad_version_is_met_by_few_and_taken_back() {
    let play = play(PlayOptions {
        bad_share: 0.25,
        ..SOUND
    });
    let (phase, _) = play.ended.expect("an end");
    assert_eq!(phase, RolloutPhase::RolledBack);
    let allowed = f64::from(play.sent) * 0.1 + 50.0;
    assert!(
        f64::from(play.sent_new) <= allowed,
        "{} of {allowed}",
        play.sent_new
    );
    assert!(play.bad_seen < 50, "{}", play.bad_seen);
    assert_eq!(play.sent_new_after_verdict, 0);
}

/// Daemons can't reach each other, so each sees only its own answers and leads in its own eyes.
/// Together they stay within what an unproved version may get, and the store takes one end.
#[test]
fn daemons_that_cannot_hear_each_other_stay_within_the_share() {
    let play = play(PlayOptions {
        bad_share: 0.25,
        linked: false,
        lose_writes: false,
    });
    let (phase, _) = play.ended.expect("an end");
    assert_eq!(phase, RolloutPhase::RolledBack);
    let allowed = f64::from(play.sent) * 0.1 + 50.0;
    assert!(
        f64::from(play.sent_new) <= allowed,
        "{} of {allowed}",
        play.sent_new
    );
}

/// Every answer to a write is lost. The state is read back, written once, and not for ever.
#[test]
fn lost_answers_of_the_store_lead_to_one_end() {
    let play = play(PlayOptions {
        lose_writes: true,
        ..SOUND
    });
    assert_eq!(
        play.ended.map(|(phase, _)| phase),
        Some(RolloutPhase::Completed)
    );
    assert!(play.writes.len() <= 6, "{} writes", play.writes.len());
}
