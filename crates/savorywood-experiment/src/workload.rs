//! Seeded requests shaped like those of the two users.

use crate::deployment::{DeploymentShape, RouteShape};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};

/// Tokens of a prompt that share a hash.
pub const BLOCK_TOKENS: u32 = 64;
/// Every this many seconds there is a burst.
const BURST_EVERY: f64 = 50.0;
/// Seconds of a burst.
const BURST_TIME: f64 = 10.0;
/// Rate in a burst over the average.
const BURST_FACTOR: f64 = 1.8;
/// Spread of lengths (standard deviation of the logarithm).
const OUTPUT_SPREAD: f64 = 0.6;

/// What a request asks of an engine. The output length is known to engines only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskShape {
    /// Prompt tokens.
    pub prompt: u32,
    /// Of these, tokens shared with all prompts of the group.
    pub shared: u32,
    /// Group of prompts with the same beginning.
    pub group: u32,
    /// Tokens of the answer.
    pub output: u32,
    /// Tells prompts of a group apart.
    pub unique: u32,
}

impl TaskShape {
    /// Tokens of KV cache that it needs at its end.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        u64::from(self.prompt) + u64::from(self.output)
    }

    /// Hashes of the whole blocks of a group's prefix.
    #[must_use]
    pub fn group_hashes(group: u32, tokens: u32) -> Vec<u64> {
        let blocks = 0..tokens / BLOCK_TOKENS;
        blocks
            .map(|block| mix(u64::from(group) << 32 | u64::from(block)))
            .collect()
    }

    /// Hashes of the whole blocks of the shared prefix.
    #[must_use]
    pub fn shared_hashes(&self) -> Vec<u64> {
        Self::group_hashes(self.group, self.shared)
    }

    /// Hashes of all whole blocks of the prompt.
    #[must_use]
    pub fn all_hashes(&self) -> Vec<u64> {
        let mut hashes = self.shared_hashes();
        let blocks = self.shared / BLOCK_TOKENS..self.prompt / BLOCK_TOKENS;
        let own = u64::from(self.unique) << 32 | 1 << 63;
        hashes.extend(blocks.map(|block| mix(own | u64::from(block))));
        hashes
    }
}

fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// One request of a caller.
#[derive(Debug, Clone, Copy)]
pub struct CallerTask {
    /// When it arrives first, in seconds.
    pub at: f64,
    /// Index of its route.
    pub route: usize,
    /// Index of its team.
    pub team: usize,
    /// What it asks.
    pub shape: TaskShape,
}

/// Requests of a run, in order of arrival.
#[must_use]
pub fn generate(shape: &DeploymentShape, load: f64, time: f64, seed: u64) -> Vec<CallerTask> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let rate = shape.capacity() * load;
    let mut tasks = Vec::new();
    let mut at = 0.0;
    loop {
        at += exponential(rate * modulation(at), &mut rng);
        if at >= time {
            return tasks;
        }
        let unique = u32::try_from(tasks.len()).unwrap_or(u32::MAX);
        tasks.push(draw_task(shape, at, unique, &mut rng));
    }
}

/// Rate at a time over the average rate.
fn modulation(at: f64) -> f64 {
    let quiet = (BURST_EVERY - BURST_TIME * BURST_FACTOR) / (BURST_EVERY - BURST_TIME);
    if (at + BURST_TIME) % BURST_EVERY < BURST_TIME {
        BURST_FACTOR
    } else {
        quiet
    }
}

fn exponential(rate: f64, rng: &mut ChaCha8Rng) -> f64 {
    Exp::new(rate.max(1e-9)).map_or(1.0, |law| law.sample(rng))
}

/// Draws one request.
pub fn draw_task(
    shape: &DeploymentShape,
    at: f64,
    unique: u32,
    rng: &mut ChaCha8Rng,
) -> CallerTask {
    let route = draw_weighted(shape.routes.iter().map(|route| route.share), rng);
    let kind = &shape.routes[route];
    let team = draw_weighted(kind.team_shares.iter().copied(), rng);
    let scale = shape.teams[team].length_scale;
    CallerTask {
        at,
        route,
        team,
        shape: draw_shape(kind, route, scale, unique, rng),
    }
}

fn draw_weighted(shares: impl Iterator<Item = f64> + Clone, rng: &mut ChaCha8Rng) -> usize {
    let total: f64 = shares.clone().sum();
    let mut left = rng.random::<f64>() * total;
    let mut last = 0;
    for (index, share) in shares.enumerate() {
        last = index;
        left -= share;
        if left <= 0.0 {
            break;
        }
    }
    last
}

fn draw_shape(
    kind: &RouteShape,
    route: usize,
    scale: f64,
    unique: u32,
    rng: &mut ChaCha8Rng,
) -> TaskShape {
    let skewed = rng.random::<f64>().powi(2);
    let member = (skewed * f64::from(kind.groups)) as u32;
    let group = u32::try_from(route).unwrap_or_default() * 10_000 + member;
    let own = log_normal(f64::from(kind.own_prompt), OUTPUT_SPREAD, rng);
    let output = log_normal(f64::from(kind.output) * scale, OUTPUT_SPREAD, rng);
    let shared = kind.shared_prompt / BLOCK_TOKENS * BLOCK_TOKENS;
    TaskShape {
        prompt: shared + own.clamp(16.0, 12_000.0) as u32,
        shared,
        group,
        output: output.clamp(4.0, f64::from(kind.longest)) as u32,
        unique,
    }
}

fn log_normal(median: f64, spread: f64, rng: &mut ChaCha8Rng) -> f64 {
    LogNormal::new(median.max(1.0).ln(), spread).map_or(median, |law| law.sample(rng))
}
