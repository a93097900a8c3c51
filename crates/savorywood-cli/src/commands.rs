//! The commands, one a file.

pub mod apply;
pub mod check;
pub mod delete;
pub mod dev;
pub mod explain;
pub mod get;
pub mod report;
pub mod serve;
pub mod watch;

use crate::{
    error::{CommandError, OutputSnafu},
    logging,
    options::{CliCommand, CliOptions},
};
use log::LevelFilter;
use serde::Serialize;
use snafu::ResultExt;
use std::io::{Write, stdout};

/// Runs one command.
///
/// # Errors
///
/// Says what failed, at which peer, and what to do.
pub fn run(options: CliOptions) -> Result<(), CommandError> {
    let CliOptions {
        default_server,
        cli_command,
    } = options;
    logging::start(match cli_command {
        CliCommand::Serve(_) | CliCommand::Dev(_) => LevelFilter::Info,
        _ => LevelFilter::Warn,
    });
    match cli_command {
        CliCommand::Serve(options) => serve::run(&options),
        CliCommand::Dev(options) => dev::run(&options),
        CliCommand::Check(options) => check::run(&options),
        CliCommand::Apply(options) => apply::run(&options, &default_server),
        CliCommand::Get(options) => get::run(&options, &default_server),
        CliCommand::Explain(options) => explain::run(&options),
        CliCommand::Delete(options) => delete::run(&options, &default_server),
        CliCommand::Watch(options) => watch::run(&options, &default_server),
        CliCommand::Report(command) => report::run(&command, &default_server),
    }
}

/// Writes to standard output.
fn print(step: &str, text: &str) -> Result<(), CommandError> {
    let mut out = stdout().lock();
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    written.context(OutputSnafu { step })
}

/// Indented JSON with a line break at its end.
fn json_text<T: Serialize>(step: &str, value: &T) -> Result<String, CommandError> {
    let text = serde_json::to_string_pretty(value).map_err(|error| CommandError::Failed {
        step: step.to_owned(),
        reason: error.to_string(),
        remedy: "report this as a defect".to_owned(),
    })?;
    Ok(text + "\n")
}
