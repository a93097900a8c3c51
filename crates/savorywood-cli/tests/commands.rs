//! Commands against a small daemon that keeps resources in memory.

#![allow(clippy::unwrap_used, reason = "a test that can't be set up fails")]

#[path = "support/fake_daemon.rs"]
mod fake_daemon;

use fake_daemon::{FakeDaemon, Mishap};
use savorywood_cli::{
    CommandError,
    commands::{apply, delete, get, watch},
    options::{KindArgument, NameArgument, ServerOptions},
};
use savorywood_protocol::{
    ConfigRevision,
    resource::{ResourceKey, ResourceKind, ResourceSpec},
};
use std::{fs, path::PathBuf};
use tempfile::TempDir;

const RESOURCES: &str = r#"[
    {"kind": "upstream", "name": "runner-1", "spec":
        {"address": "10.0.0.1:9000", "service": "notes", "version": "v1", "zone": "a"}},
    {"kind": "service", "name": "notes", "spec": {"protocol": "model", "version": "v1"}},
    {"kind": "version", "name": "v1", "spec": {"service": "notes"}},
    {"kind": "tier", "name": "storm", "spec": {"rank": 0}}, // Comments are allowed.
]"#;

struct CommandRig {
    daemon: FakeDaemon,
    folder: TempDir,
}

impl CommandRig {
    fn new() -> Self {
        Self {
            daemon: FakeDaemon::start("host-1"),
            folder: tempfile::tempdir().unwrap(),
        }
    }

    fn server(&self) -> ServerOptions {
        ServerOptions {
            server: Some(self.daemon.address()),
            token_file: Some(self.write("token", "operators-token\n")),
        }
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        fs::write(&path, text).unwrap();
        path
    }

    fn apply(&self, text: &str, wait: bool) -> Result<(), CommandError> {
        let options = apply::ApplyOptions {
            server: self.server(),
            wait,
            wait_seconds: 1,
            files: vec![self.write("resources.json", text)],
        };
        apply::run(&options, &ServerOptions::default())
    }
}

fn key(kind: ResourceKind, name: &str) -> ResourceKey {
    let name = name.to_owned();
    ResourceKey { kind, name }
}

#[test]
fn apply_orders_writes_and_leaves_alone_what_is_already_so() {
    let rig = CommandRig::new();
    rig.apply(RESOURCES, false).unwrap();
    let expected = [
        "tier/storm",
        "service/notes",
        "version/v1",
        "service/notes",
        "upstream/runner-1",
    ];
    assert_eq!(rig.daemon.writes(), expected);
    let service = rig
        .daemon
        .resource(&key(ResourceKind::Service, "notes"))
        .unwrap();
    assert!(matches!(service.spec, ResourceSpec::Service(spec) if spec.version.is_some()));
    rig.apply(RESOURCES, false).unwrap();
    assert_eq!(rig.daemon.writes().len(), expected.len());
}

/// The connection breaks after a write took effect. Told that it failed, an operator would write
/// again, over what a colleague may have changed meanwhile.
#[test]
fn apply_reads_back_when_an_answer_is_lost() {
    let rig = CommandRig::new();
    rig.daemon.mishap(Mishap::AnswerLost);
    rig.apply(
        r#"{"kind": "tier", "name": "storm", "spec": {"rank": 0}}"#,
        false,
    )
    .unwrap();
    assert_eq!(rig.daemon.writes(), ["tier/storm"]);
}

/// The answer is lost and the write did not take effect. The operator must not be told that it
/// did.
#[test]
fn apply_says_unknown_when_a_write_can_not_be_seen() {
    let rig = CommandRig::new();
    rig.daemon.mishap(Mishap::WriteLost);
    let text = r#"{"kind": "tier", "name": "storm", "spec": {"rank": 0}}"#;
    let error = rig.apply(text, false).unwrap_err().to_string();
    assert!(
        error.contains("applying tier/storm") && error.contains("outcome: unknown"),
        "{error}"
    );
}

/// The platform's table is away for a moment: the daemon says that nothing was written. One more
/// try is right, an error on the operator's screen is not.
#[test]
fn apply_tries_again_what_was_not_run() {
    let rig = CommandRig::new();
    rig.daemon.mishap(Mishap::NotReady);
    rig.apply(
        r#"{"kind": "tier", "name": "storm", "spec": {"rank": 0}}"#,
        false,
    )
    .unwrap();
    assert_eq!(rig.daemon.writes(), ["tier/storm"]);
}

/// Two operators edit one resource from the same revision. The second one's file must not undo
/// the first one's change.
#[test]
fn apply_does_not_overwrite_a_later_revision() {
    let rig = CommandRig::new();
    let text = |revision: u64, rank: u8| {
        format!(
            r#"{{"kind": "tier", "name": "storm", "revision": {revision}, "spec": {{"rank": {rank}}}}}"#
        )
    };
    rig.apply(
        r#"{"kind": "tier", "name": "storm", "spec": {"rank": 0}}"#,
        false,
    )
    .unwrap();
    rig.apply(&text(1, 1), false).unwrap();
    let error = rig.apply(&text(1, 2), false).unwrap_err().to_string();
    assert!(error.contains("revision-conflict"), "{error}");
    assert!(
        error.contains("current: tier/storm at revision 2"),
        "{error}"
    );
    let tier = rig
        .daemon
        .resource(&key(ResourceKind::Tier, "storm"))
        .unwrap();
    assert!(matches!(tier.spec, ResourceSpec::Tier(spec) if spec.rank.0 == 1));
}

/// Faults that the daemon finds are told with the resource's path and a remedy.
#[test]
fn apply_shows_all_faults_of_a_refusal() {
    let rig = CommandRig::new();
    let text = r#"{"kind": "version", "name": "v1", "spec": {"service": "absent", "weights": ""}}"#;
    let error = rig.apply(text, false).unwrap_err().to_string();
    for part in [
        "applying version/v1",
        "422",
        "- spec.service:",
        "- spec.weights:",
        "remedy:",
    ] {
        assert!(error.contains(part), "{part} in {error}");
    }
}

#[test]
fn apply_waits_until_all_live_daemons_have_it() {
    let rig = CommandRig::new();
    let text = r#"{"kind": "tier", "name": "storm", "spec": {"rank": 0}}"#;
    rig.daemon.reach_after(3);
    rig.apply(text, true).unwrap();
    rig.daemon.reach_after(u32::MAX);
    let error = rig
        .apply(&text.replace('0', "1"), true)
        .unwrap_err()
        .to_string();
    assert!(
        error.contains("in force on 0 of 3 live daemons after 1 s"),
        "{error}"
    );
    assert!(error.contains("tier/storm at revision 2"), "{error}");
}

#[test]
fn get_and_delete_name_what_is_absent_or_refused() {
    let rig = CommandRig::new();
    rig.apply(RESOURCES, false).unwrap();
    let get = |name: Option<&str>| {
        let options = get::GetOptions {
            server: rig.server(),
            format: savorywood_cli::options::ResourceFormat::Table,
            kind: KindArgument(ResourceKind::Service),
            name: name.map(|name| NameArgument(name.to_owned())),
        };
        get::run(&options, &ServerOptions::default())
    };
    get(None).unwrap();
    get(Some("notes")).unwrap();
    let error = get(Some("absent")).unwrap_err().to_string();
    assert!(error.contains("reading service/absent") && error.contains("savorywood get service"));
    let options = delete::DeleteOptions {
        server: rig.server(),
        if_match: None,
        kind: KindArgument(ResourceKind::Service),
        name: NameArgument("notes".to_owned()),
    };
    let error = delete::run(&options, &ServerOptions::default())
        .unwrap_err()
        .to_string();
    assert!(error.contains("version/v1"), "{error}");
    let options = delete::DeleteOptions {
        kind: KindArgument(ResourceKind::Upstream),
        name: NameArgument("runner-1".to_owned()),
        ..options
    };
    delete::run(&options, &ServerOptions::default()).unwrap();
    assert!(
        rig.daemon
            .resource(&key(ResourceKind::Upstream, "runner-1"))
            .is_none()
    );
}

#[test]
fn a_wrong_token_is_told() {
    let rig = CommandRig::new();
    let server = ServerOptions {
        token_file: Some(rig.write("wrong", "another-token")),
        ..rig.server()
    };
    let options = get::GetOptions {
        server,
        format: savorywood_cli::options::ResourceFormat::Json,
        kind: KindArgument(ResourceKind::Tier),
        name: None,
    };
    let error = get::run(&options, &ServerOptions::default())
        .unwrap_err()
        .to_string();
    assert!(
        error.contains("401 unauthorized") && error.contains("--token-file"),
        "{error}"
    );
    assert!(!error.contains("another-token"));
}

/// The connection of a watch breaks in the middle of a line, and later the daemon no longer keeps
/// the changes since the last one seen. No change may be skipped: the watch goes on from the last
/// whole line, and lists anew.
#[test]
fn watch_goes_on_from_the_last_whole_event() {
    let rig = CommandRig::new();
    rig.apply(RESOURCES, false).unwrap();
    rig.daemon.script_watch(&[
        "{\"revision\":6,\"type\":\"delete\",\"name\":\"v1\"}\n{\"revision\":7,\"ty",
        "410",
        "403",
    ]);
    let options = watch::WatchOptions {
        server: rig.server(),
        from: Some(4),
        kind: KindArgument(ResourceKind::Version),
    };
    let error = watch::run(&options, &ServerOptions::default()).unwrap_err();
    assert!(
        matches!(error, CommandError::Refused { status: 403, .. }),
        "{error}"
    );
    let expected = ["from=4", "from=6", "list", "from=5"];
    assert_eq!(rig.daemon.watches(), expected);
    assert_eq!(rig.daemon.revision(), ConfigRevision(5));
}
