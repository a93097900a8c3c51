//! A cluster of daemons in several zones, with gossip between them on a simulated clock.
#![allow(dead_code, reason = "each test file uses a part of the cluster")]

use crate::{
    callers::CallerGroup,
    harness::{GatewayHarness, arrival, config, options, upstream},
};
use savorywood_gateway::{
    CrashGossip, GatewayEvent, GatewayOptions, HostResources, LimitTolerance, PeerContact,
    ReportScope, RequestSize, TeamLimit, ZoneLabel,
};
use savorywood_protocol::MonotonicTime;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

pub const ZONES: usize = 4;
/// Daemons of a cluster in most tests.
pub const DAEMONS: usize = 48;
/// Window over which a team's limit is checked.
pub const WINDOW: Duration = Duration::from_secs(8);
/// Step of the simulated clock under the load of a team.
pub const STEP: Duration = Duration::from_millis(10);
/// Gossip rounds after which every daemon tracks its peers and which daemon reports which zone.
pub const WARM_UP_ROUNDS: usize = 5;
/// Step of the simulated clock while callers use the directory.
const CALLER_STEP: Duration = Duration::from_millis(40);
/// Steps of `CALLER_STEP` between two heartbeats of a member.
const HEARTBEAT_STEPS: u64 = 4;
/// Steps of `STEP` between two ticks of a daemon under the load of a team.
const TICK_STEPS: u64 = 10;
/// Units that a small request costs a team: its prompt and output tokens.
pub const UNITS_PER_REQUEST: f64 = 1_100.0;
/// Output tokens that a request announces; the rest of its units are prompt tokens.
const OUTPUT_TOKENS: u32 = 100;
/// Steps between two requests of the overloading team at one daemon: three times its limit.
pub const REQUEST_INTERVAL_STEPS: u64 = 4;

pub fn peer_address(number: usize) -> SocketAddr {
    let text = format!("10.0.{}.{}:7600", number / 200, number % 200 + 1);
    text.parse().expect("an address")
}

pub fn caller_address(number: usize) -> SocketAddr {
    let mut address = peer_address(number);
    address.set_port(80);
    address
}

pub fn zone(number: usize) -> ZoneLabel {
    ZoneLabel::from(format!("zone-{}", number % ZONES).as_str())
}

/// Returns a limit in proportion to the number of daemons, as in deployments of different sizes.
pub fn limit(daemons: usize) -> TeamLimit {
    TeamLimit {
        per_second: 9_000.0 * daemons as f64,
        burst: 9_000.0 * daemons as f64,
        in_tokens: true,
        default_tokens: 200,
    }
}

/// Returns the most units that may be admitted in one window: rate and burst, plus the tolerance
/// that `daemon_options` sets (10 % and 190,000 units).
pub fn allowed_units(limit: TeamLimit) -> f64 {
    (limit.per_second * WINDOW.as_secs_f64() + limit.burst) * 1.1 + 190_000.0
}

/// Returns the options of a daemon; incarnation 1 is its first start.
pub fn daemon_options(number: usize, incarnation: u64) -> GatewayOptions {
    let mut options = options(&format!("host-{number:03}"));
    options.zone = zone(number);
    options.peer_address = peer_address(number);
    options.caller_address = caller_address(number);
    options.incarnation = incarnation;
    options.first_start = incarnation == 1;
    options.bounds.limit_tolerance = LimitTolerance {
        window: WINDOW,
        overage: 0.1,
        slack: 190_000.0,
    };
    options
}

/// Limit and request pattern of the overloading team.
#[derive(Debug, Clone, Copy)]
pub struct TeamLoad {
    pub limit: TeamLimit,
    /// Units per request.
    pub units: f64,
    /// Steps between two requests at one daemon.
    pub request_interval_steps: u64,
}

impl TeamLoad {
    /// Small requests at three times the limit.
    pub fn small_requests(daemons: usize) -> Self {
        Self {
            limit: limit(daemons),
            units: UNITS_PER_REQUEST,
            request_interval_steps: REQUEST_INTERVAL_STEPS,
        }
    }

    /// Small requests under a limit that never binds.
    pub fn unlimited(daemons: usize) -> Self {
        let mut load = Self::small_requests(daemons);
        load.limit.per_second = 1e12;
        load.limit.burst = 1e13;
        load
    }

    /// Requests as large as what a daemon may admit in a second, at five times the limit.
    pub fn large_requests(daemons: usize) -> Self {
        let mut limit = limit(daemons);
        limit.per_second = 2_500.0 * daemons as f64;
        limit.burst = limit.per_second;
        Self {
            limit,
            units: 2_800.0,
            request_interval_steps: 22,
        }
    }
}

/// Daemons and the state of the network between them.
pub struct DaemonCluster {
    pub now: MonotonicTime,
    pub daemons: Vec<GatewayHarness>,
    pub addresses: BTreeMap<SocketAddr, usize>,
    pub limit: TeamLimit,
    /// Units per request.
    pub units: f64,
    /// Steps between two requests of the overloading team at one daemon.
    pub request_interval_steps: u64,
    /// Daemons that exchange no messages with others; callers still reach them.
    pub cut_off: BTreeSet<usize>,
    /// Hosts that are powered off, or frozen.
    pub down: BTreeSet<usize>,
    /// Frozen processes, with the messages that their hosts received meanwhile.
    pub frozen: BTreeMap<usize, Vec<GatewayEvent>>,
    /// Daemons that get no confirmation of their configuration.
    pub stale: BTreeSet<usize>,
    /// Resources of each host.
    pub capacities: Vec<HostResources>,
    /// Steps of `CALLER_STEP` so far.
    steps: u64,
    /// Highest incarnation given to a restarted daemon.
    last_incarnation: u64,
    /// The overloading team uses only the addresses that the directory gives.
    pub only_members: bool,
    /// Daemons that get requests although they are not members.
    pub with_callers: BTreeSet<usize>,
    /// Times at which requests of the overloading team were admitted.
    pub admitted: Vec<MonotonicTime>,
    /// Requests admitted by daemons beyond the first `DAEMONS`, which joined later.
    pub admitted_by_joined: usize,
}

/// Message counts of one gossip round.
#[derive(Debug, Default)]
pub struct RoundTraffic {
    /// Messages that each daemon sent.
    pub sent: Vec<usize>,
    /// Digests by receiving daemon, then by zone of the sender.
    pub digests_received: BTreeMap<usize, BTreeMap<usize, usize>>,
    /// Crash reports by sender, with the number of receivers.
    pub crash_gossip: Vec<(usize, usize, CrashGossip)>,
}

impl DaemonCluster {
    pub fn new(count: usize) -> Self {
        Self::with_load(count, TeamLoad::small_requests(count))
    }

    pub fn with_load(count: usize, load: TeamLoad) -> Self {
        let mut cluster = Self {
            now: MonotonicTime(1_000_000),
            daemons: Vec::new(),
            addresses: BTreeMap::new(),
            limit: load.limit,
            units: load.units,
            request_interval_steps: load.request_interval_steps,
            cut_off: BTreeSet::new(),
            down: BTreeSet::new(),
            frozen: BTreeMap::new(),
            stale: BTreeSet::new(),
            capacities: Vec::new(),
            steps: 0,
            last_incarnation: 1,
            only_members: false,
            with_callers: BTreeSet::new(),
            admitted: Vec::new(),
            admitted_by_joined: 0,
        };
        for _ in 0..count {
            cluster.add(1);
        }
        cluster.read_contacts();
        for _ in 0..WARM_UP_ROUNDS {
            cluster.gossip_round(Duration::from_millis(250));
        }
        cluster
    }

    /// Returns a started daemon with configuration and upstreams, but without contacts.
    pub fn start_daemon(&self, number: usize, incarnation: u64) -> GatewayHarness {
        let mut options = daemon_options(number, incarnation);
        options.capacity = self.capacities[number];
        let mut harness = GatewayHarness::unconfigured(options);
        harness.now = self.now;
        harness.step(GatewayEvent::ConfigRead(Arc::new(config(
            1,
            Some(self.limit),
        ))));
        let entries = (1..=8).map(|number| upstream(number, 1_000)).collect();
        harness.step(GatewayEvent::UpstreamsRead(entries));
        harness.confirm();
        harness
    }

    /// Adds a daemon that the others do not have in their contacts yet.
    pub fn add(&mut self, incarnation: u64) {
        let number = self.daemons.len();
        self.addresses.insert(peer_address(number), number);
        if self.capacities.len() == number {
            self.capacities.push(HostResources::default());
        }
        let harness = self.start_daemon(number, incarnation);
        self.daemons.push(harness);
    }

    /// Gives every daemon the current list of peers.
    pub fn read_contacts(&mut self) {
        let contacts: Vec<PeerContact> = (0..self.daemons.len())
            .map(|number| PeerContact {
                address: peer_address(number),
                zone: Some(zone(number)),
                processor_millis: 0,
            })
            .collect();
        for daemon in &mut self.daemons {
            daemon.now = self.now;
            daemon.step(GatewayEvent::ContactsRead(contacts.clone()));
        }
    }

    /// Advances the clock and runs one gossip round with confirmed configurations.
    pub fn gossip_round(&mut self, time: Duration) -> RoundTraffic {
        self.now = self.now + time;
        for daemon in &mut self.daemons {
            daemon.now = self.now;
            daemon.confirm();
            daemon.step(GatewayEvent::Tick);
        }
        self.exchange_gossip()
    }

    /// Delivers all due gossip once; daemons that are cut off neither send nor receive.
    pub fn exchange_gossip(&mut self) -> RoundTraffic {
        let mut traffic = RoundTraffic::default();
        let mut messages: Vec<(usize, usize, GatewayEvent)> = Vec::new();
        for (number, daemon) in self.daemons.iter_mut().enumerate() {
            if self.frozen.contains_key(&number) {
                traffic.sent.push(0);
                continue;
            }
            let plan = daemon.gateway.plan_gossip(self.now);
            traffic.sent.push(
                plan.summary_targets.len()
                    + plan.digest_targets.len()
                    + plan.slotless_digest_targets.len(),
            );
            let summary = daemon.gateway.summary(self.now);
            let receiver_index = |address| self.addresses.get(address).copied();
            for receiver in plan.summary_targets.iter().filter_map(receiver_index) {
                let event = GatewayEvent::SummaryReceived(Box::new(summary.clone()));
                messages.push((number, receiver, event));
            }
            let remote: Vec<SocketAddr> =
                [&plan.digest_targets[..], &plan.slotless_digest_targets[..]].concat();
            for (scope, receivers) in [
                (ReportScope::Daemon, &plan.summary_targets),
                (ReportScope::Zone, &remote),
            ] {
                let gossip = daemon.gateway.crash_gossip(self.now, scope);
                let sent = gossip
                    .iter()
                    .map(|gossip| (number, receivers.len(), gossip.clone()));
                traffic.crash_gossip.extend(sent);
                for receiver in receivers.iter().filter_map(receiver_index) {
                    let events = gossip.iter().cloned().map(GatewayEvent::CrashesReported);
                    messages.extend(events.map(|event| (number, receiver, event)));
                }
                let gossip = daemon.gateway.limit_gossip(self.now, scope);
                for receiver in receivers.iter().filter_map(receiver_index) {
                    let event = gossip.clone().map(GatewayEvent::LimitsReported);
                    messages.extend(event.map(|event| (number, receiver, event)));
                }
            }
            for (with_slots, receivers) in [
                (true, &plan.digest_targets),
                (false, &plan.slotless_digest_targets),
            ] {
                if receivers.is_empty() {
                    continue;
                }
                let digest = daemon.gateway.zone_digest(self.now, with_slots);
                for receiver in receivers.iter().filter_map(receiver_index) {
                    let event = GatewayEvent::DigestReceived(Box::new(digest.clone()));
                    messages.push((number, receiver, event));
                }
            }
        }
        for (sender, receiver, event) in messages {
            if self.is_isolated(sender) || self.is_isolated(receiver) {
                continue;
            }
            if matches!(event, GatewayEvent::DigestReceived(_)) {
                let zones = traffic.digests_received.entry(receiver).or_default();
                *zones.entry(sender % ZONES).or_default() += 1;
            }
            match self.frozen.get_mut(&receiver) {
                Some(unread) => unread.push(event),
                None => self.deliver(receiver, sender, event),
            }
        }
        traffic
    }

    /// Lets a running daemon handle a message, and delivers its reply.
    fn deliver(&mut self, receiver: usize, sender: usize, event: GatewayEvent) {
        let summary = match &event {
            GatewayEvent::SummaryReceived(summary) => Some(summary.clone()),
            _ => None,
        };
        if matches!(event, GatewayEvent::DigestReceived(_)) {
            self.forward_digest(receiver, sender, &event);
        }
        self.daemons[receiver].step(event);
        let Some(summary) = summary else { return };
        let view = self.daemons[receiver]
            .gateway
            .view_reply(self.now, &summary);
        if let Some(view) = view
            && !self.frozen.contains_key(&sender)
        {
            self.daemons[sender].step(GatewayEvent::ViewReceived(Box::new(view)));
        }
    }

    /// Passes the digest of another zone on to the coordinators of the receiver's zone.
    fn forward_digest(&mut self, receiver: usize, sender: usize, event: &GatewayEvent) {
        let sender = peer_address(sender);
        let gateway = &self.daemons[receiver].gateway;
        for target in gateway.digest_forward_targets(self.now, sender) {
            let number = self.addresses[&target];
            if !self.frozen.contains_key(&number) && !self.is_isolated(number) {
                self.daemons[number].step(event.clone());
            }
        }
    }

    /// Resumes a frozen process, which then handles the messages that its host received meanwhile.
    pub fn thaw(&mut self, number: usize) {
        for event in self.frozen.remove(&number).unwrap_or_default() {
            self.daemons[number].now = self.now;
            self.daemons[number].step(event);
        }
    }

    /// Returns whether no message reaches or leaves a daemon.
    pub fn is_isolated(&self, number: usize) -> bool {
        self.cut_off.contains(&number) || self.down.contains(&number)
    }

    /// Returns the daemon that callers reach at an address.
    pub fn daemon_at(&self, caller_address: SocketAddr) -> Option<usize> {
        let mut address = caller_address;
        address.set_port(7600);
        self.addresses.get(&address).copied()
    }

    /// Advances the clock in steps: daemons gossip, members send heartbeats, callers send requests.
    pub fn advance(&mut self, time: Duration, callers: &mut CallerGroup) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + CALLER_STEP;
            self.steps += 1;
            for number in (0..self.daemons.len()).filter(|number| !self.down.contains(number)) {
                self.daemons[number].now = self.now;
                if !self.stale.contains(&number) {
                    self.daemons[number].confirm();
                }
                self.daemons[number].step(GatewayEvent::Tick);
                self.daemons[number].effects.clear();
            }
            let pause = self.daemons[0]
                .gateway
                .gossip_interval(self.now)
                .as_millis();
            let pause = pause / CALLER_STEP.as_millis();
            if u128::from(self.steps).is_multiple_of(pause) {
                self.exchange_gossip();
            }
            if self.steps.is_multiple_of(HEARTBEAT_STEPS) {
                self.send_heartbeats();
            }
            callers.send_all(self);
        }
    }

    fn send_heartbeats(&mut self) {
        let now = self.now;
        for sender in 0..self.daemons.len() {
            let Some((heartbeat, receivers)) = self.daemons[sender].gateway.heartbeat(now) else {
                continue;
            };
            let numbers = receivers
                .iter()
                .filter_map(|at| self.addresses.get(at).copied());
            for receiver in numbers.collect::<Vec<_>>() {
                if !self.is_isolated(sender) && !self.is_isolated(receiver) {
                    self.daemons[receiver].step(GatewayEvent::HeartbeatReceived(heartbeat));
                }
            }
        }
    }

    /// Restarts the hosts that are down, as new incarnations, and updates the contacts.
    pub fn restart_down(&mut self) {
        for number in std::mem::take(&mut self.down) {
            self.last_incarnation += 1;
            self.daemons[number] = self.start_daemon(number, self.last_incarnation);
        }
        self.read_contacts();
        self.exchange_gossip();
    }

    /// Restarts all daemons at once, with the current `capacities`.
    pub fn restart_all(&mut self) {
        self.down = (0..self.daemons.len()).collect();
        self.restart_down();
    }

    /// Orders a daemon to stop, and gossips that it is leaving.
    pub fn stop(&mut self, number: usize) {
        let grace = Duration::from_secs(8);
        self.daemons[number].step(GatewayEvent::StopRequested { grace });
        self.exchange_gossip();
    }

    /// Reports a load of some descriptors in each zone, spread evenly over the zone's members.
    pub fn spread_load(&mut self, descriptors: u32) {
        for daemon in &mut self.daemons {
            let members = u32::try_from(daemon.gateway.entry_member_count()).expect("few members");
            let share = descriptors / members.max(1);
            let descriptors = if daemon.gateway.is_entry_member() {
                share
            } else {
                0
            };
            daemon.step(GatewayEvent::LoadMeasured(HostResources {
                descriptors,
                ..HostResources::default()
            }));
        }
        self.exchange_gossip();
    }

    /// Sends requests of the overloading team to all daemons for some time.
    pub fn overload(&mut self, time: Duration) {
        let steps = time.as_millis() / STEP.as_millis();
        for step in 0..u64::try_from(steps).expect("few steps") {
            self.now = self.now + STEP;
            if step.is_multiple_of(TICK_STEPS) {
                self.tick_all();
            }
            for number in 0..self.daemons.len() {
                let is_asked = !self.only_members
                    || self.with_callers.contains(&number)
                    || self.daemons[number].gateway.is_entry_member();
                if is_asked && (step + number as u64).is_multiple_of(self.request_interval_steps) {
                    self.send_request(number);
                }
            }
            let pause = self.daemons[0]
                .gateway
                .gossip_interval(self.now)
                .as_millis()
                / STEP.as_millis();
            if (u128::from(step) + 1).is_multiple_of(pause) {
                self.exchange_gossip();
            }
        }
    }

    fn tick_all(&mut self) {
        for daemon in &mut self.daemons {
            daemon.now = self.now;
            daemon.confirm();
            daemon.step(GatewayEvent::Tick);
            daemon.effects.clear();
        }
    }

    pub fn send_request(&mut self, number: usize) {
        self.admits(number, "/safe/1");
    }

    /// Sends a request of the overloading team to a daemon; returns whether it was admitted.
    pub fn admits(&mut self, number: usize, path: &str) -> bool {
        let daemon = &mut self.daemons[number];
        daemon.now = self.now;
        daemon.confirm();
        let mut request_arrival = arrival(path);
        request_arrival.size = Some(RequestSize {
            prompt_tokens: self.units as u32 - OUTPUT_TOKENS,
            max_output_tokens: OUTPUT_TOKENS,
        });
        let request = daemon.arrive(request_arrival);
        let is_admitted = daemon.refusal(request).is_none();
        if is_admitted {
            self.admitted.push(self.now);
            self.admitted_by_joined += usize::from(number >= DAEMONS);
            daemon.deliver(request);
        }
        daemon.effects.clear();
        is_admitted
    }

    /// Returns the most units admitted within any window.
    pub fn max_units_in_window(&self) -> f64 {
        let counts = self.admitted.iter().enumerate().map(|(index, from)| {
            let later = self.admitted[index..].iter();
            later.take_while(|at| at.since(*from) < WINDOW).count()
        });
        counts.max().unwrap_or_default() as f64 * self.units
    }

    /// Returns the units admitted within `span` before now.
    pub fn admitted_in_last(&self, span: Duration) -> f64 {
        let admitted = self.admitted.iter();
        let recent = admitted.filter(|at| self.now.since(**at) < span);
        recent.count() as f64 * self.units
    }

    pub fn assert_limit_kept(&self) {
        let most = self.max_units_in_window();
        let allowed_units = allowed_units(self.limit);
        assert!(
            most <= allowed_units,
            "{most} units in a window, {allowed_units} allowed"
        );
    }
}
