//! Counts of what is in progress.

use std::cell::Cell;

/// Increments a counter; decrements it when dropped.
pub struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    pub fn new(cell: &'a Cell<usize>) -> Self {
        cell.set(cell.get() + 1);
        Self(cell)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
