//! What an arbiter and a holder make of single messages, and how seats are divided.

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
    let tiers = tiers.iter().map(|(rank, seats)| TierDemand {
        rank: TierRank(*rank),
        seats: *seats,
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

/// One daemon, which arbitrates if it is the only one of the zone.
struct Desk {
    credits: CreditState,
    now: CoreTime,
    config: ConfigView,
    members: MemberView,
    sent: Vec<SentMessage>,
    timers: BTreeMap<u64, MonotonicTime>,
}

impl Desk {
    fn new() -> Self {
        let mut config = ConfigView::default();
        let texts = [
            r#"{"kind":"service","name":"notes","spec":{"protocol":"model"}}"#,
            r#"{"kind":"upstream","name":"runner-0","spec":{"address":"10.1.0.1:80",
                "service":"notes","version":"v1","zone":"z0"}}"#,
        ];
        for text in texts {
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
        let mut desk = Self {
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
        desk.step(CreditEvent::Started);
        desk
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

    fn pass(&mut self, duration: Duration) {
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

    fn grant(&mut self, sequence: u64, seats: u32) {
        self.grant_with(sequence, seats, NO_FLOOR);
    }

    fn grant_with(&mut self, sequence: u64, seats: u32, floor: TierRank) {
        let grant = UpstreamGrant {
            upstream: upstream(),
            seats,
            floor,
            contended: true,
        };
        self.step(CreditEvent::Peer {
            from: host(1),
            message: CreditMessage::Grant {
                sequence,
                answers: 0,
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

/// Two grants overtake each other on the network. Were the older one believed, the daemon would
/// use seats that have been given to another.
#[test]
fn an_older_grant_does_not_undo_a_newer_one() {
    let mut desk = Desk::new();
    desk.grant(10, 2);
    desk.grant(9, 8);
    desk.grant(10, 8);
    assert_eq!(desk.credits.grants()[&upstream()].slots, 2);
    desk.grant(11, 3);
    assert_eq!(desk.credits.grants()[&upstream()].slots, 3);
    assert_eq!(desk.credits.counters().outdated, 2);
}

/// A grant lapses, since the arbiter or the way to it is gone. Seats that may have been given to
/// others since must not be used; a share that could be everybody's may.
#[test]
fn a_lapsed_grant_leaves_a_standing_share() {
    let mut desk = Desk::new();
    desk.grant(1, 8);
    desk.pass(Duration::from_millis(2_900));
    assert_eq!(desk.credits.grants()[&upstream()].slots, 8);
    let mut longer = Desk::new();
    longer.step(CreditEvent::Peer {
        from: host(1),
        message: CreditMessage::Survey {
            upstreams: vec![upstream()],
        },
    });
    longer.grant(1, 8);
    longer.pass(Duration::from_millis(3_100));
    assert_eq!(longer.credits.grants()[&upstream()].slots, 1);
}

/// A new arbiter hears of one daemon before it hears of the others. Were it to grant at once, the
/// first would get all seats while the others still use theirs.
#[test]
fn a_new_arbiter_listens_before_it_grants() {
    let mut desk = Desk::new();
    desk.demand(1, 1, demand(&[(0, 12)], 8, None));
    desk.pass(Duration::from_millis(90));
    assert!(!desk.has_granted());
    desk.pass(Duration::from_millis(120));
    assert!(desk.has_granted());
}

/// A daemon full of the highest tier is about to shed while three lower ones wait elsewhere. The
/// lowest goes first, and it alone if that is enough.
#[test]
fn the_floor_rises_one_tier_a_round() {
    let mut desk = Desk::new();
    desk.demand(1, 1, demand(&[(0, 20)], 4, Some(0)));
    desk.demand(2, 1, demand(&[(1, 2), (2, 2), (3, 2)], 4, None));
    desk.pass(Duration::from_secs(1));
    assert_eq!(desk.floors(), [2, 1, 0]);
}

/// The floor is up and a request of a tier below it is about to be refused. It must go at once:
/// asking again would hold it back for nothing, while its caller waits.
#[test]
fn what_is_below_the_floor_is_shed_without_asking() {
    let mut desk = Desk::new();
    desk.grant_with(1, 8, TierRank(1));
    assert_eq!(desk.advice(2), ShedAdvice::Shed);
    assert_eq!(desk.advice(1), ShedAdvice::Wait);
}

/// A daemon has shed all its low work because of the floor and reports that it wants nothing. It
/// must still be told of the floor, or it would take low work in again while others shed high.
#[test]
fn a_daemon_without_work_is_told_of_the_floor() {
    let mut desk = Desk::new();
    desk.demand(1, 1, demand(&[(0, 20)], 4, Some(0)));
    desk.demand(2, 1, demand(&[(3, 2)], 0, None));
    desk.pass(Duration::from_millis(300));
    desk.demand(2, 2, demand(&[], 0, None));
    desk.demand(1, 2, demand(&[(0, 20)], 4, Some(0)));
    desk.sent.clear();
    desk.pass(Duration::from_millis(300));
    assert!(desk.grants_to(2) > 0);
}

quickcheck! {
    /// Seats in use beyond a daemon's share come off the others' shares, so that the upstream
    /// never has to run both.
    fn shares_and_busy_seats_fit_the_capacity(wants: Vec<(u8, u8, u8)>, capacity: u8) -> bool {
        let demands = demands_of(&wants);
        let capacity = u32::from(capacity);
        let shares = allocate(&demands, capacity);
        let total: u32 = shares.values().sum();
        let busy: u32 = demands
            .iter()
            .map(|(host, demand)| demand.in_use.saturating_sub(shares[host]))
            .sum();
        total <= capacity && total + busy <= capacity.max(in_use(&demands))
    }

    /// A lower tier gets a seat only when every higher one has all that it asks for.
    fn higher_tiers_come_first(wants: Vec<(u8, u8, u8)>, capacity: u8) -> bool {
        let idle: Vec<_> = wants.iter().map(|(rank, seats, _)| (*rank, *seats, 0)).collect();
        let demands = demands_of(&idle);
        let shares = allocate(&demands, u32::from(capacity));
        let lacking = demands.iter().filter(|(host, d)| shares[*host] < wanted(d));
        let Some(highest_lacking) = lacking.map(|(_, d)| d.tiers[0].rank).min() else {
            return true;
        };
        let mut lower = demands.iter().filter(|(_, d)| d.tiers[0].rank > highest_lacking);
        lower.all(|(host, _)| shares[host] == 0)
    }
}

fn demands_of(wants: &[(u8, u8, u8)]) -> BTreeMap<HostName, UpstreamDemand> {
    let wants = wants.iter().enumerate().take(12);
    wants
        .map(|(number, (rank, seats, in_use))| {
            let seats = u32::from(*seats % 20);
            let in_use = u32::from(*in_use % 20).min(seats);
            (host(number), demand(&[(*rank % 4, seats)], in_use, None))
        })
        .collect()
}

fn wanted(demand: &UpstreamDemand) -> u32 {
    demand.tiers.iter().map(|tier| tier.seats).sum()
}

fn in_use(demands: &BTreeMap<HostName, UpstreamDemand>) -> u32 {
    demands.values().map(|demand| demand.in_use).sum()
}
