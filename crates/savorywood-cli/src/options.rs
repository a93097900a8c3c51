//! The command line as typed values.

use crate::commands::{
    apply::{ApplyOptions, apply_options},
    check::{CheckOptions, check_options},
    delete::{DeleteOptions, delete_options},
    dev::{DevOptions, dev_options},
    explain::{ExplainOptions, explain_options},
    get::{GetOptions, get_options},
    report::{ReportCommand, report_command},
    serve::{ServeOptions, serve_options},
    watch::{WatchOptions, watch_options},
};
use bpaf::{Bpaf, Parser};
use savorywood_protocol::{name, resource::ResourceKind};
use savorywood_settings::decode;
use std::{net::SocketAddr, path::PathBuf, str::FromStr};
use strum::{Display, EnumString, IntoEnumIterator};

/// Schedules requests between callers and model engines or plain services
#[derive(Debug, Clone, Bpaf)]
#[bpaf(
    options,
    version,
    footer(
        "Completion for the shell, to be sourced at its start:\n   savorywood --bpaf-complete-style-bash\n   savorywood --bpaf-complete-style-zsh\n   savorywood --bpaf-complete-style-fish\n Exit codes: 0 done, 1 failed, 2 the command line can't be understood."
    )
)]
pub struct CliOptions {
    /// Daemon to talk to, also after the command
    #[bpaf(external)]
    pub default_server: ServerOptions,
    /// What to do
    #[bpaf(external)]
    pub cli_command: CliCommand,
}

/// How a daemon is reached by operators.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerOptions {
    /// IP address and port of any daemon.
    pub server: Option<SocketAddr>,
    /// File with the operators' token.
    pub token_file: Option<PathBuf>,
}

impl ServerOptions {
    /// These options, with those that are absent taken from `fallback`.
    #[must_use]
    pub fn or(self, fallback: &Self) -> Self {
        Self {
            server: self.server.or(fallback.server),
            token_file: self.token_file.or_else(|| fallback.token_file.clone()),
        }
    }
}

/// Server options before the command; the address may come from the environment.
fn default_server() -> impl Parser<ServerOptions> {
    let server = bpaf::long("server")
        .env("SAVORYWOOD_SERVER")
        .help("IP address and port of any daemon")
        .argument::<SocketAddr>("ADDR")
        .optional();
    let token_file = token_file();
    bpaf::construct!(ServerOptions { server, token_file })
}

/// Server options after the command; they go before those in front of it.
pub fn server_options() -> impl Parser<ServerOptions> {
    let server = bpaf::long("server")
        .help("IP address and port of any daemon, or SAVORYWOOD_SERVER")
        .argument::<SocketAddr>("ADDR")
        .optional();
    let token_file = token_file();
    bpaf::construct!(ServerOptions { server, token_file })
}

/// The token itself may be in the environment, but is read apart: help would show it.
fn token_file() -> impl Parser<Option<PathBuf>> {
    bpaf::long("token-file")
        .help("File with the operators' token, or the token in SAVORYWOOD_TOKEN")
        .argument::<PathBuf>("FILE")
        .complete_shell(bpaf::ShellComp::File { mask: None })
        .optional()
}

/// What to do.
#[derive(Debug, Clone, Bpaf)]
pub enum CliCommand {
    /// Run a daemon until SIGTERM, then stop it without cutting off a request
    #[bpaf(
        command("serve"),
        footer(
            "Examples:\n   savorywood serve --settings /etc/savorywood/settings.json\n   savorywood serve --settings settings.json --check"
        )
    )]
    Serve(#[bpaf(external(serve_options))] ServeOptions),
    /// Run a daemon with stand-ins for the platform and engines, for a first try
    #[bpaf(
        command("dev"),
        footer("Examples:\n   savorywood dev\n   savorywood dev --listen 127.0.0.1:9090")
    )]
    Dev(#[bpaf(external(dev_options))] DevOptions),
    /// Check settings and resource files; all faults are told at once
    #[bpaf(
        command("check"),
        footer(
            "Resources may name each other across the files.\n Examples:\n   savorywood check settings.json\n   savorywood check services.json teams.json"
        )
    )]
    Check(#[bpaf(external(check_options))] CheckOptions),
    /// Create or change resources
    #[bpaf(
        command("apply"),
        footer(
            "Resources that are already as the file says are left alone.\n Examples:\n   savorywood apply -f resources.json --wait\n   savorywood get team survey -o json > team.json\n   savorywood apply -f team.json"
        )
    )]
    Apply(#[bpaf(external(apply_options))] ApplyOptions),
    /// Show resources and their status
    #[bpaf(
        command("get"),
        footer(
            "Examples:\n   savorywood get upstream\n   savorywood get move notes-to-v2 -o json"
        )
    )]
    Get(#[bpaf(external(get_options))] GetOptions),
    /// Delete a resource
    #[bpaf(
        command("delete"),
        footer(
            "Deleting a move takes it back.\n Examples:\n   savorywood delete upstream runner-7\n   savorywood delete team survey --if-match 412"
        )
    )]
    Delete(#[bpaf(external(delete_options))] DeleteOptions),
    /// Show changes of resources as they come, one JSON object a line
    #[bpaf(
        command("watch"),
        footer("Examples:\n   savorywood watch move\n   savorywood watch upstream --from 412")
    )]
    Watch(#[bpaf(external(watch_options))] WatchOptions),
    /// Show reports
    #[bpaf(
        command("report"),
        footer("Examples:\n   savorywood report burn\n   savorywood report burn -o json")
    )]
    Report(#[bpaf(external(report_command))] ReportCommand),
    /// Tell one request's way from the logs of several daemons
    #[bpaf(
        command("explain"),
        footer(
            "Examples:\n   savorywood explain 9c41d07be2a35f68 host-a.out host-b.out\n   cat *.out | savorywood explain 9c41d07be2a35f68"
        )
    )]
    Explain(#[bpaf(external(explain_options))] ExplainOptions),
}

/// How to print resources.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum ResourceFormat {
    /// One line a resource.
    #[default]
    Table,
    /// JSON, as `apply` reads it.
    Json,
}

/// A kind of resource as typed: singular or plural.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KindArgument(pub ResourceKind);

impl FromStr for KindArgument {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let singular = text.strip_suffix('s').unwrap_or(text);
        singular.parse().map(Self).map_err(|_| {
            let known: Vec<&str> = ResourceKind::iter().map(Into::into).collect();
            let hint = decode::nearest(singular, &known);
            let hint = hint.map(|name| format!("; did you mean `{name}`?"));
            format!(
                "there is no kind `{text}`, allowed are {}{}",
                known.join(", "),
                hint.unwrap_or_default()
            )
        })
    }
}

/// Name of a resource as typed. Checked here because it becomes part of a path: `..` would lead
/// to another resource than the one that was named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NameArgument(pub String);

impl FromStr for NameArgument {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        name::check_name(text).map_err(|error| error.to_string())?;
        if text.chars().all(|c| c == '.') {
            return Err(format!("`{text}` is no name; use letters or digits too"));
        }
        Ok(Self(text.to_owned()))
    }
}

/// The positional argument for a kind, completed by the shell.
pub fn kind_argument() -> impl Parser<KindArgument> {
    bpaf::positional::<String>("KIND")
        .help("service, tier, team, upstream, version or move")
        .complete(|_| complete_kinds())
        .parse(|text| text.parse())
}

fn complete_kinds() -> Vec<(&'static str, Option<&'static str>)> {
    let names = ResourceKind::iter().map(Into::into);
    names.map(|name| (name, None)).collect()
}
