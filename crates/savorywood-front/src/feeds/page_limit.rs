//! Bound of a table read in pages.

use crate::wire::InputLimit;

/// Maximum number of pages of one read.
const MAX_PAGES: u32 = 1_024;
/// Maximum size of all pages of one read in bytes. 27,000 rows of teams and upstreams with 1 KiB each
/// stay within it.
const MAX_PAGES_BYTES: usize = 32 << 20;

/// Counts the pages of one read. Without a limit, a store that never reports the last page would
/// fill the memory of its reader.
#[derive(Debug, Default)]
pub struct PageLimit {
    pages: u32,
    bytes: usize,
    last_key: Option<String>,
}

impl PageLimit {
    /// Records a page with its size in bytes and the key of its last row.
    ///
    /// # Errors
    ///
    /// Returns an error when the read is too long, or the page does not continue after the last
    /// one.
    pub fn record(&mut self, bytes: usize, last_key: Option<&str>) -> Result<(), InputLimit> {
        self.pages += 1;
        self.bytes = self.bytes.saturating_add(bytes);
        let continues = match (self.last_key.as_deref(), last_key) {
            (Some(before), Some(last)) => before < last,
            _ => true,
        };
        if self.pages > MAX_PAGES || self.bytes > MAX_PAGES_BYTES || !continues {
            return Err(InputLimit::Pages);
        }
        self.last_key = last_key.map(str::to_owned);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
