//! Classes of requests of the two deployments.

use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use std::time::Duration;
use strum::{Display, EnumString};

/// A deployment whose traffic is imitated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum DeploymentMix {
    /// Storm briefings, regional summaries and receiver notes; map calls.
    Ionoveld,
    /// Transcript summaries, dispatch digests and leads; story metadata.
    FilPresse,
}

/// How a class of requests is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClassKind {
    /// A streamed completion.
    Completion,
    /// A plain read.
    Read,
    /// A plain call that may not be repeated.
    Order,
}

/// One class of requests.
#[derive(Debug, Clone, Copy)]
pub struct RequestClass {
    /// Tier that it asks for.
    pub tier: &'static str,
    /// How it is made.
    pub kind: ClassKind,
    /// Share of arrivals, in thousandths.
    pub share: u32,
    /// Median prompt tokens.
    pub prompt: f64,
    /// Median output tokens.
    pub output: f64,
    /// Time for the whole answer.
    pub deadline: Duration,
}

/// A request to make.
#[derive(Debug, Clone, Copy)]
pub struct RequestDraw {
    /// Its class.
    pub class: RequestClass,
    /// Prompt tokens.
    pub prompt: u32,
    /// Output tokens.
    pub output: u32,
    /// Which shared prompt prefix it begins with.
    pub prefix: u32,
}

/// Spread of lengths within a class: the longest of a hundred is about ten times the median.
const LENGTH_SIGMA: f64 = 1.0;

/// Longest prompt or output, in tokens.
const MAX_TOKENS: f64 = 16_000.0;

/// Prompt prefixes shared by many requests.
const PREFIXES: u32 = 12;

const IONOVELD: [RequestClass; 5] = [
    completion("storm", 40, 3_000.0, 600.0, 60),
    completion("region", 160, 600.0, 120.0, 30),
    completion("field", 400, 120.0, 20.0, 10),
    plain("field", ClassKind::Read, 350, 5),
    plain("field", ClassKind::Order, 50, 5),
];

const FIL_PRESSE: [RequestClass; 5] = [
    completion("deadline", 60, 4_000.0, 500.0, 60),
    completion("desk", 140, 1_500.0, 250.0, 45),
    completion("draft", 150, 300.0, 80.0, 20),
    plain("reader", ClassKind::Read, 600, 5),
    plain("desk", ClassKind::Order, 50, 5),
];

const fn completion(
    tier: &'static str,
    share: u32,
    prompt: f64,
    output: f64,
    deadline_seconds: u64,
) -> RequestClass {
    RequestClass {
        tier,
        kind: ClassKind::Completion,
        share,
        prompt,
        output,
        deadline: Duration::from_secs(deadline_seconds),
    }
}

const fn plain(
    tier: &'static str,
    kind: ClassKind,
    share: u32,
    deadline_seconds: u64,
) -> RequestClass {
    RequestClass {
        tier,
        kind,
        share,
        prompt: 1.0,
        output: 1.0,
        deadline: Duration::from_secs(deadline_seconds),
    }
}

impl DeploymentMix {
    fn classes(self) -> &'static [RequestClass] {
        match self {
            Self::Ionoveld => &IONOVELD,
            Self::FilPresse => &FIL_PRESSE,
        }
    }

    /// Draws the next request.
    pub fn draw(self, random: &mut impl Rng) -> RequestDraw {
        let classes = self.classes();
        let total: u32 = classes.iter().map(|class| class.share).sum();
        let mut ticket = random.random_range(0..total);
        let mut chosen = classes[0];
        for class in classes {
            chosen = *class;
            if ticket < class.share {
                break;
            }
            ticket -= class.share;
        }
        RequestDraw {
            class: chosen,
            prompt: draw_length(chosen.prompt, random),
            output: draw_length(chosen.output, random),
            prefix: random.random_range(0..PREFIXES),
        }
    }
}

fn draw_length(median: f64, random: &mut impl Rng) -> u32 {
    // The median is a positive constant, which the distribution accepts.
    let Ok(distribution) = LogNormal::new(median.ln(), LENGTH_SIGMA) else {
        return 1;
    };
    let length: f64 = distribution.sample(random);
    length.clamp(1.0, MAX_TOKENS) as u32
}
