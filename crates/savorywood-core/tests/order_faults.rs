//! Failures of orders: two holders after one another, engines of both kinds, slow and lost orders.

use quickcheck::{QuickCheck, TestResult};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorywood_core::{
    ConfigView, DaemonEffect, EffectQueue, OrderCallId, OrderResponse, UpstreamOrder,
    leases::LeaseGrant,
    orders::{OrderEvent, OrderOptions, OrderView, OrdersState},
};
use savorywood_protocol::{
    CoreTime, FencingNumber, MonotonicTime, UpstreamName, VersionName, WallTime,
    resource::ResourceDocument,
};
use std::{collections::BTreeMap, time::Duration};

const SECOND: u64 = 1_000_000;
const ENGINES: usize = 6;

/// An engine with what it was told and when it is ready.
#[derive(Debug)]
struct FakeEngine {
    checks: bool,
    newest: u64,
    version: VersionName,
    ready_at: u64,
    /// Fencing numbers of the orders that it followed, in order.
    followed: Vec<u64>,
}

enum Pending {
    Arrive(usize, OrderCallId, UpstreamName, UpstreamOrder),
    Answer(usize, OrderCallId, OrderResponse),
}

/// Two holders, the second after the first, and the engines.
struct OrderLab {
    holders: [OrdersState; 2],
    configs: [ConfigView; 2],
    engines: BTreeMap<UpstreamName, FakeEngine>,
    agenda: BTreeMap<(u64, u64), Pending>,
    ticks: [Option<u64>; 2],
    /// The first holder acts until then, the second one from then on.
    handed_over_at: u64,
    slow_until: u64,
    most_loading: usize,
    least_ready: usize,
    breaches: usize,
    lost: u32,
    now: u64,
    serial: u64,
    rng: ChaCha8Rng,
}

fn version(number: usize) -> VersionName {
    format!("v{number}").parse().expect("a name")
}

fn config(wanted: usize) -> ConfigView {
    let mut view = ConfigView::default();
    for engine in 0..ENGINES {
        let text = format!(
            r#"{{"kind":"upstream","name":"engine-{engine}","spec":{{"address":"127.0.0.1:9",
            "service":"map","version":"v{wanted}","zone":"a","checks_fencing":{},
            "extensions":["orders"]}}}}"#,
            engine % 2 == 0
        );
        let document: ResourceDocument = serde_json::from_str(&text).expect("a resource");
        view.insert(document).expect("a name");
    }
    view
}

impl OrderLab {
    fn new(seed: u64, lost: u32) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let engines = (0..ENGINES).map(|engine| {
            let name: UpstreamName = format!("engine-{engine}").parse().expect("a name");
            let fake = FakeEngine {
                checks: engine % 2 == 0,
                newest: 0,
                version: version(0),
                ready_at: 0,
                followed: Vec::new(),
            };
            (name, fake)
        });
        let engines = engines.collect();
        let options = OrderOptions::default();
        Self {
            holders: [OrdersState::new(options.clone()), OrdersState::new(options)],
            configs: [config(1), config(2)],
            engines,
            agenda: BTreeMap::new(),
            ticks: [Some(1), Some(1)],
            handed_over_at: rng.random_range(1..60) * SECOND,
            slow_until: 100 * SECOND,
            most_loading: 0,
            least_ready: ENGINES,
            breaches: 0,
            lost,
            now: 0,
            serial: 0,
            rng,
        }
    }

    fn lease(&self, holder: usize) -> Option<LeaseGrant> {
        let (acquired_at, valid_until) = match holder {
            0 => (0, self.handed_over_at),
            _ => (self.handed_over_at, u64::MAX),
        };
        let held = (acquired_at..valid_until).contains(&self.now);
        held.then_some(LeaseGrant {
            fencing: FencingNumber(holder as u64 + 1),
            acquired_at: MonotonicTime(acquired_at),
            valid_until: MonotonicTime(valid_until),
        })
    }

    fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.now += SECOND / 10;
            let later = self.agenda.split_off(&(self.now, 0));
            let due = std::mem::replace(&mut self.agenda, later);
            for pending in due.into_values() {
                match pending {
                    Pending::Arrive(holder, call, name, order) => {
                        self.arrive(holder, call, &name, &order);
                    }
                    Pending::Answer(holder, call, response) => {
                        self.step(holder, OrderEvent::Completed { call, response });
                    }
                }
            }
            for holder in 0..2 {
                if self.ticks[holder].is_some_and(|at| at <= self.now) {
                    self.ticks[holder] = None;
                    self.step(holder, OrderEvent::TimerFired);
                }
                if self.ticks[holder].is_none() && self.lease(holder).is_some() {
                    self.step(holder, OrderEvent::ViewChanged);
                }
            }
            let loading = self.engines.values().filter(|e| e.ready_at > self.now);
            let loading = loading.count();
            self.most_loading = self.most_loading.max(loading);
            self.least_ready = self.least_ready.min(ENGINES - loading);
        }
    }

    fn step(&mut self, holder: usize, event: OrderEvent) {
        let now = CoreTime {
            monotonic: MonotonicTime(self.now),
            wall: WallTime(0),
        };
        let mut effects = EffectQueue::new();
        let view = OrderView {
            config: &self.configs[holder],
            lease: self.lease(holder),
        };
        self.holders[holder].step(now, event, view, &mut effects);
        for effect in effects.drain() {
            match effect {
                DaemonEffect::SendOrder {
                    call,
                    upstream,
                    order,
                    ..
                } => {
                    let slow = self.now < self.slow_until && self.rng.random_range(0..3) == 0;
                    let most = if slow { 29 * SECOND } else { SECOND / 10 };
                    let delay = self.rng.random_range(1..most);
                    self.serial += 1;
                    let pending = Pending::Arrive(holder, call, upstream, order);
                    self.agenda.insert((self.now + delay, self.serial), pending);
                }
                DaemonEffect::SetTimer { at, .. } => self.ticks[holder] = Some(at.0),
                DaemonEffect::InvariantViolated(_) => self.breaches += 1,
                _ => {}
            }
        }
    }

    fn arrive(
        &mut self,
        holder: usize,
        call: OrderCallId,
        name: &UpstreamName,
        order: &UpstreamOrder,
    ) {
        let now = self.now;
        let engine = self.engines.get_mut(name).expect("a known engine");
        let old = engine.checks && order.fencing.0 < engine.newest;
        let answer = if old {
            OrderResponse::Fenced {
                newest: FencingNumber(engine.newest),
            }
        } else {
            if let Some(wanted) = &order.version {
                engine.newest = engine.newest.max(order.fencing.0);
                engine.followed.push(order.fencing.0);
                if engine.version != *wanted {
                    engine.version = wanted.clone();
                    engine.ready_at = now + 12 * SECOND;
                }
            }
            OrderResponse::Running {
                version: engine.version.clone(),
                ready: engine.ready_at <= now,
                fencing: engine.checks.then_some(FencingNumber(engine.newest)),
            }
        };
        let lost = self.rng.random_range(0..100) < self.lost;
        let answer = if lost { OrderResponse::Lost } else { answer };
        self.serial += 1;
        let pending = Pending::Answer(holder, call, answer);
        self.agenda
            .insert((now + SECOND / 10, self.serial), pending);
    }
}

/// A holder is replaced while its orders are still on their way, and the new one wants another
/// version. Some engines refuse an order with an old fencing number, others take whatever comes.
/// Answers are lost. Were an old order to be followed after a new one, an engine would serve the
/// wrong version, and callers would get its answers. All must end with what the new one wants.
fn old_orders_come_late(seed: u64) -> TestResult {
    let mut lab = OrderLab::new(seed, 20);
    lab.run_until(1_500 * SECOND);
    for (name, engine) in &lab.engines {
        let in_order = engine.followed.is_sorted();
        if !in_order || engine.version != version(2) {
            return TestResult::error(format!("{name}: {engine:?}"));
        }
    }
    TestResult::from_bool(lab.breaches == 0)
}

#[test]
fn old_orders_never_follow_new_ones() {
    QuickCheck::new()
        .tests(100)
        .quickcheck(old_orders_come_late as fn(u64) -> TestResult);
}

/// A new version is wanted on all engines at once. They share the weight store's rate and serve
/// nothing while they load: were all to load together, the service would have no engine for long.
#[test]
fn engines_load_a_few_at_a_time() {
    let mut lab = OrderLab::new(1, 0);
    lab.slow_until = 0;
    lab.run_until(600 * SECOND);
    assert!(
        lab.engines
            .values()
            .all(|engine| engine.version == version(2))
    );
    assert!(lab.most_loading <= 2, "{} at once", lab.most_loading);
    assert!(lab.least_ready >= ENGINES - 2);
}

/// The holder goes on after a pause in the middle of a step, with a lease that is over. It must
/// not send what it had decided, nor may the shell: the order says by when.
#[test]
fn an_order_says_by_when_it_must_be_sent() {
    let mut holder = OrdersState::new(OrderOptions::default().max_order_duration(Duration::ZERO));
    let config = config(1);
    let lease = LeaseGrant {
        fencing: FencingNumber(7),
        acquired_at: MonotonicTime(0),
        valid_until: MonotonicTime(5 * SECOND),
    };
    let mut effects = EffectQueue::new();
    let view = OrderView {
        config: &config,
        lease: Some(lease),
    };
    holder.step(
        CoreTime::default(),
        OrderEvent::ViewChanged,
        view,
        &mut effects,
    );
    let orders = effects.drain().filter_map(|effect| match effect {
        DaemonEffect::SendOrder { order, .. } => Some(order),
        _ => None,
    });
    let orders: Vec<_> = orders.collect();
    assert_eq!(orders.len(), ENGINES);
    assert!(orders.iter().all(|order| order.act_by == lease.valid_until));
}
