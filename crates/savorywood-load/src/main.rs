//! The `savorywood-load` binary: a thin wrapper around the load library.

use std::process::ExitCode;

fn main() -> ExitCode {
    savorywood_load::run()
}
