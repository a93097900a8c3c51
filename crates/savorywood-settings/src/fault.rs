//! Faults of files, shown one block each.

use crate::{
    node::SpannedFault,
    source::{SourceExcerpt, SourcePosition, SourceText},
};
use std::{error::Error, fmt, ops::Range};

/// One thing wrong with a value, before its place in a file is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberFault {
    /// Which member, names and indices joined by dots.
    pub path: String,
    /// What is wrong.
    pub message: String,
    /// What would be accepted; empty when the message says it.
    pub allowed: String,
    /// What to do.
    pub remedy: String,
}

/// One thing wrong with a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFault {
    /// Name of the file as it was given.
    pub file: String,
    /// Where in the file.
    pub position: SourcePosition,
    /// Which member, names and indices joined by dots; empty for the whole file.
    pub path: String,
    /// What is wrong.
    pub message: String,
    /// What would be accepted; empty when the message says it.
    pub allowed: String,
    /// What to do.
    pub remedy: String,
    /// The line, up to the end of what is wrong; `None` when the whole file is wrong.
    pub excerpt: Option<SourceExcerpt>,
}

impl SettingsFault {
    /// A fault of the file as a whole.
    #[must_use]
    pub fn of_file(file: &str, message: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            file: file.to_owned(),
            position: SourcePosition::START,
            path: String::new(),
            message: message.into(),
            allowed: String::new(),
            remedy: remedy.into(),
            excerpt: None,
        }
    }

    /// A fault at a place of a file.
    #[must_use]
    pub fn at(source: &SourceText, span: &Range<usize>, fault: MemberFault) -> Self {
        Self {
            file: source.name().to_owned(),
            position: source.position(span.start),
            path: fault.path,
            message: fault.message,
            allowed: fault.allowed,
            remedy: fault.remedy,
            excerpt: Some(source.excerpt(span)),
        }
    }
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "error: ")?;
        if !self.path.is_empty() {
            write!(f, "`{}`: ", printable(&self.path))?;
        }
        writeln!(f, "{}", printable(&self.message))?;
        let SourcePosition { line, column } = self.position;
        writeln!(f, "  --> {}:{line}:{column}", self.file)?;
        if let Some(excerpt) = &self.excerpt {
            let before = printable(&excerpt.before);
            let marked = printable(&excerpt.marked);
            let blank = " ".repeat(before.chars().count());
            let marks = "^".repeat(marked.chars().count().max(1));
            writeln!(f, "{line:>4} | {before}{marked}")?;
            writeln!(f, "     | {blank}{marks}")?;
        }
        if !self.allowed.is_empty() {
            writeln!(f, "     = allowed: {}", printable(&self.allowed))?;
        }
        write!(f, "     = remedy: {}", printable(&self.remedy))
    }
}

/// A text without control characters. A file with escape sequences in it could otherwise recolour
/// or overwrite the operator's terminal. Each becomes one character, so that marks stay in place.
fn printable(text: &str) -> String {
    let shown = text.chars().map(|c| match c {
        '\t' => ' ',
        c if c.is_control() => char::REPLACEMENT_CHARACTER,
        c => c,
    });
    shown.collect()
}

/// Faults shown at most. Whoever mends that many checks again anyway.
pub const MAX_REPORTED: usize = 500;

/// All faults of a file, in the order of their places.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultReport {
    faults: Vec<SettingsFault>,
    omitted: usize,
}

impl FaultReport {
    /// Orders faults by place and drops repeated ones.
    #[must_use]
    pub fn new(mut faults: Vec<SettingsFault>) -> Self {
        faults.sort_by(|a, b| (&a.file, a.position).cmp(&(&b.file, b.position)));
        faults.dedup();
        let omitted = faults.len().saturating_sub(MAX_REPORTED);
        faults.truncate(MAX_REPORTED);
        Self { faults, omitted }
    }

    /// Finds the places of faults in a text.
    #[must_use]
    pub fn locate(source: &SourceText, mut found: Vec<SpannedFault>) -> Self {
        found.sort_by_key(|found| found.span.start);
        let omitted = found.len().saturating_sub(MAX_REPORTED);
        found.truncate(MAX_REPORTED);
        let located = found.into_iter();
        let located = located.map(|found| SettingsFault::at(source, &found.span, found.fault));
        let report = Self::new(located.collect());
        Self { omitted, ..report }
    }

    /// The faults, at least one and at most [`MAX_REPORTED`].
    #[must_use]
    pub fn faults(&self) -> &[SettingsFault] {
        &self.faults
    }

    /// The faults, owned.
    #[must_use]
    pub fn into_faults(self) -> Vec<SettingsFault> {
        self.faults
    }
}

impl fmt::Display for FaultReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, fault) in self.faults.iter().enumerate() {
            if place > 0 {
                f.write_str("\n\n")?;
            }
            fault.fmt(f)?;
        }
        match self.omitted {
            0 => Ok(()),
            omitted => write!(f, "\n\n{omitted} more faults are not shown"),
        }
    }
}

impl Error for FaultReport {}
