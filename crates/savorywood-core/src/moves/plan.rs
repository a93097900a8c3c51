//! Stage plan of a move, sized so that each stage can be evaluated before the deadline.
//!
//! Most of the time is spent at a small share, where a bad version affects few requests. Larger
//! shares yield samples fast enough to need little time. Each stage has a latest end that leaves
//! enough time for the later stages; a move that has not passed a stage by then is rolled back.

use savorywood_protocol::{WallTime, resource::TrafficMoveSpec};
use std::time::Duration;

/// Minimum first share, in thousandths; used for services with a high request rate.
pub const MIN_FIRST_SHARE_PER_MILLE: u16 = 10;

/// Maximum share of a version that has not passed a stage yet, in thousandths. Detecting a bad
/// version takes a number of requests that does not depend on the share, so a service with a low
/// request rate can use a larger share without more failed requests.
pub const MAX_FIRST_SHARE_PER_MILLE: u16 = 50;

/// Requests to the new version that the first stage is sized for.
const FIRST_STAGE_REQUESTS: f64 = 150.0;

/// Share from which a stage must pass the strict evaluation before the next one starts, in
/// thousandths.
const STRICT_SHARE_PER_MILLE: u16 = 200;

/// Minimum fraction of the time before the soak for each later stage.
const MIN_STAGE_FRACTION: f64 = 0.05;

/// Requests to the new version that a later stage is sized for, unless its evaluation is strict.
const STAGE_REQUESTS: f64 = 60.0;

/// Requests to the new version that a strict evaluation takes, with slack for a few failures.
const STRICT_STAGE_REQUESTS: f64 = 250.0;

/// Maximum duration computed for a stage, in seconds.
const MAX_STAGE_SECONDS: f64 = 86_400.0;

/// Factor on the time reserved for the later stages, in case samples arrive more slowly than
/// measured.
const LATER_STAGES_FACTOR: f64 = 1.5;

/// Minimum fraction of the time before the soak for the first stage.
const MIN_FIRST_STAGE_FRACTION: f64 = 0.25;

/// Duration of one request rate measurement. The first one precedes the first share, whose size
/// depends on the rate.
pub(super) const RATE_MEASUREMENT_PERIOD: Duration = Duration::from_secs(10);

/// Time reserved before the deadline for the last commit and its propagation to all daemons.
const DEADLINE_MARGIN: Duration = Duration::from_secs(8);

/// Time reserved before the decision for the ticks and commits between stages. Without it a short
/// move would reach the end of its soak just when it is rolled back as late.
const COMMIT_SLACK: Duration = Duration::from_secs(2);

/// Shares after the first if the spec names no steps, in thousandths.
const DEFAULT_LATER_SHARES_PER_MILLE: [u16; 3] = [50, 200, 600];

/// One stage of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedStage {
    /// Share of the traffic that the new version receives, in thousandths.
    pub share_per_mille: u16,
    /// Minimum duration, so that a failure that appears late is found at a small share.
    pub dwell: Duration,
    /// Time by which the stage must be passed, or the move is rolled back.
    pub latest_end: WallTime,
    /// Whether the stage requires
    /// [`NoRegression`](super::evaluator::EvaluationResult::NoRegression); otherwise
    /// `NoLargeRegression` suffices.
    pub strict: bool,
}

/// Stages before the soak, and the times that follow from the deadline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MovePlan {
    /// Stages in order of increasing share.
    pub stages: Vec<PlannedStage>,
    /// Duration of the soak, with all traffic on the new version.
    pub soak: Duration,
    /// Time by which the move must be completed, or it is rolled back.
    pub decide_by: WallTime,
}

impl MovePlan {
    /// Plans a move that begins at `started_at`, for a service with `rate` requests per second.
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

/// Returns the time in which a stage with `share` (in thousandths) receives the requests that its
/// evaluation needs.
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

/// Returns the first share in thousandths, for `rate` requests per second and a stage of length
/// `dwell`.
fn first_share(rate: f64, dwell: Duration) -> u16 {
    let requests = (rate * dwell.as_secs_f64()).max(1.0);
    let share = (1_000.0 * FIRST_STAGE_REQUESTS / requests).ceil();
    (share as u16).clamp(MIN_FIRST_SHARE_PER_MILLE, MAX_FIRST_SHARE_PER_MILLE)
}

/// Returns the shares of all stages in thousandths. The computed first share always comes first;
/// smaller steps of the spec are dropped, so the spec cannot exceed the cap on the first share.
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
