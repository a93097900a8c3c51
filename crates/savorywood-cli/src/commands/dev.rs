//! `savorywood dev`: a daemon with stand-ins in one process.

mod resources;
mod standins;

use crate::{
    client::{OperatorClient, WriteCondition},
    error::CommandError,
    process,
};
use async_executor::Executor;
use async_io::Timer;
use bpaf::Bpaf;
use savorywood_core::{CoreOptions, TokenDigest};
use savorywood_daemon::{DaemonLinks, DaemonOptionsBuilder, ListenAddresses, RunningDaemon};
use savorywood_platform::PlatformOptions;
use savorywood_protocol::{
    HostIncarnation, HostName, RegionName, WallTime, ZoneName, host_list::HostDocument,
    peer::DatagramKey, resume_token::ResumeKey,
};
use sha2::{Digest, Sha256};
use standins::DevStandins;
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

/// Token of the operators.
const OPERATOR_TOKEN: &str = "dev-operator";

/// Token of the only team.
const TEAM_TOKEN: &str = "dev-team";

/// Threads that run tasks.
const WORKERS: usize = 4;

/// Longest wait for open requests at the end.
const DRAIN: Duration = Duration::from_secs(10);

/// How long callers may keep an address.
const ADDRESS_MAX_AGE: Duration = Duration::from_secs(1);

/// Time within which the daemon must have read the platform.
const READY_TIME: Duration = Duration::from_secs(10);

/// Options of `dev`.
#[derive(Debug, Clone, Bpaf)]
pub struct DevOptions {
    /// Where to listen for callers and operators
    #[bpaf(argument("ADDR"), fallback(SocketAddr::from(([127, 0, 0, 1], 7400))), display_fallback)]
    pub listen: SocketAddr,
}

/// Runs a daemon and stand-ins until it is told to stop.
///
/// # Errors
///
/// When an address can't be bound.
pub fn run(options: &DevOptions) -> Result<(), CommandError> {
    process::run_with_workers(WORKERS, async |executor| {
        let standins = DevStandins::start(&executor).await?;
        let daemon = start_daemon(options, &standins, &executor).await?;
        let client = OperatorClient::new(daemon.caller_address(), Some(OPERATOR_TOKEN.to_owned()));
        wait_until_ready(&daemon).await?;
        for document in resources::documents(&standins, TEAM_TOKEN)? {
            client.put(&document, WriteCondition::Always).await?;
        }
        super::print("greeting", &greeting(daemon.caller_address()))?;
        process::serve_until_stopped(&daemon, DRAIN).await
    })
}

async fn start_daemon(
    options: &DevOptions,
    standins: &DevStandins,
    executor: &Arc<Executor<'static>>,
) -> Result<RunningDaemon, CommandError> {
    let listen = ListenAddresses {
        callers: options.listen,
        peers: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
    };
    let links = DaemonLinks {
        platform: PlatformOptions::new(standins.platform.address()),
        peer_key: DatagramKey::derive(b"only this process"),
    };
    let digest = Sha256::digest(OPERATOR_TOKEN.as_bytes());
    let core = core_options(listen)?;
    let daemon_options = DaemonOptionsBuilder::new(core, listen, links)
        .operator_token(TokenDigest(digest.into()))
        .build();
    let daemon = RunningDaemon::start(daemon_options, Arc::clone(executor)).await;
    let daemon = daemon.map_err(|error| CommandError::Failed {
        step: "starting the daemon".to_owned(),
        reason: error.to_string(),
        remedy: "choose another address with --listen".to_owned(),
    })?;
    list_host(standins, &daemon)?;
    Ok(daemon)
}

fn core_options(listen: ListenAddresses) -> Result<CoreOptions, CommandError> {
    let started_at = WallTime::from_system(SystemTime::now());
    Ok(CoreOptions {
        host: HostName::new("dev").map_err(bad_name)?,
        incarnation: HostIncarnation(started_at.0),
        zone: ZoneName::new(resources::ZONE).map_err(bad_name)?,
        region: RegionName::new(resources::REGION).map_err(bad_name)?,
        peer_address: listen.peers,
        caller_address: listen.callers,
        address_max_age: ADDRESS_MAX_AGE,
        resume_key: Some(ResumeKey::derive(b"only this process")),
        seed: started_at.0,
    })
}

fn list_host(standins: &DevStandins, daemon: &RunningDaemon) -> Result<(), CommandError> {
    standins.platform.put_host(HostDocument {
        host: HostName::new("dev").map_err(bad_name)?,
        peer_address: daemon.peer_address(),
        caller_address: daemon.caller_address(),
        zone: ZoneName::new(resources::ZONE).map_err(bad_name)?,
        region: RegionName::new(resources::REGION).map_err(bad_name)?,
        leaving: false,
    });
    Ok(())
}

async fn wait_until_ready(daemon: &RunningDaemon) -> Result<(), CommandError> {
    let until = Instant::now() + READY_TIME;
    while let Err(reason) = daemon.readiness() {
        if Instant::now() > until {
            return Err(CommandError::Failed {
                step: "waiting for the daemon".to_owned(),
                reason: reason.to_string(),
                remedy: "look at the log above".to_owned(),
            });
        }
        Timer::after(Duration::from_millis(20)).await;
    }
    Ok(())
}

fn bad_name(error: savorywood_protocol::NameError) -> CommandError {
    CommandError::Failed {
        step: "naming".to_owned(),
        reason: error.to_string(),
        remedy: "report this as a defect".to_owned(),
    }
}

fn greeting(address: SocketAddr) -> String {
    format!(
        "savorywood dev serves at http://{address}, with two engines of unlike speed, a plain \
         service and a platform that forgets everything at its end.

Try, in another terminal:

  curl -N http://{address}/v1/chat/completions -H 'Authorization: Bearer {TEAM_TOKEN}' \\
    -d '{{\"model\": \"notes\", \"stream\": true, \"max_tokens\": 12, \"messages\": \
         [{{\"role\": \"user\", \"content\": \"How large is the delay over Ghent?\"}}]}}'

  curl http://{address}/services/wire/stories -H 'Authorization: Bearer {TEAM_TOKEN}'

  export SAVORYWOOD_SERVER={address} SAVORYWOOD_TOKEN={OPERATOR_TOKEN}
  savorywood get upstream
  savorywood report burn

Stop it with Ctrl-C.
"
    )
}
