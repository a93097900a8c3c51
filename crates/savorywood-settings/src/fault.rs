//! Faults of files, shown one block each.

use crate::source::{SourcePosition, SourceText};
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
    /// The line, up to the end of what is wrong.
    pub excerpt: String,
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
            excerpt: String::new(),
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
            excerpt: source.excerpt(span).to_owned(),
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
        if !self.excerpt.is_empty() {
            let marked = self
                .excerpt
                .chars()
                .count()
                .saturating_sub(column - 1)
                .max(1);
            writeln!(f, "{line:>4} | {}", printable(&self.excerpt))?;
            writeln!(f, "     | {}{}", " ".repeat(column - 1), "^".repeat(marked))?;
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

/// All faults of a file, in the order of their places.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultReport {
    faults: Vec<SettingsFault>,
}

impl FaultReport {
    /// Orders faults by place and drops repeated ones.
    #[must_use]
    pub fn new(mut faults: Vec<SettingsFault>) -> Self {
        faults.sort_by(|a, b| (&a.file, a.position).cmp(&(&b.file, b.position)));
        faults.dedup();
        Self { faults }
    }

    /// The faults, at least one.
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
        Ok(())
    }
}

impl Error for FaultReport {}
