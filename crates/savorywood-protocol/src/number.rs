//! Numbers that identify or order things.

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
            /// The number that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

number_type!(
    /// Revision of the accepted configuration. It only grows.
    ConfigRevision(u64)
);
number_type!(
    /// Number of a lease term. A later holder always has a larger one.
    FencingNumber(u64)
);
number_type!(
    /// Start of a daemon's life on a host. A restart has a larger one.
    HostIncarnation(u64)
);
number_type!(
    /// Which try to dispatch a request, counted from zero.
    AttemptNumber(u32)
);
number_type!(
    /// Place of a tier: zero is the most important, larger ones are shed first.
    TierRank(u8)
);

/// Identity of one request, unique over all daemons (a version 7 UUID).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        uuid::Uuid::from_u128(self.0).hyphenated().fmt(f)
    }
}
