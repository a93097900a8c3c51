//! Validation of resources against each other.

#![allow(clippy::unwrap_used, reason = "a test that can't be set up fails")]

use quickcheck::{TestResult, quickcheck};
use savorywood_protocol::{
    WallTime,
    resource::{
        MoveState, ResourceDocument, ResourceKey, ResourceKind, ResourceSet, ResourceStatus,
        ValidationError,
        validate::{check_deletion, check_document, check_set},
    },
};
use serde_json::{Value, json};
use std::time::Duration;

/// 2026-07-01T12:00:00Z.
const NOW: WallTime = WallTime(1_782_907_200_000);

fn document(kind: &str, name: &str, spec: Value) -> ResourceDocument {
    serde_json::from_value(json!({"kind": kind, "name": name, "spec": spec})).unwrap()
}

fn digest(seed: usize) -> String {
    format!("{seed:064x}")
}

fn traffic_move(name: &str, finish_by: &str) -> ResourceDocument {
    let spec = json!({"service": "notes", "from": "v1", "to": "v2", "finish_by": finish_by});
    document("move", name, spec)
}

fn upstream(name: &str, address: &str) -> ResourceDocument {
    let spec = json!({"address": address, "service": "notes", "version": "v1", "zone": "a"});
    document("upstream", name, spec)
}

fn set_of(documents: Vec<ResourceDocument>) -> ResourceSet {
    let keyed = documents.into_iter().map(|d| (d.key(), d));
    keyed.collect()
}

fn valid_set() -> ResourceSet {
    set_of(vec![
        document("tier", "storm", json!({"rank": 0})),
        document("tier", "bulk", json!({"rank": 1})),
        document(
            "service",
            "notes",
            json!({"protocol": "model", "version": "v1"}),
        ),
        document("service", "billing", json!({"protocol": "plain"})),
        document("version", "v1", json!({"service": "notes"})),
        document("version", "v2", json!({"service": "notes"})),
        document("version", "b1", json!({"service": "billing"})),
        upstream("runner-1", "10.0.0.1:9000"),
        document(
            "team",
            "survey",
            json!({"token_sha256": digest(1), "tiers": ["storm", "bulk"]}),
        ),
        traffic_move("to-v2", "2026-07-01T18:00:00Z"),
    ])
}

fn errors_of(document: &ResourceDocument) -> Vec<ValidationError> {
    check_document(document, &valid_set(), NOW)
}

fn paths_of(kind: &str, name: &str, spec: Value) -> Vec<String> {
    let errors = errors_of(&document(kind, name, spec));
    for error in &errors {
        assert!(
            !error.message.is_empty() && !error.remedy.is_empty(),
            "{error:?}"
        );
    }
    errors.into_iter().map(|error| error.path).collect()
}

#[test]
fn a_valid_set_can_be_written_again() {
    for document in valid_set().values() {
        assert_eq!(errors_of(document), Vec::new());
    }
}

#[test]
fn references_to_missing_resources_are_refused() {
    let upstream =
        json!({"address": "10.0.0.9:1", "service": "nots", "version": "v9", "zone": "a"});
    assert_eq!(
        paths_of("upstream", "u", upstream),
        ["spec.service", "spec.version"]
    );
    let team = json!({"token_sha256": digest(9), "tiers": ["storm", "strom"]});
    assert_eq!(paths_of("team", "t", team), ["spec.tiers.1"]);
    assert_eq!(
        paths_of("version", "v", json!({"service": "x"})),
        ["spec.service"]
    );
    let service = json!({"protocol": "plain", "version": "nope"});
    assert_eq!(paths_of("service", "s", service), ["spec.version"]);
    let errors = errors_of(&document("version", "v", json!({"service": "x"})));
    assert!(errors[0].message.contains("billing, notes"));
}

/// Guards against differences between the validation of a complete set, which uses an index of
/// tokens, and that of single documents. Without the index, a file with 24,000 teams would take
/// seconds to validate.
#[test]
fn a_set_is_validated_like_its_documents() {
    let mut set = valid_set();
    assert_eq!(check_set(&set, NOW), Vec::new());
    let duplicate = json!({"token_sha256": digest(1).to_uppercase(), "tiers": ["storm"]});
    let duplicate = document("team", "twin", duplicate);
    set.insert(duplicate.key(), duplicate);
    let late = NOW + Duration::from_secs(7 * 3_600);
    let errors = check_set(&set, late);
    let found: Vec<_> = errors
        .iter()
        .map(|error| format!("{} {}", error.key, error.error.path))
        .collect();
    let expected = [
        "team/survey spec.token_sha256",
        "team/twin spec.token_sha256",
        "move/to-v2 spec.finish_by",
    ];
    assert_eq!(found, expected);
}

/// Guards against references to versions of another service, by which requests would reach engines
/// with another model.
#[test]
fn versions_of_another_service_are_refused() {
    let upstream =
        json!({"address": "10.0.0.9:1", "service": "billing", "version": "v1", "zone": "a"});
    assert_eq!(paths_of("upstream", "u", upstream), ["spec.version"]);
    let service = json!({"protocol": "plain", "version": "v1"});
    assert_eq!(paths_of("service", "billing", service), ["spec.version"]);
    let cross_service = json!({"service": "billing", "from": "b1", "to": "v2", "finish_by": "2026-07-02T00:00:00Z"});
    assert_eq!(paths_of("move", "m", cross_service), ["spec.to"]);
    let version = json!({"service": "billing"});
    assert_eq!(paths_of("version", "v1", version), ["spec.service"]);
}

#[test]
fn duplicates_of_unique_values_are_refused() {
    assert_eq!(paths_of("tier", "other", json!({"rank": 1})), ["spec.rank"]);
    let same_token = json!({"token_sha256": digest(1), "tiers": ["bulk"]});
    assert_eq!(paths_of("team", "other", same_token), ["spec.token_sha256"]);
    let errors = errors_of(&upstream("runner-2", "10.0.0.1:9000"));
    assert_eq!(errors[0].path, "spec.address");
    assert!(errors[0].message.contains("runner-1"));
}

#[test]
fn values_out_of_range_are_refused() {
    let team = json!({"token_sha256": "secret-token", "tiers": [], "weight": 0});
    let errors = errors_of(&document("team", "t", team));
    let paths: Vec<_> = errors.iter().map(|error| error.path.as_str()).collect();
    assert_eq!(paths, ["spec.token_sha256", "spec.tiers", "spec.weight"]);
    assert!(!format!("{errors:?}").contains("secret-token"));
    let upstream = json!({"address": "0.0.0.0:1", "service": "notes", "version": "v1", "zone": "a",
        "seats": 0, "batch_tokens": 0});
    let expected = ["spec.address", "spec.seats", "spec.batch_tokens"];
    assert_eq!(paths_of("upstream", "u", upstream), expected);
    let service = json!({"protocol": "plain", "claims": {"seconds": 5},
    "objectives": {"target_per_mille": 1000, "deadline_ms": 10, "token_gap_ms": 0},
    "routes": [
        {"path": "v1", "idempotent": true},
        {"path": "/v1", "methods": ["post"], "idempotent": true},
        {"path": "/v2", "idempotent": true},
        {"path": "/v2/charge", "methods": ["POST"], "idempotent": false}
    ]});
    let expected = [
        "spec.objectives.token_gap_ms",
        "spec.objectives.deadline_ms",
        "spec.objectives.target_per_mille",
        "spec.claims.seconds",
        "spec.routes.0.path",
        "spec.routes.1.methods.0",
        "spec.routes.3",
    ];
    assert_eq!(paths_of("service", "s", service), expected);
}

#[test]
fn moves_that_cannot_complete_are_refused() {
    let mut set = valid_set();
    set.remove(&traffic_move("to-v2", "2026-07-01T18:00:00Z").key());
    let paths = |spec: Value| {
        let errors = check_document(&document("move", "m", spec), &set, NOW);
        errors.into_iter().map(|f| f.path).collect::<Vec<_>>()
    };
    let to_itself =
        json!({"service": "notes", "from": "v1", "to": "v1", "finish_by": "2026-07-01T18:00:00Z"});
    assert_eq!(paths(to_itself), ["spec.to"]);
    let past =
        json!({"service": "notes", "from": "v1", "to": "v2", "finish_by": "2026-07-01T11:59:59Z"});
    assert_eq!(paths(past), ["spec.finish_by"]);
    let only_soak = json!({"service": "notes", "from": "v1", "to": "v2",
        "finish_by": "2026-07-01T12:10:00Z", "soak_seconds": 600});
    assert_eq!(paths(only_soak), ["spec.finish_by"]);
    let shares: Vec<_> = [10, 10, 1001, 1000]
        .iter()
        .map(|share| json!({"share_per_mille": share}))
        .collect();
    let steps = json!({"service": "notes", "from": "v1", "to": "v2",
        "finish_by": "2026-07-01T18:00:00Z", "steps": shares});
    let expected = [1, 2, 3].map(|step| format!("spec.steps.{step}.share_per_mille"));
    assert_eq!(paths(steps), expected);
}

/// Guards against two moves of one service at a time: it would be unclear which of the new versions
/// causes a slowdown.
#[test]
fn a_service_has_one_move_at_a_time() {
    let second = traffic_move("again", "2026-07-02T18:00:00Z");
    let mut set = valid_set();
    assert_eq!(check_document(&second, &set, NOW)[0].path, "spec.service");
    let after_deadline = NOW + Duration::from_secs(7 * 3_600);
    assert_eq!(check_document(&second, &set, after_deadline), Vec::new());
    let first = set
        .get_mut(&traffic_move("to-v2", "2026-07-01T18:00:00Z").key())
        .unwrap();
    first.status = Some(ResourceStatus {
        move_state: Some(MoveState::TakenBack),
        ..ResourceStatus::default()
    });
    assert_eq!(check_document(&second, &set, NOW), Vec::new());
}

#[test]
fn a_move_in_progress_keeps_its_versions() {
    let mut set = valid_set();
    let key = traffic_move("to-v2", "2026-07-01T18:00:00Z").key();
    let state = |set: &mut ResourceSet, state| {
        set.get_mut(&key).unwrap().status = Some(ResourceStatus {
            move_state: Some(state),
            ..ResourceStatus::default()
        });
    };
    let later = traffic_move("to-v2", "2026-07-01T20:00:00Z");
    let back =
        json!({"service": "notes", "from": "v2", "to": "v1", "finish_by": "2026-07-01T18:00:00Z"});
    let back = document("move", "to-v2", back);
    state(&mut set, MoveState::Moving);
    assert_eq!(check_document(&later, &set, NOW), Vec::new());
    assert_eq!(check_document(&back, &set, NOW)[0].path, "spec");
    state(&mut set, MoveState::Completed);
    assert_eq!(check_document(&later, &set, NOW)[0].path, "spec");
}

#[test]
fn referenced_resources_cannot_be_deleted() {
    let set = valid_set();
    let key = |kind, name: &str| ResourceKey {
        kind,
        name: name.to_owned(),
    };
    let message = |kind, name| {
        check_deletion(&key(kind, name), &set)
            .pop()
            .map(|f| f.message)
    };
    let service = message(ResourceKind::Service, "notes").unwrap();
    assert!(
        service.contains("upstream/runner-1") && service.contains("move/to-v2"),
        "{service}"
    );
    assert!(
        message(ResourceKind::Tier, "bulk")
            .unwrap()
            .contains("team/survey")
    );
    let version = message(ResourceKind::Version, "v1").unwrap();
    assert!(version.contains("service/notes") && version.contains("upstream/runner-1"));
    for (kind, name) in [
        (ResourceKind::Team, "survey"),
        (ResourceKind::Upstream, "runner-1"),
        (ResourceKind::Move, "to-v2"),
        (ResourceKind::Tier, "absent"),
    ] {
        assert_eq!(message(kind, name), None);
    }
}

quickcheck! {
    /// Guards against dangling references after any sequence of accepted writes and deletions: each
    /// document of the set must remain valid.
    fn accepted_sets_stay_valid(operations: Vec<(u8, u8, bool)>) -> TestResult {
        let all: Vec<_> = valid_set().into_values().collect();
        // A service and its version refer to each other, so the service is created first without one.
        let service = document("service", "notes", json!({"protocol": "model"}));
        let mut set = set_of(vec![service]);
        for (index, variant, delete) in operations {
            let mut document = all[usize::from(index) % all.len()].clone();
            if variant % 4 == 0 {
                document.name = format!("{}-{}", document.name, variant % 3);
            }
            if delete && check_deletion(&document.key(), &set).is_empty() {
                set.remove(&document.key());
            } else if !delete && check_document(&document, &set, NOW).is_empty() {
                set.insert(document.key(), document);
            }
            for document in set.values() {
                let errors = check_document(document, &set, NOW);
                if !errors.is_empty() {
                    return TestResult::error(format!("{}: {errors:?}", document.key()));
                }
            }
        }
        TestResult::passed()
    }
}
