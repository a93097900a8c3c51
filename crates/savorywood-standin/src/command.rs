//! Command line of the `savorywood-standin` binary.

mod engine;
mod plain;
mod platform;
mod proxy;
mod runtime;

use bpaf::Bpaf;
use std::process::ExitCode;

/// What to stand in for.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum StandinCommand {
    Engine(#[bpaf(external(engine::engine_command))] engine::EngineCommand),
    Plain(#[bpaf(external(plain::plain_command))] plain::PlainCommand),
    Platform(#[bpaf(external(platform::platform_command))] platform::PlatformCommand),
    Proxy(#[bpaf(external(proxy::proxy_command))] proxy::ProxyCommand),
}

/// Runs the command line of this process.
#[must_use]
pub fn run() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let ended = match standin_command().run() {
        StandinCommand::Engine(command) => command.run(),
        StandinCommand::Plain(command) => command.run(),
        StandinCommand::Platform(command) => command.run(),
        StandinCommand::Proxy(command) => command.run(),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=start-failed error={:?}", error.to_string());
            ExitCode::FAILURE
        }
    }
}
