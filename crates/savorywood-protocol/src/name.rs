//! Validated names of resources and hosts.
//!
//! A name is cheap to clone: all clones share one allocation.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Visitor};
use snafu::Snafu;
use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

/// Longest accepted name, in bytes. A DNS label has the same bound.
pub const MAX_NAME_BYTES: usize = 63;

/// Reason why a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum NameError {
    /// The text is empty.
    #[snafu(display("a name is empty; give 1 to {MAX_NAME_BYTES} characters"))]
    Empty,
    /// The text is longer than [`MAX_NAME_BYTES`].
    #[snafu(display("the name has {bytes} bytes; {MAX_NAME_BYTES} are allowed"))]
    TooLong {
        /// Length of the refused text, in bytes.
        bytes: usize,
    },
    /// The text contains a character outside `a-z`, `0-9`, `-`, `_` and `.`.
    #[snafu(display("the name contains {character:?}; allowed are a-z, 0-9, '-', '_' and '.'"))]
    BadCharacter {
        /// First character that is not allowed.
        character: char,
    },
}

/// Checks that `text` is a valid name.
///
/// # Errors
///
/// Returns the first rule that the text breaks.
pub fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return EmptySnafu.fail();
    }
    if text.len() > MAX_NAME_BYTES {
        return TooLongSnafu { bytes: text.len() }.fail();
    }
    let allowed =
        |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|c| !allowed(*c)) {
        Some(character) => BadCharacterSnafu { character }.fail(),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates `text` and creates a name from it.
            ///
            /// # Errors
            ///
            /// Returns the first rule that the text breaks.
            pub fn new(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = deserializer.deserialize_str(NameVisitor)?;
                Ok(Self(text))
            }
        }
    };
}

/// Deserialises a name without an intermediate `String`, since every peer message contains names.
struct NameVisitor;

impl Visitor<'_> for NameVisitor {
    type Value = Arc<str>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a name")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Arc<str>, E> {
        check_name(text).map_err(E::custom)?;
        Ok(Arc::from(text))
    }
}

name_type!(
    /// Name of a host that runs a daemon.
    HostName
);
name_type!(
    /// Name of an availability zone.
    ZoneName
);
name_type!(
    /// Name of a region, a group of availability zones.
    RegionName
);
name_type!(
    /// Name of a service that callers address.
    ServiceName
);
name_type!(
    /// Name of a priority tier.
    TierName
);
name_type!(
    /// Name of a team of callers.
    TeamName
);
name_type!(
    /// Name of an upstream, a back end that runs one version of one service.
    UpstreamName
);
name_type!(
    /// Name of a version of a service.
    VersionName
);
name_type!(
    /// Name of a traffic move from one version of a service to another.
    MoveName
);
