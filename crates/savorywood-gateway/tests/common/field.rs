//! Many daemons in several zones and the words on their way between them.
#![allow(dead_code, reason = "each test file uses a part of the field")]

use crate::scene::{GatewayScene, arrival, config, options, upstream};
use savorywood_gateway::{
    GatewayEvent, GatewayOptions, LimitTolerance, PeerContact, TeamLimit, ZoneLabel,
};
use savorywood_protocol::MonotonicTime;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

pub const ZONES: usize = 4;
pub const DAEMONS: usize = 48;
pub const WINDOW: Duration = Duration::from_secs(8);
pub const STEP: Duration = Duration::from_millis(10);
/// Rounds of words after which all daemons know each other and who tells of which zone.
pub const WARM_UP_ROUNDS: usize = 5;
pub const UNITS: f64 = 1_100.0;
/// Steps between two requests of the pressing team at one daemon: three times what it may.
pub const HOT_STEPS: u64 = 4;

pub fn peer_address(number: usize) -> SocketAddr {
    let text = format!("10.0.{}.{}:7600", number / 200, number % 200 + 1);
    text.parse().expect("an address")
}

pub fn zone(number: usize) -> ZoneLabel {
    ZoneLabel::from(format!("zone-{}", number % ZONES).as_str())
}

/// A limit that grows with the number of daemons, as in deployments of different sizes.
pub fn limit(daemons: usize) -> TeamLimit {
    TeamLimit {
        per_second: 9_000.0 * daemons as f64,
        burst: 9_000.0 * daemons as f64,
        in_tokens: true,
        plain_tokens: 200,
    }
}

pub fn allowed(limit: TeamLimit) -> f64 {
    (limit.per_second * WINDOW.as_secs_f64() + limit.burst) * 1.1 + 190_000.0
}

pub fn daemon_options(number: usize, incarnation: u64) -> GatewayOptions {
    let mut options = options(&format!("host-{number:03}"));
    options.zone = zone(number);
    options.peer_address = peer_address(number);
    options.incarnation = incarnation;
    options.first_start = incarnation == 1;
    options.bounds.tolerance = LimitTolerance {
        window: WINDOW,
        overage: 0.1,
        slack: 190_000.0,
    };
    options
}

/// Daemons and the words on their way between them.
pub struct DaemonField {
    pub now: MonotonicTime,
    pub daemons: Vec<GatewayScene>,
    pub addresses: BTreeMap<SocketAddr, usize>,
    pub limit: TeamLimit,
    pub cut_off: BTreeSet<usize>,
    pub admitted: Vec<MonotonicTime>,
    /// Those of daemons that joined later.
    pub admitted_by_joined: usize,
}

/// Words of one round.
#[derive(Debug, Default)]
pub struct RoundCount {
    pub sent: Vec<usize>,
    pub digests_heard: BTreeMap<usize, BTreeMap<usize, usize>>,
}

impl DaemonField {
    pub fn new(count: usize) -> Self {
        let mut field = Self {
            now: MonotonicTime(1_000_000),
            daemons: Vec::new(),
            addresses: BTreeMap::new(),
            limit: limit(count),
            cut_off: BTreeSet::new(),
            admitted: Vec::new(),
            admitted_by_joined: 0,
        };
        for _ in 0..count {
            field.add(1);
        }
        field.read_contacts();
        for _ in 0..WARM_UP_ROUNDS {
            field.pass(Duration::from_millis(250));
        }
        field
    }

    pub fn begin(&self, number: usize, incarnation: u64) -> GatewayScene {
        let mut scene = GatewayScene::empty(daemon_options(number, incarnation));
        scene.now = self.now;
        scene.step(GatewayEvent::ConfigRead(Arc::new(config(
            1,
            Some(self.limit),
        ))));
        let entries = (1..=8).map(|number| upstream(number, 1_000)).collect();
        scene.step(GatewayEvent::UpstreamsRead(entries));
        scene.confirm();
        scene
    }

    pub fn add(&mut self, incarnation: u64) {
        let number = self.daemons.len();
        self.addresses.insert(peer_address(number), number);
        let scene = self.begin(number, incarnation);
        self.daemons.push(scene);
    }

    /// Every daemon reads where the others are.
    pub fn read_contacts(&mut self) {
        let contacts: Vec<PeerContact> = (0..self.daemons.len())
            .map(|number| PeerContact {
                address: peer_address(number),
                zone: Some(zone(number)),
            })
            .collect();
        for daemon in &mut self.daemons {
            daemon.now = self.now;
            daemon.step(GatewayEvent::ContactsRead(contacts.clone()));
        }
    }

    pub fn pass(&mut self, time: Duration) -> RoundCount {
        self.now = self.now + time;
        for daemon in &mut self.daemons {
            daemon.now = self.now;
            daemon.confirm();
        }
        self.talk()
    }

    /// All tell each other once; those that are cut off neither tell nor hear.
    pub fn talk(&mut self) -> RoundCount {
        let mut count = RoundCount::default();
        let mut words: Vec<(usize, usize, GatewayEvent)> = Vec::new();
        for (number, daemon) in self.daemons.iter_mut().enumerate() {
            let plan = daemon.gateway.plan_talk(self.now);
            count
                .sent
                .push(plan.summary_to.len() + plan.digest_to.len());
            let summary = daemon.gateway.summary(self.now);
            let heard = |address| self.addresses.get(address).copied();
            for hearer in plan.summary_to.iter().filter_map(heard) {
                let event = GatewayEvent::PeerHeard(Box::new(summary.clone()));
                words.push((number, hearer, event));
            }
            if plan.digest_to.is_empty() {
                continue;
            }
            let digest = daemon.gateway.digest(self.now);
            for hearer in plan.digest_to.iter().filter_map(heard) {
                let event = GatewayEvent::ZoneHeard(Box::new(digest.clone()));
                words.push((number, hearer, event));
            }
        }
        for (teller, hearer, event) in words {
            if self.cut_off.contains(&teller) || self.cut_off.contains(&hearer) {
                continue;
            }
            if matches!(event, GatewayEvent::ZoneHeard(_)) {
                let zones = count.digests_heard.entry(hearer).or_default();
                *zones.entry(teller % ZONES).or_default() += 1;
            }
            self.daemons[hearer].step(event);
        }
        count
    }

    /// A team sends several times what it may to all daemons for some time.
    pub fn press(&mut self, time: Duration) {
        let steps = time.as_millis() / STEP.as_millis();
        for step in 0..u64::try_from(steps).expect("few steps") {
            self.now = self.now + STEP;
            for number in 0..self.daemons.len() {
                if (step + number as u64).is_multiple_of(HOT_STEPS) {
                    self.ask(number);
                }
            }
            if step % 25 == 24 {
                self.talk();
            }
        }
    }

    pub fn ask(&mut self, number: usize) {
        let daemon = &mut self.daemons[number];
        daemon.now = self.now;
        daemon.confirm();
        let request = daemon.arrive(arrival("/safe/1"));
        if daemon.refusal(request).is_none() {
            self.admitted.push(self.now);
            self.admitted_by_joined += usize::from(number >= DAEMONS);
            daemon.deliver(request);
        }
        daemon.effects.clear();
    }

    pub fn most_in_a_window(&self) -> f64 {
        let counts = self.admitted.iter().enumerate().map(|(index, from)| {
            let later = self.admitted[index..].iter();
            later.take_while(|at| at.since(*from) < WINDOW).count()
        });
        counts.max().unwrap_or_default() as f64 * UNITS
    }

    pub fn assert_limit_kept(&self) {
        let most = self.most_in_a_window();
        let allowed = allowed(self.limit);
        assert!(most <= allowed, "{most} of {allowed}");
    }
}
