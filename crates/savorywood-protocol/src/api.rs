//! JSON bodies of the HTTP API for operators (`docs/API.md`).

use crate::{
    ConfigRevision, HostName, OutcomeKind, RegionName, ZoneName,
    peer::membership::MemberState,
    resource::{ResourceDocument, ValidationError},
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::{Display, EnumString, IntoStaticStr};

/// Response to `GET /v1/resources/KIND`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ResourceList {
    /// Configuration revision at which the resources were read.
    pub revision: ConfigRevision,
    /// All resources of the kind.
    pub items: Vec<ResourceDocument>,
}

/// Response to a `PUT` or `DELETE` that was committed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// First configuration revision that contains the change.
    pub revision: ConfigRevision,
}

/// Kind of a watch event.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum WatchKind {
    /// The resource was created or replaced.
    Put,
    /// The resource was deleted.
    Delete,
    /// Only the status of the resource changed; its spec is the same.
    Status,
}

/// One event of `GET /v1/watch/KIND`, written as one line of JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Configuration revision that made the change.
    pub revision: ConfigRevision,
    /// Kind of the change.
    #[serde(rename = "type")]
    pub kind: WatchKind,
    /// Name of the resource, unique within its kind.
    pub name: String,
    /// The resource after the change; absent after a deletion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub document: Option<ResourceDocument>,
}

/// One element of the response to `GET /v1/members`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSummary {
    /// Host that the member's daemon runs on.
    pub host: HostName,
    /// Liveness of the member, as seen by the daemon that responds.
    pub state: MemberState,
    /// Address on which the member accepts callers and operators.
    pub caller_address: SocketAddr,
    /// Address on which the member receives messages of its peers.
    pub peer_address: SocketAddr,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Region of the host.
    pub region: RegionName,
    /// Configuration revision in force at the member, as of its last report.
    pub config_revision: ConfigRevision,
}

/// The members of an RFC 9457 problem document that a client reads.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ProblemSummary {
    /// Human-readable description of the error.
    #[serde(default)]
    pub detail: String,
    /// Whether the change or request took effect; absent in problems without it.
    #[serde(default)]
    pub outcome: Option<OutcomeKind>,
    /// Machine-readable reason, a [`crate::RefusalCode`] of this or a later release.
    #[serde(default)]
    pub code: String,
    /// Delay before a retry is useful, in milliseconds; absent when a retry doesn't help.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// With status 409: the current version of the resource.
    #[serde(default)]
    pub current: Option<Box<ResourceDocument>>,
    /// With status 422: all validation errors of the resource.
    #[serde(default)]
    pub faults: Vec<ValidationError>,
}
