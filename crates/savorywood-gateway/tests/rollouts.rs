//! Roll-outs of a new version by several daemons.

#[path = "common/harness.rs"]
mod harness;

use harness::{GatewayHarness, arrival, config, options, upstream};
use savorywood_gateway::{
    AttemptOutcome, GatewayEffect, GatewayEvent, ResponseMetadata, RolloutOrder, RolloutPhase,
    RolloutStatus, RolloutWrite, ServiceLabel, StorePosition, UpstreamEntry, UpstreamLabel,
    VersionLabel,
};
use savorywood_protocol::MonotonicTime;
use std::{sync::Arc, time::Duration};

const DAEMONS: usize = 4;
/// Time within which the roll-out must be completed.
const ROLLOUT_DEADLINE: Duration = Duration::from_secs(12);

/// Returns an upstream of the new version.
fn new_upstream(number: u16) -> UpstreamEntry {
    UpstreamEntry {
        name: UpstreamLabel::from(format!("new-{number}").as_str()),
        version: VersionLabel::from("v2"),
        address: format!("10.0.2.{number}:80").parse().expect("an address"),
        ..upstream(number, 8)
    }
}

/// Results of a simulated roll-out.
#[derive(Debug, Default)]
struct RolloutRun {
    /// Requests dispatched to either version.
    dispatched: u32,
    /// Requests dispatched to the new version.
    dispatched_new: u32,
    /// Requests dispatched to the new version after the store held the rollback.
    dispatched_new_after_rollback: u32,
    /// Failed responses of the new version.
    bad_responses: u32,
    /// Writes to the store, rejected ones included.
    writes: Vec<RolloutWrite>,
    /// Final phase, and the time that it took; `None` while the roll-out runs.
    ended: Option<(RolloutPhase, Duration)>,
}

/// Parameters of a simulated roll-out.
#[derive(Debug, Clone, Copy)]
struct RunOptions {
    /// Fraction of the new version's responses that fail.
    bad_fraction: f64,
    /// Whether daemons exchange gossip.
    connected: bool,
    /// Whether responses to writes are lost, so that only a read shows what was written.
    lose_write_responses: bool,
}

/// Runs 13 s of steady requests at four daemons with a store.
fn run(run_options: RunOptions) -> RolloutRun {
    let start = MonotonicTime(1_000_000);
    let mut daemons: Vec<GatewayHarness> = (0..DAEMONS)
        .map(|number| start_daemon(number, start))
        .collect();
    let mut result = RolloutRun::default();
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
        result.dispatched += 1;
        result.dispatched_new += u32::from(new);
        let is_rolled_back = stored
            .as_ref()
            .is_some_and(|(write, _)| write.phase == RolloutPhase::RolledBack);
        result.dispatched_new_after_rollback += u32::from(new && is_rolled_back);
        let bad = new && (step * 7 % 100) as f64 / 100.0 < run_options.bad_fraction;
        result.bad_responses += u32::from(bad);
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
            apply_writes(daemon, &mut stored, &mut result, elapsed, run_options);
        }
        if step % 25 == 24 {
            gossip_all(&mut daemons, now, run_options.connected, stored.as_ref());
        }
    }
    result
}

fn start_daemon(number: usize, now: MonotonicTime) -> GatewayHarness {
    let mut harness = GatewayHarness::unconfigured(options(&format!("host-{number}")));
    harness.now = now;
    harness.step(GatewayEvent::ConfigRead(Arc::new(config(1, None))));
    let mut entries: Vec<UpstreamEntry> = (1..=4).map(|number| upstream(number, 8)).collect();
    entries.extend((1..=4).map(new_upstream));
    harness.step(GatewayEvent::UpstreamsRead(entries));
    harness.confirm();
    harness.step(GatewayEvent::RolloutOrdered(RolloutOrder {
        service: ServiceLabel::from("engine"),
        target_version: VersionLabel::from("v2"),
        time_limit: ROLLOUT_DEADLINE,
        position: StorePosition::new(1, 50),
    }));
    harness
}

/// Acts as the store: applies a write if its expected version matches.
fn apply_writes(
    daemon: &mut GatewayHarness,
    stored: &mut Option<(RolloutWrite, u64)>,
    result: &mut RolloutRun,
    elapsed: Duration,
    run_options: RunOptions,
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
        let accepted = holds && !run_options.lose_write_responses;
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

/// Lets every daemon read the status from the store and, if connected, exchange summaries.
fn gossip_all(
    daemons: &mut [GatewayHarness],
    now: MonotonicTime,
    connected: bool,
    stored: Option<&(RolloutWrite, u64)>,
) {
    for index in 0..daemons.len() {
        daemons[index].step(GatewayEvent::RolloutStatusRead(status(stored)));
        let summary = daemons[index].gateway.summary(now);
        for (other, daemon) in daemons.iter_mut().enumerate() {
            if other != index && connected {
                daemon.step(GatewayEvent::SummaryReceived(Box::new(summary.clone())));
            }
        }
    }
}

const GOOD_VERSION: RunOptions = RunOptions {
    bad_fraction: 0.0,
    connected: true,
    lose_write_responses: false,
};

#[test]
fn a_good_version_is_completed_in_time() {
    let run = run(GOOD_VERSION);
    let (phase, after) = run.ended.expect("an end");
    assert_eq!(phase, RolloutPhase::Completed);
    assert!(after < ROLLOUT_DEADLINE, "{after:?}");
}

/// One in four responses of the new version fails from its start. It must get few requests before
/// it is rolled back, and none after that.
#[test]
fn a_bad_version_gets_few_requests_and_is_rolled_back() {
    let run = run(RunOptions {
        bad_fraction: 0.25,
        ..GOOD_VERSION
    });
    let (phase, _) = run.ended.expect("an end");
    assert_eq!(phase, RolloutPhase::RolledBack);
    let allowed = f64::from(run.dispatched) * 0.1 + 50.0;
    assert!(
        f64::from(run.dispatched_new) <= allowed,
        "{} of {allowed}",
        run.dispatched_new
    );
    assert!(run.bad_responses < 50, "{}", run.bad_responses);
    assert_eq!(run.dispatched_new_after_rollback, 0);
}

/// Daemons can't reach each other, so each sees only its own responses and leads the roll-out by
/// itself. Together they must stay within the canary share, and the store accepts one final phase.
#[test]
fn partitioned_daemons_stay_within_the_canary_share() {
    let run = run(RunOptions {
        bad_fraction: 0.25,
        connected: false,
        lose_write_responses: false,
    });
    let (phase, _) = run.ended.expect("an end");
    assert_eq!(phase, RolloutPhase::RolledBack);
    let allowed = f64::from(run.dispatched) * 0.1 + 50.0;
    assert!(
        f64::from(run.dispatched_new) <= allowed,
        "{} of {allowed}",
        run.dispatched_new
    );
}

/// The response to every write is lost. Daemons must read the status back instead of writing it
/// over and over.
#[test]
fn lost_write_responses_lead_to_one_final_phase() {
    let run = run(RunOptions {
        lose_write_responses: true,
        ..GOOD_VERSION
    });
    assert_eq!(
        run.ended.map(|(phase, _)| phase),
        Some(RolloutPhase::Completed)
    );
    assert!(run.writes.len() <= 6, "{} writes", run.writes.len());
}

/// Guards against a rejected version that other daemons go on using while the store is out.
#[test]
fn a_rejection_reaches_peers_without_the_store() {
    let start = MonotonicTime(1_000_000);
    let mut daemons: Vec<GatewayHarness> =
        (0..2).map(|number| start_daemon(number, start)).collect();
    for _ in 0..200 {
        let request = daemons[0].arrive(arrival("/once/1"));
        let is_new = daemons[0].orders(request)[0]
            .upstream
            .as_str()
            .starts_with("new-");
        if is_new {
            let metadata = ResponseMetadata::default();
            daemons[0].end(request, AttemptOutcome::Failed { metadata });
        } else {
            daemons[0].deliver(request);
        }
    }
    daemons[0].advance(Duration::from_millis(100));
    let now = daemons[0].now;
    let summary = daemons[0].gateway.summary(now);
    daemons[1].step(GatewayEvent::SummaryReceived(Box::new(summary)));
    let upstreams = (0..20).map(|_| {
        let request = daemons[1].arrive(arrival("/once/1"));
        let upstream = daemons[1].orders(request)[0].upstream.clone();
        daemons[1].deliver(request);
        upstream
    });
    let new = upstreams.filter(|upstream| upstream.as_str().starts_with("new-"));
    assert_eq!(new.count(), 0);
}

/// A daemon, and the store's row of its roll-out.
struct SingleDaemon {
    harness: GatewayHarness,
    row: StorePosition,
    refused: usize,
    phases: Vec<RolloutPhase>,
}

impl SingleDaemon {
    fn new(harness: GatewayHarness) -> Self {
        Self {
            harness,
            row: StorePosition::default(),
            refused: 0,
            phases: Vec::new(),
        }
    }

    /// Passes the time limit of a roll-out, with ten requests a second if `busy`.
    fn pass_time_limit(&mut self, busy: bool) {
        let end = self.harness.now + ROLLOUT_DEADLINE;
        while self.harness.now < end {
            self.harness.advance(Duration::from_millis(100));
            self.harness.confirm();
            if busy {
                self.serve();
            }
            self.answer_writes();
        }
    }

    fn serve(&mut self) {
        let request = self.harness.arrive(arrival("/once/1"));
        if self.harness.orders(request).is_empty() {
            self.refused += 1;
        } else {
            self.harness.deliver(request);
        }
    }

    fn answer_writes(&mut self) {
        for effect in std::mem::take(&mut self.harness.effects) {
            let GatewayEffect::WriteRollout(write) = effect else {
                continue;
            };
            assert_eq!(write.expected_position.version, self.row.version);
            self.row = StorePosition::new(1, self.row.version + 60);
            self.phases.push(write.phase);
            self.harness.step(GatewayEvent::RolloutWriteFinished {
                service: write.service,
                accepted: true,
                era: 1,
            });
            let status = RolloutStatus {
                service: ServiceLabel::from("engine"),
                target_version: Some(write.target_version),
                phase: Some(write.phase),
                position: self.row,
            };
            self.harness.step(GatewayEvent::RolloutStatusRead(status));
        }
    }
}

/// Guards against refusing requests once a version has had its share and the others are gone.
#[test]
fn a_version_whose_predecessor_is_lost_gets_all_requests() {
    let mut harness = start_daemon(0, MonotonicTime(1_000_000));
    let entries = (1..=4).map(new_upstream).collect();
    harness.step(GatewayEvent::UpstreamsRead(entries));
    harness.advance(Duration::from_secs(4));
    let mut daemon = SingleDaemon::new(harness);
    daemon.pass_time_limit(true);
    assert_eq!(daemon.refused, 0);
    let expected = [RolloutPhase::Running, RolloutPhase::Completed];
    assert_eq!(daemon.phases, expected);
}

/// Guards against rolling the only version of a service back, whose upstreams would then drain.
#[test]
fn an_order_to_the_version_in_force_is_never_rolled_back() {
    let mut harness = start_daemon(0, MonotonicTime(1_000_000));
    let entries = (1..=4).map(|number| upstream(number, 8)).collect();
    harness.step(GatewayEvent::UpstreamsRead(entries));
    harness.step(GatewayEvent::RolloutOrdered(RolloutOrder {
        service: ServiceLabel::from("engine"),
        target_version: VersionLabel::from("v1"),
        time_limit: ROLLOUT_DEADLINE,
        position: StorePosition::new(1, 70),
    }));
    let mut daemon = SingleDaemon::new(harness);
    daemon.pass_time_limit(false);
    assert_eq!(daemon.phases, [RolloutPhase::Running]);
    daemon.pass_time_limit(true);
    assert_eq!(daemon.refused, 0);
    let expected = [RolloutPhase::Running, RolloutPhase::Completed];
    assert_eq!(daemon.phases, expected);
}
