//! The text of a file and the places in it.

use crate::fault::{FaultReport, SettingsFault};
use std::{fs, ops::Range, path::Path};

/// Largest file that is read, in bytes. Resources of 24,000 teams take about 6 MB.
pub const MAX_FILE_BYTES: u64 = 64 * 1024 * 1024;

/// A line and a column, both counted from one; the column counts characters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourcePosition {
    /// Line, from one.
    pub line: usize,
    /// Character within the line, from one.
    pub column: usize,
}

impl SourcePosition {
    /// The first character of a file.
    pub const START: Self = Self { line: 1, column: 1 };
}

/// Characters of a line that are shown before a fault.
const MAX_BEFORE: usize = 100;

/// Characters of a fault that are shown.
const MAX_MARKED: usize = 80;

/// What is shown of a file around a fault.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SourceExcerpt {
    /// The line before the fault, or its end when it is long.
    pub before: String,
    /// What is wrong, or its beginning when it is long.
    pub marked: String,
}

/// A file's name and text.
#[derive(Debug, Clone)]
pub struct SourceText {
    name: String,
    text: String,
    line_starts: Vec<usize>,
}

impl SourceText {
    /// Keeps a text under the name that faults show.
    #[must_use]
    pub fn new(name: impl Into<String>, text: impl Into<String>) -> Self {
        let text = text.into();
        let after_breaks = text.match_indices('\n').map(|(index, _)| index + 1);
        let line_starts = std::iter::once(0).chain(after_breaks).collect();
        Self {
            name: name.into(),
            text,
            line_starts,
        }
    }

    /// Reads a file.
    ///
    /// # Errors
    ///
    /// One fault at the file's start when it can't be read, is over [`MAX_FILE_BYTES`] or is no
    /// UTF-8.
    pub fn read(path: &Path) -> Result<Self, FaultReport> {
        let name = path.display().to_string();
        let unreadable = |message: String, remedy: &str| {
            let fault = SettingsFault::of_file(&name, message, remedy);
            FaultReport::new(vec![fault])
        };
        let size = fs::metadata(path)
            .map_err(|error| unreadable(format!("cannot be read: {error}"), "check the path"))?
            .len();
        if size > MAX_FILE_BYTES {
            let message = format!("has {size} bytes; {MAX_FILE_BYTES} are allowed");
            return Err(unreadable(message, "split the file"));
        }
        let bytes = fs::read(path)
            .map_err(|error| unreadable(format!("cannot be read: {error}"), "check the path"))?;
        let text = String::from_utf8(bytes)
            .map_err(|error| unreadable(error.to_string(), "save the file as UTF-8"))?;
        Ok(Self::new(name, text))
    }

    /// Name that faults show.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The whole text.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Number of lines, at least one.
    #[must_use]
    pub fn line_count(&self) -> usize {
        self.line_starts.len()
    }

    /// Position of a byte; one past the end gives the end.
    #[must_use]
    pub fn position(&self, offset: usize) -> SourcePosition {
        let offset = self.floor_boundary(offset);
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts.get(line - 1).copied().unwrap_or_default();
        let column = self.text[start..offset].chars().count() + 1;
        SourcePosition { line, column }
    }

    /// Part of the line that holds the start of `span`, cut off where the span ends. What follows
    /// the span is left out because it may be a secret that was pasted in the wrong place.
    #[must_use]
    pub fn excerpt(&self, span: &Range<usize>) -> SourceExcerpt {
        let start = self.floor_boundary(span.start);
        let index = self.position(start).line - 1;
        let line_start = self.line_starts.get(index).copied().unwrap_or_default();
        let next = self.line_starts.get(index + 1).copied();
        let line_end = next.map_or(self.text.len(), |next| next - 1);
        let end = self
            .floor_boundary(span.end)
            .clamp(start, line_end.max(start));
        let before = &self.text[line_start..start];
        // A file without line breaks would otherwise be shown whole for each fault.
        let cut = before.char_indices().rev().nth(MAX_BEFORE - 1);
        let before = cut.map_or(before, |(place, _)| &before[place..]);
        let marked: String = self.text[start..end].chars().take(MAX_MARKED).collect();
        SourceExcerpt {
            before: before.to_owned(),
            marked: marked.trim_end().to_owned(),
        }
    }

    fn floor_boundary(&self, offset: usize) -> usize {
        self.text.floor_char_boundary(offset.min(self.text.len()))
    }
}
