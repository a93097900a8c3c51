//! The order in which resources are written, so that each finds what it names.

use savorywood_protocol::resource::{ResourceDocument, ResourceKind, ResourceSpec};

/// When a resource is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ApplyStage {
    /// Tiers, and services that name no version.
    Roots,
    /// Services without the version that they name, if they don't exist yet: a service and its
    /// version name each other, so one of the two has to come first without the other.
    NewServices,
    /// Versions.
    Versions,
    /// Services with the version that they name.
    Services,
    /// Upstreams and teams.
    Users,
    /// Moves.
    Moves,
}

/// One write.
#[derive(Debug, Clone, PartialEq)]
pub struct ApplyStep {
    /// When.
    pub stage: ApplyStage,
    /// What.
    pub document: ResourceDocument,
}

/// Orders documents; those of one stage keep the order of their files.
#[must_use]
pub fn plan_steps(documents: Vec<ResourceDocument>) -> Vec<ApplyStep> {
    let mut steps = Vec::with_capacity(documents.len());
    for document in documents {
        let stage = stage_of(&document);
        if stage == ApplyStage::Services {
            steps.push(ApplyStep {
                stage: ApplyStage::NewServices,
                document: without_version(document.clone()),
            });
        }
        steps.push(ApplyStep { stage, document });
    }
    steps.sort_by_key(|step| step.stage);
    steps
}

fn stage_of(document: &ResourceDocument) -> ApplyStage {
    match &document.spec {
        ResourceSpec::Service(spec) if spec.version.is_some() => ApplyStage::Services,
        spec => match spec.kind() {
            ResourceKind::Service | ResourceKind::Tier => ApplyStage::Roots,
            ResourceKind::Version => ApplyStage::Versions,
            ResourceKind::Upstream | ResourceKind::Team => ApplyStage::Users,
            ResourceKind::Move => ApplyStage::Moves,
        },
    }
}

fn without_version(mut document: ResourceDocument) -> ResourceDocument {
    if let ResourceSpec::Service(spec) = &mut document.spec {
        spec.version = None;
    }
    document
}
