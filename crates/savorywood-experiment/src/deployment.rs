//! The two users' deployments: daemons, engines, routes, teams.

use crate::{engine::EngineSpec, workload::draw_task};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Objective of the first token, in seconds.
pub const FIRST_TOKEN_OBJECTIVE: f64 = 1.6;
/// Objective between tokens, in seconds.
const GAP_OBJECTIVE: f64 = 0.079;
/// Teams of a deployment.
const TEAMS: usize = 5;
/// Path of all model requests of Fil-Presse: there only the team tells how long answers are.
const SHARED_PATH: &str = "/v1/chat/completions";
/// Requests drawn to work out capacity.
const CAPACITY_SAMPLES: u32 = 4_000;

/// Which user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum DeploymentKind {
    /// Corrections: 8 daemons, 4 zones, 12 runners.
    Ionoveld,
    /// Newswire: 7 daemons, 3 zones, 10 runners.
    FilPresse,
}

/// One kind of request to the model service.
#[derive(Debug, Clone, Copy)]
pub struct RouteShape {
    /// Path; kinds may share one.
    pub path: &'static str,
    /// Tier of its requests.
    pub rank: u8,
    /// Share of requests.
    pub share: f64,
    /// Tokens at the beginning of the prompt that a group shares.
    pub shared_prompt: u32,
    /// Groups of prompts.
    pub groups: u32,
    /// Median tokens of the rest of the prompt.
    pub own_prompt: u32,
    /// Median tokens of the answer.
    pub output: u32,
    /// Tokens of the longest answer.
    pub longest: u32,
    /// Shares of the teams in its requests.
    pub team_shares: [f64; TEAMS],
}

/// One team of callers.
#[derive(Debug, Clone, Copy)]
pub struct TeamShape {
    /// Name.
    pub name: &'static str,
    /// Length of its answers against the route's.
    pub length_scale: f64,
}

/// All that a run needs to know of a deployment.
#[derive(Debug, Clone)]
pub struct DeploymentShape {
    /// Daemons.
    pub daemons: usize,
    /// Availability zones.
    pub zones: usize,
    /// Engines.
    pub engines: Vec<EngineSpec>,
    /// Routes.
    pub routes: Vec<RouteShape>,
    /// Teams.
    pub teams: Vec<TeamShape>,
}

impl RouteShape {
    /// Seconds within which the whole answer must be there: the longest one at the objectives for
    /// first token and gap, and a fifth more for waiting.
    #[must_use]
    pub fn deadline(&self) -> f64 {
        1.2 * (FIRST_TOKEN_OBJECTIVE + GAP_OBJECTIVE * f64::from(self.longest))
    }
}

impl DeploymentKind {
    /// Figures of the deployment.
    #[must_use]
    pub fn shape(self) -> DeploymentShape {
        match self {
            Self::Ionoveld => ionoveld(),
            Self::FilPresse => fil_presse(),
        }
    }
}

impl DeploymentShape {
    /// Requests a second that all engines together can do with full batches and every shared
    /// prefix cached. Load 1.0 is this rate.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let mut rng = ChaCha8Rng::seed_from_u64(0);
        let mut own = 0.0;
        let mut prompt = 0.0;
        let mut output = 0.0;
        for unique in 0..CAPACITY_SAMPLES {
            let shape = draw_task(self, 0.0, unique, &mut rng).shape;
            own += f64::from(shape.prompt - shape.shared) / f64::from(CAPACITY_SAMPLES);
            prompt += f64::from(shape.prompt) / f64::from(CAPACITY_SAMPLES);
            output += f64::from(shape.output) / f64::from(CAPACITY_SAMPLES);
        }
        let engines = self.engines.iter();
        engines
            .map(|engine| engine.capacity(own, prompt, output))
            .sum()
    }
}

fn engines(generations: &[u8], zones: usize) -> Vec<EngineSpec> {
    let engines = generations.iter().enumerate();
    engines
        .map(|(index, generation)| EngineSpec::of_generation(*generation, index % zones))
        .collect()
}

fn ionoveld() -> DeploymentShape {
    let route = |path, rank, share, prompt: [u32; 2], output: [u32; 2], team_shares| RouteShape {
        path,
        rank,
        share,
        team_shares,
        shared_prompt: prompt[0],
        groups: 40,
        own_prompt: prompt[1],
        output: output[0],
        longest: output[1],
    };
    DeploymentShape {
        daemons: 8,
        zones: 4,
        engines: engines(&[1, 2, 2, 3, 3, 3, 4, 4, 1, 2, 5, 4], 4),
        routes: vec![
            route(
                "/v1/briefing",
                0,
                0.04,
                [3_072, 1_200],
                [800, 1_600],
                [0.2, 0.0, 0.8, 0.0, 0.0],
            ),
            route(
                "/v1/summary",
                1,
                0.20,
                [2_048, 500],
                [220, 600],
                [0.4, 0.3, 0.1, 0.1, 0.1],
            ),
            route(
                "/v1/note",
                2,
                0.66,
                [1_024, 100],
                [30, 120],
                [0.5, 0.3, 0.0, 0.15, 0.05],
            ),
            route(
                "/v1/archive",
                3,
                0.10,
                [1_536, 600],
                [300, 900],
                [0.0, 0.3, 0.2, 0.0, 0.5],
            ),
        ],
        teams: vec![
            team("flanders-survey", 1.0),
            team("wallonia-farms", 0.7),
            team("network-desk", 1.5),
            team("resellers", 1.0),
            team("field-trials", 2.0),
        ],
    }
}

fn fil_presse() -> DeploymentShape {
    let route = |rank, share, prompt: [u32; 2], output: [u32; 2], team_shares| RouteShape {
        path: SHARED_PATH,
        rank,
        share,
        team_shares,
        shared_prompt: prompt[0],
        groups: prompt[1],
        own_prompt: 250,
        output: output[0],
        longest: output[1],
    };
    DeploymentShape {
        daemons: 7,
        zones: 3,
        engines: engines(&[2, 3, 1, 4, 3, 2, 5, 1, 3, 4], 3),
        routes: vec![
            route(
                0,
                0.08,
                [6_144, 24],
                [450, 1_200],
                [0.8, 0.0, 0.0, 0.2, 0.0],
            ),
            route(1, 0.27, [1_024, 40], [120, 300], [0.2, 0.7, 0.0, 0.1, 0.0]),
            route(2, 0.15, [4_096, 40], [300, 900], [0.1, 0.2, 0.0, 0.1, 0.6]),
            route(3, 0.50, [512, 100], [20, 80], [0.0, 0.1, 0.8, 0.0, 0.1]),
        ],
        teams: vec![
            team("parliament-desk", 1.2),
            team("city-desk", 0.8),
            team("subscribers", 1.0),
            team("courts-desk", 1.6),
            team("archive-desk", 1.0),
        ],
    }
}

fn team(name: &'static str, length_scale: f64) -> TeamShape {
    TeamShape { name, length_scale }
}
