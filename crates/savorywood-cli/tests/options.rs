//! The command line: what is understood, and what is said when it isn't.

#![allow(clippy::unwrap_used, reason = "a test that can't be set up fails")]

use bpaf::{Args, ParseFailure};
use savorywood_cli::{
    CliCommand, CliOptions, CommandError,
    client::OperatorClient,
    commands::check::{self, CheckOptions},
    options::{ServerOptions, cli_options},
};
use savorywood_protocol::resource::ResourceKind;
use std::{fs, path::PathBuf};

fn parse(line: &str) -> Result<CliOptions, ParseFailure> {
    let words: Vec<_> = line.split_whitespace().collect();
    cli_options().run_inner(Args::from(words.as_slice()))
}

fn mistake(line: &str) -> String {
    parse(line).unwrap_err().unwrap_stderr()
}

#[test]
fn the_parser_is_consistent() {
    cli_options().check_invariants(true);
}

/// An example that does not work is worse than none.
#[test]
fn examples_in_the_help_are_understood() {
    let mut examples = 0;
    for command in [
        "serve",
        "dev",
        "check",
        "apply",
        "get",
        "delete",
        "watch",
        "report",
        "report burn",
    ] {
        let help = parse(&format!("{command} --help"))
            .unwrap_err()
            .unwrap_stdout();
        let lines = help
            .lines()
            .filter_map(|line| line.strip_prefix("  savorywood "));
        for line in lines {
            let line = line.split(" > ").next().unwrap_or_default();
            assert!(parse(line).is_ok(), "{line}");
            examples += 1;
        }
        assert!(help.contains("Examples:"), "{command}");
    }
    assert!(examples >= 14, "{examples}");
}

#[test]
fn the_server_may_stand_before_or_after_the_command() {
    for line in [
        "--server 127.0.0.1:80 get team",
        "get team --server 127.0.0.1:80",
    ] {
        let options = parse(line).unwrap();
        let CliCommand::Get(get) = options.cli_command else {
            panic!("{line}");
        };
        let server = get.server.or(&options.default_server);
        assert_eq!(server.server, Some("127.0.0.1:80".parse().unwrap()));
    }
    let both = parse("--server 127.0.0.1:80 get team --server 127.0.0.1:81").unwrap();
    let CliCommand::Get(get) = both.cli_command else {
        panic!("another command");
    };
    let server = get.server.or(&both.default_server);
    assert_eq!(server.server, Some("127.0.0.1:81".parse().unwrap()));
}

#[test]
fn kinds_are_understood_in_both_numbers() {
    for (word, kind) in [
        ("team", ResourceKind::Team),
        ("upstreams", ResourceKind::Upstream),
    ] {
        let CliCommand::Get(get) = parse(&format!("get {word}")).unwrap().cli_command else {
            panic!("{word}");
        };
        assert_eq!(get.kind.0, kind);
    }
    let said = mistake("get upsteam");
    assert!(
        said.contains("did you mean `upstream`?") && said.contains("service, tier"),
        "{said}"
    );
}

/// A name becomes part of a path: `..` would lead to the list of the kind, or elsewhere.
#[test]
fn names_that_lead_elsewhere_are_refused() {
    for name in ["..", ".", "a/b", "A", "a%2fb"] {
        assert!(parse(&format!("delete team {name}")).is_err(), "{name}");
    }
    assert!(parse("delete team v1.2").is_ok());
}

#[test]
fn mistakes_of_the_command_line_are_usage_errors() {
    for line in [
        "",
        "get",
        "apply",
        "check",
        "delete team",
        "bogus",
        "get team -o yaml",
    ] {
        assert!(!mistake(line).is_empty(), "{line}");
    }
    let error = OperatorClient::from_options(&ServerOptions::default()).unwrap_err();
    assert!(matches!(error, CommandError::Usage { .. }));
    assert!(error.to_string().contains("--server ADDR"));
}

/// Files name each other's resources, and one file is broken. The names in it must not be told
/// as absent on top of that: the operator would look for a mistake that isn't there.
#[test]
fn check_tells_faults_of_all_files_at_once() {
    let folder = tempfile::tempdir().unwrap();
    let write = |name: &str, text: &str| -> PathBuf {
        let path = folder.path().join(name);
        fs::write(&path, text).unwrap();
        path
    };
    let team = format!(
        r#"{{"kind": "team", "name": "t", "spec": {{"token_sha256": "{}", "tiers": ["storm"]}}}}"#,
        "ab".repeat(32)
    );
    let team = write("team.json", &team);
    let tier = write(
        "tier.json",
        r#"[{"kind": "tier", "name": "storm", "spec": {"rank": 0}}]"#,
    );
    let broken = write(
        "broken.json",
        r#"[{"kind": "tier", "name": "storm", "spec": {"rank": -1}}]"#,
    );
    let settings = write("settings.json", r#"{"host": "h", "zon": "z"}"#);
    let check = |files: &[&PathBuf], shape_only: bool| {
        let files = files.iter().map(|path| (*path).clone()).collect();
        match check::run(&CheckOptions { shape_only, files }) {
            Ok(()) => Vec::new(),
            Err(CommandError::Faulty { report }) => {
                let faults = report.into_faults().into_iter();
                faults.map(|fault| fault.path).collect()
            }
            Err(error) => panic!("{error}"),
        }
    };
    assert_eq!(check(&[&team, &tier], false), Vec::<String>::new());
    assert_eq!(check(&[&team], false), ["spec.tiers.0"]);
    assert_eq!(check(&[&team], true), Vec::<String>::new());
    assert_eq!(check(&[&team, &broken], false), ["0.spec.rank"]);
    assert_eq!(check(&[&tier, &tier], false), ["name"]);
    assert!(check(&[&settings, &broken], false).len() > 5);
    let absent = folder.path().join("absent.json");
    assert_eq!(check(&[&absent], false), [""]);
}
