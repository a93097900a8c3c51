//! The examples are sound, and as large as the deployments that they stand for.

#![allow(clippy::unwrap_used, reason = "a test that can't be set up fails")]

use savorywood_cli::commands::check::{self, CheckOptions};
use savorywood_protocol::resource::{ResourceKind, ResourceSpec, ServiceProtocol};
use savorywood_settings::{DaemonSettings, ResourceFile};
use sha2::{Digest, Sha256};
use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

/// Sizes of a deployment.
#[derive(Debug, PartialEq, Eq)]
struct DeploymentSize {
    zones: usize,
    model_runners: usize,
    plain_upstreams: usize,
    teams: usize,
}

fn folder(deployment: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    root.join(deployment)
}

fn size_of(deployment: &str) -> DeploymentSize {
    let file = ResourceFile::read(&folder(deployment).join("resources.json")).unwrap();
    let documents = &file.documents;
    let is_model = |name: &str| {
        documents.iter().any(|document| match &document.spec {
            ResourceSpec::Service(spec) => {
                document.name == name && spec.protocol == ServiceProtocol::Model
            }
            _ => false,
        })
    };
    let upstreams: Vec<_> = documents
        .iter()
        .filter_map(|document| match &document.spec {
            ResourceSpec::Upstream(spec) => Some(spec),
            _ => None,
        })
        .collect();
    let zones: BTreeSet<_> = upstreams.iter().map(|spec| &spec.zone).collect();
    let runners = upstreams
        .iter()
        .filter(|spec| is_model(spec.service.as_str()));
    let model_runners = runners.count();
    let teams = documents
        .iter()
        .filter(|d| d.spec.kind() == ResourceKind::Team);
    DeploymentSize {
        zones: zones.len(),
        model_runners,
        plain_upstreams: upstreams.len() - model_runners,
        teams: teams.count(),
    }
}

#[test]
fn both_deployments_pass_the_check_command() {
    for deployment in ["ionoveld", "fil-presse"] {
        let folder = folder(deployment);
        let files = vec![folder.join("settings.json"), folder.join("resources.json")];
        let options = CheckOptions {
            shape_only: false,
            files,
        };
        if let Err(error) = check::run(&options) {
            panic!("{error}");
        }
        DaemonSettings::read(&folder.join("settings.json")).unwrap();
    }
}

#[test]
fn sizes_are_those_of_the_deployments() {
    let ionoveld = DeploymentSize {
        zones: 4,
        model_runners: 12,
        plain_upstreams: 5,
        teams: 5,
    };
    let fil_presse = DeploymentSize {
        zones: 3,
        model_runners: 10,
        plain_upstreams: 3,
        teams: 5,
    };
    assert_eq!(size_of("ionoveld"), ionoveld);
    assert_eq!(size_of("fil-presse"), fil_presse);
}

/// Somebody tries an example with the token that its comment names, and is refused: the digest
/// was not that of the token.
#[test]
fn digests_are_those_of_the_tokens_in_the_comments() {
    for deployment in ["ionoveld", "fil-presse"] {
        let path = folder(deployment).join("resources.json");
        let text = fs::read_to_string(&path).unwrap();
        for document in ResourceFile::read(&path).unwrap().documents {
            if let ResourceSpec::Team(spec) = &document.spec {
                let token = format!("example-{}", document.name);
                assert!(text.contains(&format!("`{token}`")), "{token}");
                assert_eq!(
                    spec.token_sha256,
                    hex::encode(Sha256::digest(&token)),
                    "{token}"
                );
            }
        }
    }
}
