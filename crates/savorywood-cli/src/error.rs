//! Why a command failed, and what to do about it.

use savorywood_http::SendError;
use savorywood_protocol::{OutcomeKind, api::ProblemSummary};
use savorywood_settings::{FaultReport, SecretError};
use snafu::Snafu;
use std::{fmt, io, net::SocketAddr};

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CommandError {
    /// The command line makes no sense.
    #[snafu(display("error: {message}"))]
    Usage {
        /// What is wrong and what to write instead.
        message: String,
    },
    /// Files have faults.
    #[snafu(display("{report}"))]
    Faulty {
        /// The faults.
        report: FaultReport,
    },
    /// A secret can't be read.
    #[snafu(display("error: {source}"))]
    Secret {
        /// Why.
        source: SecretError,
    },
    /// A daemon gave no answer.
    #[snafu(display(
        "error: {step}: {source}\n  = outcome: {}\n  = remedy: {}",
        outcome_of(source),
        remedy_for(source)
    ))]
    Unanswered {
        /// What was being done.
        step: String,
        /// Daemon that was asked.
        peer: SocketAddr,
        /// What went wrong.
        source: SendError,
    },
    /// A daemon refused.
    #[snafu(display("error: {step}: {peer} answered {status}{problem}"))]
    Refused {
        /// What was being done.
        step: String,
        /// Daemon that was asked.
        peer: SocketAddr,
        /// HTTP status.
        status: u16,
        /// What it said.
        problem: Box<ProblemText>,
    },
    /// A daemon's answer can't be understood.
    #[snafu(display(
        "error: {step}: {peer} answered what this release can't read: {reason}\n  = remedy: check \
         that the address is a savorywood daemon's, of this release or a nearby one"
    ))]
    Unreadable {
        /// What was being done.
        step: String,
        /// Daemon that was asked.
        peer: SocketAddr,
        /// What can't be read.
        reason: String,
    },
    /// A state that was waited for did not come.
    #[snafu(display("error: {step}: {state} after {seconds} s\n  = remedy: {remedy}"))]
    NotReached {
        /// What was being done.
        step: String,
        /// What was seen last.
        state: String,
        /// How long it was waited for.
        seconds: u64,
        /// What to do.
        remedy: String,
    },
    /// Output could not be written.
    #[snafu(display("error: {step}: {source}\n  = remedy: check where the output goes"))]
    Output {
        /// What was being done.
        step: String,
        /// What the system said.
        source: io::Error,
    },
    /// The daemon could not be run.
    #[snafu(display("error: {step}: {reason}\n  = remedy: {remedy}"))]
    Failed {
        /// What was being done.
        step: String,
        /// Why it failed.
        reason: String,
        /// What to do.
        remedy: String,
    },
}

/// Shows a problem as lines of a report.
#[derive(Debug, Clone, PartialEq)]
pub struct ProblemText(pub ProblemSummary);

impl fmt::Display for ProblemText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let problem = &self.0;
        write!(f, " {}: {}", problem.code, problem.detail)?;
        for fault in &problem.faults {
            write!(f, "\n  - {}: {}", fault.path, fault.message)?;
            write!(f, "\n    = remedy: {}", fault.remedy)?;
        }
        if let Some(current) = &problem.current {
            let revision = current.revision.unwrap_or_default();
            write!(f, "\n  = current: {} at revision {revision}", current.key())?;
        }
        if let Some(outcome) = problem.outcome {
            write!(f, "\n  = outcome: {outcome}")?;
        }
        if let Some(millis) = problem.retry_after_ms {
            write!(f, "\n  = retry after: {millis} ms")?;
        }
        write!(f, "\n  = remedy: {}", remedy_of_code(&problem.code))
    }
}

/// Whether a call that got no answer can have taken effect.
#[must_use]
pub fn outcome_of(error: &SendError) -> OutcomeKind {
    match error {
        SendError::NotSent { .. } => OutcomeKind::NotRun,
        SendError::Broken { .. } => OutcomeKind::Unknown,
    }
}

fn remedy_for(error: &SendError) -> &'static str {
    match error {
        SendError::NotSent { .. } => "check --server and that the daemon runs, or ask another one",
        SendError::Broken { .. } => "get the resource to see whether the change took effect",
    }
}

fn remedy_of_code(code: &str) -> &'static str {
    match code {
        "unauthorized" | "forbidden" => "give the operators' token by --token-file",
        "revision-conflict" => "get the resource, decide again, and apply with its revision",
        "store-unavailable" | "not-ready" | "config-stale" => {
            "ask another daemon, or try again once the platform's table answers"
        }
        "not-found" => "list the kind with `savorywood get KIND`",
        "bad-request" => "correct the resource as said above",
        _ => "see the daemon's log; lines carry event=",
    }
}
