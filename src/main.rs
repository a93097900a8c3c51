//! The `savorywood` binary: a thin wrapper around the command crate.

use std::process::ExitCode;

fn main() -> ExitCode {
    savorywood_cli::run()
}
