//! Predicts prompt and output tokens of requests by service, route and team.

mod quantile;

use crate::request::QueuedRequest;
use quantile::QuantileSketch;
use savorywood_protocol::{ServiceName, TeamName};
use std::{collections::BTreeMap, ops::Bound};

/// Maximum number of routes with a sketch of their own in a service. Callers choose the paths, so
/// the number must be bounded; further routes share one sketch.
const MAX_ROUTES: usize = 256;
/// Maximum number of teams with a sketch of their own, over all routes.
const MAX_TEAM_SKETCHES: usize = 16_384;
/// Minimum weight of a team's own sketch before it is used instead of the route's.
const MIN_TEAM_SKETCH_WEIGHT: u32 = 8;
/// Output tokens assumed before the first sample.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;
/// Number of team sketches examined per eviction.
const EVICTION_SCAN_LENGTH: usize = 32;

/// Predicted size of one request, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CostEstimate {
    /// Prompt tokens, cached or not.
    pub prompt: u32,
    /// Median of the output tokens.
    pub output_median: u32,
    /// Mean of the output tokens; larger than the median, since the distribution is skewed.
    pub output_mean: u32,
    /// 90th percentile of the output tokens.
    pub output_high: u32,
    /// Whether the output figures come from samples. Otherwise they are defaults, and no request
    /// may be refused because of them.
    pub observed: bool,
}

impl CostEstimate {
    /// Returns the tokens that the request is expected to occupy in a batch.
    #[must_use]
    pub fn batch_tokens(&self) -> u64 {
        u64::from(self.prompt) + u64::from(self.output_mean)
    }
}

#[derive(Debug)]
struct TeamSketch {
    sketch: QuantileSketch,
    used_at: u64,
}

#[derive(Debug, Default)]
struct RouteSketch {
    sketch: QuantileSketch,
    teams: BTreeMap<TeamName, TeamSketch>,
    /// Last team examined by the previous eviction; `None` to begin with the first.
    eviction_cursor: Option<TeamName>,
}

/// Distributions of output lengths. Memory is bounded by [`MAX_ROUTES`] and [`MAX_TEAM_SKETCHES`].
#[derive(Debug, Default)]
pub struct CostModel {
    services: BTreeMap<ServiceName, BTreeMap<String, RouteSketch>>,
    team_sketches: usize,
    clock: u64,
}

impl CostModel {
    /// Predicts the size of a request. A team with few samples on the route gets the route's
    /// figures; `by_team` is false if sketches of teams are switched off.
    pub fn predict(&self, request: &QueuedRequest, by_team: bool) -> CostEstimate {
        let route = self.route(request);
        let team = route
            .and_then(|route| route.teams.get(&request.team))
            .filter(|team| by_team && team.sketch.weight() >= MIN_TEAM_SKETCH_WEIGHT);
        let sketch = match (team, route) {
            (Some(team), _) => Some(&team.sketch),
            (None, Some(route)) => Some(&route.sketch),
            (None, None) => None,
        };
        let max_tokens = request.prompt.max_output_tokens.unwrap_or(u32::MAX).max(1);
        let bounded =
            |value: Option<u32>| value.unwrap_or(DEFAULT_OUTPUT_TOKENS).clamp(1, max_tokens);
        CostEstimate {
            observed: sketch.is_some(),
            prompt: request.prompt.tokens,
            output_median: bounded(sketch.and_then(|sketch| sketch.quantile(500))),
            output_mean: bounded(sketch.and_then(QuantileSketch::mean)),
            output_high: bounded(sketch.and_then(|sketch| sketch.quantile(900))),
        }
    }

    fn route(&self, request: &QueuedRequest) -> Option<&RouteSketch> {
        let routes = self.services.get(&request.service)?;
        routes.get(&request.route).or_else(|| routes.get(""))
    }

    /// Records the output length of a finished response.
    pub fn record(&mut self, request: &QueuedRequest, output_tokens: u32) {
        self.clock += 1;
        let routes = self.services.entry(request.service.clone()).or_default();
        let known = routes.contains_key(&request.route);
        let label = if known || routes.len() < MAX_ROUTES {
            request.route.as_str()
        } else {
            ""
        };
        if !routes.contains_key(label) {
            routes.insert(label.to_owned(), RouteSketch::default());
        }
        let Some(route) = routes.get_mut(label) else {
            return;
        };
        route.sketch.record(output_tokens);
        if let Some(team) = route.teams.get_mut(&request.team) {
            team.sketch.record(output_tokens);
            team.used_at = self.clock;
            return;
        }
        if self.team_sketches >= MAX_TEAM_SKETCHES && !evict_least_recent(route) {
            return;
        }
        if self.team_sketches < MAX_TEAM_SKETCHES {
            self.team_sketches += 1;
        }
        let mut sketch = QuantileSketch::default();
        sketch.record(output_tokens);
        let used_at = self.clock;
        let team = TeamSketch { sketch, used_at };
        route.teams.insert(request.team.clone(), team);
    }
}

/// Evicts the least recently used of the next [`EVICTION_SCAN_LENGTH`] teams of a route, in name
/// order after the teams examined last time. Returns `false` if the route has no team to evict.
fn evict_least_recent(route: &mut RouteSketch) -> bool {
    let after = match route.eviction_cursor.take() {
        Some(name) => Bound::Excluded(name),
        None => Bound::Unbounded,
    };
    let span = (after, Bound::Unbounded);
    let sample: Vec<_> = route.teams.range(span).take(EVICTION_SCAN_LENGTH).collect();
    // When the names are exhausted, the next call begins with the first one again.
    if sample.len() == EVICTION_SCAN_LENGTH {
        route.eviction_cursor = sample.last().map(|(name, _)| (*name).clone());
    }
    let least_recent = sample.iter().min_by_key(|(_, team)| team.used_at);
    let Some(name) = least_recent.map(|(name, _)| (*name).clone()) else {
        return false;
    };
    route.teams.remove(&name).is_some()
}
