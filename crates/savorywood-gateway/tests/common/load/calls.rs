//! What callers ask and what they get.

use savorywood_gateway::UpstreamLabel;
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Evenly drawn numbers (SplitMix64).
pub struct RandomSource(pub u64);

impl RandomSource {
    pub fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        (mixed >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Lognormally drawn around a median.
    fn sample_lognormal(&mut self, median: f64, spread: f64) -> f64 {
        let radius = (-2.0 * (1.0 - self.next()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.next()).cos();
        median * (spread * normal).exp()
    }
}

/// One kind of request.
#[derive(Debug, Clone)]
pub struct CallKind {
    pub path: &'static str,
    pub rank: u32,
    pub per_second: f64,
    pub resumable: bool,
    /// Median prompt tokens, their spread and the most.
    pub prompt: (f64, f64, f64),
    /// The same of the tokens of the answer.
    pub tokens: (f64, f64, f64),
    pub objective: Duration,
    pub gap_objective: Duration,
    pub caller_timeout: Duration,
    pub deadline: Duration,
}

/// Spread of callers' guesses of the length of their answers.
const OUTPUT_ESTIMATE_SPREAD: f64 = 0.5;

impl CallKind {
    /// A request of this kind.
    pub fn sample(&self, kind: usize, now: MonotonicTime, random: &mut RandomSource) -> OpenCall {
        let mut size = |(median, spread, most): (f64, f64, f64)| {
            random.sample_lognormal(median, spread).clamp(1.0, most) as u32
        };
        let prompt = size(self.prompt);
        let tokens = size(self.tokens);
        OpenCall {
            kind,
            prompt,
            output_estimate: random
                .sample_lognormal(f64::from(tokens), OUTPUT_ESTIMATE_SPREAD)
                .max(1.0) as u32,
            tokens_left: tokens,
            arrived_at: now,
            deadline_at: now + self.deadline,
            received_at: now,
            give_up_at: now + self.deadline,
            engine: None,
            events: 0,
            time_to_first_event: None,
            max_event_gap: Duration::ZERO,
            late: false,
            retried: false,
            redispatches: 0,
        }
    }
}

/// A request that has no final answer yet.
#[derive(Debug, Clone)]
pub struct OpenCall {
    pub kind: usize,
    pub prompt: u32,
    pub output_estimate: u32,
    pub tokens_left: u32,
    pub arrived_at: MonotonicTime,
    pub deadline_at: MonotonicTime,
    pub received_at: MonotonicTime,
    pub give_up_at: MonotonicTime,
    pub engine: Option<UpstreamLabel>,
    pub events: u32,
    pub time_to_first_event: Option<Duration>,
    pub max_event_gap: Duration,
    pub late: bool,
    pub retried: bool,
    pub redispatches: u32,
}

impl OpenCall {
    /// Prompt and expected answer, by what each takes of an engine's time.
    pub fn size(&self) -> u32 {
        self.prompt + 10 * self.output_estimate
    }
}

/// What callers of one kind got.
#[derive(Debug, Clone, Default)]
pub struct CallTally {
    pub requests: u32,
    pub in_time: u32,
    pub late: u32,
    /// Refused for good.
    pub refused: u32,
    /// Asked to come back.
    pub asked_to_retry: u32,
    /// Left without a whole answer.
    pub left: u32,
    /// Answers that were broken off.
    pub broken_off: u32,
    /// Served after a move from one upstream to another.
    pub redispatched: u32,
    pub max_retry_after: Duration,
    pub max_event_gap: Duration,
    /// Sizes of all requests that ended, and whether they were served.
    pub sizes: Vec<(u32, bool)>,
}

impl CallTally {
    /// Share of the requests served, of all and of the largest tenth.
    pub fn served_fraction_by_size(&self) -> (f64, f64) {
        let mut sizes = self.sizes.clone();
        sizes.sort_unstable();
        let fraction = |of: &[(u32, bool)]| {
            let served = of.iter().filter(|(_, served)| *served).count();
            served as f64 / of.len().max(1) as f64
        };
        let largest = sizes.len() - sizes.len() / 10;
        (fraction(&sizes), fraction(&sizes[largest..]))
    }

    /// Notes the end of a request that was not served.
    pub fn record_unserved(&mut self, call: &OpenCall) {
        self.sizes.push((call.size(), false));
    }

    pub fn record_served(&mut self, call: &OpenCall) {
        self.sizes.push((call.size(), true));
        if call.late {
            self.late += 1;
        } else {
            self.in_time += 1;
        }
        self.redispatched += u32::from(call.redispatches > 0);
        self.max_event_gap = self.max_event_gap.max(call.max_event_gap);
    }

    pub fn fraction(&self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.requests.max(1))
    }
}
