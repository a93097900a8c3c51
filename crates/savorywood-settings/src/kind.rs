//! Telling settings files from resource files.

use crate::node::{SourceNode, SourceValue};
use strum::Display;

/// What a file holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum FileKind {
    /// Settings of a daemon.
    Settings,
    /// One resource or an array of them.
    Resources,
}

impl FileKind {
    /// An array, or an object with a `kind` or a `spec`, holds resources.
    #[must_use]
    pub fn of(node: &SourceNode) -> Self {
        let array = matches!(node.value, SourceValue::Array(_));
        if array || node.member("kind").is_some() || node.member("spec").is_some() {
            Self::Resources
        } else {
            Self::Settings
        }
    }
}
