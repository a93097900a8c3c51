//! `savorywood serve`: runs a daemon.

use crate::{
    error::{CommandError, FaultySnafu, SecretSnafu},
    process,
};
use bpaf::Bpaf;
use savorywood_core::{CoreOptions, TokenDigest};
use savorywood_daemon::{
    DaemonLinks, DaemonOptions, DaemonOptionsBuilder, ListenAddresses, RunningDaemon,
};
use savorywood_http::{ClientLimits, ServerLimits};
use savorywood_platform::PlatformOptions;
use savorywood_protocol::{HostIncarnation, WallTime, peer::DatagramKey, resume_token::ResumeKey};
use savorywood_settings::{DaemonSettings, SecretBytes};
use sha2::{Digest, Sha256};
use snafu::ResultExt;
use std::{path::PathBuf, time::SystemTime};

/// Options of `serve`.
#[derive(Debug, Clone, Bpaf)]
pub struct ServeOptions {
    /// Settings of the daemon
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
    /// Only check the settings and the files that they name
    pub check: bool,
}

/// Secrets of a daemon, read from their files.
struct DaemonSecrets {
    peer_key: SecretBytes,
    operator_token: SecretBytes,
    resume_key: SecretBytes,
}

/// Runs a daemon until it is told to stop.
///
/// # Errors
///
/// When the settings have faults, a secret can't be read or the daemon can't start.
pub fn run(options: &ServeOptions) -> Result<(), CommandError> {
    let settings =
        DaemonSettings::read(&options.settings).map_err(|report| FaultySnafu { report }.build())?;
    let secrets = DaemonSecrets::load(&settings)?;
    if options.check {
        let host = &settings.host;
        let text = format!(
            "{}: settings of host {host}: ok\n",
            options.settings.display()
        );
        return super::print("checking settings", &text);
    }
    let workers = settings.limits.executor_threads;
    process::run_with_workers(workers, async |executor| {
        let daemon_options = daemon_options(&settings, &secrets);
        let daemon = RunningDaemon::start(daemon_options, executor).await;
        let daemon = daemon.map_err(|error| start_failed(&error))?;
        log::info!(
            "event=serving host={} callers={}",
            settings.host,
            daemon.caller_address()
        );
        process::serve_until_stopped(&daemon, settings.stop.drain).await
    })
}

impl DaemonSecrets {
    fn load(settings: &DaemonSettings) -> Result<Self, CommandError> {
        let keys = &settings.keys;
        Ok(Self {
            peer_key: keys.peer_key_file.load().context(SecretSnafu)?,
            operator_token: keys.operator_token_file.load().context(SecretSnafu)?,
            resume_key: keys.resume_key_file.load().context(SecretSnafu)?,
        })
    }
}

fn daemon_options(settings: &DaemonSettings, secrets: &DaemonSecrets) -> DaemonOptions {
    let platform = &settings.platform;
    let links = DaemonLinks {
        platform: PlatformOptions::new(platform.table_address)
            .object_address(platform.object_address)
            .host_list_address(platform.host_list_address)
            .call_time(platform.call_timeout)
            .writes_per_second(settings.budgets.table_writes_per_second),
        peer_key: DatagramKey::derive(secrets.peer_key.expose()),
    };
    let listen = ListenAddresses {
        callers: settings.listen_callers,
        peers: settings.listen_peers,
    };
    let digest = Sha256::digest(secrets.operator_token.expose());
    DaemonOptionsBuilder::new(core_options(settings, secrets), listen, links)
        .server_limits(server_limits(settings))
        .client_limits(client_limits(settings))
        .operator_token(TokenDigest(digest.into()))
        .peer_bytes_per_second(settings.budgets.peer_bytes_per_second)
        .build()
}

fn core_options(settings: &DaemonSettings, secrets: &DaemonSecrets) -> CoreOptions {
    let started_at = WallTime::from_system(SystemTime::now());
    CoreOptions {
        host: settings.host.clone(),
        // The clock may have gone back since the last start; the membership duty notices and
        // goes on under a larger one.
        incarnation: HostIncarnation(started_at.0),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        peer_address: settings.advertise_peers,
        caller_address: settings.advertise_callers,
        address_max_age: settings.stop.address_max_age,
        resume_key: Some(ResumeKey::derive(secrets.resume_key.expose())),
        seed: settings.seed.unwrap_or(started_at.0),
    }
}

fn server_limits(settings: &DaemonSettings) -> ServerLimits {
    let limits = &settings.limits;
    ServerLimits {
        connections: limits.connections,
        head_bytes: limits.head_bytes,
        body_bytes: limits.body_bytes,
        head_time: limits.head_time,
        body_time: limits.body_time,
        write_time: limits.write_time,
        idle_time: limits.idle_time,
    }
}

fn client_limits(settings: &DaemonSettings) -> ClientLimits {
    ClientLimits {
        idle_connections: settings.limits.upstream_connections,
        ..ClientLimits::default()
    }
}

fn start_failed(error: &savorywood_daemon::DaemonError) -> CommandError {
    CommandError::Failed {
        step: "starting the daemon".to_owned(),
        reason: error.to_string(),
        remedy: "check the listen addresses in the settings, and what else listens there"
            .to_owned(),
    }
}
