//! Settings files: what is read and how faults are told.

use savorywood_settings::{DaemonSettings, FaultReport, SecretFile, SourceText};
use std::{fs, path::Path, time::Duration};

const MINIMAL: &str = r#"{
    // A comment.
    "host": "entry-1",
    "zone": "zone-a",
    "region": "north",
    "listen_callers": "10.0.0.1:8080",
    "listen_peers": "10.0.0.1:7946",
    "platform": {
        "table_address": "10.0.9.1:4001",
        "object_address": "10.0.9.1:4002",
        "host_list_address": "10.0.9.1:4003",
    },
    "keys": {
        "peer_key_file": "peer.key",
        "operator_token_file": "operator.token",
        "resume_key_file": "/run/keys/resume.key",
    },
}
"#;

fn parse(text: &str) -> Result<DaemonSettings, FaultReport> {
    DaemonSettings::parse(
        &SourceText::new("settings.json", text),
        Path::new("/etc/sw"),
    )
}

fn faults_of(text: &str) -> Vec<savorywood_settings::SettingsFault> {
    match parse(text) {
        Ok(settings) => panic!("accepted: {settings:?}"),
        Err(report) => report.into_faults(),
    }
}

#[test]
fn a_short_file_gets_defaults() {
    let settings = parse(MINIMAL).unwrap();
    assert_eq!(settings.advertise_callers, settings.listen_callers);
    assert_eq!(settings.budgets.peer_bytes_per_second, 9_000);
    assert_eq!(settings.platform.call_timeout, Duration::from_secs(2));
    assert_eq!(settings.seed, None);
    let peer_key = settings.keys.peer_key_file.path();
    assert_eq!(peer_key, Path::new("/etc/sw/peer.key"));
    let resume_key = settings.keys.resume_key_file.path();
    assert_eq!(resume_key, Path::new("/run/keys/resume.key"));
}

/// An operator mistypes several members at once. Being told of one per try, they would need as
/// many restarts as there are mistakes.
#[test]
fn all_faults_are_told_with_places_and_remedies() {
    let text = MINIMAL
        .replace(
            "\"listen_callers\": \"10.0.0.1:8080\"",
            "\"listen_caller\": \"10.0.0.1:8080\"",
        )
        .replace("\"zone-a\"", "\"Zone A\"")
        .replace("10.0.9.1:4001", "10.0.9.1")
        .replace(
            "\"keys\": {",
            "\"limits\": {\"conections\": 5, \"head_bytes\": \"16k\"}, \"keys\": {",
        );
    let faults = faults_of(&text);
    let told: Vec<_> = faults
        .iter()
        .map(|fault| {
            (
                fault.path.as_str(),
                fault.position.line,
                fault.position.column,
            )
        })
        .collect();
    let expected = [
        ("listen_callers", 1, 1),
        ("zone", 4, 13),
        ("listen_caller", 6, 5),
        ("platform.table_address", 9, 26),
        ("limits.conections", 13, 16),
        ("limits.head_bytes", 13, 47),
    ];
    assert_eq!(told, expected);
    assert!(faults[2].remedy.contains("`listen_callers`"));
    assert!(faults[2].allowed.contains("listen_peers"));
    assert!(faults[3].remedy.contains("port"));
    assert!(faults[4].remedy.contains("`connections`"));
}

#[test]
fn ranges_and_absent_members_are_told_together() {
    let text = r#"{"host": "h", "zone": "z", "region": "r", "stop": {"drain_seconds": 5},
        "limits": {"executor_threads": 0}, "listen_callers": "0.0.0.0:80"}"#;
    let faults = faults_of(text);
    let mut paths: Vec<_> = faults.iter().map(|fault| fault.path.as_str()).collect();
    paths.sort_unstable();
    let expected = [
        "keys.operator_token_file",
        "keys.peer_key_file",
        "keys.resume_key_file",
        "limits.executor_threads",
        "listen_callers",
        "listen_peers",
        "platform.host_list_address",
        "platform.object_address",
        "platform.table_address",
        "stop.drain_seconds",
    ];
    assert_eq!(paths, expected);
}

#[test]
fn a_fault_is_one_block_like_a_compilers() {
    let text = MINIMAL.replace("\"region\"", "\"regoin\"");
    let report = parse(&text).unwrap_err();
    let block = report.faults()[1].to_string();
    let expected = "error: `regoin`: unknown member `regoin`\n  --> settings.json:5:5\n   5 |     \
                    \"regoin\"\n     |     ^^^^^^^^\n     = allowed: host, zone,";
    assert!(block.starts_with(expected), "{block}");
    assert!(
        block.ends_with("= remedy: rename it to `region`"),
        "{block}"
    );
    assert!(report.to_string().contains(&block));
}

#[test]
fn repeated_members_and_shared_secrets_are_refused() {
    let twice = MINIMAL.replace("\"zone\":", "\"host\": \"other\", \"zone\":");
    assert_eq!(faults_of(&twice)[0].message, "the member is given twice");
    let shared = MINIMAL.replace("/run/keys/resume.key", "peer.key");
    assert_eq!(faults_of(&shared)[0].path, "keys.resume_key_file");
    let clash = MINIMAL.replace("10.0.0.1:7946", "10.0.0.1:8080");
    assert_eq!(faults_of(&clash)[0].path, "listen_peers");
}

/// A file of nothing but opening brackets makes a recursing parser overflow its stack, which
/// ends the process without a word to the operator.
#[test]
fn broken_syntax_and_deep_nesting_are_faults() {
    for text in [
        "",
        "{",
        "[1,",
        "{\"host\" 1}",
        "{host: 1}",
        "/* never closed",
        "{} {}",
    ] {
        assert_eq!(faults_of(text).len(), 1, "{text}");
    }
    let deep = "[".repeat(200_000);
    assert!(faults_of(&deep)[0].message.contains("nested"));
}

/// Somebody pastes the key itself where its file belongs. The report is likely to end in a log,
/// so it must not repeat what follows an unknown member's name.
#[test]
fn no_secret_is_shown() {
    let secret = "0123456789abcdef0123456789abcdef";
    let pasted = MINIMAL.replace(
        "\"peer_key_file\": \"peer.key\"",
        &format!("\"peer_key\": \"{secret}\""),
    );
    let report = parse(&pasted).unwrap_err();
    assert!(!report.to_string().contains(secret));
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("peer.key");
    fs::write(&path, format!("{secret}\n")).unwrap();
    let loaded = SecretFile::new(&path).load().unwrap();
    assert_eq!(loaded.expose(), secret.as_bytes());
    assert!(!format!("{loaded:?}").contains(secret));
    fs::write(&path, "short").unwrap();
    let error = SecretFile::new(&path).load().unwrap_err().to_string();
    assert!(error.contains("step=read-secret") && !error.contains("short\""));
}
