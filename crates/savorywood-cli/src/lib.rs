//! The commands of the savorywood binary.

use std::process::ExitCode;

/// Runs the command line of this process.
#[must_use]
pub fn run() -> ExitCode {
    ExitCode::SUCCESS
}
