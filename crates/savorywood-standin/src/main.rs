//! The `savorywood-standin` binary: a thin wrapper around the stand-in library.

use std::process::ExitCode;

fn main() -> ExitCode {
    savorywood_standin::command::run()
}
