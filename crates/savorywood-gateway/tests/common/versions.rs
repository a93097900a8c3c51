//! Daemons that roll out a version whose streams may be slower, on a simulated clock.

use crate::{
    callers::SeededRandom,
    harness::{GatewayHarness, arrival, config, options, upstream},
};
use savorywood_gateway::{
    AttemptOutcome, DispatchOrder, GatewayEffect, GatewayEvent, LocalRequest, ResponseMetadata,
    RolloutOrder, RolloutPhase, RolloutStatus, RolloutWrite, ServiceLabel, StorePosition,
    UpstreamEntry, UpstreamLabel, VersionLabel,
};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, sync::Arc, time::Duration};

const STEP: Duration = Duration::from_millis(10);
/// Steps between two gossip rounds.
const STEPS_PER_ROUND: u64 = 25;
/// Time within which the roll-out must be completed.
pub const TIME_LIMIT: Duration = Duration::from_secs(15);
/// Time for which daemons run before the order.
const LEAD: Duration = Duration::from_secs(6);
/// Time after which the registration of a lost upstream expires.
const EXPIRY: Duration = Duration::from_millis(3_600);
/// Time after which a hasty caller leaves.
const MOMENT: Duration = Duration::from_millis(20);
/// Milliseconds of a response that is no stream.
const PLAIN_MS: f64 = 60.0;
const SLOTS: u32 = 4;
/// Milliseconds between two events of an idle upstream of usual speed.
const EVENT_MS: f64 = 13.0;
/// Milliseconds until the first event of a stream at such an upstream.
const FIRST_EVENT_MS: f64 = 60.0;

/// Mean number of events of a stream.
const MEAN_EVENTS: f64 = 30.0;

/// What happens during a simulated roll-out.
#[derive(Debug, Clone, Copy)]
pub struct VersionScenario {
    pub daemons: usize,
    pub old_upstreams: u16,
    pub new_upstreams: u16,
    pub arrivals_per_second: f64,
    /// Factor on all times of the new version.
    pub slowness: f64,
    /// Range of the factor by which upstreams of any version differ.
    pub spread: f64,
    /// Factor on the arrivals between 3 and 6 s after the order.
    pub burst: f64,
    /// Upstreams of the new version that are four times slower, as any upstream may be.
    pub slow_upstreams: u16,
    /// Interval at which a daemon is restarted.
    pub restart_interval: Option<Duration>,
    /// Milliseconds until the first event of a stream at an idle upstream of usual speed.
    pub first_event_ms: f64,
    /// Time without an event after which callers leave.
    pub patience: Option<Duration>,
    /// Fraction of the callers that leave after a moment, whatever the version.
    pub hasty_callers: f64,
    /// Fraction of the requests that are on a route without streams.
    pub plain_share: f64,
    /// Fraction of the responses of the new version on that route that are failures.
    pub plain_failures: f64,
    /// Time after the order at which the upstreams of the new version register.
    pub registered_after: Duration,
    /// Time after the order at which the upstreams of the new version are lost for good.
    pub lost_after: Option<Duration>,
    /// Upstreams of the new version reject all requests.
    pub rejects: bool,
}

impl Default for VersionScenario {
    fn default() -> Self {
        Self {
            daemons: 8,
            old_upstreams: 9,
            new_upstreams: 5,
            arrivals_per_second: 30.0,
            slowness: 1.0,
            spread: 1.3,
            burst: 1.0,
            slow_upstreams: 0,
            restart_interval: None,
            first_event_ms: FIRST_EVENT_MS,
            patience: None,
            hasty_callers: 0.0,
            plain_share: 0.0,
            plain_failures: 0.0,
            registered_after: Duration::ZERO,
            lost_after: None,
            rejects: false,
        }
    }
}

/// Results of a simulated roll-out.
#[derive(Debug, Default, Clone, Copy)]
pub struct VersionResult {
    /// Requests dispatched within the time limit, and those of them to the new version.
    pub dispatched: u32,
    pub dispatched_new: u32,
    /// Requests that were refused after the order.
    pub refused: u32,
    /// Final phase and the time after the order; `None` while the roll-out runs.
    pub ended: Option<(RolloutPhase, Duration)>,
}

struct OpenStream {
    daemon: usize,
    request: LocalRequest,
    upstream: UpstreamLabel,
    next_event_at: MonotonicTime,
    events: u32,
    events_left: u32,
    /// Time at which its caller leaves if nothing arrives before.
    leaves_at: Option<MonotonicTime>,
    /// Its route has no streams.
    plain: bool,
}

fn is_new(upstream: &UpstreamLabel) -> bool {
    upstream.as_str().starts_with("new-")
}

/// Daemons, upstreams of two versions and the store's row of the roll-out.
pub struct VersionEnvironment {
    scenario: VersionScenario,
    random: SeededRandom,
    now: MonotonicTime,
    daemons: Vec<GatewayHarness>,
    entries: Vec<UpstreamEntry>,
    /// Factor on the times of each upstream.
    slowness: BTreeMap<UpstreamLabel, f64>,
    streams: Vec<OpenStream>,
    ordered_at: Option<MonotonicTime>,
    stored: Option<(RolloutWrite, u64)>,
    result: VersionResult,
    arrivals: u64,
    owed_arrivals: f64,
    incarnation: u64,
}

impl VersionEnvironment {
    pub fn new(scenario: VersionScenario, seed: u64) -> Self {
        let mut random = SeededRandom(seed);
        let old = (1..=scenario.old_upstreams).map(|number| upstream(number, SLOTS));
        let new = (1..=scenario.new_upstreams).map(|number| UpstreamEntry {
            name: UpstreamLabel::from(format!("new-{number}").as_str()),
            version: VersionLabel::from("v2"),
            address: format!("10.0.2.{number}:80").parse().expect("an address"),
            ..upstream(number, SLOTS)
        });
        let entries: Vec<UpstreamEntry> = old.chain(new).collect();
        let slowness = entries.iter().map(|entry| {
            let sample = random.below(1_000) as f64 / 500.0 - 1.0;
            let own = scenario.spread.powf(sample);
            let is_new = entry.version.as_str() == "v2";
            let is_slow = (1..=scenario.slow_upstreams)
                .any(|number| entry.name.as_str() == format!("new-{number}"));
            let version = if is_new { scenario.slowness } else { 1.0 };
            let fault = if is_slow { 4.0 } else { 1.0 };
            (entry.name.clone(), own * version * fault)
        });
        let slowness = slowness.collect();
        let mut environment = Self {
            scenario,
            random,
            now: MonotonicTime(1_000_000),
            daemons: Vec::new(),
            entries,
            slowness,
            streams: Vec::new(),
            ordered_at: None,
            stored: None,
            result: VersionResult::default(),
            arrivals: 0,
            owed_arrivals: 0.0,
            incarnation: 1,
        };
        for number in 0..scenario.daemons {
            let daemon = environment.start_daemon(number);
            environment.daemons.push(daemon);
            environment.read_upstreams(number);
        }
        environment
    }

    /// Runs the roll-out to its time limit and a little longer.
    pub fn run(mut self) -> VersionResult {
        self.advance(LEAD);
        self.ordered_at = Some(self.now);
        for daemon in 0..self.daemons.len() {
            self.read_upstreams(daemon);
            self.read_order(daemon);
        }
        let end = self.now + TIME_LIMIT + Duration::from_secs(2);
        let interval = self.scenario.restart_interval.unwrap_or(TIME_LIMIT * 2);
        while self.now < end {
            self.advance(interval.min(end.since(self.now)));
            if self.scenario.restart_interval.is_some() {
                self.restart();
            }
        }
        self.result
    }

    fn start_daemon(&mut self, number: usize) -> GatewayHarness {
        let mut options = options(&format!("host-{number}"));
        options.incarnation = self.incarnation;
        options.seed = self.random.below(1 << 30) as u64;
        let mut harness = GatewayHarness::unconfigured(options);
        harness.now = self.now;
        harness.step(GatewayEvent::ConfigRead(Arc::new(config(1, None))));
        harness.confirm();
        let old = self
            .entries
            .iter()
            .filter(|entry| entry.version.as_str() == "v1");
        harness.step(GatewayEvent::UpstreamsRead(old.cloned().collect()));
        harness
    }

    fn restart(&mut self) {
        let number = self.random.below(self.daemons.len());
        self.incarnation += 1;
        self.streams.retain(|stream| stream.daemon != number);
        self.daemons[number] = self.start_daemon(number);
        self.read_order(number);
        let status = self.status();
        self.daemons[number].step(GatewayEvent::RolloutStatusRead(status));
        self.read_upstreams(number);
    }

    /// Lets a daemon read the upstreams; those of the new version start one after the other.
    fn read_upstreams(&mut self, daemon: usize) {
        let since_order = self.ordered_at.map(|at| self.now.since(at));
        let is_lost = since_order
            .zip(self.scenario.lost_after)
            .is_some_and(|(time, lost_after)| time >= lost_after + EXPIRY);
        let registered =
            since_order.and_then(|time| time.checked_sub(self.scenario.registered_after));
        let started = registered
            .filter(|_| !is_lost)
            .map_or(0, |time| 1 + time.as_secs());
        let is_started = |entry: &&UpstreamEntry| {
            (1..=started).any(|number| entry.name.as_str() == format!("new-{number}"))
                || entry.version.as_str() == "v1"
        };
        let entries = self.entries.iter().filter(is_started).cloned().collect();
        self.step(daemon, GatewayEvent::UpstreamsRead(entries));
    }

    fn read_order(&mut self, daemon: usize) {
        let order = RolloutOrder {
            service: ServiceLabel::from("engine"),
            target_version: VersionLabel::from("v2"),
            time_limit: TIME_LIMIT,
            position: StorePosition::new(1, 50),
        };
        self.step(daemon, GatewayEvent::RolloutOrdered(order));
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.advance_streams();
            self.owed_arrivals += self.arrivals_per_second() * STEP.as_secs_f64();
            while self.owed_arrivals >= 1.0 {
                self.owed_arrivals -= 1.0;
                self.arrive();
            }
            let steps = self.now.0 / u64::try_from(STEP.as_micros()).expect("a short step");
            if steps.is_multiple_of(STEPS_PER_ROUND) {
                self.exchange_gossip();
            }
        }
    }

    fn arrivals_per_second(&self) -> f64 {
        let since_order = self.ordered_at.map(|at| self.now.since(at).as_secs());
        let is_burst = since_order.is_some_and(|seconds| (3..6).contains(&seconds));
        let factor = if is_burst { self.scenario.burst } else { 1.0 };
        self.scenario.arrivals_per_second * factor
    }

    /// Returns true with the given probability, and draws no number if it is zero.
    fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && (self.random.below(10_000) as f64) < probability * 10_000.0
    }

    fn arrive(&mut self) {
        let daemon = self.random.below(self.daemons.len());
        self.arrivals += 1;
        let is_plain = self.chance(self.scenario.plain_share);
        let route = if is_plain { "once" } else { "stream" };
        let arrival = Box::new(arrival(&format!("/{route}/{}", self.arrivals)));
        let request = self.daemons[daemon].next_request();
        self.step(daemon, GatewayEvent::Arrived { request, arrival });
    }

    /// Returns the time that an upstream takes for what takes `millis` without load.
    fn time_at(&mut self, upstream: &UpstreamLabel, millis: f64) -> Duration {
        let streams = self.streams.iter();
        let busy = streams
            .filter(|stream| stream.upstream == *upstream)
            .count();
        let load = 1.0 + 0.25 * busy as f64;
        let noise = 0.8 + self.random.below(1_000) as f64 / 2_500.0;
        Duration::from_secs_f64(millis * self.slowness[upstream] * load * noise / 1e3)
    }

    /// Returns the time for which a further request waits for a slot of an upstream.
    fn wait_at(&self, upstream: &UpstreamLabel) -> Duration {
        let streams = self.streams.iter();
        let busy = streams
            .filter(|stream| stream.upstream == *upstream)
            .count();
        let ahead = (busy + 1).saturating_sub(SLOTS as usize) as f64;
        let stream_ms = EVENT_MS * MEAN_EVENTS * 2.0 * self.slowness[upstream];
        Duration::from_secs_f64(ahead * stream_ms / f64::from(SLOTS) / 1e3)
    }

    fn advance_streams(&mut self) {
        let mut streams = std::mem::take(&mut self.streams);
        let left: Vec<OpenStream> = streams
            .extract_if(.., |stream| {
                stream.leaves_at.is_some_and(|at| at <= self.now)
            })
            .collect();
        let mut due: Vec<OpenStream> = streams
            .extract_if(.., |stream| stream.next_event_at <= self.now)
            .collect();
        self.streams = streams;
        for stream in left {
            let event = GatewayEvent::CallerDisconnected(stream.request);
            self.step(stream.daemon, event);
        }
        for mut stream in due.drain(..) {
            let request = stream.request;
            if stream.plain {
                self.end_plain(&stream);
                continue;
            }
            stream.leaves_at = self.scenario.patience.map(|patience| self.now + patience);
            let event = if stream.events == 0 {
                let metadata = ResponseMetadata::default();
                GatewayEvent::ResponseStarted { request, metadata }
            } else {
                GatewayEvent::ResponseProgressed { request, events: 1 }
            };
            stream.events += 1;
            stream.events_left -= 1;
            self.step(stream.daemon, event);
            if stream.events_left == 0 {
                let outcome = AttemptOutcome::Delivered {
                    metadata: ResponseMetadata::default(),
                    events: stream.events,
                };
                self.step(
                    stream.daemon,
                    GatewayEvent::AttemptEnded { request, outcome },
                );
                continue;
            }
            stream.next_event_at = self.now + self.time_at(&stream.upstream, EVENT_MS);
            self.streams.push(stream);
        }
    }

    fn step(&mut self, daemon: usize, event: GatewayEvent) {
        let harness = &mut self.daemons[daemon];
        harness.now = self.now;
        harness.step(event);
        for effect in std::mem::take(&mut harness.effects) {
            match effect {
                GatewayEffect::Dispatch(order) => self.start_attempt(daemon, &order),
                GatewayEffect::AbandonAttempt { request } => self.abandon(daemon, request),
                GatewayEffect::WriteRollout(write) => self.write(daemon, write),
                GatewayEffect::Refuse { .. } if self.ordered_at.is_some() => {
                    self.result.refused += 1;
                }
                _ => {}
            }
        }
    }

    fn start_attempt(&mut self, daemon: usize, order: &DispatchOrder) {
        let is_new = is_new(&order.upstream);
        let in_time = self
            .ordered_at
            .is_some_and(|at| self.now.since(at) < TIME_LIMIT);
        self.result.dispatched += u32::from(in_time);
        self.result.dispatched_new += u32::from(in_time && is_new);
        if let Some(outcome) = self.outcome_without_response(&order.upstream) {
            let request = order.request;
            return self.step(daemon, GatewayEvent::AttemptEnded { request, outcome });
        }
        let first_event_ms = if order.stream {
            self.scenario.first_event_ms
        } else {
            PLAIN_MS
        };
        let first_event_in =
            self.time_at(&order.upstream, first_event_ms) + self.wait_at(&order.upstream);
        let events_left = 2 + self.random.below(2 * MEAN_EVENTS as usize) as u32;
        let patience = if self.chance(self.scenario.hasty_callers) {
            Some(MOMENT)
        } else {
            self.scenario.patience
        };
        self.streams.push(OpenStream {
            daemon,
            request: order.request,
            upstream: order.upstream.clone(),
            next_event_at: self.now + first_event_in,
            events: 0,
            events_left,
            leaves_at: patience.map(|patience| self.now + patience),
            plain: !order.stream,
        });
    }

    /// Returns how an attempt ends at an upstream that is lost, or that rejects all requests.
    fn outcome_without_response(&self, upstream: &UpstreamLabel) -> Option<AttemptOutcome> {
        let since_order = self.now.since(self.ordered_at?);
        if !is_new(upstream) {
            return None;
        }
        let metadata = ResponseMetadata::default();
        let is_lost = self
            .scenario
            .lost_after
            .is_some_and(|after| since_order >= after);
        if is_lost {
            Some(AttemptOutcome::NotSent)
        } else {
            self.scenario.rejects.then_some(AttemptOutcome::NotRun {
                misdirected: false,
                metadata,
            })
        }
    }

    fn end_plain(&mut self, stream: &OpenStream) {
        let is_failure = is_new(&stream.upstream) && self.chance(self.scenario.plain_failures);
        let metadata = ResponseMetadata::default();
        let outcome = if is_failure {
            AttemptOutcome::Failed { metadata }
        } else {
            AttemptOutcome::Delivered {
                metadata,
                events: 0,
            }
        };
        let request = stream.request;
        self.step(
            stream.daemon,
            GatewayEvent::AttemptEnded { request, outcome },
        );
    }

    fn abandon(&mut self, daemon: usize, request: LocalRequest) {
        let is_abandoned =
            |stream: &OpenStream| stream.daemon == daemon && stream.request == request;
        self.streams.retain(|stream| !is_abandoned(stream));
        let outcome = AttemptOutcome::Broken { stalled: true };
        self.step(daemon, GatewayEvent::AttemptEnded { request, outcome });
    }

    fn write(&mut self, daemon: usize, write: RolloutWrite) {
        let version = self.stored.as_ref().map_or(0, |(_, version)| *version);
        let holds = write.expected_position.version == version;
        if holds {
            if write.phase != RolloutPhase::Running {
                let after = self.ordered_at.map(|at| self.now.since(at));
                let ended = (write.phase, after.unwrap_or_default());
                self.result.ended.get_or_insert(ended);
            }
            self.stored = Some((write.clone(), version + 1));
        }
        let service = write.service;
        let accepted = holds;
        let finished = GatewayEvent::RolloutWriteFinished {
            service,
            accepted,
            era: 1,
        };
        self.step(daemon, finished);
    }

    fn status(&self) -> RolloutStatus {
        let stored = self.stored.as_ref();
        RolloutStatus {
            service: ServiceLabel::from("engine"),
            target_version: stored.map(|(write, _)| write.target_version.clone()),
            phase: stored.map(|(write, _)| write.phase),
            position: StorePosition::new(1, stored.map_or(0, |(_, version)| *version)),
        }
    }

    fn exchange_gossip(&mut self) {
        for index in 0..self.daemons.len() {
            let status = self.status();
            self.daemons[index].now = self.now;
            self.daemons[index].confirm();
            self.step(index, GatewayEvent::Tick);
            self.step(index, GatewayEvent::RolloutStatusRead(status));
            self.read_upstreams(index);
            let summary = self.daemons[index].gateway.summary(self.now);
            for other in (0..self.daemons.len()).filter(|other| *other != index) {
                let summary = Box::new(summary.clone());
                self.step(other, GatewayEvent::SummaryReceived(summary));
            }
        }
    }
}
