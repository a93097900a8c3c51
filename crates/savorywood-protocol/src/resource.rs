//! Resources: the declarative configuration that operators create, edit and watch.

pub mod document;
pub mod service;
pub mod status;
pub mod team;
pub mod tier;
pub mod traffic_move;
pub mod upstream;
pub mod validate;
pub mod version;

pub use document::{ResourceDocument, ResourceKey, ResourceKind, ResourceSpec};
pub use service::{ClaimRetention, RouteRule, ServiceObjectives, ServiceProtocol, ServiceSpec};
pub use status::{ConditionKind, ResourceStatus, StatusCondition};
pub use team::TeamSpec;
pub use tier::TierSpec;
pub use traffic_move::{MoveState, MoveStep, TrafficMoveSpec};
pub use upstream::{UpstreamExtension, UpstreamSpec};
pub use validate::{ResourceSet, ValidationError};
pub use version::VersionSpec;
