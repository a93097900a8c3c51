//! `savorywood apply`: creates or changes resources.

mod plan;
mod present;
mod wait;
mod write;

pub use plan::{ApplyStage, ApplyStep, plan_steps};
pub use wait::is_in_force;

use crate::{
    client::OperatorClient,
    error::{CommandError, FaultySnafu},
    options::{ServerOptions, server_options},
};
use bpaf::Bpaf;
use present::PresentResources;
use savorywood_protocol::{
    ConfigRevision,
    resource::{ResourceDocument, ResourceKey},
};
use savorywood_settings::{FaultReport, read_resources};
use std::{path::PathBuf, time::Duration};
use write::WriteResult;

/// Options of `apply`.
#[derive(Debug, Clone, Bpaf)]
pub struct ApplyOptions {
    /// Daemon to ask
    #[bpaf(external(server_options))]
    pub server: ServerOptions,
    /// Return once all live daemons have the change in force
    pub wait: bool,
    /// Longest wait with --wait
    #[bpaf(argument("SECONDS"), fallback(30), display_fallback)]
    pub wait_seconds: u64,
    /// Resource file; may be given several times
    #[bpaf(
        short('f'),
        long("file"),
        argument("FILE"),
        complete_shell(bpaf::ShellComp::File { mask: Some("*.json*") }),
        some("name a resource file with -f FILE")
    )]
    pub files: Vec<PathBuf>,
}

/// A resource that is as its file says, and since which revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedResource {
    /// Which.
    pub key: ResourceKey,
    /// Revision that wrote it.
    pub revision: ConfigRevision,
}

/// Creates or changes resources.
///
/// # Errors
///
/// When a file has faults, or the daemon does not answer or refuses. What was applied before the
/// failure stays applied, and is printed.
pub fn run(options: &ApplyOptions, fallback: &ServerOptions) -> Result<(), CommandError> {
    let server = options.server.clone().or(fallback);
    let client = OperatorClient::from_options(&server)?;
    let documents = read_all(&options.files)?;
    let patience = Duration::from_secs(options.wait_seconds);
    async_io::block_on(async {
        let newest = apply_all(&client, documents).await?;
        // Daemons apply revisions in order, so that the newest stands for all.
        if let Some(newest) = newest.filter(|_| options.wait) {
            wait::wait_for(&client, &newest, patience).await?;
            super::print("printing", "in force on all live daemons\n")?;
        }
        Ok(())
    })
}

fn read_all(files: &[PathBuf]) -> Result<Vec<ResourceDocument>, CommandError> {
    let mut documents = Vec::new();
    let mut faults = Vec::new();
    for path in files {
        match read_resources(path) {
            Ok(found) => documents.extend(found),
            Err(report) => faults.extend(report.into_faults()),
        }
    }
    if faults.is_empty() {
        return Ok(documents);
    }
    let report = FaultReport::new(faults);
    FaultySnafu { report }.fail()
}

async fn apply_all(
    client: &OperatorClient,
    documents: Vec<ResourceDocument>,
) -> Result<Option<AppliedResource>, CommandError> {
    let steps = plan_steps(documents);
    let mut present = PresentResources::read(client, &steps).await?;
    let mut newest: Option<AppliedResource> = None;
    for step in &steps {
        let key = step.document.key();
        let written = write::write(client, step, &mut present).await?;
        let (word, revision) = match written {
            WriteResult::Unchanged(revision) => ("unchanged", revision),
            WriteResult::Created(revision) => ("created", revision),
            WriteResult::Changed(revision) => ("changed", revision),
            WriteResult::NotNeeded => continue,
        };
        super::print(
            "printing",
            &format!("{key} {word} at revision {revision}\n"),
        )?;
        if newest
            .as_ref()
            .is_none_or(|newest| newest.revision <= revision)
        {
            newest = Some(AppliedResource { key, revision });
        }
    }
    Ok(newest)
}
