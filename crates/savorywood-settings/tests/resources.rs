//! Resource files: what is read and how faults are told.

use savorywood_protocol::resource::{ResourceKind, ValidationError};
use savorywood_settings::{
    FaultReport, ResourceFile, SettingsFault, SourceText, resources::required_members,
};

const UPSTREAM: &str = r#"{
  "kind": "upstream",
  "name": "runner-1",
  "spec": {
    "address": "10.0.2.1:9000",
    "service": "delay-map",
    "version": "v1",
    "zone": "zone-a",
    "extensions": ["resume", "cancel"],
  },
}"#;

fn parse(text: &str) -> Result<ResourceFile, FaultReport> {
    ResourceFile::parse(SourceText::new("resources.json", text))
}

fn faults_of(text: &str) -> Vec<SettingsFault> {
    match parse(text) {
        Ok(file) => panic!("accepted: {:?}", file.documents),
        Err(report) => report.into_faults(),
    }
}

#[test]
fn one_document_and_an_array_are_read() {
    let single = parse(UPSTREAM).unwrap();
    let several = parse(&format!("[{UPSTREAM}, {UPSTREAM}]")).unwrap();
    assert_eq!(single.documents.len(), 1);
    assert_eq!(several.documents.len(), 2);
    assert_eq!(single.documents[0], several.documents[1]);
}

#[test]
fn faults_within_a_spec_have_exact_places() {
    let text = UPSTREAM
        .replace("\"cancel\"", "\"cancle\", 7, \"resume\", \"orderz\"")
        .replace("\"zone\"", "\"zonne\"")
        .replace("\"name\"", "\"nmae\"");
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
        ("name", 1, 1),
        ("nmae", 3, 3),
        ("spec.zone", 4, 11),
        ("spec.zonne", 8, 5),
        ("spec.extensions.1", 9, 30),
        ("spec.extensions.2", 9, 40),
        ("spec.extensions.4", 9, 53),
    ];
    assert_eq!(told, expected);
    assert!(faults[3].remedy.contains("`zone`"));
    assert!(faults[4].remedy.contains("`cancel`"));
}

#[test]
fn faults_of_every_document_of_an_array_are_told() {
    let bad = UPSTREAM.replace("10.0.2.1:9000", "runner-1:9000");
    let faults = faults_of(&format!("[{UPSTREAM}, {bad}, 3, {bad}]"));
    let paths: Vec<_> = faults.iter().map(|fault| fault.path.as_str()).collect();
    assert_eq!(paths, ["1.spec.address", "2", "3.spec.address"]);
}

#[test]
fn unknown_kinds_are_told_with_the_nearest() {
    let faults = faults_of(&UPSTREAM.replace("\"upstream\"", "\"upsteam\""));
    assert_eq!(faults[0].path, "kind");
    assert!(faults[0].remedy.contains("`upstream`"));
    assert!(faults[0].allowed.contains("service, tier, team"));
}

/// The list of needed members stands beside the types; were it out of date, an operator would be
/// told of absent members one at a time.
#[test]
fn all_needed_members_of_each_kind_are_told_at_once() {
    for kind in [
        ResourceKind::Service,
        ResourceKind::Tier,
        ResourceKind::Team,
        ResourceKind::Upstream,
        ResourceKind::Version,
        ResourceKind::Move,
    ] {
        let text = format!(r#"{{"kind": "{kind}", "name": "n", "spec": {{}}}}"#);
        let faults = faults_of(&text);
        let mut paths: Vec<_> = faults.iter().map(|fault| fault.path.clone()).collect();
        paths.sort_unstable();
        let mut expected: Vec<_> = required_members(kind)
            .iter()
            .map(|name| format!("spec.{name}"))
            .collect();
        expected.sort_unstable();
        assert_eq!(paths, expected, "{kind}");
    }
}

#[test]
fn faults_found_later_are_located() {
    let file = parse(&format!("[{UPSTREAM}, {UPSTREAM}]")).unwrap();
    let fault = ValidationError {
        path: "spec.extensions.1".to_owned(),
        message: "is wrong".to_owned(),
        remedy: "mend it".to_owned(),
    };
    let located = file.locate(1, &fault);
    assert_eq!((located.position.line, located.position.column), (19, 30));
    let elsewhere = ValidationError {
        path: "spec.seats".to_owned(),
        ..fault
    };
    let located = file.locate(0, &elsewhere);
    assert_eq!(located.position.line, 4);
}

/// A program writes thousands of resources without a line break, and each has a fault. Shown with
/// its whole line, each of them would print megabytes.
#[test]
fn long_lines_and_many_faults_are_cut() {
    let one = r#"{"kind": "tier", "name": "t", "spec": {"rank": 300}}"#;
    let many = vec![one; 3_000].join(",");
    let report = parse(&format!("[{many}]")).unwrap_err();
    assert_eq!(report.faults().len(), 500);
    let text = report.to_string();
    assert!(text.ends_with("2500 more faults are not shown"));
    assert!(text.lines().all(|line| line.chars().count() < 200));
    assert_eq!(report.faults()[0].allowed, "a whole number from 0 to 255");
    let column = one.len() * 2 + 3 + one.find("300").unwrap();
    assert_eq!(report.faults()[2].position.column, column + 1);
}
