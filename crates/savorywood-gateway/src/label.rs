//! Names chosen by operators and other programs: reference-counted strings that are cheap to clone
//! and not validated.

use std::{borrow::Borrow, fmt, sync::Arc};

macro_rules! shared_label {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

shared_label!(
    /// Name of a service, from its resource.
    ServiceLabel
);
shared_label!(
    /// Name of a team, from its resource.
    TeamLabel
);
shared_label!(
    /// Name of one incarnation of an upstream, from its registration.
    UpstreamLabel
);
shared_label!(
    /// Name of an availability zone.
    ZoneLabel
);
shared_label!(
    /// Name of a host, which also identifies the daemon that runs there.
    HostLabel
);
shared_label!(
    /// Software version of an upstream, from its registration.
    VersionLabel
);

shared_label!(
    /// Name of a region, which comprises several availability zones.
    RegionLabel
);
