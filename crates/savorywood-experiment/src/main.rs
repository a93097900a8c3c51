//! The `savorywood-experiment` binary: a thin wrapper around the experiment library.

fn main() -> std::process::ExitCode {
    savorywood_experiment::cli::run()
}
