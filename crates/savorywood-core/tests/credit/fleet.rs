//! Simulates daemons that share upstreams. Each has a minimal scheduler: strict tier order, no more
//! slots than its own limit and its grant, and a query to the credit state before it sheds.

mod daemon;

use daemon::{FakeDaemon, RunningJob, TierTally};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorywood_core::{
    ConfigView, DaemonEffect, EffectQueue, MemberRecord, MemberView,
    credits::{CreditEvent, CreditView, LocalDemand, ShedAdvice},
};
use savorywood_protocol::{
    ConfigRevision, CoreTime, HostIncarnation, HostName, MonotonicTime, ServiceName, TierRank,
    UpstreamName, WallTime, ZoneName,
    peer::{
        CreditMessage, PeerMessage,
        credits::{NO_FLOOR, TierDemand},
        datagram::MAX_DATAGRAM_BYTES,
        membership::MemberState,
    },
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Simulated time per step.
pub const STEP: Duration = Duration::from_millis(5);

/// Time that a job occupies a slot.
const JOB_DURATION: Duration = Duration::from_millis(400);

/// Time after which a waiting job expires.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(5);

/// Remaining wait from which the daemon tries to shed a job.
const SHED_LEAD_TIME: Duration = Duration::from_secs(3);

/// A credit message that is delivered at `at`.
#[derive(Debug, Clone)]
struct InFlightMessage {
    at: MonotonicTime,
    from: HostName,
    to: HostName,
    message: CreditMessage,
}

/// Faults of the network. `loss` and `duplicates` are probabilities from 0 to 1 per message;
/// `jitter_ms` is the largest extra delay.
#[derive(Debug, Clone, Copy, Default)]
pub struct FleetFaults {
    pub loss: f64,
    pub duplicates: f64,
    pub jitter_ms: u64,
}

/// The daemons, their configuration and the network between them.
#[derive(Debug)]
pub struct CreditFleet {
    pub now: CoreTime,
    pub config: ConfigView,
    pub members: MemberView,
    pub daemons: BTreeMap<HostName, FakeDaemon>,
    pub faults: FleetFaults,
    /// Limit of each daemon on each upstream, in slots.
    pub limit: u32,
    /// Most slots in use at once at each upstream.
    pub peak_in_use: BTreeMap<UpstreamName, u32>,
    /// Descriptions of jobs shed while a job of a lower tier waited at a daemon of the same zone.
    pub priority_inversions: Vec<String>,
    /// Wall-clock time spent in the credit reducers.
    pub step_time: Duration,
    /// Number of steps that `step_time` covers.
    pub steps: u64,
    in_flight: Vec<InFlightMessage>,
    upstreams_by_zone: BTreeMap<ZoneName, Vec<UpstreamName>>,
    rng: ChaCha8Rng,
}

pub fn host_name(number: usize) -> HostName {
    HostName::new(&format!("entry-{number:03}")).expect("a name")
}

pub fn service() -> ServiceName {
    ServiceName::new("notes").expect("a name")
}

impl CreditFleet {
    /// Creates daemons and upstreams distributed over the zones. `limit` is the limit of each
    /// daemon on each upstream.
    pub fn new(seed: u64, daemons: usize, upstreams: usize, zones: usize, limit: u32) -> Self {
        let now = CoreTime {
            monotonic: MonotonicTime(1_000_000),
            wall: WallTime(1_780_000_000_000),
        };
        let mut fleet = Self {
            now,
            config: build_config(upstreams, zones),
            members: MemberView::default(),
            daemons: BTreeMap::new(),
            faults: FleetFaults::default(),
            limit,
            peak_in_use: BTreeMap::new(),
            priority_inversions: Vec::new(),
            step_time: Duration::ZERO,
            steps: 0,
            in_flight: Vec::new(),
            upstreams_by_zone: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for (name, spec) in &fleet.config.upstreams {
            let zone_upstreams = fleet
                .upstreams_by_zone
                .entry(spec.zone.clone())
                .or_default();
            zone_upstreams.push(name.clone());
        }
        for number in 0..daemons {
            fleet.start(number, zones);
        }
        fleet
    }

    fn start(&mut self, number: usize, zones: usize) {
        let host = host_name(number);
        let octet = u8::try_from(number % 250).expect("a small number");
        let record = MemberRecord {
            incarnation: HostIncarnation(1),
            state: MemberState::Alive,
            peer_address: SocketAddr::from(([10, 0, 0, octet], 7000)),
            caller_address: SocketAddr::from(([10, 0, 0, octet], 8080)),
            zone: format!("z{}", number % zones).parse().expect("a name"),
            region: "a".parse().expect("a name"),
            config_revision: ConfigRevision(1),
        };
        self.members.members.insert(host.clone(), record);
        let daemon = FakeDaemon::new(host.clone());
        self.daemons.insert(host.clone(), daemon);
        self.step(&host, CreditEvent::Started);
    }

    /// Submits a job to a daemon, which refuses it if its tier is below the floor.
    pub fn submit_job(&mut self, host: &HostName, rank: TierRank) {
        let Some(daemon) = self.daemons.get_mut(host) else {
            return;
        };
        daemon.tallies.entry(rank).or_default().arrived += 1;
        let floors = daemon.credits.floors();
        let floor = floors.get(&service()).copied().unwrap_or(NO_FLOOR);
        if rank > floor {
            daemon.tallies.entry(rank).or_default().below_floor += 1;
            return;
        }
        let deadline = self.now.monotonic + MAX_QUEUE_TIME;
        daemon.queues.entry(rank).or_default().push_back(deadline);
        let was_idle = daemon.queues.values().map(VecDeque::len).sum::<usize>() == 1;
        self.dispatch(host);
        let is_waiting = self.daemons[host]
            .queues
            .values()
            .any(|queue| !queue.is_empty());
        if is_waiting && was_idle {
            self.step(host, CreditEvent::QueueFormed);
        }
    }

    /// Runs for a duration of simulated time. `arrivals` submits the jobs of each step.
    pub fn run(&mut self, duration: Duration, mut arrivals: impl FnMut(&mut Self)) {
        let end = self.now.monotonic + duration;
        while self.now.monotonic < end {
            self.now = self.now.after(STEP);
            arrivals(self);
            self.deliver();
            let hosts: Vec<_> = self.daemons.keys().cloned().collect();
            for host in &hosts {
                self.fire_timers(host);
                self.finish_jobs(host);
                self.apply_floor(host);
                self.dispatch(host);
            }
            for host in &hosts {
                self.shed(host);
            }
            self.record_peak();
        }
    }

    /// Returns true with this probability, from 0 to 1.
    pub fn random_chance(&mut self, chance: f64) -> bool {
        self.rng.random_bool(chance)
    }

    fn deliver(&mut self) {
        let now = self.now.monotonic;
        let in_flight = std::mem::take(&mut self.in_flight);
        let (mut due, later): (Vec<_>, Vec<_>) = in_flight.into_iter().partition(|f| f.at <= now);
        self.in_flight = later;
        due.sort_by_key(|delivery| delivery.at);
        for delivery in due {
            let InFlightMessage {
                from, to, message, ..
            } = delivery;
            self.step(&to, CreditEvent::Peer { from, message });
        }
    }

    fn fire_timers(&mut self, host: &HostName) {
        let now = self.now.monotonic;
        let timers = &mut self.daemons.get_mut(host).expect("a daemon").timers;
        let due: Vec<_> = timers
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            let timers = &mut self.daemons.get_mut(host).expect("a daemon").timers;
            timers.remove(&key);
            let number = key.number;
            self.step(host, CreditEvent::TimerFired { number });
        }
    }

    fn finish_jobs(&mut self, host: &HostName) {
        let now = self.now.monotonic;
        let daemon = self.daemons.get_mut(host).expect("a daemon");
        let (done, running): (Vec<_>, Vec<_>) = std::mem::take(&mut daemon.running)
            .into_iter()
            .partition(|job| job.ends_at <= now);
        daemon.running = running;
        for job in done {
            let slots = daemon.slots.get_mut(&job.upstream).expect("slots in use");
            *slots.get_mut(&job.rank).expect("a slot in use") -= 1;
            daemon.tallies.entry(job.rank).or_default().done += 1;
        }
    }

    /// Sheds the waiting jobs whose tier is below the floor.
    fn apply_floor(&mut self, host: &HostName) {
        let daemon = self.daemons.get_mut(host).expect("a daemon");
        let floors = daemon.credits.floors();
        let floor = floors.get(&service()).copied().unwrap_or(NO_FLOOR);
        for (rank, queue) in &mut daemon.queues {
            if *rank > floor {
                let count = queue.len() as u64;
                queue.clear();
                daemon.tallies.entry(*rank).or_default().below_floor += count;
            }
        }
    }

    fn dispatch(&mut self, host: &HostName) {
        let zone = self.members.members[host].zone.clone();
        let zone_upstreams = self
            .upstreams_by_zone
            .get(&zone)
            .map_or(&[][..], Vec::as_slice);
        let daemon = self.daemons.get_mut(host).expect("a daemon");
        loop {
            let free = zone_upstreams.iter().find(|name| {
                let granted = daemon.credits.grants().get(*name).map(|grant| grant.slots);
                let allowed = granted.unwrap_or(self.limit).min(self.limit);
                daemon.in_use(name) < allowed
            });
            let next = daemon
                .queues
                .iter_mut()
                .find(|(_, queue)| !queue.is_empty());
            let (Some(upstream), Some((rank, queue))) = (free, next) else {
                return;
            };
            queue.pop_front();
            let slots = daemon.slots.entry(upstream.clone()).or_default();
            *slots.entry(*rank).or_default() += 1;
            daemon.running.push(RunningJob {
                rank: *rank,
                upstream: upstream.clone(),
                ends_at: self.now.monotonic + JOB_DURATION,
            });
        }
    }

    fn shed(&mut self, host: &HostName) {
        let now = self.now.monotonic;
        let ranks: Vec<_> = self.daemons[host].queues.keys().copied().collect();
        for rank in ranks {
            loop {
                let queue = &self.daemons[host].queues[&rank];
                let Some(deadline) = queue.front().copied() else {
                    break;
                };
                if now + SHED_LEAD_TIME < deadline {
                    break;
                }
                let late = deadline <= now;
                let advice = self.advice(host, rank);
                if advice == ShedAdvice::Wait && !late {
                    break;
                }
                self.record_priority_inversion(host, rank, advice, late);
                let daemon = self.daemons.get_mut(host).expect("a daemon");
                daemon.queues.get_mut(&rank).expect("a queue").pop_front();
                let tally = daemon.tallies.entry(rank).or_default();
                match advice {
                    ShedAdvice::Shed => tally.shed += 1,
                    ShedAdvice::DecideLocally => tally.shed_locally += 1,
                    ShedAdvice::Wait => tally.expired += 1,
                }
            }
        }
    }

    fn record_priority_inversion(
        &mut self,
        host: &HostName,
        rank: TierRank,
        advice: ShedAdvice,
        late: bool,
    ) {
        for (other, daemon) in &self.daemons {
            let mut queues = daemon.queues.iter();
            let same_zone = self.members.members[other].zone == self.members.members[host].zone;
            if same_zone && queues.any(|(lower, queue)| *lower > rank && !queue.is_empty()) {
                let at = self.now.monotonic.0 / 1_000;
                let text = format!(
                    "{at} ms: {host} shed {rank} ({advice:?}, late={late}) while a lower tier waited at {other}"
                );
                self.priority_inversions.push(text);
            }
        }
    }

    fn advice(&mut self, host: &HostName, rank: TierRank) -> ShedAdvice {
        let demands = self.demands_of(host);
        let view = CreditView {
            config: &self.config,
            members: &self.members,
            demands: &demands,
        };
        let daemon = self.daemons.get_mut(host).expect("a daemon");
        let mut effects = EffectQueue::new();
        let now = self.now.monotonic;
        let advice = daemon
            .credits
            .shed_advice(now, &service(), rank, view, &mut effects);
        self.execute(host, &mut effects);
        advice
    }

    pub fn step(&mut self, host: &HostName, event: CreditEvent) {
        if !self.daemons.contains_key(host) {
            return;
        }
        let demands = self.demands_of(host);
        let view = CreditView {
            config: &self.config,
            members: &self.members,
            demands: &demands,
        };
        let daemon = self.daemons.get_mut(host).expect("a daemon");
        let mut effects = EffectQueue::new();
        let started = Instant::now();
        daemon.credits.step(self.now, event, view, &mut effects);
        self.step_time += started.elapsed();
        self.steps += 1;
        self.execute(host, &mut effects);
    }

    fn execute(&mut self, host: &HostName, effects: &mut EffectQueue) {
        let effects: Vec<_> = effects.drain().collect();
        for effect in effects {
            match effect {
                DaemonEffect::SetTimer { key, at } => {
                    let daemon = self.daemons.get_mut(host).expect("a daemon");
                    daemon.timers.insert(key, at);
                }
                DaemonEffect::SendPeer { to, message, .. } => self.send(host, &to, message),
                _ => {}
            }
        }
    }

    fn send(&mut self, from: &HostName, to: &HostName, message: PeerMessage) {
        let bytes = message.wire_bytes(from);
        assert!(bytes <= MAX_DATAGRAM_BYTES, "{bytes}: {message:?}");
        let daemon = self.daemons.get_mut(from).expect("a daemon");
        daemon.sent_bytes += bytes as u64;
        daemon.sent_messages += 1;
        let PeerMessage::Credits(message) = message else {
            return;
        };
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplicates));
        for _ in 0..copies {
            if self.rng.random_bool(self.faults.loss) {
                continue;
            }
            let delay = 2 + self.rng.random_range(0..=self.faults.jitter_ms);
            self.in_flight.push(InFlightMessage {
                at: self.now.monotonic + Duration::from_millis(delay),
                from: from.clone(),
                to: to.clone(),
                message: message.clone(),
            });
        }
    }

    /// Returns the demand of a daemon on the upstreams of its zone.
    fn demands_of(&self, host: &HostName) -> BTreeMap<UpstreamName, LocalDemand> {
        let zone = &self.members.members[host].zone;
        let daemon = &self.daemons[host];
        let zone_upstreams = self
            .upstreams_by_zone
            .get(zone)
            .map_or(&[][..], Vec::as_slice);
        let waiting: BTreeMap<_, _> = daemon
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(rank, queue)| (*rank, queue.len().div_ceil(zone_upstreams.len().max(1))))
            .collect();
        let mut demands = BTreeMap::new();
        for name in zone_upstreams {
            let mut tiers = daemon.slots.get(name).cloned().unwrap_or_default();
            tiers.retain(|_, slots| *slots > 0);
            for (rank, count) in &waiting {
                *tiers.entry(*rank).or_default() += u32::try_from(*count).unwrap_or(u32::MAX);
            }
            if tiers.is_empty() {
                continue;
            }
            let tiers = tiers
                .into_iter()
                .map(|(rank, slots)| TierDemand { rank, slots });
            let demand = LocalDemand {
                limit: self.limit,
                in_use: daemon.in_use(name),
                tiers: tiers.collect(),
                queued: !waiting.is_empty(),
            };
            demands.insert(name.clone(), demand);
        }
        demands
    }

    fn record_peak(&mut self) {
        for name in self.config.upstreams.keys() {
            let used: u32 = self.daemons.values().map(|d| d.in_use(name)).sum();
            let peak = self.peak_in_use.entry(name.clone()).or_default();
            *peak = used.max(*peak);
        }
    }

    /// Removes a daemon without a message; the members still list it as alive.
    pub fn crash(&mut self, host: &HostName) {
        self.daemons.remove(host);
    }

    pub fn set_member_state(&mut self, host: &HostName, state: MemberState) {
        self.members.members.get_mut(host).expect("a member").state = state;
    }

    pub fn tally(&self, host: &HostName, rank: u8) -> TierTally {
        let tallies = &self.daemons[host].tallies;
        tallies.get(&TierRank(rank)).copied().unwrap_or_default()
    }

    pub fn total(&self, rank: u8) -> TierTally {
        let tallies = self.daemons.keys().map(|host| self.tally(host, rank));
        tallies.fold(TierTally::default(), |sum, one| TierTally {
            arrived: sum.arrived + one.arrived,
            done: sum.done + one.done,
            shed: sum.shed + one.shed,
            shed_locally: sum.shed_locally + one.shed_locally,
            below_floor: sum.below_floor + one.below_floor,
            expired: sum.expired + one.expired,
        })
    }

    pub fn sent_bytes(&self) -> u64 {
        self.daemons.values().map(|daemon| daemon.sent_bytes).sum()
    }

    /// Returns the hosts that hold a grant for this upstream.
    pub fn grant_holders(&self, upstream: &str) -> BTreeSet<&HostName> {
        let daemons = self.daemons.iter();
        let held = daemons.filter(|(_, d)| d.credits.grants().contains_key(upstream));
        held.map(|(host, _)| host).collect()
    }
}

fn build_config(upstreams: usize, zones: usize) -> ConfigView {
    let mut texts =
        vec![r#"{"kind":"service","name":"notes","spec":{"protocol":"model"}}"#.to_owned()];
    for rank in 0..4 {
        texts.push(format!(
            r#"{{"kind":"tier","name":"t{rank}","spec":{{"rank":{rank}}}}}"#
        ));
    }
    for number in 0..upstreams {
        let zone = number % zones;
        texts.push(format!(
            r#"{{"kind":"upstream","name":"runner-{number:03}","spec":{{"address":"10.1.0.1:80",
               "service":"notes","version":"v1","zone":"z{zone}"}}}}"#
        ));
    }
    let mut config = ConfigView::default();
    for text in texts {
        let document = serde_json::from_str(&text).expect("a document");
        config.insert(document).expect("a name");
    }
    config
}
