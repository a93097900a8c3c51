//! What operators have declared before a run begins.

use savorywood_core::TokenDigest;
use savorywood_protocol::{
    TierRank,
    resource::{
        ClaimRetention, ResourceDocument, ResourceSpec, ServiceObjectives, ServiceProtocol,
        ServiceSpec, TeamSpec, TierSpec, UpstreamExtension, UpstreamSpec, VersionSpec,
    },
};
use std::collections::BTreeSet;

/// Tiers, the most important first.
pub const TIERS: [&str; 3] = ["gold", "silver", "bronze"];
/// Teams; each may use all tiers.
pub const TEAMS: [&str; 2] = ["alpha", "beta"];
/// Service with model upstreams.
pub const MODEL_SERVICE: &str = "chat";
/// Service whose calls may not be repeated.
pub const CHARGE_SERVICE: &str = "charges";
/// Upstreams of the model service.
pub const ENGINES: [&str; 3] = ["engine-0", "engine-1", "engine-2"];
/// Upstreams of the other service.
pub const PLAIN_UPSTREAMS: [&str; 2] = ["plain-0", "plain-1"];
/// Upstreams that operators edit and that never take work.
pub const SPARES: [&str; 2] = ["spare-0", "spare-1"];

/// Digest of a team's token.
pub fn token_of(team: usize) -> TokenDigest {
    TokenDigest([team as u8 + 1; 32])
}

/// An upstream that carries `mark`, which tells each edit from all others.
pub fn upstream_document(name: &str, mark: usize, draining: bool) -> ResourceDocument {
    let is_plain = PLAIN_UPSTREAMS.contains(&name);
    let service = if is_plain {
        CHARGE_SERVICE
    } else {
        MODEL_SERVICE
    };
    let names = ENGINES.iter().chain(&PLAIN_UPSTREAMS).chain(&SPARES);
    let place = names.clone().position(|other| *other == name).unwrap();
    let mut extensions = BTreeSet::new();
    if !is_plain {
        extensions.insert(UpstreamExtension::Resume);
        extensions.insert(UpstreamExtension::Cancel);
    }
    document(
        name,
        ResourceSpec::Upstream(UpstreamSpec {
            address: format!("10.1.0.{}:8000", place + 1).parse().unwrap(),
            service: service.parse().unwrap(),
            version: format!("{service}-v1").parse().unwrap(),
            zone: "a".parse().unwrap(),
            generation: mark_text(mark),
            slots: 2,
            batch_tokens: 65_536,
            host: None,
            checks_fencing: true,
            extensions,
            draining,
        }),
    )
}

/// How a mark is written into an upstream.
pub fn mark_text(mark: usize) -> String {
    format!("mark-{mark:06}")
}

/// All resources, each after those that it names.
pub fn all_documents() -> Vec<ResourceDocument> {
    let mut documents = Vec::new();
    for (rank, name) in TIERS.iter().enumerate() {
        let rank = TierRank(rank as u8);
        documents.push(document(name, ResourceSpec::Tier(TierSpec { rank })));
    }
    for (number, name) in TEAMS.iter().enumerate() {
        let spec = TeamSpec {
            token_sha256: format!("{:02x}", number + 1).repeat(32),
            tiers: TIERS.iter().map(|tier| tier.parse().unwrap()).collect(),
            weight: 1,
        };
        documents.push(document(name, ResourceSpec::Team(spec)));
    }
    documents.push(service(MODEL_SERVICE, ServiceProtocol::Model));
    documents.push(service(CHARGE_SERVICE, ServiceProtocol::Plain));
    for name in [MODEL_SERVICE, CHARGE_SERVICE] {
        let spec = VersionSpec {
            service: name.parse().unwrap(),
            weights: None,
        };
        documents.push(document(&format!("{name}-v1"), ResourceSpec::Version(spec)));
    }
    for name in ENGINES.iter().chain(&PLAIN_UPSTREAMS) {
        documents.push(upstream_document(name, 0, false));
    }
    for name in SPARES {
        documents.push(upstream_document(name, 0, true));
    }
    documents
}

fn service(name: &str, protocol: ServiceProtocol) -> ResourceDocument {
    let objectives = ServiceObjectives {
        deadline_ms: 15_000,
        ..ServiceObjectives::default()
    };
    document(
        name,
        ResourceSpec::Service(ServiceSpec {
            protocol,
            objectives,
            routes: Vec::new(),
            claims: ClaimRetention::Seconds(86_400),
            version: None,
        }),
    )
}

fn document(name: &str, spec: ResourceSpec) -> ResourceDocument {
    ResourceDocument {
        name: name.to_owned(),
        spec,
        revision: None,
        status: None,
    }
}
