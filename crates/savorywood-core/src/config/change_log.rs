//! Bounded log of the newest configuration changes, which serves the watches of operators.

use savorywood_protocol::{ConfigRevision, WallTime, resource::ResourceKey};
use std::collections::VecDeque;

/// Maximum number of changes in the log. Covers more than a day at the users' 720 changes a day.
pub const MAX_LOGGED_CHANGES: usize = 1_024;

/// One change that came into force on this daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigChange {
    /// Revision that the change was committed under.
    pub revision: ConfigRevision,
    /// Resource that changed. Its content is read from the view, so a watch that lags gets the
    /// newest content once instead of each intermediate one. A resource that is absent from the
    /// view has been deleted.
    pub key: ResourceKey,
    /// Local wall time at which the change came into force here.
    pub applied_at: WallTime,
}

/// Response to a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeList {
    /// All changes after the requested revision, in order of their revisions.
    Changes(Vec<ConfigChange>),
    /// Some changes after the requested revision have been discarded. The operator's client must
    /// list all resources again and watch from the revision of that list.
    Compacted {
        /// Smallest revision that a watch can continue from.
        oldest: ConfigRevision,
    },
}

/// Newest changes in order of their revisions, at most [`MAX_LOGGED_CHANGES`].
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// The log holds every change after this revision.
    complete_after: ConfigRevision,
    changes: VecDeque<ConfigChange>,
}

impl ChangeLog {
    /// Clears the log and sets the revision that it starts after. Used after the first complete
    /// read, which does not show the single changes up to `revision`.
    pub fn restart(&mut self, revision: ConfigRevision) {
        self.changes.clear();
        self.complete_after = revision;
    }

    /// Appends a change and discards the oldest one when the log is full.
    pub fn push(&mut self, change: ConfigChange) {
        if self.changes.len() == MAX_LOGGED_CHANGES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.complete_after = oldest.revision;
        }
        self.changes.push_back(change);
    }

    /// Returns the changes after `revision`, or that the log no longer holds all of them.
    #[must_use]
    pub fn since(&self, revision: ConfigRevision) -> ChangeList {
        if revision < self.complete_after {
            let oldest = self.complete_after;
            return ChangeList::Compacted { oldest };
        }
        let start = self
            .changes
            .partition_point(|change| change.revision <= revision);
        ChangeList::Changes(self.changes.range(start..).cloned().collect())
    }

    /// When the change of a revision came into force here; `None` once it has been discarded.
    #[must_use]
    pub fn applied_at(&self, revision: ConfigRevision) -> Option<WallTime> {
        let index = self
            .changes
            .binary_search_by_key(&revision, |change| change.revision)
            .ok()?;
        self.changes.get(index).map(|change| change.applied_at)
    }
}
