//! Numbers that identify requests or order events.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl $name {
            /// Returns the number that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

number_type!(
    /// Revision of the committed configuration. Every commit increases it.
    ConfigRevision(u64)
);
number_type!(
    /// Fencing number of a lease term. A later holder always has a larger one, so that orders of an
    /// earlier holder can be refused.
    FencingNumber(u64)
);
number_type!(
    /// Incarnation of the daemon on a host. It grows with every restart.
    HostIncarnation(u64)
);
number_type!(
    /// Attempt to dispatch a request to an upstream, counted from zero.
    AttemptNumber(u32)
);
number_type!(
    /// Rank of a tier: zero is the most important, larger ranks are shed first.
    TierRank(u8)
);

/// Identifier of a request, unique across all daemons (a version 7 UUID).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        uuid::Uuid::from_u128(self.0).hyphenated().fmt(f)
    }
}
