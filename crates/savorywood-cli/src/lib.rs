//! The commands of the savorywood binary.

pub mod burn;
pub mod client;
pub mod commands;
pub mod error;
pub mod logging;
pub mod options;
mod process;
pub mod table;
pub mod trace;

pub use error::CommandError;
pub use options::{CliCommand, CliOptions};

use std::{io::ErrorKind, process::ExitCode};

/// Exit code of a command line that can't be understood.
const EXIT_USAGE: u8 = 2;

/// Runs the command line of this process. Ends with 0 when the command did its work, 1 when it
/// failed and 2 when the command line can't be understood.
#[must_use]
pub fn run() -> ExitCode {
    let parsed = options::cli_options().run_inner(bpaf::Args::current_args());
    let options = match parsed {
        Ok(options) => options,
        Err(failure) => return explain(&failure),
    };
    match commands::run(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error @ CommandError::Usage { .. }) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_USAGE)
        }
        // The reader went away, such as `head` after its last line: it has what it wanted.
        Err(CommandError::Output { source, .. }) if source.kind() == ErrorKind::BrokenPipe => {
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Shows help, completions and mistakes of the command line.
fn explain(failure: &bpaf::ParseFailure) -> ExitCode {
    const WIDTH: usize = 100;
    failure.print_message(WIDTH);
    if failure.clone().exit_code() == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_USAGE)
    }
}
