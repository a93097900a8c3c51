//! One run: callers, daemons and engines in one thread, in the order of simulated time.

mod callers;
mod engines;
mod ticks;

use crate::{
    agenda::{EventAgenda, WorldEvent, micros},
    arbiter::SeatArbiters,
    central::CentralQueue,
    daemon_host::DaemonHost,
    deployment::DeploymentShape,
    direct::DirectRouter,
    engine::FakeEngine,
    names::NameBook,
    policy::PolicyKind,
    scenario::RunScenario,
    tally::{RunTally, TeamTally},
    task::{TaskRecord, TaskState},
    workload::generate,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use savorywood_core::scheduler::SchedulerEvent;
use savorywood_protocol::NameError;
use std::rc::Rc;

/// Seconds at the beginning whose requests are not counted: nothing has been learned yet.
const WARM_UP: f64 = 20.0;
/// Seconds at the end whose requests are not counted: load falls behind them.
const COOL_DOWN: f64 = 100.0;
/// Seconds of a message between a daemon and an engine.
const NETWORK_TIME: f64 = 0.001;

/// What decides where requests go.
#[derive(Debug)]
enum RunControl {
    /// A scheduler at each daemon.
    Schedulers(Vec<DaemonHost>),
    /// A baseline that places at once.
    Direct(DirectRouter),
    /// The all-knowing queue.
    Central(CentralQueue),
}

/// State of a run.
#[derive(Debug)]
pub struct RunWorld {
    shape: DeploymentShape,
    scenario: RunScenario,
    names: NameBook,
    agenda: EventAgenda,
    control: RunControl,
    arbiters: SeatArbiters,
    engines: Vec<FakeEngine>,
    tasks: Vec<TaskRecord>,
    waiting: Vec<[u32; crate::tally::TIERS]>,
    cache_sequences: Vec<u64>,
    open: usize,
    rng: ChaCha8Rng,
    tally: RunTally,
}

impl RunWorld {
    /// A run that has not begun.
    ///
    /// # Errors
    ///
    /// When a name of the deployment is not one.
    pub fn new(
        shape: &DeploymentShape,
        scenario: RunScenario,
        policy: PolicyKind,
    ) -> Result<Self, NameError> {
        let names = NameBook::new(shape)?;
        let config = Rc::new(names.config(shape)?);
        let host = |daemon: usize| {
            let options = policy.scheduler_options(scenario.seed + daemon as u64)?;
            let zone = names.zones[daemon % shape.zones].clone();
            Some(DaemonHost::new(options, Rc::clone(&config), zone))
        };
        let hosts: Vec<DaemonHost> = (0..shape.daemons).filter_map(host).collect();
        let control = if !hosts.is_empty() {
            RunControl::Schedulers(hosts)
        } else if policy == PolicyKind::Central {
            RunControl::Central(CentralQueue::default())
        } else {
            let engines = shape.engines.len();
            RunControl::Direct(DirectRouter::new(policy, shape.daemons, engines))
        };
        let engines = shape.engines.iter().map(|spec| FakeEngine::new(*spec));
        let engines: Vec<FakeEngine> = engines.collect();
        let mut world = Self {
            shape: shape.clone(),
            scenario,
            names,
            agenda: EventAgenda::default(),
            control,
            arbiters: SeatArbiters::default(),
            cache_sequences: vec![0; engines.len()],
            engines,
            tasks: Vec::new(),
            waiting: vec![[0; crate::tally::TIERS]; shape.daemons],
            open: 0,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed ^ 0x5eed),
            tally: RunTally::default(),
        };
        world.load_tasks();
        Ok(world)
    }

    fn load_tasks(&mut self) {
        let scenario = self.scenario;
        let tasks = generate(&self.shape, scenario.load, scenario.time, scenario.seed);
        self.open = tasks.len();
        self.tally.teams = vec![TeamTally::default(); self.shape.teams.len()];
        for (index, task) in tasks.into_iter().enumerate() {
            let rank = usize::from(self.shape.routes[task.route].rank);
            let counted = (WARM_UP..scenario.time - COOL_DOWN).contains(&task.at);
            let daemon = self.steer(&task, index);
            self.tally.tiers[rank].tasks += u64::from(counted);
            self.tally.teams[task.team].tasks += u64::from(counted);
            self.tasks.push(TaskRecord {
                task,
                rank,
                daemon,
                entry: 0,
                arrived_at: 0.0,
                deadline_at: 0.0,
                sent_at: 0.0,
                first_at: None,
                state: TaskState::Away,
                counted,
            });
            self.agenda.add(task.at, WorldEvent::Arrive { task: index });
        }
        for event in [
            WorldEvent::MeasureLoad,
            WorldEvent::PublishCache,
            WorldEvent::Arbitrate,
            WorldEvent::WatchStreams,
        ] {
            self.agenda.add(0.0, event);
        }
    }

    /// Runs until every request has ended.
    #[must_use]
    pub fn run(mut self) -> RunTally {
        while self.open > 0 {
            let Some(next) = self.agenda.take() else {
                break;
            };
            self.handle(next.at, next.event);
        }
        if let RunControl::Schedulers(hosts) = &self.control {
            self.tally.decision_time = hosts.iter().map(|host| host.spent).sum();
        }
        self.tally
    }

    fn handle(&mut self, now: f64, event: WorldEvent) {
        match event {
            WorldEvent::Arrive { task } => self.arrive(now, task),
            WorldEvent::Reach { engine, key } => self.reach(now, engine, key),
            WorldEvent::StepEnd { engine } => self.step_end(now, engine),
            WorldEvent::Timer { daemon, number } => {
                self.tell(now, daemon, SchedulerEvent::TimerFired { number });
            }
            WorldEvent::Heard { daemon, event } => {
                self.tell(now, daemon, SchedulerEvent::Upstream(event));
            }
            WorldEvent::Deadline { task, entry } => self.deadline(now, task, entry),
            WorldEvent::MeasureLoad => self.measure_load(now),
            WorldEvent::PublishCache => self.publish_cache(now),
            WorldEvent::Arbitrate => self.arbitrate(now),
            WorldEvent::WatchStreams => self.watch_streams(now),
        }
    }

    /// Hands an event to a daemon's scheduler and does what it wants.
    fn tell(&mut self, now: f64, daemon: usize, event: SchedulerEvent) {
        let RunControl::Schedulers(hosts) = &mut self.control else {
            return;
        };
        let effects = hosts[daemon].step(micros(now), event);
        for effect in effects {
            self.execute(now, daemon, effect);
        }
    }
}
