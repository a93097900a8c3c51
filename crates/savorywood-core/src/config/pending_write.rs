//! One operator's change on its way into the table.

use crate::{
    config::row::{ChangeNonce, HeadMark, ResourceRow},
    operator::{OperatorCallId, OperatorReply, OperatorRequest},
    view::ConfigView,
};
use savorywood_protocol::{
    ConfigRevision, MonotonicTime, WallTime,
    resource::{
        ResourceDocument, ResourceKey,
        validate::{check_deletion, check_document},
    },
    table::CommitRevision,
};

/// Where a change stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteStage {
    /// To be checked against the view.
    Fresh,
    /// Waits for a scan with at least this serial number.
    Refreshing {
        /// Serial number of the scan.
        serial: u64,
    },
    /// The commit is under way.
    Committing,
    /// The head row is being read, to learn whether the commit took effect.
    ReadingBack,
    /// The head could not be read; a timer tries again.
    Waiting,
}

/// The transaction that was tried last.
#[derive(Debug, Clone, PartialEq)]
pub struct TriedCommit {
    /// Head that it was conditional on.
    pub base: CommitRevision,
    /// What it writes.
    pub row: ResourceRow,
    /// An answer was lost: it may have taken effect, or still may.
    pub uncertain: bool,
}

/// One operator's change on its way into the table.
#[derive(Debug)]
pub struct PendingWrite {
    /// Whom to answer.
    pub call: OperatorCallId,
    /// What is wanted.
    pub request: OperatorRequest,
    /// Resource that it is about.
    pub key: ResourceKey,
    /// Where it stands.
    pub stage: WriteStage,
    /// The transaction tried last.
    pub tried: Option<TriedCommit>,
    /// Commits tried so far.
    pub attempts: u32,
    /// The operator is answered by then.
    pub deadline_at: MonotonicTime,
    /// The view was read from the table after the change came in.
    refreshed: bool,
    /// Revision of the resource when the change was first found acceptable.
    seen: Option<Option<ConfigRevision>>,
}

/// What the view says of a change.
#[derive(Debug)]
pub enum WriteVerdict {
    /// Commit this row.
    Commit(Box<ResourceRow>),
    /// The answer is no, but the view may be older than the table: read it first.
    Refresh,
    /// The answer is no.
    Reply(OperatorReply),
}

impl PendingWrite {
    /// A change that just came in.
    #[must_use]
    pub fn new(call: OperatorCallId, request: OperatorRequest, deadline_at: MonotonicTime) -> Self {
        let key = match &request {
            OperatorRequest::Apply { document, .. } => document.key(),
            OperatorRequest::Delete { key, .. } => key.clone(),
        };
        Self {
            call,
            request,
            key,
            stage: WriteStage::Fresh,
            tried: None,
            attempts: 0,
            deadline_at,
            refreshed: false,
            seen: None,
        }
    }

    /// The view was read from the table since the change came in.
    pub fn mark_refreshed(&mut self) {
        self.refreshed = true;
        self.stage = WriteStage::Fresh;
    }

    /// Checks the change against the view.
    pub fn judge(
        &mut self,
        view: &ConfigView,
        mark: &HeadMark,
        nonce: ChangeNonce,
        wall: WallTime,
    ) -> WriteVerdict {
        match self.refusal(view, wall) {
            Some(_) if !self.refreshed => WriteVerdict::Refresh,
            Some(reply) => WriteVerdict::Reply(reply),
            None => {
                self.seen
                    .get_or_insert_with(|| revision_of(view, &self.key));
                WriteVerdict::Commit(Box::new(self.row(mark.head.revision.next(), nonce)))
            }
        }
    }

    fn refusal(&self, view: &ConfigView, wall: WallTime) -> Option<OperatorReply> {
        let current = revision_of(view, &self.key);
        let moved = self.seen.is_some_and(|seen| seen != current);
        if moved || !self.expects(current) {
            let current = view.documents.get(&self.key).cloned().map(Box::new);
            return Some(OperatorReply::Conflict { current });
        }
        let faults = match &self.request {
            OperatorRequest::Delete { .. } if current.is_none() => {
                return Some(OperatorReply::NotFound);
            }
            OperatorRequest::Delete { key, .. } => check_deletion(key, &view.documents),
            OperatorRequest::Apply { document, .. } => {
                check_document(document, &view.documents, wall)
            }
        };
        (!faults.is_empty()).then_some(OperatorReply::Invalid { faults })
    }

    fn expects(&self, current: Option<ConfigRevision>) -> bool {
        let expected = match &self.request {
            OperatorRequest::Apply { expected, .. } | OperatorRequest::Delete { expected, .. } => {
                *expected
            }
        };
        expected.is_none_or(|expected| expected == current.unwrap_or_default())
    }

    fn row(&self, revision: ConfigRevision, nonce: ChangeNonce) -> ResourceRow {
        let document = match &self.request {
            OperatorRequest::Apply { document, .. } => Some(ResourceDocument {
                revision: Some(revision),
                status: None,
                ..document.clone()
            }),
            OperatorRequest::Delete { .. } => None,
        };
        ResourceRow {
            revision,
            nonce,
            document,
        }
    }

    /// Whether the change may have taken effect.
    #[must_use]
    pub fn is_uncertain(&self) -> bool {
        self.tried.as_ref().is_some_and(|tried| tried.uncertain)
    }
}

fn revision_of(view: &ConfigView, key: &ResourceKey) -> Option<ConfigRevision> {
    let document = view.documents.get(key)?;
    Some(document.revision.unwrap_or_default())
}
