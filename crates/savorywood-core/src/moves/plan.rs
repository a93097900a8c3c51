//! Stages of a move, sized so that each can be proved before the deadline.
//!
//! Most of the time is spent at a small share: a version that fails there is met by few. Once it
//! is proved, larger shares bring evidence so fast that they need little time. Each stage has a
//! latest end, from which the rest can still be done; without proof by then the move is taken
//! back rather than hurried.

use savorywood_protocol::{WallTime, resource::TrafficMoveSpec};
use std::time::Duration;

/// Share of a version of which nothing is proved, in thousandths, where there are many requests.
pub const MIN_FIRST_SHARE_PER_MILLE: u16 = 10;

/// Largest share of a version of which nothing is proved, in thousandths. A bad version is found
/// after some number of requests, whatever its share, so a service with few requests may give it
/// a larger share without more of them meeting it.
pub const MAX_FIRST_SHARE_PER_MILLE: u16 = 50;

/// Requests that the first stage shall bring.
const FIRST_STAGE_REQUESTS: f64 = 150.0;

/// Share from which a stage must be proved to the full before the next one.
const STRICT_SHARE_PER_MILLE: u16 = 200;

/// Part of the time before the soak that each later stage gets at least.
const MIN_STAGE_FRACTION: f64 = 0.05;

/// Requests of the new version for which a later stage is sized, and more where the proof must be
/// strict.
const STAGE_REQUESTS: f64 = 60.0;

/// Requests that a strict proof takes, with slack for a few failures.
const STRICT_STAGE_REQUESTS: f64 = 250.0;

/// Longest time that a stage asks for, in seconds.
const MAX_STAGE_SECONDS: f64 = 86_400.0;

/// Time kept for the later stages, relative to what they need. Evidence may come slowly.
const LATER_STAGES_FACTOR: f64 = 1.5;

/// Least part of the time before the soak that the first stage gets.
const MIN_FIRST_STAGE_FRACTION: f64 = 0.25;

/// The old version is watched for so long before the new one gets its first share: how many
/// requests there are decides how large that share must be.
pub(super) const RATE_MEASUREMENT_PERIOD: Duration = Duration::from_secs(10);

/// Kept free before the deadline, so that the last commit and its spread are done by then.
const DEADLINE_MARGIN: Duration = Duration::from_secs(8);

/// Kept free before the decision for the ticks and commits between the stages. Without it a short
/// move ends its soak in the moment in which it is taken back for being late.
const COMMIT_SLACK: Duration = Duration::from_secs(2);

/// Shares after the first when the operator names none, in thousandths.
const DEFAULT_LATER_SHARES_PER_MILLE: [u16; 3] = [50, 200, 600];

/// One stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedStage {
    /// Share of the new version, in thousandths.
    pub share_per_mille: u16,
    /// Held at least for so long, so that what shows itself late is seen at a small share.
    pub dwell: Duration,
    /// Taken back when it is not proved by then.
    pub latest_end: WallTime,
    /// Whether it must be proved to the full before the next one.
    pub strict: bool,
}

/// All stages before the soak.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MovePlan {
    /// Stages in order.
    pub stages: Vec<PlannedStage>,
    /// Time with all traffic on the new version.
    pub soak: Duration,
    /// The move is taken back unless it is completed by then.
    pub decide_by: WallTime,
}

impl MovePlan {
    /// Plans a move that begins at `started_at`, of a service with so many requests a second.
    #[must_use]
    pub fn new(spec: &TrafficMoveSpec, started_at: WallTime, rate: f64) -> Self {
        let decide_by = earlier(spec.finish_by, DEADLINE_MARGIN);
        let soak = Duration::from_secs(spec.soak_seconds.into());
        let soak_at = earlier(decide_by, soak + COMMIT_SLACK);
        let available = soak_at.since(started_at);
        let shares = stage_shares(spec, first_share(rate, available / 2));
        let mut dwells: Vec<_> = shares
            .iter()
            .map(|share| required_time(*share, rate).max(available.mul_f64(MIN_STAGE_FRACTION)))
            .collect();
        let later: Duration = dwells.iter().skip(1).sum();
        let first =
            available.saturating_sub(RATE_MEASUREMENT_PERIOD + later.mul_f64(LATER_STAGES_FACTOR));
        dwells[0] = first.max(available.mul_f64(MIN_FIRST_STAGE_FRACTION));
        let rest = |index: usize| dwells.iter().skip(index + 1).sum();
        let stages = shares
            .iter()
            .enumerate()
            .map(|(index, share)| PlannedStage {
                share_per_mille: *share,
                dwell: dwells[index],
                latest_end: earlier(soak_at, rest(index)),
                strict: *share >= STRICT_SHARE_PER_MILLE,
            });
        Self {
            stages: stages.collect(),
            soak,
            decide_by,
        }
    }
}

/// Time in which a stage of that share brings the requests that its proof needs.
fn required_time(share: u16, rate: f64) -> Duration {
    let strict = share >= STRICT_SHARE_PER_MILLE;
    let requests = if strict {
        STRICT_STAGE_REQUESTS
    } else {
        STAGE_REQUESTS
    };
    let new_rate = rate * f64::from(share) / 1_000.0;
    Duration::from_secs_f64((requests / new_rate.max(0.01)).min(MAX_STAGE_SECONDS))
}

/// First share of a service with so many requests a second, for a stage of that length.
fn first_share(rate: f64, dwell: Duration) -> u16 {
    let requests = (rate * dwell.as_secs_f64()).max(1.0);
    let share = (1_000.0 * FIRST_STAGE_REQUESTS / requests).ceil();
    (share as u16).clamp(MIN_FIRST_SHARE_PER_MILLE, MAX_FIRST_SHARE_PER_MILLE)
}

/// The first share is never above the cap, whatever the operator asks for.
fn stage_shares(spec: &TrafficMoveSpec, first: u16) -> Vec<u16> {
    let requested = spec.steps.iter().map(|step| step.share_per_mille);
    let mut later: Vec<_> = requested.collect();
    if spec.steps.is_empty() {
        later = DEFAULT_LATER_SHARES_PER_MILLE.to_vec();
    }
    later.retain(|share| (first + 1..1_000).contains(share));
    later.sort_unstable();
    later.dedup();
    later.insert(0, first);
    later
}

fn earlier(time: WallTime, duration: Duration) -> WallTime {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    WallTime(time.0.saturating_sub(millis))
}
