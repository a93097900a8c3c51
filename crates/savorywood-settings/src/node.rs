//! A document with the place of each value.

mod parse;

use crate::{
    fault::MemberFault,
    path::{MemberPath, PathStep},
};
use serde_json::{Map, Value};
use std::ops::Range;

/// Deepest nesting that is read. The parser recurses, so a file of nothing but brackets would
/// overflow the stack and abort the process; counting tokens first refuses it instead.
pub const MAX_DEPTH: usize = 32;

/// A fault and the bytes that it is about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpannedFault {
    /// Bytes of the file.
    pub span: Range<usize>,
    /// What is wrong.
    pub fault: MemberFault,
}

/// A member of an object.
#[derive(Debug, Clone)]
pub struct SourceMember {
    /// Name of the member.
    pub name: String,
    /// Bytes of the name.
    pub name_span: Range<usize>,
    /// Its value.
    pub node: SourceNode,
}

/// What a value is.
#[derive(Debug, Clone)]
pub enum SourceValue {
    /// Null, a truth value, a number or a text.
    Scalar(Value),
    /// An array.
    Array(Vec<SourceNode>),
    /// An object.
    Object(Vec<SourceMember>),
}

/// A value and its place. Values found faulty are skipped by later passes, so that one pass
/// after another finds the next fault.
#[derive(Debug, Clone)]
pub struct SourceNode {
    /// Bytes of the value.
    pub span: Range<usize>,
    /// The value.
    pub value: SourceValue,
    skipped: bool,
}

/// Where a path leads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FoundMember {
    /// The path in the file as written, faulty values counted.
    pub path: MemberPath,
    /// Bytes of the value, or of the nearest value around it when it is absent.
    pub span: Range<usize>,
    /// Bytes of the member's name, when the last step is a member that is there.
    pub name_span: Option<Range<usize>>,
}

impl SourceNode {
    /// Value of a member that is not skipped.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<&Self> {
        self.members()
            .find(|member| member.name == name)
            .map(|member| &member.node)
    }

    /// Members that are not skipped; none when this is no object.
    pub fn members(&self) -> impl Iterator<Item = &SourceMember> {
        let members = match &self.value {
            SourceValue::Object(members) => members.as_slice(),
            SourceValue::Scalar(_) | SourceValue::Array(_) => &[],
        };
        members.iter().filter(|member| !member.node.skipped)
    }

    /// The text, when this is one.
    #[must_use]
    pub fn as_text(&self) -> Option<&str> {
        match &self.value {
            SourceValue::Scalar(value) => value.as_str(),
            SourceValue::Array(_) | SourceValue::Object(_) => None,
        }
    }

    /// The value without places and without what is skipped.
    #[must_use]
    pub fn to_value(&self) -> Value {
        match &self.value {
            SourceValue::Scalar(value) => value.clone(),
            SourceValue::Array(elements) => {
                let live = elements.iter().filter(|element| !element.skipped);
                Value::Array(live.map(Self::to_value).collect())
            }
            SourceValue::Object(_) => {
                let live = self.members();
                let map: Map<_, _> = live.map(|m| (m.name.clone(), m.node.to_value())).collect();
                Value::Object(map)
            }
        }
    }

    /// Follows a path that counts what is skipped (`live` false) or doesn't (`live` true).
    #[must_use]
    pub fn find(&self, path: &MemberPath, live: bool) -> FoundMember {
        let mut found = FoundMember {
            path: MemberPath::default(),
            span: self.span.clone(),
            name_span: None,
        };
        let mut node = self;
        for step in path.steps() {
            let Some((place, child)) = node.child(step, live) else {
                found.path = found.path.join(step.clone());
                found.name_span = None;
                break;
            };
            found.path = found.path.join(place);
            found.name_span = node.name_span_of(step);
            found.span = child.span.clone();
            node = child;
        }
        found
    }

    /// Skips the value at a path that does not count what is skipped. Returns whether a value
    /// was skipped; the root never is.
    pub fn skip(&mut self, path: &MemberPath) -> bool {
        let mut node = self;
        for step in path.steps() {
            match node.child_mut(step) {
                Some(child) => node = child,
                None => return false,
            }
        }
        let skipped = !path.steps().is_empty();
        node.skipped = skipped;
        skipped
    }

    fn name_span_of(&self, step: &PathStep) -> Option<Range<usize>> {
        match step {
            PathStep::Member(name) => self
                .members()
                .find(|member| member.name == *name)
                .map(|member| member.name_span.clone()),
            PathStep::Index(_) => None,
        }
    }

    fn child(&self, step: &PathStep, live: bool) -> Option<(PathStep, &Self)> {
        match (&self.value, step) {
            (SourceValue::Object(members), PathStep::Member(name)) => members
                .iter()
                .find(|m| m.name == *name && !(live && m.node.skipped))
                .map(|m| (step.clone(), &m.node)),
            (SourceValue::Array(elements), PathStep::Index(index)) => elements
                .iter()
                .enumerate()
                .filter(|(_, element)| !(live && element.skipped))
                .nth(*index)
                .map(|(place, element)| (PathStep::Index(place), element)),
            _ => None,
        }
    }

    fn child_mut(&mut self, step: &PathStep) -> Option<&mut Self> {
        match (&mut self.value, step) {
            (SourceValue::Object(members), PathStep::Member(name)) => members
                .iter_mut()
                .map(|member| (&member.name, &mut member.node))
                .find(|(known, node)| *known == name && !node.skipped)
                .map(|(_, node)| node),
            (SourceValue::Array(elements), PathStep::Index(index)) => elements
                .iter_mut()
                .filter(|element| !element.skipped)
                .nth(*index),
            _ => None,
        }
    }
}
