//! `savorywood get`: shows resources.

use crate::{
    client::OperatorClient,
    error::CommandError,
    options::{
        KindArgument, NameArgument, ResourceFormat, ServerOptions, kind_argument, server_options,
    },
    table::TextTable,
};
use bpaf::Bpaf;
use savorywood_protocol::resource::{ResourceDocument, ResourceKey, ResourceKind, ResourceSpec};

/// Options of `get`.
#[derive(Debug, Clone, Bpaf)]
pub struct GetOptions {
    /// Daemon to ask
    #[bpaf(external(server_options))]
    pub server: ServerOptions,
    /// table, or json as `apply` reads it
    #[bpaf(
        short('o'),
        long("output"),
        argument("FORMAT"),
        fallback(ResourceFormat::Table),
        display_fallback
    )]
    pub format: ResourceFormat,
    /// Kind of the resource
    #[bpaf(external(kind_argument))]
    pub kind: KindArgument,
    /// Name of the resource; all of the kind without it
    #[bpaf(positional("NAME"))]
    pub name: Option<NameArgument>,
}

/// Shows resources.
///
/// # Errors
///
/// When the daemon does not answer, refuses or has no such resource.
pub fn run(options: &GetOptions, fallback: &ServerOptions) -> Result<(), CommandError> {
    let server = options.server.clone().or(fallback);
    let client = OperatorClient::from_options(&server)?;
    let kind = options.kind.0;
    let text = async_io::block_on(async {
        match &options.name {
            Some(name) => {
                let document = find(&client, kind, &name.0).await?;
                match options.format {
                    ResourceFormat::Json => super::json_text("printing", &document),
                    ResourceFormat::Table => {
                        let conditions = conditions_of(&document);
                        let table = table_of(kind, &[document]);
                        Ok(format!("{table}\n{conditions}"))
                    }
                }
            }
            None => {
                let items = client.list(kind).await?.items;
                match options.format {
                    ResourceFormat::Json => super::json_text("printing", &items),
                    ResourceFormat::Table => Ok(table_of(kind, &items).to_string()),
                }
            }
        }
    })?;
    super::print("printing", &text)
}

async fn find(
    client: &OperatorClient,
    kind: ResourceKind,
    name: &str,
) -> Result<ResourceDocument, CommandError> {
    let name = name.to_owned();
    let key = ResourceKey { kind, name };
    let found = client.get(&key).await?;
    found.ok_or_else(|| CommandError::Failed {
        step: format!("reading {key} at {}", client.address()),
        reason: "there is no such resource".to_owned(),
        remedy: format!("list the names with `savorywood get {kind}`"),
    })
}

/// One line a resource.
#[must_use]
pub fn table_of(kind: ResourceKind, documents: &[ResourceDocument]) -> TextTable {
    let mut heading = vec!["NAME", "REVISION", "IN FORCE", "CONDITIONS"];
    heading.extend(spec_heading(kind));
    let mut table = TextTable::new(&heading);
    for document in documents {
        let status = document.status.as_ref();
        let in_force = status.map(|s| format!("{}/{}", s.members_in_force, s.members_live));
        let conditions = status.map(|status| {
            let holding = status.conditions.iter().filter(|c| c.holds);
            let names: Vec<_> = holding.map(|c| c.kind.to_string()).collect();
            names.join(",")
        });
        let revision = document.revision.unwrap_or_default();
        let mut row = vec![
            document.name.clone(),
            revision.to_string(),
            in_force.unwrap_or_else(|| "-".to_owned()),
            conditions.unwrap_or_else(|| "-".to_owned()),
        ];
        row.extend(spec_cells(document));
        table.push(row);
    }
    table
}

/// One line a condition, with its reason.
#[must_use]
pub fn conditions_of(document: &ResourceDocument) -> TextTable {
    let mut table = TextTable::new(&["CONDITION", "HOLDS", "SINCE", "REASON", "MESSAGE"]);
    let status = document.status.as_ref();
    for condition in status.into_iter().flat_map(|status| &status.conditions) {
        table.push(vec![
            condition.kind.to_string(),
            condition.holds.to_string(),
            condition.since.to_string(),
            condition.reason.clone(),
            condition.message.clone(),
        ]);
    }
    table
}

fn spec_heading(kind: ResourceKind) -> &'static [&'static str] {
    match kind {
        ResourceKind::Service => &["PROTOCOL", "VERSION"],
        ResourceKind::Tier => &["RANK"],
        ResourceKind::Team => &["TIERS", "WEIGHT"],
        ResourceKind::Upstream => &["SERVICE", "VERSION", "ZONE", "ADDRESS", "DRAINING"],
        ResourceKind::Version => &["SERVICE"],
        ResourceKind::Move => &["SERVICE", "FROM", "TO", "FINISH BY", "STATE"],
    }
}

fn spec_cells(document: &ResourceDocument) -> Vec<String> {
    match &document.spec {
        ResourceSpec::Service(spec) => {
            let version = spec.version.as_ref();
            let version = version.map_or_else(|| "any".to_owned(), ToString::to_string);
            vec![spec.protocol.to_string(), version]
        }
        ResourceSpec::Tier(spec) => vec![spec.rank.to_string()],
        ResourceSpec::Team(spec) => {
            let tiers: Vec<_> = spec.tiers.iter().map(ToString::to_string).collect();
            vec![tiers.join(","), spec.weight.to_string()]
        }
        ResourceSpec::Upstream(spec) => vec![
            spec.service.to_string(),
            spec.version.to_string(),
            spec.zone.to_string(),
            spec.address.to_string(),
            spec.draining.to_string(),
        ],
        ResourceSpec::Version(spec) => vec![spec.service.to_string()],
        ResourceSpec::Move(spec) => {
            let state = document.status.as_ref().and_then(|s| s.move_state);
            let state = state.map_or_else(|| "-".to_owned(), |state| state.to_string());
            vec![
                spec.service.to_string(),
                spec.from.to_string(),
                spec.to.to_string(),
                spec.finish_by.to_string(),
                state,
            ]
        }
    }
}
