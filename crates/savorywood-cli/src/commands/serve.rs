//! `savorywood serve`: runs a daemon.

use crate::error::{CommandError, FaultySnafu, SecretSnafu};
use bpaf::Bpaf;
use savorywood_settings::DaemonSettings;
use snafu::ResultExt;
use std::path::PathBuf;

/// Options of `serve`.
#[derive(Debug, Clone, Bpaf)]
pub struct ServeOptions {
    /// Settings of the daemon
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
    /// Only check the settings and the files that they name
    pub check: bool,
}

/// Runs a daemon until it is told to stop.
///
/// # Errors
///
/// When the settings have faults, a secret can't be read or the daemon can't start.
pub fn run(options: &ServeOptions) -> Result<(), CommandError> {
    let settings =
        DaemonSettings::read(&options.settings).map_err(|report| FaultySnafu { report }.build())?;
    let keys = &settings.keys;
    for file in [
        &keys.peer_key_file,
        &keys.operator_token_file,
        &keys.resume_key_file,
    ] {
        file.load().context(SecretSnafu)?;
    }
    if options.check {
        let host = &settings.host;
        let text = format!(
            "{}: settings of host {host}: ok\n",
            options.settings.display()
        );
        return super::print("checking settings", &text);
    }
    Err(CommandError::Failed {
        step: "serving".to_owned(),
        reason: "this build holds no daemon".to_owned(),
        remedy: "use a release that does".to_owned(),
    })
}
