//! `savorywood delete`: deletes a resource.

use crate::{
    client::{OperatorClient, WriteCondition},
    error::CommandError,
    options::{KindArgument, NameArgument, ServerOptions, kind_argument, server_options},
};
use bpaf::Bpaf;
use savorywood_protocol::{ConfigRevision, resource::ResourceKey};

/// Options of `delete`.
#[derive(Debug, Clone, Bpaf)]
pub struct DeleteOptions {
    /// Daemon to ask
    #[bpaf(external(server_options))]
    pub server: ServerOptions,
    /// Only when the resource has this revision
    #[bpaf(argument("REVISION"))]
    pub if_match: Option<u64>,
    /// Kind of the resource
    #[bpaf(external(kind_argument))]
    pub kind: KindArgument,
    /// Name of the resource
    #[bpaf(positional("NAME"))]
    pub name: NameArgument,
}

/// Deletes a resource.
///
/// # Errors
///
/// When the daemon does not answer or refuses, such as while others name the resource.
pub fn run(options: &DeleteOptions, fallback: &ServerOptions) -> Result<(), CommandError> {
    let server = options.server.clone().or(fallback);
    let client = OperatorClient::from_options(&server)?;
    let key = ResourceKey {
        kind: options.kind.0,
        name: options.name.0.clone(),
    };
    let condition = match options.if_match {
        Some(revision) => WriteCondition::Revision(ConfigRevision(revision)),
        None => WriteCondition::Always,
    };
    let accepted = async_io::block_on(client.delete(&key, condition))?;
    let text = format!("{key} deleted at revision {}\n", accepted.revision);
    super::print("printing", &text)
}
