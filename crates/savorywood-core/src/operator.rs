//! What operators ask for and what they are told.

use savorywood_protocol::{
    ConfigRevision, RequestRefusal,
    resource::{ResourceDocument, ResourceFault, ResourceKey},
};

/// Names one operator's call within a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperatorCallId(pub u64);

/// A change that an operator wants.
#[derive(Debug, Clone, PartialEq)]
#[expect(
    clippy::large_enum_variant,
    reason = "a request is boxed wherever it is kept"
)]
pub enum OperatorRequest {
    /// Create or replace a resource.
    Apply {
        /// The resource.
        document: ResourceDocument,
        /// Revision that the resource must have (`If-Match`): zero for "must not exist", `None`
        /// when the operator does not mind.
        expected: Option<ConfigRevision>,
    },
    /// Delete a resource.
    Delete {
        /// Which.
        key: ResourceKey,
        /// Revision that the resource must have (`If-Match`).
        expected: Option<ConfigRevision>,
    },
}

/// What an operator is told. `Accepted` is only said once the table says so.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorReply {
    /// Committed under this revision.
    Accepted {
        /// Revision of the configuration that holds the change.
        revision: ConfigRevision,
    },
    /// Another write came first; the resource as it stands.
    Conflict {
        /// The winner's resource; `None` when it was deleted or never existed.
        current: Option<Box<ResourceDocument>>,
    },
    /// The resource can't be accepted.
    Invalid {
        /// All that is wrong.
        faults: Vec<ResourceFault>,
    },
    /// There is no such resource to delete.
    NotFound,
    /// Not now; says whether the change may have taken effect.
    Refused(RequestRefusal),
}
