//! Simulates many membership reducers in one thread, over a network that delays, loses, duplicates
//! and reorders datagrams, with hosts that crash, restart and pause.

use rand::{Rng, SeedableRng, seq::IteratorRandom};
use rand_chacha::ChaCha8Rng;
use savorywood_core::{
    DaemonEffect, EffectQueue, HostEntry, TimerKey,
    membership::{BudgetClass, MembershipEvent, MembershipOptions, MembershipState, PeerBudget},
};
use savorywood_protocol::{
    CoreTime, HostIncarnation, HostName, MonotonicTime, WallTime,
    peer::{
        PeerMessage,
        datagram::{MAX_DATAGRAM_BYTES, ReplayDecision, ReplayGuard},
        membership::{MemberLocation, MemberState},
    },
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Size of the IPv4 and UDP headers, which count towards the byte budget but not towards the length
/// of a datagram.
const HEADER_BYTES: usize = 28;

/// Faults of the network. `loss` and `duplicates` are probabilities from 0 to 1 per datagram;
/// `jitter` is the largest extra delay.
#[derive(Debug, Clone, Default)]
pub struct NetworkFaults {
    pub loss: f64,
    pub duplicates: f64,
    pub jitter: Duration,
    /// Datagrams from a host in `from` to one in `to` are lost.
    pub partitions: Vec<NetworkPartition>,
}

/// One direction of a partition.
#[derive(Debug, Clone, Default)]
pub struct NetworkPartition {
    pub from: BTreeSet<HostName>,
    pub to: BTreeSet<HostName>,
}

/// A host with its membership reducer, byte budget, replay guard and timers.
#[derive(Debug)]
pub struct FakeHost {
    pub membership: MembershipState,
    pub budget: PeerBudget,
    /// Bytes sent, with the IPv4 and UDP headers.
    pub sent_bytes: u64,
    pub sent_datagrams: u64,
    pub received_bytes: u64,
    /// Time until which the host handles nothing; absent while it runs.
    pub paused_until: Option<MonotonicTime>,
    pub place: MemberLocation,
    guard: ReplayGuard,
    timers: BTreeMap<TimerKey, MonotonicTime>,
    sequence: u64,
}

#[derive(Debug, Clone)]
enum NetworkEvent {
    Datagram {
        to: HostName,
        from: HostName,
        incarnation: HostIncarnation,
        sequence: u64,
        bytes: usize,
        message: PeerMessage,
    },
    Timer {
        host: HostName,
        key: TimerKey,
        at: MonotonicTime,
    },
}

/// Time of an event and the order in which it was scheduled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventOrder {
    at: MonotonicTime,
    number: u64,
}

/// The hosts and the network between them.
#[derive(Debug)]
pub struct FakeNetwork {
    pub now: CoreTime,
    pub hosts: BTreeMap<HostName, FakeHost>,
    pub faults: NetworkFaults,
    pub steps: u64,
    rng: ChaCha8Rng,
    queue: BTreeMap<EventOrder, NetworkEvent>,
    last_number: u64,
}

pub fn host_name(number: usize) -> HostName {
    HostName::new(&format!("entry-{number:03}")).expect("a name")
}

/// Returns the addresses, zone and region of a host. Zones of the first region are `a0..`, those of
/// the second `b0..`.
pub fn place_of(number: usize, regions: usize, zones: usize) -> MemberLocation {
    let region = if number.is_multiple_of(regions) {
        "a"
    } else {
        "b"
    };
    let zone = (number / regions) % zones;
    MemberLocation {
        peer_address: format!("10.0.{}.{}:7000", number / 250, number % 250 + 1)
            .parse()
            .expect("an address"),
        caller_address: format!("10.0.{}.{}:8080", number / 250, number % 250 + 1)
            .parse()
            .expect("an address"),
        zone: format!("{region}{zone}").parse().expect("a name"),
        region: region.parse().expect("a name"),
    }
}

impl FakeNetwork {
    pub fn new(seed: u64) -> Self {
        let now = CoreTime {
            monotonic: MonotonicTime(1_000_000),
            wall: WallTime(1_780_000_000_000),
        };
        Self {
            now,
            hosts: BTreeMap::new(),
            faults: NetworkFaults::default(),
            steps: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// Creates hosts `0..count`, all started and all in the host list.
    pub fn fleet(seed: u64, count: usize, regions: usize, zones: usize) -> Self {
        let mut network = Self::new(seed);
        for number in 0..count {
            network.start(number, regions, zones);
        }
        network.list_hosts(&BTreeSet::new());
        network
    }

    /// Starts a host, or restarts it under the incarnation of the current wall clock.
    pub fn start(&mut self, number: usize, regions: usize, zones: usize) -> HostName {
        let host = host_name(number);
        let place = place_of(number, regions, zones);
        let incarnation = HostIncarnation(self.now.wall.0);
        let options = MembershipOptions::new(host.clone(), incarnation, place.clone())
            .with_seed(self.rng.random());
        self.start_with(options);
        host
    }

    pub fn start_with(&mut self, options: MembershipOptions) {
        let host = options.host.clone();
        let fake_host = FakeHost {
            place: options.location.clone(),
            membership: MembershipState::new(options),
            budget: PeerBudget::default(),
            sent_bytes: 0,
            sent_datagrams: 0,
            received_bytes: 0,
            paused_until: None,
            guard: ReplayGuard::default(),
            timers: BTreeMap::new(),
            sequence: 0,
        };
        self.hosts.insert(host.clone(), fake_host);
        self.step(&host, MembershipEvent::Started);
    }

    /// Ends a daemon without a message.
    pub fn crash(&mut self, host: &HostName) {
        self.hosts.remove(host);
    }

    /// Pauses a host, which handles its datagrams and timers when the duration has passed.
    pub fn pause(&mut self, host: &HostName, duration: Duration) {
        let until = self.now.monotonic + duration;
        if let Some(fake_host) = self.hosts.get_mut(host) {
            fake_host.paused_until = Some(until);
        }
    }

    /// Returns the platform's list of the hosts that run.
    pub fn host_list(&self, leaving: &BTreeSet<HostName>) -> Vec<HostEntry> {
        let entries = self.hosts.iter().map(|(host, fake_host)| HostEntry {
            host: host.clone(),
            peer_address: fake_host.place.peer_address,
            caller_address: fake_host.place.caller_address,
            zone: fake_host.place.zone.clone(),
            region: fake_host.place.region.clone(),
            leaving: leaving.contains(host),
        });
        entries.collect()
    }

    /// Delivers the platform's host list to all hosts.
    pub fn list_hosts(&mut self, leaving: &BTreeSet<HostName>) {
        let list = self.host_list(leaving);
        let hosts: Vec<_> = self.hosts.keys().cloned().collect();
        for host in &hosts {
            self.step(host, MembershipEvent::HostsListed(list.clone()));
        }
    }

    pub fn step(&mut self, host: &HostName, event: MembershipEvent) {
        let Some(fake_host) = self.hosts.get_mut(host) else {
            return;
        };
        self.steps += 1;
        let mut effects = EffectQueue::new();
        fake_host.membership.step(self.now, event, &mut effects);
        let effects: Vec<_> = effects.drain().collect();
        for effect in effects {
            self.execute(host, effect);
        }
    }

    fn execute(&mut self, host: &HostName, effect: DaemonEffect) {
        match effect {
            DaemonEffect::SendPeer { to, message, .. } => self.send(host, to, message),
            DaemonEffect::SetTimer { key, at } => {
                if let Some(fake_host) = self.hosts.get_mut(host) {
                    fake_host.timers.insert(key, at);
                }
                let host = host.clone();
                self.push(at, NetworkEvent::Timer { host, key, at });
            }
            DaemonEffect::InvariantViolated(breach) => panic!("{breach:?}"),
            _ => {}
        }
    }

    fn send(&mut self, from: &HostName, to: HostName, message: PeerMessage) {
        let Some(fake_host) = self.hosts.get_mut(from) else {
            return;
        };
        let bytes = message.wire_bytes(from);
        assert!(
            bytes <= MAX_DATAGRAM_BYTES + HEADER_BYTES,
            "{bytes}: {message:?}"
        );
        let class = BudgetClass::of(&message);
        if !fake_host.budget.admit(self.now.monotonic, class, bytes) {
            return;
        }
        fake_host.sent_bytes += bytes as u64;
        fake_host.sent_datagrams += 1;
        fake_host.sequence += 1;
        let event = NetworkEvent::Datagram {
            to,
            from: from.clone(),
            incarnation: fake_host.membership.incarnation(),
            sequence: fake_host.sequence,
            bytes,
            message,
        };
        let copies = if self.rng.random_bool(self.faults.duplicates) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if !self.rng.random_bool(self.faults.loss) {
                let delay = self.delay(&event);
                self.push(self.now.monotonic + delay, event.clone());
            }
        }
    }

    fn delay(&mut self, event: &NetworkEvent) -> Duration {
        let NetworkEvent::Datagram { to, from, .. } = event else {
            return Duration::ZERO;
        };
        let region = |host| {
            self.hosts
                .get(host)
                .map(|fake_host: &FakeHost| &fake_host.place.region)
        };
        let base_micros = if region(to) == region(from) {
            1_500
        } else {
            40_000
        };
        let jitter_micros = u64::try_from(self.faults.jitter.as_micros()).unwrap_or(0);
        Duration::from_micros(base_micros + self.rng.random_range(0..=500 + jitter_micros))
    }

    fn push(&mut self, at: MonotonicTime, event: NetworkEvent) {
        self.last_number += 1;
        let number = self.last_number;
        self.queue.insert(EventOrder { at, number }, event);
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now.monotonic + duration;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().at > end {
                break;
            }
            let (order, event) = entry.remove_entry();
            self.advance(order.at);
            self.deliver(event);
        }
        self.advance(end);
    }

    /// Runs until `done` returns true, for `limit` at most; returns the time that it took, or
    /// `None` at the limit.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut done: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now.monotonic;
        while self.now.monotonic.since(start) <= limit {
            if done(self) {
                return Some(self.now.monotonic.since(start));
            }
            self.run(Duration::from_millis(20));
        }
        None
    }

    fn advance(&mut self, at: MonotonicTime) {
        let step = at.since(self.now.monotonic);
        self.now = self.now.after(step);
        self.now.monotonic = self.now.monotonic.max(at);
    }

    fn deliver(&mut self, event: NetworkEvent) {
        let host = match &event {
            NetworkEvent::Datagram { to, .. } => to.clone(),
            NetworkEvent::Timer { host, .. } => host.clone(),
        };
        let Some(fake_host) = self.hosts.get_mut(&host) else {
            return;
        };
        if let Some(until) = fake_host.paused_until {
            if until > self.now.monotonic {
                self.push(until, event);
                return;
            }
            fake_host.paused_until = None;
        }
        match event {
            NetworkEvent::Timer { key, at, .. } => {
                if fake_host.timers.get(&key) == Some(&at) {
                    fake_host.timers.remove(&key);
                    self.step(&host, MembershipEvent::TimerFired);
                }
            }
            NetworkEvent::Datagram {
                from,
                incarnation,
                sequence,
                bytes,
                message,
                ..
            } => {
                if self.is_partitioned(&from, &host) {
                    return;
                }
                let Some(fake_host) = self.hosts.get_mut(&host) else {
                    return;
                };
                fake_host.received_bytes += bytes as u64;
                if fake_host
                    .guard
                    .check_and_record(&from, incarnation, sequence)
                    != ReplayDecision::Fresh
                {
                    return;
                }
                if let PeerMessage::Membership(message) = message {
                    self.step(&host, MembershipEvent::Peer { from, message });
                }
            }
        }
    }

    fn is_partitioned(&self, from: &HostName, to: &HostName) -> bool {
        let mut partitions = self.faults.partitions.iter();
        partitions.any(|partition| partition.from.contains(from) && partition.to.contains(to))
    }

    /// Partitions two sets of hosts from each other in both directions.
    pub fn partition(&mut self, one: &BTreeSet<HostName>, other: &BTreeSet<HostName>) {
        for (from, to) in [(one, other), (other, one)] {
            let from = from.clone();
            let to = to.clone();
            self.faults.partitions.push(NetworkPartition { from, to });
        }
    }

    pub fn hosts_where(&self, predicate: impl Fn(&MemberLocation) -> bool) -> BTreeSet<HostName> {
        let hosts = self
            .hosts
            .iter()
            .filter(|(_, fake_host)| predicate(&fake_host.place));
        hosts.map(|(host, _)| host.clone()).collect()
    }

    pub fn random_host(&mut self) -> HostName {
        let host = self.hosts.keys().choose(&mut self.rng);
        host.cloned().expect("a host")
    }

    /// Returns the state of a member as one host sees it.
    pub fn state_at(&self, observer: &HostName, member: &HostName) -> Option<MemberState> {
        let view = self.hosts.get(observer)?.membership.view();
        view.members.get(member).map(|record| record.state)
    }

    /// Returns whether all other running hosts see the member in this state.
    pub fn all_observe(&self, member: &HostName, state: MemberState) -> bool {
        let others = self.hosts.keys().filter(|host| *host != member);
        others
            .map(|host| self.state_at(host, member))
            .all(|observed| observed == Some(state))
    }

    /// Returns whether every host lists exactly the running hosts as alive.
    pub fn has_converged(&self) -> bool {
        self.hosts.values().all(|fake_host| {
            let members = &fake_host.membership.view().members;
            let live_members = members
                .iter()
                .filter(|(_, record)| record.state == MemberState::Alive);
            live_members.map(|(host, _)| host).eq(self.hosts.keys())
        })
    }
}
