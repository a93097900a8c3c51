//! Checks how credit arbiters and credit holders handle single messages, and how slots are
//! allocated.

use quickcheck::quickcheck;
use savorywood_core::{
    ConfigView, DaemonEffect, EffectQueue, MemberRecord, MemberView,
    credits::{
        CreditEvent, CreditOptions, CreditState, CreditView, LocalDemand, ShedAdvice,
        allocate::allocate,
    },
};
use savorywood_protocol::{
    ConfigRevision, CoreTime, HostIncarnation, HostName, MonotonicTime, TierRank, UpstreamName,
    WallTime,
    peer::{
        CreditMessage, PeerMessage,
        credits::{NO_FLOOR, TierDemand, UpstreamDemand, UpstreamGrant},
        membership::MemberState,
    },
};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

fn upstream() -> UpstreamName {
    "runner-0".parse().expect("a name")
}

fn demand(tiers: &[(u8, u32)], in_use: u32, shedding: Option<u8>) -> UpstreamDemand {
    let tiers = tiers.iter().map(|(rank, slots)| TierDemand {
        rank: TierRank(*rank),
        slots: *slots,
    });
    UpstreamDemand {
        upstream: upstream(),
        limit: 8,
        in_use,
        tiers: tiers.collect(),
        shedding: shedding.map(TierRank),
    }
}

struct SentMessage {
    to: HostName,
    message: CreditMessage,
}

/// The credit state of one daemon, which is the arbiter if it is the only daemon of its zone.
struct TestDaemon {
    credits: CreditState,
    now: CoreTime,
    config: ConfigView,
    members: MemberView,
    sent: Vec<SentMessage>,
    timers: BTreeMap<u64, MonotonicTime>,
}

impl TestDaemon {
    fn new() -> Self {
        let mut config = ConfigView::default();
        let documents = [
            r#"{"kind":"service","name":"notes","spec":{"protocol":"model"}}"#,
            r#"{"kind":"upstream","name":"runner-0","spec":{"address":"10.1.0.1:80",
                "service":"notes","version":"v1","zone":"z0"}}"#,
        ];
        for text in documents {
            let document = serde_json::from_str(text).expect("a document");
            config.insert(document).expect("a name");
        }
        let mut members = MemberView::default();
        for (number, zone) in [(0, "z0"), (1, "z1"), (2, "z1")] {
            let record = MemberRecord {
                incarnation: HostIncarnation(1),
                state: MemberState::Alive,
                peer_address: SocketAddr::from(([10, 0, 0, number], 7000)),
                caller_address: SocketAddr::from(([10, 0, 0, number], 8080)),
                zone: zone.parse().expect("a name"),
                region: "a".parse().expect("a name"),
                config_revision: ConfigRevision(1),
            };
            let host = host(number.into());
            members.members.insert(host, record);
        }
        let mut daemon = Self {
            credits: CreditState::new(CreditOptions::new(host(0))),
            now: CoreTime {
                monotonic: MonotonicTime(1_000_000),
                wall: WallTime(1_000),
            },
            config,
            members,
            sent: Vec::new(),
            timers: BTreeMap::new(),
        };
        daemon.step(CreditEvent::Started);
        daemon
    }

    fn step(&mut self, event: CreditEvent) {
        let demands = BTreeMap::new();
        let view = CreditView {
            config: &self.config,
            members: &self.members,
            demands: &demands,
        };
        let mut effects = EffectQueue::new();
        self.credits.step(self.now, event, view, &mut effects);
        for effect in effects.drain() {
            match effect {
                DaemonEffect::SendPeer {
                    to,
                    message: PeerMessage::Credits(message),
                    ..
                } => self.sent.push(SentMessage { to, message }),
                DaemonEffect::SetTimer { key, at } => {
                    self.timers.insert(key.number, at);
                }
                _ => {}
            }
        }
    }

    fn advance(&mut self, duration: Duration) {
        let end = self.now.monotonic + duration;
        while let Some((number, at)) = self.next_timer().filter(|(_, at)| *at <= end) {
            self.timers.remove(&number);
            self.now.monotonic = self.now.monotonic.max(at);
            self.step(CreditEvent::TimerFired { number });
        }
        self.now.monotonic = end;
    }

    fn next_timer(&self) -> Option<(u64, MonotonicTime)> {
        let timers = self.timers.iter().map(|(number, at)| (*number, *at));
        timers.min_by_key(|(_, at)| *at)
    }

    fn demand(&mut self, from: u8, sequence: u64, demand: UpstreamDemand) {
        self.step(CreditEvent::Peer {
            from: host(from.into()),
            message: CreditMessage::Demand {
                sequence,
                upstreams: vec![demand],
            },
        });
    }

    fn grant(&mut self, sequence: u64, slots: u32) {
        self.grant_with(sequence, slots, NO_FLOOR);
    }

    fn grant_with(&mut self, sequence: u64, slots: u32, floor: TierRank) {
        let grant = UpstreamGrant {
            upstream: upstream(),
            slots,
            floor,
            contended: true,
        };
        self.step(CreditEvent::Peer {
            from: host(1),
            message: CreditMessage::Grant {
                sequence,
                demand_sequence: 0,
                term_ms: 3_000,
                grants: vec![grant],
            },
        });
    }

    fn advice(&mut self, rank: u8) -> ShedAdvice {
        let tiers = [(0, "t0"), (3, "t3")];
        for (rank, name) in tiers {
            let text = format!(r#"{{"kind":"tier","name":"{name}","spec":{{"rank":{rank}}}}}"#);
            let document = serde_json::from_str(&text).expect("a document");
            self.config.insert(document).expect("a name");
        }
        let demands = BTreeMap::from([(upstream(), LocalDemand::default())]);
        let view = CreditView {
            config: &self.config,
            members: &self.members,
            demands: &demands,
        };
        let service = "notes".parse().expect("a name");
        let mut effects = EffectQueue::new();
        let now = self.now.monotonic;
        self.credits
            .shed_advice(now, &service, TierRank(rank), view, &mut effects)
    }

    fn floors(&self) -> Vec<u8> {
        let mut floors = Vec::new();
        for sent in &self.sent {
            if let CreditMessage::Grant { grants, .. } = &sent.message {
                floors.extend(grants.iter().map(|grant| grant.floor.0));
            }
        }
        floors.dedup();
        floors
    }

    fn has_granted(&self) -> bool {
        (1..=2).any(|number| self.grants_to(number) > 0)
    }

    fn grants_to(&self, number: usize) -> usize {
        let to = host(number);
        let sent = self.sent.iter().filter(|sent| sent.to == to);
        sent.filter(|sent| matches!(sent.message, CreditMessage::Grant { .. }))
            .count()
    }
}

fn host(number: usize) -> HostName {
    HostName::new(&format!("entry-{number}")).expect("a name")
}

/// Grants can be reordered on the network. Applying an older one would make the daemon use slots
/// that have since been granted to another.
#[test]
fn an_older_grant_does_not_undo_a_newer_one() {
    let mut daemon = TestDaemon::new();
    daemon.grant(10, 2);
    daemon.grant(9, 8);
    daemon.grant(10, 8);
    assert_eq!(daemon.credits.grants()[&upstream()].slots, 2);
    daemon.grant(11, 3);
    assert_eq!(daemon.credits.grants()[&upstream()].slots, 3);
    assert_eq!(daemon.credits.counters().stale_messages, 2);
}

/// A grant expires because the arbiter or the path to it fails. Its slots may have been granted to
/// others since, so the daemon may use only the standing share that every daemon can have at once.
#[test]
fn an_expired_grant_leaves_a_standing_share() {
    let mut daemon = TestDaemon::new();
    daemon.grant(1, 8);
    daemon.advance(Duration::from_millis(2_900));
    assert_eq!(daemon.credits.grants()[&upstream()].slots, 8);
    let mut surveyed = TestDaemon::new();
    surveyed.step(CreditEvent::Peer {
        from: host(1),
        message: CreditMessage::Survey {
            upstreams: vec![upstream()],
        },
    });
    surveyed.grant(1, 8);
    surveyed.advance(Duration::from_millis(3_100));
    assert_eq!(surveyed.credits.grants()[&upstream()].slots, 1);
}

/// A new arbiter receives the demand of one daemon before that of the others. Granting at once
/// would give the first daemon all slots while the others still use theirs.
#[test]
fn a_new_arbiter_collects_demand_before_it_grants() {
    let mut daemon = TestDaemon::new();
    daemon.demand(1, 1, demand(&[(0, 12)], 8, None));
    daemon.advance(Duration::from_millis(90));
    assert!(!daemon.has_granted());
    daemon.advance(Duration::from_millis(120));
    assert!(daemon.has_granted());
}

/// A daemon with requests of the highest tier only is about to shed while three lower tiers wait
/// elsewhere. The lowest tier is shed first, and no other if that is enough.
#[test]
fn the_floor_rises_one_tier_a_round() {
    let mut daemon = TestDaemon::new();
    daemon.demand(1, 1, demand(&[(0, 20)], 4, Some(0)));
    daemon.demand(2, 1, demand(&[(1, 2), (2, 2), (3, 2)], 4, None));
    daemon.advance(Duration::from_secs(1));
    assert_eq!(daemon.floors(), [2, 1, 0]);
}

/// A request of a tier below the floor is refused at once. Asking the arbiter again would only
/// delay the refusal.
#[test]
fn requests_below_the_floor_are_shed_without_asking() {
    let mut daemon = TestDaemon::new();
    daemon.grant_with(1, 8, TierRank(1));
    assert_eq!(daemon.advice(2), ShedAdvice::Shed);
    assert_eq!(daemon.advice(1), ShedAdvice::Wait);
}

/// A daemon that shed all its low-tier requests because of the floor reports no demand. It must
/// still receive the floor, or it would admit low tiers again while others shed higher ones.
#[test]
fn an_idle_daemon_still_receives_the_floor() {
    let mut daemon = TestDaemon::new();
    daemon.demand(1, 1, demand(&[(0, 20)], 4, Some(0)));
    daemon.demand(2, 1, demand(&[(3, 2)], 0, None));
    daemon.advance(Duration::from_millis(300));
    daemon.demand(2, 2, demand(&[], 0, None));
    daemon.demand(1, 2, demand(&[(0, 20)], 4, Some(0)));
    daemon.sent.clear();
    daemon.advance(Duration::from_millis(300));
    assert!(daemon.grants_to(2) > 0);
}

quickcheck! {
    /// Slots in use beyond a daemon's share are subtracted from the shares of the others, so that
    /// the upstream never runs both.
    fn shares_and_slots_in_use_fit_the_capacity(requests: Vec<(u8, u8, u8)>, capacity: u8) -> bool {
        let demands = demands_by_host(&requests);
        let capacity = u32::from(capacity);
        let shares = allocate(&demands, capacity);
        let total: u32 = shares.values().sum();
        let excess_in_use: u32 = demands
            .iter()
            .map(|(host, demand)| demand.in_use.saturating_sub(shares[host]))
            .sum();
        total <= capacity && total + excess_in_use <= capacity.max(in_use(&demands))
    }

    /// A lower tier gets a slot only when every higher tier has all slots that it asks for.
    fn higher_tiers_come_first(requests: Vec<(u8, u8, u8)>, capacity: u8) -> bool {
        let without_use: Vec<_> = requests.iter().map(|(rank, seats, _)| (*rank, *seats, 0)).collect();
        let demands = demands_by_host(&without_use);
        let shares = allocate(&demands, u32::from(capacity));
        let unsatisfied = demands.iter().filter(|(host, d)| shares[*host] < requested_slots(d));
        let Some(highest_unsatisfied) = unsatisfied.map(|(_, d)| d.tiers[0].rank).min() else {
            return true;
        };
        let mut lower_tiers = demands.iter().filter(|(_, d)| d.tiers[0].rank > highest_unsatisfied);
        lower_tiers.all(|(host, _)| shares[host] == 0)
    }
}

fn demands_by_host(requests: &[(u8, u8, u8)]) -> BTreeMap<HostName, UpstreamDemand> {
    let requests = requests.iter().enumerate().take(12);
    requests
        .map(|(number, (rank, seats, in_use))| {
            let seats = u32::from(*seats % 20);
            let in_use = u32::from(*in_use % 20).min(seats);
            (host(number), demand(&[(*rank % 4, seats)], in_use, None))
        })
        .collect()
}

fn requested_slots(demand: &UpstreamDemand) -> u32 {
    demand.tiers.iter().map(|tier| tier.slots).sum()
}

fn in_use(demands: &BTreeMap<HostName, UpstreamDemand>) -> u32 {
    demands.values().map(|demand| demand.in_use).sum()
}
