//! `savorywood report`: reports over all daemons.

use crate::{
    burn::{ReportInput, SilentMember, build_report},
    client::OperatorClient,
    error::CommandError,
    options::{ServerOptions, server_options},
};
use bpaf::Bpaf;
use savorywood_protocol::{
    api::MemberSummary, burn::DaemonBurnReport, peer::membership::MemberState,
    resource::ResourceKind,
};
use std::collections::BTreeMap;
use strum::{Display, EnumString};

/// Members that are asked at once. One that hangs holds up only its own place.
const ASKED_AT_ONCE: usize = 32;

/// Which report.
#[derive(Debug, Clone, Bpaf)]
pub enum ReportCommand {
    /// How fast services spend the errors that their targets allow
    #[bpaf(
        command("burn"),
        footer(
            "A burn rate of 1 uses up the allowed errors just in time. The number of requests is in brackets.\n `page`: 14.4 over 1h and 5m, or 6 over 6h and 1h. `ticket`: 1 over 3d and 6h.\n Examples:\n   savorywood report burn\n   savorywood report burn -o json"
        )
    )]
    Burn(#[bpaf(external(burn_options))] BurnOptions),
}

/// How to print a report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum ReportFormat {
    /// A table.
    #[default]
    Text,
    /// JSON with all counts.
    Json,
}

/// Options of `report burn`.
#[derive(Debug, Clone, Bpaf)]
pub struct BurnOptions {
    /// Daemon to ask for the others
    #[bpaf(external(server_options))]
    pub server: ServerOptions,
    /// text or json
    #[bpaf(
        short('o'),
        long("output"),
        argument("FORMAT"),
        fallback(ReportFormat::Text),
        display_fallback
    )]
    pub format: ReportFormat,
}

/// What one member answered.
enum MemberAnswer {
    Counted(DaemonBurnReport),
    Silent(SilentMember),
}

/// Prints a report.
///
/// # Errors
///
/// When the daemon that is asked for the others does not answer or refuses.
pub fn run(command: &ReportCommand, fallback: &ServerOptions) -> Result<(), CommandError> {
    let ReportCommand::Burn(options) = command;
    let server = options.server.clone().or(fallback);
    let client = OperatorClient::from_options(&server)?;
    let input = async_io::block_on(collect(&client))?;
    let report = build_report(input);
    let text = match options.format {
        ReportFormat::Text => report.to_string(),
        ReportFormat::Json => super::json_text("printing", &report)?,
    };
    super::print("printing", &text)
}

/// Asks all live daemons for their counts.
///
/// # Errors
///
/// When the daemon that is asked for the others does not answer or refuses.
pub async fn collect(client: &OperatorClient) -> Result<ReportInput, CommandError> {
    let mut input = ReportInput::default();
    for kind in [ResourceKind::Service, ResourceKind::Tier] {
        input.resources.extend(client.list(kind).await?.items);
    }
    // Dead members have nothing to add; their hosts are gone with their counts.
    let members = client.members().await?.into_iter();
    let members: Vec<_> = members.filter(|m| m.state != MemberState::Dead).collect();
    for answer in ask_all(client, members).await {
        match answer {
            MemberAnswer::Counted(daemon) => input.daemons.push(daemon),
            MemberAnswer::Silent(member) => input.silent.push(member),
        }
    }
    Ok(input)
}

/// Asks members side by side and keeps their order.
async fn ask_all(client: &OperatorClient, members: Vec<MemberSummary>) -> Vec<MemberAnswer> {
    let executor = async_executor::LocalExecutor::new();
    let (queue, waiting) = async_channel::bounded(members.len().max(1));
    for place in members.into_iter().enumerate() {
        // The queue has room for all members, so that this can't fail.
        if queue.try_send(place).is_err() {
            break;
        }
    }
    queue.close();
    let workers: Vec<_> = (0..ASKED_AT_ONCE)
        .map(|_| {
            let (client, waiting) = (client.clone(), waiting.clone());
            executor.spawn(async move {
                let mut answers = Vec::new();
                while let Ok((place, member)) = waiting.recv().await {
                    answers.push((place, ask(&client, member).await));
                }
                answers
            })
        })
        .collect();
    let gather = async {
        let mut answers = BTreeMap::new();
        for worker in workers {
            answers.extend(worker.await);
        }
        answers
    };
    let answers = executor.run(gather).await;
    answers.into_values().collect()
}

async fn ask(client: &OperatorClient, member: MemberSummary) -> MemberAnswer {
    let answered = client.at(member.caller_address).burn().await;
    let reason = match answered {
        Ok(daemon) if daemon.host == member.host => return MemberAnswer::Counted(daemon),
        Ok(daemon) => format!("host {} answers at its address", daemon.host),
        Err(error) => error
            .to_string()
            .lines()
            .next()
            .unwrap_or_default()
            .to_owned(),
    };
    MemberAnswer::Silent(SilentMember {
        host: member.host,
        address: member.caller_address,
        reason,
    })
}
