//! Tables of text.

use std::fmt;

/// Rows of cells under a heading.
#[derive(Debug, Clone, Default)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// A table with a heading.
    #[must_use]
    pub fn new(heading: &[&str]) -> Self {
        let heading = heading.iter().map(|cell| (*cell).to_owned());
        Self {
            rows: vec![heading.collect()],
        }
    }

    /// Adds a row.
    pub fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        let cells = |column: usize| self.rows.iter().filter_map(move |row| row.get(column));
        let width = |column| cells(column).map(|cell| cell.chars().count()).max();
        (0..columns)
            .map(|column| width(column).unwrap_or_default())
            .collect()
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:<width$}  "));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
