//! One scheduler driven at a steady pace while a clock is read around each step.

use crate::{
    daemon_host::DaemonHost,
    deployment::{DeploymentShape, TeamShape},
    engine::EngineSpec,
    names::NameBook,
    task::request_id,
    workload::TaskShape,
};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorywood_core::{
    DaemonEffect, DispatchCommand, PromptShape, QueuedRequest, ResponseReport, UpstreamEvent,
    scheduler::{SchedulerEvent, SchedulerOptions},
};
use savorywood_protocol::{MonotonicTime, NameError, TeamName, TierRank};
use std::{
    collections::VecDeque,
    fs,
    rc::Rc,
    time::{Duration, Instant},
};

/// Requests sent before anything is measured: teams and prefixes are known by then.
const WARM_UP: usize = 60_000;
/// Requests measured.
const MEASURED: usize = 40_000;
/// Microseconds between two arrivals.
const STEP_MICROS: u64 = 500;
/// Requests after which the view is looked at again, as a grant would cause.
const LOOK_EVERY: usize = 100;
/// Groups of prompts with a shared prefix.
const GROUPS: u32 = 400;
/// Bytes of a page of memory.
const PAGE_BYTES: usize = 4_096;

/// One row of the table.
#[derive(Debug, Clone, Copy)]
pub struct SlopeCase {
    /// Upstreams of the service.
    pub upstreams: usize,
    /// Teams that send.
    pub teams: usize,
    /// Whether the queue is full all the time.
    pub saturated: bool,
}

/// Times of one kind of step, in microseconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct StepTimes {
    /// Mean.
    pub mean: f64,
    /// 99 in 100 are shorter.
    pub high: f64,
}

/// What a row shows.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlopeFigures {
    /// A request arrives and is dispatched, queued or refused.
    pub arrival: StepTimes,
    /// An answer ends and the seat is given on.
    pub answer: StepTimes,
    /// The view changed and all that waits is looked at.
    pub look: StepTimes,
    /// Growth of the process's memory since before the scheduler was made.
    pub state_bytes: usize,
}

/// A scheduler that is driven.
#[derive(Debug)]
pub struct SlopeDrive {
    case: SlopeCase,
    host: DaemonHost,
    names: NameBook,
    teams: Vec<TeamName>,
    running: VecDeque<DispatchCommand>,
    rng: ChaCha8Rng,
    micros: u64,
    sent: usize,
}

impl SlopeCase {
    /// A case to warm up with.
    pub const SMALLEST: Self = Self {
        upstreams: 1,
        teams: 1,
        saturated: false,
    };

    /// A scheduler of this size that has not begun.
    ///
    /// # Errors
    ///
    /// When a generated name is not one.
    pub fn drive(self) -> Result<SlopeDrive, NameError> {
        let generations = (0..self.upstreams).map(|index| (index % 5 + 1, index % 8));
        let engines = generations
            .map(|(generation, zone)| EngineSpec::of_generation(generation as u8, zone))
            .collect();
        let shape = DeploymentShape {
            daemons: 1,
            zones: 8,
            engines,
            routes: Vec::new(),
            teams: vec![TeamShape {
                name: "any",
                length_scale: 1.0,
            }],
        };
        let names = NameBook::new(&shape)?;
        let config = Rc::new(names.config(&shape)?);
        let zone = names.zones[0].clone();
        let teams = (0..self.teams).map(|index| format!("team-{index:05}").parse());
        Ok(SlopeDrive {
            case: self,
            host: DaemonHost::new(SchedulerOptions::new(1), config, zone),
            names,
            teams: teams.collect::<Result<_, _>>()?,
            running: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(1),
            micros: 1_000_000,
            sent: 0,
        })
    }
}

impl SlopeDrive {
    /// Drives the scheduler and measures it.
    pub fn measure(&mut self) -> SlopeFigures {
        let before = resident_bytes();
        let mut times = StepHistograms::default();
        for number in 0..WARM_UP + MEASURED {
            if number == WARM_UP {
                times = StepHistograms::default();
            }
            self.advance(number, &mut times);
        }
        SlopeFigures {
            arrival: times.arrival.times(),
            answer: times.answer.times(),
            look: times.look.times(),
            state_bytes: resident_bytes().saturating_sub(before),
        }
    }

    fn advance(&mut self, number: usize, times: &mut StepHistograms) {
        self.micros += STEP_MICROS;
        let arrival = self.next_request();
        let event = SchedulerEvent::Arrived(Box::new(arrival));
        self.step(event, &mut times.arrival);
        let seats = self.case.upstreams * 4;
        let answers = if self.case.saturated {
            // One arrival in two is answered; the others wait until they are hopeless.
            (number % 2) * usize::from(!self.running.is_empty())
        } else {
            self.running.len().saturating_sub(seats)
        };
        for _ in 0..answers {
            self.answer(times);
        }
        if number.is_multiple_of(LOOK_EVERY) {
            self.step(SchedulerEvent::ViewChanged, &mut times.look);
        }
    }

    fn step(&mut self, event: SchedulerEvent, times: &mut StepHistogram) {
        let began = Instant::now();
        let effects = self.host.step(self.micros, event);
        times.record(began.elapsed());
        for effect in effects {
            if let DaemonEffect::Dispatch(order) = effect {
                self.running.push_back(order);
            }
        }
    }

    fn answer(&mut self, times: &mut StepHistograms) {
        let Some(order) = self.running.pop_front() else {
            return;
        };
        let (request, attempt) = (order.request, order.attempt);
        let first = UpstreamEvent::FirstToken { request, attempt };
        let finished = UpstreamEvent::Finished {
            request,
            attempt,
            report: ResponseReport {
                status: 200,
                prompt_tokens: 1_500,
                cached_tokens: 1_024,
                output_tokens: self.rng.random_range(10..1_000),
            },
        };
        self.step(SchedulerEvent::Upstream(first), &mut times.token);
        self.step(SchedulerEvent::Upstream(finished), &mut times.answer);
    }

    fn next_request(&mut self) -> QueuedRequest {
        self.sent += 1;
        let shape = TaskShape {
            prompt: 1_500,
            shared: 1_024,
            group: self.rng.random_range(0..GROUPS),
            output: 0,
            unique: u32::try_from(self.sent).unwrap_or(u32::MAX),
        };
        let team = self.rng.random_range(0..self.teams.len());
        let now = MonotonicTime(self.micros);
        QueuedRequest {
            request: request_id(self.sent, 0),
            service: self.names.service.clone(),
            route: "/v1/chat/completions".to_owned(),
            team: self.teams[team].clone(),
            weight: 1,
            rank: TierRank(self.rng.random_range(0..4)),
            idempotent: true,
            arrived_at: now,
            deadline_at: now + Duration::from_secs(120),
            prompt: PromptShape {
                tokens: shape.prompt,
                prefix_hashes: shape.all_hashes(),
                max_output_tokens: None,
            },
        }
    }
}

#[derive(Debug, Default)]
struct StepHistograms {
    arrival: StepHistogram,
    token: StepHistogram,
    answer: StepHistogram,
    look: StepHistogram,
}

/// Nanoseconds of steps of one kind.
#[derive(Debug)]
struct StepHistogram(Histogram<u64>);

impl Default for StepHistogram {
    fn default() -> Self {
        let made = Histogram::new_with_bounds(1, 10_000_000_000, 3);
        Self(made.unwrap_or_else(|_| unreachable!("the bounds are constants and valid")))
    }
}

impl StepHistogram {
    fn record(&mut self, took: Duration) {
        let nanos = u64::try_from(took.as_nanos()).unwrap_or(u64::MAX);
        self.0.saturating_record(nanos.max(1));
    }

    fn times(&self) -> StepTimes {
        StepTimes {
            mean: self.0.mean() / 1_000.0,
            high: self.0.value_at_quantile(0.99) as f64 / 1_000.0,
        }
    }
}

/// Memory of this process that is resident; zero where the system does not tell.
fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<usize>().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}
