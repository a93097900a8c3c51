//! Paths to members within a document.

use serde_path_to_error::{Path, Segment};
use std::fmt;

/// One step from a value to a value within it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum PathStep {
    /// Into an object.
    Member(String),
    /// Into an array.
    Index(usize),
}

/// Steps from the root of a document to a value within it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct MemberPath(Vec<PathStep>);

impl MemberPath {
    /// Reads member names and indices joined by dots: `spec.tiers.0`.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let steps = text.split('.').filter(|part| !part.is_empty());
        let steps = steps.map(|part| match part.parse() {
            Ok(index) => PathStep::Index(index),
            Err(_) => PathStep::Member(part.to_owned()),
        });
        Self(steps.collect())
    }

    /// Takes over the path at which deserialising stopped.
    #[must_use]
    pub fn from_serde(path: &Path) -> Self {
        let steps = path.iter().filter_map(|segment| match segment {
            Segment::Seq { index } => Some(PathStep::Index(*index)),
            Segment::Map { key } => Some(PathStep::Member(key.clone())),
            Segment::Enum { variant } => Some(PathStep::Member(variant.clone())),
            Segment::Unknown => None,
        });
        Self(steps.collect())
    }

    /// The steps in order.
    #[must_use]
    pub fn steps(&self) -> &[PathStep] {
        &self.0
    }

    /// The path one step further down.
    #[must_use]
    pub fn join(&self, step: PathStep) -> Self {
        let mut steps = self.0.clone();
        steps.push(step);
        Self(steps)
    }

    /// This path below `prefix`.
    #[must_use]
    pub fn below(&self, prefix: &Self) -> Self {
        let steps = prefix.0.iter().chain(&self.0);
        Self(steps.cloned().collect())
    }

    /// Name of the last member on the way, indices skipped; empty at the root.
    #[must_use]
    pub fn last_member(&self) -> &str {
        let names = self.0.iter().rev().filter_map(|step| match step {
            PathStep::Member(name) => Some(name.as_str()),
            PathStep::Index(_) => None,
        });
        names.into_iter().next().unwrap_or_default()
    }
}

impl fmt::Display for MemberPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, step) in self.0.iter().enumerate() {
            if place > 0 {
                f.write_str(".")?;
            }
            match step {
                PathStep::Member(name) => f.write_str(name)?,
                PathStep::Index(index) => write!(f, "{index}")?,
            }
        }
        Ok(())
    }
}
