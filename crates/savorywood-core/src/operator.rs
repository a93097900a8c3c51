//! Requests of operators to change resources, and the replies to them.

use savorywood_protocol::{
    ConfigRevision, RequestRefusal,
    resource::{ResourceDocument, ResourceKey, ValidationError},
};

/// Identifies one operator call. Unique within a daemon process; the runtime assigns it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperatorCallId(pub u64);

/// A change of a resource, as requested by an operator.
#[derive(Debug, Clone, PartialEq)]
#[expect(
    clippy::large_enum_variant,
    reason = "requests are boxed wherever they are stored"
)]
pub enum OperatorRequest {
    /// Creates or replaces a resource.
    Apply {
        /// New content of the resource.
        document: ResourceDocument,
        /// Revision that the resource must have now (`If-Match`): zero if it must not exist, `None`
        /// for an unconditional write.
        expected: Option<ConfigRevision>,
    },
    /// Deletes a resource.
    Delete {
        /// Resource to delete.
        key: ResourceKey,
        /// Revision that the resource must have now (`If-Match`); `None` for an unconditional
        /// deletion.
        expected: Option<ConfigRevision>,
    },
}

/// Reply to an operator. [`Accepted`](Self::Accepted) is sent only after the table service has
/// confirmed the commit.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorReply {
    /// The change was committed.
    Accepted {
        /// First configuration revision that includes the change.
        revision: ConfigRevision,
    },
    /// The resource does not have the expected revision, or another write was committed first.
    Conflict {
        /// Current resource; `None` when it was deleted or never existed.
        current: Option<Box<ResourceDocument>>,
    },
    /// Validation of the resource failed.
    Invalid {
        /// All validation errors that were found.
        faults: Vec<ValidationError>,
    },
    /// The resource to delete does not exist.
    NotFound,
    /// The change can't be made at present. The refusal's outcome field indicates whether it
    /// may have taken effect.
    Refused(RequestRefusal),
}
