//! The commands of the tool, one a file.

mod latency;
mod plain;
mod traffic;

use bpaf::Bpaf;
use std::process::ExitCode;

/// Load for real daemons.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum LoadCommand {
    /// Latency that a daemon adds to a streamed completion, against direct calls in the same run
    #[bpaf(command)]
    Latency(#[bpaf(external(latency::latency_options))] latency::LatencyOptions),
    /// Short plain calls a second through one daemon
    #[bpaf(command)]
    Plain(#[bpaf(external(plain::plain_options))] plain::PlainOptions),
    /// A mix shaped like a deployment: goodput by tier, refusals, and whether "not-run" is true
    #[bpaf(command)]
    Traffic(#[bpaf(external(traffic::traffic_options))] traffic::TrafficOptions),
}

/// Runs the command line of this process.
#[must_use]
pub fn run() -> ExitCode {
    match load_command().run() {
        LoadCommand::Latency(options) => latency::run(&options),
        LoadCommand::Plain(options) => plain::run(&options),
        LoadCommand::Traffic(options) => traffic::run(&options),
    }
}
