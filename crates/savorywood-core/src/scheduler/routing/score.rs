//! Cost of giving a request to an upstream, in weighted seconds.

use super::{
    super::{
        fleet::{UpstreamId, UpstreamState, WorkAllowance},
        speed::SpeedEstimate,
    },
    PickContext, PickFailure,
};
use std::time::Duration;

/// Assumed growth of the token gap from an empty to a full batch.
const FULL_BATCH_GAP_GROWTH: f64 = 0.5;
/// Weight of a second by which the first token misses its objective, against a second of expected
/// time.
const LATE_FIRST_WEIGHT: f64 = 4.0;
/// Weight of a second by which the response misses its deadline.
const LATE_END_WEIGHT: f64 = 8.0;
/// Weight of the decode time, which matters little as long as the deadline is met.
const DECODE_WEIGHT: f64 = 0.1;
/// Seconds added for a fully occupied upstream, in proportion to its occupancy, to spread the load.
const OCCUPANCY_WEIGHT: f64 = 0.5;
/// Weight of a second of prefill that another upstream has cached: it delays all waiting requests,
/// not only this one.
const CACHE_MISS_WEIGHT: f64 = 30.0;
/// Ratio to the fastest upstream's token gap above which an upstream is not given requests that
/// would be late on it.
const MAX_GAP_RATIO: f64 = 1.25;
/// Factor on the cost of an upstream in another availability zone.
const REMOTE_ZONE_FACTOR: f64 = 1.05;
/// A request that must start within this time does not wait for a faster upstream.
const MIN_WAITABLE_SLACK: Duration = Duration::from_millis(500);

/// Current load and speed of one upstream.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamLoad<'a> {
    /// State of the upstream.
    pub state: &'a UpstreamState,
    /// Work that it may have in progress now.
    pub allowance: WorkAllowance,
    /// Speed predicted for it.
    pub speed: SpeedEstimate,
}

/// Returns the expected seconds to the complete response, with penalties for lateness and for
/// avoidable prefill. It relies on this daemon's own measurements, and load reports lose weight with
/// age, so that daemons don't all choose the same upstream from the same outdated report.
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

/// Returns the prompt tokens that an upstream is expected to prefill.
pub fn uncached_tokens(context: &PickContext<'_>, id: UpstreamId) -> u32 {
    let mut matches = context.matches.iter();
    let own = matches.find(|found| found.upstream == id);
    let cached = own.map_or(0, |found| cached_tokens(context, found.blocks));
    context.waiting.request.prompt.tokens.saturating_sub(cached)
}

/// Returns the prompt tokens that the best other upstream has cached, as far as the index shows.
pub fn cached_elsewhere(context: &PickContext<'_>, id: UpstreamId) -> u32 {
    let others = context.matches.iter().filter(|found| found.upstream != id);
    let best = others.map(|found| found.blocks).fold(0.0, f64::max);
    cached_tokens(context, best)
}
