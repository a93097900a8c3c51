//! Many membership reducers in one thread, over a network that delays, loses, doubles and
//! reorders datagrams, with hosts that crash, restart and stand still.

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
        datagram::{MAX_DATAGRAM_BYTES, ReplayGuard, ReplayVerdict},
        membership::{MemberPlace, MemberState},
    },
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Heads of IPv4 and UDP, which count for the budget but not for the length of a datagram.
const HEAD_BYTES: usize = 28;

/// How the network treats datagrams.
#[derive(Debug, Clone, Default)]
pub struct NetworkFaults {
    pub loss: f64,
    pub duplicates: f64,
    pub jitter: Duration,
    /// Datagrams from a host of the first set to one of the second are lost.
    pub cuts: Vec<NetworkCut>,
}

#[derive(Debug, Clone, Default)]
pub struct NetworkCut {
    pub from: BTreeSet<HostName>,
    pub to: BTreeSet<HostName>,
}

#[derive(Debug)]
pub struct FakeHost {
    pub membership: MembershipState,
    pub budget: PeerBudget,
    pub sent_bytes: u64,
    pub sent_datagrams: u64,
    pub received_bytes: u64,
    pub paused_until: Option<MonotonicTime>,
    pub place: MemberPlace,
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

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventOrder {
    at: MonotonicTime,
    number: u64,
}

/// The fleet and its network.
#[derive(Debug)]
pub struct FakeNetwork {
    pub now: CoreTime,
    pub hosts: BTreeMap<HostName, FakeHost>,
    pub faults: NetworkFaults,
    pub steps: u64,
    rng: ChaCha8Rng,
    queue: BTreeMap<EventOrder, NetworkEvent>,
    number: u64,
}

pub fn host_name(number: usize) -> HostName {
    HostName::new(&format!("entry-{number:03}")).expect("a name")
}

/// Zones of the first region are `a0..`, those of the second `b0..`.
pub fn place_of(number: usize, regions: usize, zones: usize) -> MemberPlace {
    let region = if number.is_multiple_of(regions) {
        "a"
    } else {
        "b"
    };
    let zone = (number / regions) % zones;
    MemberPlace {
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
            number: 0,
        }
    }

    /// Hosts `0..count`, all started and all listed.
    pub fn fleet(seed: u64, count: usize, regions: usize, zones: usize) -> Self {
        let mut network = Self::new(seed);
        for number in 0..count {
            network.start(number, regions, zones);
        }
        network.list_hosts(&BTreeSet::new());
        network
    }

    /// Starts a host, or starts it anew under a larger incarnation.
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
        let fake = FakeHost {
            place: options.place.clone(),
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
        self.hosts.insert(host.clone(), fake);
        self.step(&host, MembershipEvent::Started);
    }

    /// Ends a process without a word.
    pub fn kill(&mut self, host: &HostName) {
        self.hosts.remove(host);
    }

    pub fn pause(&mut self, host: &HostName, duration: Duration) {
        let until = self.now.monotonic + duration;
        if let Some(fake) = self.hosts.get_mut(host) {
            fake.paused_until = Some(until);
        }
    }

    /// The list as the platform would give it of the hosts that run.
    pub fn host_list(&self, leaving: &BTreeSet<HostName>) -> Vec<HostEntry> {
        let entries = self.hosts.iter().map(|(host, fake)| HostEntry {
            host: host.clone(),
            peer_address: fake.place.peer_address,
            caller_address: fake.place.caller_address,
            zone: fake.place.zone.clone(),
            region: fake.place.region.clone(),
            leaving: leaving.contains(host),
        });
        entries.collect()
    }

    pub fn list_hosts(&mut self, leaving: &BTreeSet<HostName>) {
        let list = self.host_list(leaving);
        let hosts: Vec<_> = self.hosts.keys().cloned().collect();
        for host in &hosts {
            self.step(host, MembershipEvent::HostsListed(list.clone()));
        }
    }

    pub fn step(&mut self, host: &HostName, event: MembershipEvent) {
        let Some(fake) = self.hosts.get_mut(host) else {
            return;
        };
        self.steps += 1;
        let mut effects = EffectQueue::new();
        fake.membership.step(self.now, event, &mut effects);
        let effects: Vec<_> = effects.drain().collect();
        for effect in effects {
            self.execute(host, effect);
        }
    }

    fn execute(&mut self, host: &HostName, effect: DaemonEffect) {
        match effect {
            DaemonEffect::SendPeer { to, message, .. } => self.send(host, to, message),
            DaemonEffect::SetTimer { key, at } => {
                if let Some(fake) = self.hosts.get_mut(host) {
                    fake.timers.insert(key, at);
                }
                let host = host.clone();
                self.push(at, NetworkEvent::Timer { host, key, at });
            }
            DaemonEffect::InvariantViolated(breach) => panic!("{breach:?}"),
            _ => {}
        }
    }

    fn send(&mut self, from: &HostName, to: HostName, message: PeerMessage) {
        let Some(fake) = self.hosts.get_mut(from) else {
            return;
        };
        let bytes = message.wire_bytes(from);
        assert!(
            bytes <= MAX_DATAGRAM_BYTES + HEAD_BYTES,
            "{bytes}: {message:?}"
        );
        let class = BudgetClass::of(&message);
        if !fake.budget.admit(self.now.monotonic, class, bytes) {
            return;
        }
        fake.sent_bytes += bytes as u64;
        fake.sent_datagrams += 1;
        fake.sequence += 1;
        let event = NetworkEvent::Datagram {
            to,
            from: from.clone(),
            incarnation: fake.membership.incarnation(),
            sequence: fake.sequence,
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
                .map(|fake: &FakeHost| &fake.place.region)
        };
        let base = if region(to) == region(from) {
            1_500
        } else {
            40_000
        };
        let jitter = u64::try_from(self.faults.jitter.as_micros()).unwrap_or(0);
        Duration::from_micros(base + self.rng.random_range(0..=500 + jitter))
    }

    fn push(&mut self, at: MonotonicTime, event: NetworkEvent) {
        self.number += 1;
        let number = self.number;
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

    /// Runs until `done`, at most for `limit`; gives the time it took.
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
        let Some(fake) = self.hosts.get_mut(&host) else {
            return;
        };
        if let Some(until) = fake.paused_until {
            if until > self.now.monotonic {
                self.push(until, event);
                return;
            }
            fake.paused_until = None;
        }
        match event {
            NetworkEvent::Timer { key, at, .. } => {
                if fake.timers.get(&key) == Some(&at) {
                    fake.timers.remove(&key);
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
                if self.is_cut(&from, &host) {
                    return;
                }
                let Some(fake) = self.hosts.get_mut(&host) else {
                    return;
                };
                fake.received_bytes += bytes as u64;
                if fake.guard.judge(&from, incarnation, sequence) != ReplayVerdict::Fresh {
                    return;
                }
                if let PeerMessage::Membership(message) = message {
                    self.step(&host, MembershipEvent::Peer { from, message });
                }
            }
        }
    }

    fn is_cut(&self, from: &HostName, to: &HostName) -> bool {
        let mut cuts = self.faults.cuts.iter();
        cuts.any(|cut| cut.from.contains(from) && cut.to.contains(to))
    }

    /// Cuts two sets of hosts off from each other, both ways.
    pub fn cut(&mut self, one: &BTreeSet<HostName>, other: &BTreeSet<HostName>) {
        for (from, to) in [(one, other), (other, one)] {
            let from = from.clone();
            let to = to.clone();
            self.faults.cuts.push(NetworkCut { from, to });
        }
    }

    pub fn hosts_where(&self, keep: impl Fn(&MemberPlace) -> bool) -> BTreeSet<HostName> {
        let hosts = self.hosts.iter().filter(|(_, fake)| keep(&fake.place));
        hosts.map(|(host, _)| host.clone()).collect()
    }

    pub fn random_host(&mut self) -> HostName {
        let host = self.hosts.keys().choose(&mut self.rng);
        host.cloned().expect("a host")
    }

    /// What one host holds another for.
    pub fn state_at(&self, at: &HostName, about: &HostName) -> Option<MemberState> {
        let view = self.hosts.get(at)?.membership.view();
        view.members.get(about).map(|record| record.state)
    }

    /// Whether all that run hold the member for this state.
    pub fn all_hold(&self, about: &HostName, state: MemberState) -> bool {
        let others = self.hosts.keys().filter(|host| *host != about);
        others
            .map(|host| self.state_at(host, about))
            .all(|held| held == Some(state))
    }

    /// Whether everybody holds everybody that runs, and nobody else, for alive.
    pub fn agrees(&self) -> bool {
        self.hosts.values().all(|fake| {
            let members = &fake.membership.view().members;
            let alive = members
                .iter()
                .filter(|(_, record)| record.state == MemberState::Alive);
            alive.map(|(host, _)| host).eq(self.hosts.keys())
        })
    }
}
