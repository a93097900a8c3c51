//! What it would cost to give a request to an upstream.

use super::{
    super::{
        fleet::{UpstreamId, UpstreamState, WorkAllowance},
        speed::SpeedEstimate,
    },
    PickContext, PickFailure,
};
use std::time::Duration;

/// Growth of the time between tokens from an empty to a full batch, until it has been seen.
const FULL_BATCH_GAP_GROWTH: f64 = 0.5;
/// Weight of a late first token against a second of the whole time.
const LATE_FIRST_WEIGHT: f64 = 4.0;
/// Weight of a late end against a second of the whole time.
const LATE_END_WEIGHT: f64 = 8.0;
/// Weight of the time to generate: as long as the deadline is met it matters little.
const DECODE_WEIGHT: f64 = 0.1;
/// Seconds that the last seat of an upstream counts for against the first, to spread work.
const OCCUPANCY_WEIGHT: f64 = 0.5;
/// Weight of the time of prefill that another upstream would not have to do: it is lost to all
/// who wait, not only to this request.
const CACHE_MISS_WEIGHT: f64 = 30.0;
/// An upstream this much slower than the fastest is not given what would be late there.
const MAX_GAP_RATIO: f64 = 1.25;
/// What an upstream in another availability zone must be better by.
const REMOTE_ZONE_FACTOR: f64 = 1.05;
/// A request that must begin within this is not kept for a faster upstream any longer.
const MIN_WAITABLE_SLACK: Duration = Duration::from_millis(500);

/// What one upstream is like now.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamLoad<'a> {
    /// Its state.
    pub state: &'a UpstreamState,
    /// What it may hold.
    pub allowance: WorkAllowance,
    /// Its speed.
    pub speed: SpeedEstimate,
}

/// Expected seconds to the whole answer, with penalties for lateness and for prefill that could
/// be spared. Nothing in it is shared between daemons but what they measure themselves, so they
/// don't all run to the same upstream on the same old report.
pub fn score(
    context: &PickContext<'_>,
    load: UpstreamLoad<'_>,
    uncached: u32,
    missed: u32,
) -> Result<f64, PickFailure> {
    let UpstreamLoad {
        state,
        allowance,
        speed,
    } = load;
    let waiting = context.waiting;
    let pending = state.pending_prefill as f64;
    let engine_queue =
        state.reported_waiting(context.now) * speed.first_token_seconds(f64::from(uncached));
    let first = speed.first_token_seconds(pending + f64::from(uncached)) + engine_queue;
    let occupancy = f64::from(state.slots_used + 1) / f64::from(allowance.slots.max(1));
    let gap = speed.gap * (1.0 + FULL_BATCH_GAP_GROWTH * occupancy);
    let time_left = waiting.request.deadline_at.since(context.now).as_secs_f64();
    let long_completion = first + speed.gap * f64::from(waiting.estimate.output_high);
    let late_end = (long_completion - time_left).max(0.0);
    let can_wait = waiting.latest_start > context.now + MIN_WAITABLE_SLACK;
    if late_end > 0.0 && can_wait && speed.gap > context.fastest_gap * MAX_GAP_RATIO {
        return Err(PickFailure::TooSlow);
    }
    let decode = gap * f64::from(waiting.estimate.output_mean) * DECODE_WEIGHT;
    let completion = first + decode + occupancy * OCCUPANCY_WEIGHT;
    let target = f64::from(context.objectives.first_token_ms) / 1_000.0;
    let late_first = (first - target).max(0.0) * LATE_FIRST_WEIGHT;
    let miss = f64::from(missed) * speed.prefill * CACHE_MISS_WEIGHT;
    let factor = if state.local { 1.0 } else { REMOTE_ZONE_FACTOR };
    Ok((completion + late_first + late_end * LATE_END_WEIGHT + miss) * factor)
}

fn cached_tokens(context: &PickContext<'_>, blocks: f64) -> u32 {
    let prompt = &context.waiting.request.prompt;
    let all = prompt.prefix_hashes.len().max(1) as f64;
    (f64::from(prompt.tokens) * (blocks / all).min(1.0)) as u32
}

/// Prompt tokens that an upstream is expected to have to prefill.
pub fn uncached_tokens(context: &PickContext<'_>, id: UpstreamId) -> u32 {
    let mut matches = context.matches.iter();
    let own = matches.find(|found| found.upstream == id);
    let cached = own.map_or(0, |found| cached_tokens(context, found.blocks));
    context.waiting.request.prompt.tokens.saturating_sub(cached)
}

/// Prompt tokens that the best other upstream is known to have cached.
pub fn cached_elsewhere(context: &PickContext<'_>, id: UpstreamId) -> u32 {
    let others = context.matches.iter().filter(|found| found.upstream != id);
    let best = others.map(|found| found.blocks).fold(0.0, f64::max);
    cached_tokens(context, best)
}
