//! Deliberate faults of the world, to show that each rule's check can fail.

use crate::ledger::WorldRule;
use strum::{Display, EnumIter};

/// One deliberate fault. None of them is in the daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
pub enum WorldSabotage {
    /// A shell carries each tenth dispatch out twice.
    SendTwice,
    /// A shell says "not sent" after the upstream has begun.
    RunThenNotSent,
    /// The table loses each new claim.
    ForgetClaims,
    /// A shell loses the end of each tenth attempt.
    LoseEnds,
    /// A shell hands each end to the core, but answers its caller twice.
    AnswerTwice,
    /// A recorded answer is given to another key's repeat.
    SwapReplays,
    /// A daemon goes on with the state of one that has just begun.
    SwapCores,
    /// A host's second daemon reads an empty table.
    EmptyTable,
    /// The table says "committed" and writes nothing.
    CommitNothing,
    /// Daemons hear nothing of new configurations, from table or peers, and are told that there
    /// is nothing new.
    HideConfig,
    /// A process ends while it has requests.
    ExitEarly,
    /// A process does not end when it may.
    NeverExit,
    /// The highest tier is refused for load while others wait.
    ShedHighest,
    /// A shell hands a request to the core a second time while it runs.
    RepeatArrival,
}

impl WorldSabotage {
    /// Rules whose checks must notice it.
    pub fn broken_rules(self) -> &'static [WorldRule] {
        match self {
            Self::SendTwice => &[WorldRule::RunsOnce],
            Self::RunThenNotSent => &[WorldRule::NotRunIsTrue],
            Self::ForgetClaims => &[WorldRule::KeyRunsOnce],
            Self::LoseEnds => &[WorldRule::NoneLost],
            Self::AnswerTwice => &[WorldRule::OneAnswer],
            Self::SwapReplays => &[WorldRule::OwnAnswer],
            Self::EmptyTable => &[WorldRule::RestartNeverReverts],
            Self::SwapCores => &[WorldRule::ConfigNeverReverts],
            Self::CommitNothing => &[WorldRule::AcceptedIsCommitted],
            Self::HideConfig => &[WorldRule::LeavingGetsNothing, WorldRule::AcceptedInForce],
            Self::NeverExit => &[WorldRule::StopEnds],
            Self::ExitEarly => &[WorldRule::StopCutsNothing],
            Self::ShedHighest => &[WorldRule::ShedLowestFirst],
            Self::RepeatArrival => &[WorldRule::InProgram],
        }
    }
}
