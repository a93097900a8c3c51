//! JSON bodies of the operators' HTTP interface.

use crate::{
    ConfigRevision, HostName, OutcomeKind, RegionName, ZoneName,
    peer::membership::MemberState,
    resource::{ResourceDocument, ValidationError},
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::{Display, EnumString, IntoStaticStr};

/// Answer to `GET /v1/resources/KIND`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ResourceList {
    /// Revision at which the resources were read.
    pub revision: ConfigRevision,
    /// Resources of the kind.
    pub items: Vec<ResourceDocument>,
}

/// Answer to an accepted `PUT` or `DELETE`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// Revision that holds the change.
    pub revision: ConfigRevision,
}

/// What happened to a resource.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum WatchKind {
    /// Created or replaced.
    Put,
    /// Deleted.
    Delete,
    /// The resource is as it was; what the system says of it has changed.
    Status,
}

/// One line of `GET /v1/watch/KIND`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Revision that made the change.
    pub revision: ConfigRevision,
    /// What happened.
    #[serde(rename = "type")]
    pub kind: WatchKind,
    /// Name of the resource.
    pub name: String,
    /// The resource after the change; absent after a deletion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub document: Option<ResourceDocument>,
}

/// One element of the answer to `GET /v1/members`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSummary {
    /// Host of the member.
    pub host: HostName,
    /// Whether it answers.
    pub state: MemberState,
    /// Where callers and operators reach it.
    pub caller_address: SocketAddr,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Configuration revision in force there, as last heard.
    pub config_revision: ConfigRevision,
}

/// What a client needs of an RFC 9457 problem.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ProblemSummary {
    /// Sentence for a person.
    #[serde(default)]
    pub detail: String,
    /// Whether the change or request took effect.
    #[serde(default)]
    pub outcome: Option<OutcomeKind>,
    /// Stable reason, a [`crate::RefusalCode`] of this or a later release.
    #[serde(default)]
    pub code: String,
    /// When coming back makes sense.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// With status 409: the resource as it stands.
    #[serde(default)]
    pub current: Option<Box<ResourceDocument>>,
    /// With status 422: all that is wrong with the resource.
    #[serde(default)]
    pub faults: Vec<ValidationError>,
}
