//! What a run is judged by.

use crate::workload::TaskShape;
use hdrhistogram::Histogram;
use std::time::Duration;

/// Tiers of both deployments.
pub const TIERS: usize = 4;
/// Largest time that is told apart, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// Ends of the requests of one tier.
#[derive(Debug, Clone, Copy, Default)]
pub struct TierTally {
    /// Requests.
    pub tasks: u64,
    /// Whole within the deadline.
    pub in_time: u64,
    /// Whole within the deadline, and the first token within the objective.
    pub prompt_start: u64,
    /// Refused for good.
    pub shed: u64,
    /// Not whole at the deadline.
    pub late: u64,
    /// Broken off by the upstream.
    pub broken: u64,
}

/// Requests of one team.
#[derive(Debug, Clone, Copy, Default)]
pub struct TeamTally {
    /// Requests.
    pub tasks: u64,
    /// Whole within the deadline.
    pub in_time: u64,
}

/// Prefill of all engines, in tokens.
#[derive(Debug, Clone, Copy, Default)]
pub struct PrefillTally {
    /// All.
    pub total: f64,
    /// For requests that were late or left.
    pub late: f64,
    /// For requests that broke.
    pub broken: f64,
    /// For prefixes that another engine held, of requests that were whole in time.
    pub miss: f64,
}

impl PrefillTally {
    /// Wasted share.
    #[must_use]
    pub fn wasted(&self) -> f64 {
        (self.late + self.broken + self.miss) / self.total.max(1.0)
    }
}

/// Everything counted in a run.
#[derive(Debug, Clone)]
pub struct RunTally {
    /// By tier.
    pub tiers: [TierTally; TIERS],
    /// By team.
    pub teams: Vec<TeamTally>,
    /// Prefill.
    pub prefill: PrefillTally,
    /// Tokens of answers that were whole in time.
    pub good_tokens: u64,
    /// Times to the first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Times from dispatch to the first token, in microseconds.
    pub engine_first: Histogram<u64>,
    /// Times between tokens, in microseconds.
    pub token_gap: Histogram<u64>,
    /// Requests of a tier refused for load while a lower one waited at the same daemon.
    pub order_breaches: u64,
    /// Breaches that the schedulers noticed themselves.
    pub noticed_breaches: u64,
    /// Refusals, those with a later success included.
    pub refusals: u64,
    /// Processor time in schedulers.
    pub decision_time: Duration,
    /// Requests decided on.
    pub decisions: u64,
}

impl Default for RunTally {
    fn default() -> Self {
        let histogram = || {
            let made = Histogram::new_with_bounds(1, MAX_MICROS, 3);
            made.unwrap_or_else(|_| unreachable!("the bounds are constants and valid"))
        };
        Self {
            tiers: [TierTally::default(); TIERS],
            teams: Vec::new(),
            prefill: PrefillTally::default(),
            good_tokens: 0,
            first_token: histogram(),
            engine_first: histogram(),
            token_gap: histogram(),
            order_breaches: 0,
            noticed_breaches: 0,
            refusals: 0,
            decision_time: Duration::ZERO,
            decisions: 0,
        }
    }
}

impl RunTally {
    /// Share of all requests whole in time.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        let tasks: u64 = self.tiers.iter().map(|tier| tier.tasks).sum();
        let good: u64 = self.tiers.iter().map(|tier| tier.in_time).sum();
        good as f64 / tasks.max(1) as f64
    }

    /// Share of the requests of the team that fares worst that were whole in time.
    #[must_use]
    pub fn worst_team(&self) -> f64 {
        let shares = self.teams.iter();
        let shares = shares.map(|team| team.in_time as f64 / team.tasks.max(1) as f64);
        shares.fold(1.0, f64::min)
    }

    /// Microseconds of processor time for each request.
    #[must_use]
    pub fn decision_micros(&self) -> f64 {
        self.decision_time.as_secs_f64() * 1e6 / self.decisions.max(1) as f64
    }

    /// Counts a request that was whole in time.
    pub fn count_good(&mut self, rank: usize, shape: &TaskShape, prompt_start: bool) {
        self.tiers[rank].in_time += 1;
        self.tiers[rank].prompt_start += u64::from(prompt_start);
        self.good_tokens += u64::from(shape.output);
    }
}
