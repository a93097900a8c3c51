//! What happens to the engines during a run.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Slowdown of the engines that run hot.
const HOT_FACTOR: f64 = 2.0;
/// Every this many engines one runs hot.
const HOT_EVERY: usize = 3;
/// Engine that stalls.
const STALLED_ENGINE: usize = 3;

/// Trouble during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum TroubleKind {
    /// None.
    Steady,
    /// A third of the engines slow to half in the middle of the run and recover.
    HotAfternoon,
    /// One engine accepts work and does nothing for a fifth of the run.
    StalledEngine,
}

/// One cell of the table: a load and a trouble.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunScenario {
    /// Offered work as a share of capacity.
    pub load: f64,
    /// Trouble.
    pub trouble: TroubleKind,
    /// Seconds during which requests arrive.
    pub time: f64,
    /// Seed of the workload and of all else.
    pub seed: u64,
}

impl RunScenario {
    /// How many times slower an engine is at a time.
    #[must_use]
    pub fn slowdown(&self, engine: usize, at: f64) -> f64 {
        let hot = (0.4..0.7).contains(&(at / self.time));
        match self.trouble {
            TroubleKind::HotAfternoon if hot && engine.is_multiple_of(HOT_EVERY) => HOT_FACTOR,
            TroubleKind::HotAfternoon | TroubleKind::Steady | TroubleKind::StalledEngine => 1.0,
        }
    }

    /// When an engine that stands still at `at` goes on, if it does stand still.
    #[must_use]
    pub fn stalled_until(&self, engine: usize, at: f64) -> Option<f64> {
        let stalled = self.trouble == TroubleKind::StalledEngine && engine == STALLED_ENGINE;
        let within = (0.4..0.6).contains(&(at / self.time));
        (stalled && within).then_some(self.time * 0.6)
    }
}
