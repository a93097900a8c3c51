//! Names as other programs chose them: shared, cheap to clone, never checked beyond being text.

use std::{borrow::Borrow, fmt, sync::Arc};

macro_rules! shared_label {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The text itself.
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
    /// Names a service.
    ServiceLabel
);
shared_label!(
    /// Names a team.
    TeamLabel
);
shared_label!(
    /// Names one incarnation of an upstream.
    UpstreamLabel
);
shared_label!(
    /// Names an availability zone.
    ZoneLabel
);
shared_label!(
    /// Names a host and with it the daemon that runs there.
    HostLabel
);
shared_label!(
    /// Names a version of an upstream's software.
    VersionLabel
);

shared_label!(
    /// Names a region of several availability zones.
    RegionLabel
);
