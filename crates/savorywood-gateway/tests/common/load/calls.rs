//! Requests that callers send, and tallies of their results.

use savorywood_gateway::UpstreamLabel;
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Uniform random numbers (SplitMix64) from a seed.
pub struct RandomSource(pub u64);

impl RandomSource {
    /// Returns a number from 0 to less than 1.
    pub fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        (mixed >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a log-normally distributed number; `spread` is the standard deviation of its
    /// logarithm.
    fn sample_lognormal(&mut self, median: f64, spread: f64) -> f64 {
        let radius = (-2.0 * (1.0 - self.next()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.next()).cos();
        median * (spread * normal).exp()
    }
}

/// One kind of request: its route, rate and sizes, and what its callers expect.
#[derive(Debug, Clone)]
pub struct CallKind {
    pub path: &'static str,
    /// Rank of the route; 0 is the most urgent.
    pub rank: u32,
    /// Arrivals per second over all daemons.
    pub per_second: f64,
    pub resumable: bool,
    /// Prompt tokens: median, spread (see `sample_lognormal`) and maximum.
    pub prompt: (f64, f64, f64),
    /// Output tokens: median, spread and maximum.
    pub tokens: (f64, f64, f64),
    /// Longest time to the first event for a response in time.
    pub objective: Duration,
    /// Longest time between two events for a response in time.
    pub gap_objective: Duration,
    /// Time without data after which the caller leaves.
    pub caller_idle_timeout: Duration,
    /// Time from arrival to the deadline.
    pub deadline: Duration,
}

/// Spread of the output lengths that callers announce around the true ones.
const OUTPUT_ESTIMATE_SPREAD: f64 = 0.5;

impl CallKind {
    /// Returns a random request of this kind.
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
            sent_at: now,
            dispatched: false,
            give_up_at: now + self.deadline,
            engine: None,
            events: 0,
            time_to_first_event: None,
            max_event_gap: Duration::ZERO,
            late: false,
            first_late: false,
            retried: false,
            redispatches: 0,
        }
    }
}

/// A request that has not received its final response yet.
#[derive(Debug, Clone)]
pub struct OpenCall {
    /// Index of its kind.
    pub kind: usize,
    pub prompt: u32,
    /// Output tokens that the caller announces.
    pub output_estimate: u32,
    pub tokens_left: u32,
    pub arrived_at: MonotonicTime,
    pub deadline_at: MonotonicTime,
    /// When the caller last received data, or sent the request.
    pub received_at: MonotonicTime,
    /// When the caller last sent the request.
    pub sent_at: MonotonicTime,
    /// Whether the request was dispatched.
    pub dispatched: bool,
    /// When the daemon gives up the current attempt.
    pub give_up_at: MonotonicTime,
    /// Upstream of the current attempt; `None` while the request is queued.
    pub engine: Option<UpstreamLabel>,
    /// Events received so far.
    pub events: u32,
    pub time_to_first_event: Option<Duration>,
    pub max_event_gap: Duration,
    /// Whether an event was later than the objectives allow.
    pub late: bool,
    /// Whether the first event was.
    pub first_late: bool,
    /// Whether the caller has retried after a refusal.
    pub retried: bool,
    /// Attempts that the daemon abandoned in order to dispatch the request again.
    pub redispatches: u32,
}

impl OpenCall {
    /// Returns prompt and output tokens, weighted by the engine time that each takes.
    pub fn size(&self) -> u32 {
        self.prompt + 10 * self.output_estimate
    }
}

/// First dispatch of a request.
#[derive(Debug, Clone, Copy)]
pub struct FirstDispatch {
    pub at: MonotonicTime,
    /// Time since the caller sent the request to the daemon.
    pub waited: Duration,
}

/// Results of the requests of one kind.
#[derive(Debug, Clone, Default)]
pub struct CallTally {
    pub requests: u32,
    pub in_time: u32,
    pub late: u32,
    /// Of these, with the first event in time.
    pub late_by_gap: u32,
    /// Refused, and not retried.
    pub refused: u32,
    /// Of these, refused for the second time.
    pub refused_twice: u32,
    /// First dispatches of requests.
    pub first_dispatches: Vec<FirstDispatch>,
    /// Refused with a retry-after delay and retried.
    pub asked_to_retry: u32,
    /// Ended by a caller that received no data within its time-out.
    pub left: u32,
    /// Responses that the daemon broke off.
    pub broken_off: u32,
    /// Responses that the daemon broke off before their deadline.
    pub cut_early: u32,
    /// Served after at least one abandoned attempt.
    pub redispatched: u32,
    /// Longest retry-after delay of a refusal.
    pub max_retry_after: Duration,
    /// Longest time between two events of a served response.
    pub max_event_gap: Duration,
    /// Size of each request that ended, and whether it was served.
    pub sizes: Vec<(u32, bool)>,
}

impl CallTally {
    /// Returns the fraction of requests served: of all, and of the largest tenth.
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

    /// Records the end of a request that was not served.
    pub fn record_unserved(&mut self, call: &OpenCall) {
        self.sizes.push((call.size(), false));
    }

    pub fn record_served(&mut self, call: &OpenCall) {
        self.sizes.push((call.size(), true));
        if call.late {
            self.late += 1;
            self.late_by_gap += u32::from(!call.first_late);
        } else {
            self.in_time += 1;
        }
        self.redispatched += u32::from(call.redispatches > 0);
        self.max_event_gap = self.max_event_gap.max(call.max_event_gap);
    }

    /// Returns `count` as a fraction of all requests.
    pub fn fraction(&self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.requests.max(1))
    }
}
