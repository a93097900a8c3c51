//! The newest changes, by revision, for operators that watch.

use savorywood_protocol::{ConfigRevision, WallTime, resource::ResourceKey};
use std::collections::VecDeque;

/// Changes kept: more than a day at the users' 720 changes a day.
pub const MAX_LOGGED_CHANGES: usize = 1_024;

/// One change as it came into force on this daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigChange {
    /// Revision that made it.
    pub revision: ConfigRevision,
    /// Resource that changed. Its content is read from the view: a watcher that lags sees the
    /// newest content once rather than each one between. Absent there means deleted.
    pub key: ResourceKey,
    /// When this daemon applied it.
    pub applied_at: WallTime,
}

/// What a watcher gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeList {
    /// The changes after the revision asked for, in order.
    Changes(Vec<ConfigChange>),
    /// Changes after that revision are no longer kept: list all resources anew and watch from the
    /// revision of that list.
    Compacted {
        /// The smallest revision from which a watch can go on.
        oldest: ConfigRevision,
    },
}

/// The newest changes in order of their revisions.
#[derive(Debug, Default)]
pub struct ChangeLog {
    complete_after: ConfigRevision,
    changes: VecDeque<ConfigChange>,
}

impl ChangeLog {
    /// Forgets everything up to `revision`: what came before was not seen change by change.
    pub fn restart(&mut self, revision: ConfigRevision) {
        self.changes.clear();
        self.complete_after = revision;
    }

    /// Adds a change.
    pub fn push(&mut self, change: ConfigChange) {
        if self.changes.len() == MAX_LOGGED_CHANGES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.complete_after = oldest.revision;
        }
        self.changes.push_back(change);
    }

    /// Changes after a revision.
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

    /// When the change of a revision was applied here, if it is still kept.
    #[must_use]
    pub fn applied_at(&self, revision: ConfigRevision) -> Option<WallTime> {
        let index = self
            .changes
            .binary_search_by_key(&revision, |change| change.revision)
            .ok()?;
        self.changes.get(index).map(|change| change.applied_at)
    }
}
