//! JSON document of a resource, as operators write and read it.

use super::{
    ResourceStatus, ServiceSpec, TeamSpec, TierSpec, TrafficMoveSpec, UpstreamSpec, VersionSpec,
};
use crate::ConfigRevision;
use serde::{Deserialize, Serialize};
use std::fmt;
use strum::{Display, EnumDiscriminants, EnumIter, EnumString, IntoStaticStr};

/// Spec of a resource, by kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, EnumDiscriminants)]
#[serde(tag = "kind", content = "spec", rename_all = "kebab-case")]
#[strum_discriminants(
    name(ResourceKind),
    doc = "Kind of a resource, as written in the `kind` member of its document.",
    derive(
        PartialOrd,
        Ord,
        Hash,
        Serialize,
        Deserialize,
        Display,
        EnumString,
        EnumIter,
        IntoStaticStr
    ),
    serde(rename_all = "kebab-case"),
    strum(serialize_all = "kebab-case")
)]
pub enum ResourceSpec {
    /// A service that callers address.
    Service(ServiceSpec),
    /// A priority tier.
    Tier(TierSpec),
    /// A team of callers, identified by a bearer token.
    Team(TeamSpec),
    /// A back end that runs one version of one service.
    Upstream(UpstreamSpec),
    /// A version of a service that upstreams can run.
    Version(VersionSpec),
    /// A planned move of traffic from one version of a service to another.
    Move(TrafficMoveSpec),
}

impl ResourceSpec {
    /// Returns the kind of the resource.
    #[must_use]
    pub fn kind(&self) -> ResourceKind {
        self.into()
    }
}

/// Key of a resource; names are unique within a kind. Displayed as `KIND/NAME`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ResourceKey {
    /// Kind of the resource.
    pub kind: ResourceKind,
    /// Name within the kind.
    pub name: String,
}

impl fmt::Display for ResourceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// A resource with its name, revision and status.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ResourceDocument {
    /// Name within the kind.
    pub name: String,
    /// Desired state, declared by the operator.
    #[serde(flatten)]
    pub spec: ResourceSpec,
    /// Configuration revision of the last write of the spec; absent in files that operators write.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<ConfigRevision>,
    /// Observed state, set by the daemons; ignored when an operator sends it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<ResourceStatus>,
}

impl ResourceDocument {
    /// Returns the key of the resource.
    #[must_use]
    pub fn key(&self) -> ResourceKey {
        ResourceKey {
            kind: self.spec.kind(),
            name: self.name.clone(),
        }
    }
}
