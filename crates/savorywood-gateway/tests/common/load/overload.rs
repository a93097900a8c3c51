//! Load with three ranks of streams by the figures of the two deployments in `docs/OVERLOAD.md`, and
//! results by rank.

use super::{
    LoadEnvironment,
    calls::{CallKind, CallTally, RandomSource},
};
use savorywood_gateway::{OverloadOptions, QueuePolicy};
use savorywood_protocol::MonotonicTime;
use std::{fmt, time::Duration};

/// Spread of prompt and output sizes around their medians.
const PROMPT_SPREAD: f64 = 0.9;
const OUTPUT_SPREAD: f64 = 0.9;
/// Tokens of one event.
const EVENT_TOKENS: f64 = 4.0;
/// Milliseconds of a step, and prompt tokens processed per millisecond.
const STEP_MS: f64 = 4.63;
const PREFILL_TOKENS_PER_MS: f64 = 37.9;
/// Length of the intervals in which an engine may be slow, and its slowdown.
const SLOW_INTERVAL: Duration = Duration::from_millis(600);
const INTERVAL_SLOWDOWN: f64 = 2.5;
/// Slots of an engine.
pub const SLOTS: u32 = 4;
/// A less urgent dispatch this close to a request's wait counts as beside it.
const BESIDE: Duration = Duration::from_secs(2);

/// Figures of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    pub name: &'static str,
    /// Rates of the ranks relative to each other.
    per_second: [f64; 3],
    objective_ms: [u64; 3],
    gap_objective_ms: u64,
    in_time: [f64; 3],
    late: [f64; 3],
    /// Fraction of intervals in which an engine is slow.
    slow_intervals: f64,
}

pub const DEPLOYMENT_A: Deployment = Deployment {
    name: "A",
    per_second: [104.0, 127.0, 115.0],
    objective_ms: [1_200, 1_000, 800],
    gap_objective_ms: 800,
    in_time: [5.1, 2.6, 0.33],
    late: [0.51, 0.26, 0.033],
    slow_intervals: 0.0,
};

pub const DEPLOYMENT_B: Deployment = Deployment {
    name: "B",
    per_second: [108.0, 76.2, 120.0],
    objective_ms: [1_000, 1_500, 2_000],
    gap_objective_ms: 500,
    in_time: [6.8, 1.6, 0.3],
    late: [2.0, 0.47, 0.088],
    slow_intervals: 0.15,
};

const PATHS: [&str; 3] = ["/first/", "/second/", "/third/"];
const PROMPTS: [f64; 3] = [3_780.0, 2_950.0, 1_170.0];
const EVENTS: [f64; 3] = [30.0, 13.0, 43.0];
const DEADLINES: [u64; 3] = [12, 6, 15];

/// Returns the median of a log-normal distribution with a mean.
fn median(mean: f64, spread: f64) -> f64 {
    mean / (spread * spread / 2.0).exp()
}

/// One run: a deployment at a multiple of the capacity of its engines.
#[derive(Debug, Clone)]
pub struct OverloadRun {
    pub deployment: Deployment,
    pub load: f64,
    pub seed: u64,
    pub slowdown: Vec<f64>,
    pub daemons: usize,
    pub time: Duration,
    /// `None` leaves the option off.
    pub policy: Option<QueuePolicy>,
}

impl OverloadRun {
    fn kinds(&self) -> Vec<CallKind> {
        let engine_ms: f64 = (0..3).map(|rank| self.engine_ms(rank)).sum();
        let slow = self.deployment.slow_intervals;
        let normal: f64 = self.slowdown.iter().map(|slowdown| 1.0 / slowdown).sum();
        let speed = normal * (1.0 - slow + slow / INTERVAL_SLOWDOWN);
        let factor = self.load * speed * 1e3 / engine_ms;
        let kinds = (0..3).map(|rank| CallKind {
            path: PATHS[rank],
            rank: rank as u32,
            per_second: self.deployment.per_second[rank] * factor,
            resumable: rank == 0,
            prompt: (
                median(PROMPTS[rank], PROMPT_SPREAD),
                PROMPT_SPREAD,
                53_200.0,
            ),
            tokens: (
                median(EVENTS[rank] * EVENT_TOKENS, OUTPUT_SPREAD),
                OUTPUT_SPREAD,
                1_200.0,
            ),
            objective: Duration::from_millis(self.deployment.objective_ms[rank]),
            gap_objective: Duration::from_millis(self.deployment.gap_objective_ms),
            caller_idle_timeout: Duration::from_secs(DEADLINES[rank]),
            deadline: Duration::from_secs(DEADLINES[rank]),
        });
        kinds.collect()
    }

    /// Returns the milliseconds per second for which the requests of a rank use an engine of normal
    /// speed at the deployment's rate. A batch shares its decode steps, and a prompt delays all of it.
    fn engine_ms(&self, rank: usize) -> f64 {
        let decode = EVENTS[rank] * EVENT_TOKENS * STEP_MS / f64::from(SLOTS);
        self.deployment.per_second[rank] * (PROMPTS[rank] / PREFILL_TOKENS_PER_MS + decode)
    }

    /// Runs the load and returns the results.
    pub fn run(&self) -> OverloadResult {
        let options = OverloadOptions {
            deadline_queue: self.policy.is_some(),
            ..OverloadOptions::default()
        };
        let mut environment = LoadEnvironment::with_overload(
            self.daemons,
            &self.slowdown,
            SLOTS,
            self.kinds(),
            options,
        );
        environment.set_seed(self.seed);
        for engine in &mut environment.engines {
            engine.base_step_ms = STEP_MS;
            engine.prefill_tokens_per_ms = PREFILL_TOKENS_PER_MS;
            engine.event_tokens = EVENT_TOKENS as u32;
            engine.max_queue = Some(2);
        }
        if let Some(policy) = self.policy {
            for daemon in &mut environment.daemons {
                daemon.gateway.set_queue_policy(policy);
            }
        }
        let mut random = RandomSource(self.seed + 2);
        let end = environment.now + self.time;
        while environment.now < end {
            for (engine, normal) in environment.engines.iter_mut().zip(&self.slowdown) {
                let is_slow = random.next() < self.deployment.slow_intervals;
                engine.slowdown = if is_slow { INTERVAL_SLOWDOWN } else { 1.0 } * normal;
            }
            environment.advance(SLOW_INTERVAL.min(end.since(environment.now)), true);
        }
        environment.run(Duration::ZERO);
        let counters = environment.daemons.iter();
        let counters = counters.map(|daemon| daemon.gateway.queue_counters());
        let refused_early = counters
            .map(|counters| counters.refused_for_deadline + counters.refused_for_first_event)
            .sum();
        OverloadResult {
            ranks: (0..3)
                .map(|rank| self.rank_result(rank, &environment.tallies))
                .collect(),
            to_full: f64::from(environment.dispatched_to_full)
                / f64::from(environment.dispatched.max(1)),
            refused_early,
        }
    }

    fn rank_result(&self, rank: usize, tallies: &[CallTally]) -> RankResult {
        let tally = &tallies[rank];
        let less_urgent = tallies[rank + 1..].iter();
        let mut less_urgent: Vec<MonotonicTime> = less_urgent
            .flat_map(|tally| tally.first_dispatches.iter().map(|dispatch| dispatch.at))
            .collect();
        less_urgent.sort_unstable();
        let beside = tally.first_dispatches.iter().filter(|dispatch| {
            let from = less_urgent.partition_point(|at| *at + BESIDE < dispatch.at);
            less_urgent
                .get(from)
                .is_some_and(|at| *at <= dispatch.at + BESIDE)
        });
        let mut waits: Vec<Duration> = beside.map(|dispatch| dispatch.waited).collect();
        waits.sort_unstable();
        let quantile = |fraction: f64| {
            let index = (waits.len() as f64 * fraction) as usize;
            waits.get(index).copied().unwrap_or_default()
        };
        let (all, largest) = tally.served_fraction_by_size();
        RankResult {
            in_time: tally.fraction(tally.in_time),
            late: tally.fraction(tally.late),
            late_by_gap: tally.fraction(tally.late_by_gap),
            refused: tally.fraction(tally.refused),
            refused_twice: tally.fraction(tally.refused_twice),
            unfinished: tally.fraction(tally.left + tally.broken_off),
            wait_median: quantile(0.5),
            wait_90th: quantile(0.9),
            served: all,
            largest: largest / all.max(f64::MIN_POSITIVE),
            value: (f64::from(tally.in_time) * self.deployment.in_time[rank]
                + f64::from(tally.late) * self.deployment.late[rank])
                / self.time.as_secs_f64(),
        }
    }
}

/// Results of one rank, as fractions of its requests.
#[derive(Debug, Clone, Copy)]
pub struct RankResult {
    pub in_time: f64,
    pub late: f64,
    /// Of these, with the first event in time and a gap that was too long.
    pub late_by_gap: f64,
    pub refused: f64,
    pub refused_twice: f64,
    /// The caller left, or the response was broken off.
    pub unfinished: f64,
    /// Waits until the first dispatch, of requests beside which less urgent work was dispatched.
    pub wait_median: Duration,
    pub wait_90th: Duration,
    pub served: f64,
    /// Fraction of the largest tenth that was served, relative to the whole kind.
    pub largest: f64,
    /// Value per second.
    pub value: f64,
}

/// Results of one run.
#[derive(Debug, Clone)]
pub struct OverloadResult {
    pub ranks: Vec<RankResult>,
    /// Fraction of dispatches to full engines.
    pub to_full: f64,
    pub refused_early: u64,
}

impl OverloadResult {
    /// Returns the value per second over all ranks.
    pub fn value(&self) -> f64 {
        self.ranks.iter().map(|rank| rank.value).sum()
    }
}

impl fmt::Display for OverloadResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "value {:7.2} full {:.3} early {:4}",
            self.value(),
            self.to_full,
            self.refused_early
        )?;
        for rank in &self.ranks {
            write!(
                formatter,
                " | {:.3} {:.3} {:.3} {:.3} {:.3} {:.3} {:4} {:4} {:.2} {:.2}",
                rank.in_time,
                rank.late,
                rank.late_by_gap,
                rank.refused,
                rank.refused_twice,
                rank.unfinished,
                rank.wait_median.as_millis(),
                rank.wait_90th.as_millis(),
                rank.served,
                rank.largest,
            )?;
        }
        Ok(())
    }
}
