//! Applies rows, own commits and peer snapshots to the configuration in force. The revision in
//! force never decreases.

use super::ConfigState;
use crate::{
    config::{
        change_log::ConfigChange,
        row::{self, HEAD_KEY, HeadRow, ResourceRow, VersionedHead},
        table_poll::ScanResult,
    },
    effect::{EffectQueue, LogLevel, LogLine},
    invariant::{self, InvariantName},
    snapshot::ConfigSnapshot,
    view::ConfigView,
};
use savorywood_protocol::{
    ConfigRevision, CoreTime, WallTime,
    resource::{ResourceDocument, ResourceKey},
    table::TableRow,
};
use std::{collections::BTreeSet, sync::Arc};

/// Change of one resource that is to come into force; `document` is `None` for a deletion.
struct ResourceChange {
    key: ResourceKey,
    revision: ConfigRevision,
    document: Option<ResourceDocument>,
}

impl ConfigState {
    /// Applies the result of a scan. Returns whether the view is now at least as new as the table
    /// was when the scan was requested.
    pub(super) fn apply_scan(
        &mut self,
        now: CoreTime,
        scan: ScanResult,
        effects: &mut EffectQueue,
    ) -> bool {
        let mut rows = scan.rows;
        rows.sort_by_key(|row| row.revision);
        let head_row = rows.iter().rfind(|row| row.key == HEAD_KEY);
        let head = match head_row.map(VersionedHead::read).transpose() {
            Ok(Some(head)) => head,
            Ok(None) => return self.apply_scan_without_head(now, &rows, effects),
            Err(error) => {
                let line = LogLine::new(LogLevel::Error, "config-head-unreadable");
                effects.log(line.with("error", error));
                return false;
            }
        };
        // A commit of this daemon may have been applied during the scan, which is then the older of
        // the two.
        if self.is_ready() && head.commit <= self.head.commit {
            return true;
        }
        if head.row.revision < self.view.revision {
            let line = LogLine::new(LogLevel::Error, "config-table-went-back")
                .with("table_revision", head.row.revision)
                .with("in_force", self.view.revision);
            effects.log(line);
            return false;
        }
        // Peers have a newer revision in force, so this read was served by a replica that lags. A
        // daemon that started with it would serve a configuration that has been replaced.
        let behind = head.row.revision < self.newest_reported;
        if behind && !self.is_ready() {
            let line = LogLine::new(LogLevel::Warn, "config-table-behind-peers")
                .with("table_revision", head.row.revision)
                .with("newest_heard", self.newest_reported);
            effects.log(line);
            return false;
        }
        let changes = read_changes(&rows, effects);
        self.install(now.wall, head, changes, effects);
        !behind
    }

    /// Handles a scan that returned no head row. Returns whether the view is up to date: the scan
    /// is empty and no peer has reported a newer revision.
    fn apply_scan_without_head(
        &mut self,
        now: CoreTime,
        rows: &[TableRow],
        effects: &mut EffectQueue,
    ) -> bool {
        if !rows.is_empty() {
            effects.log(LogLine::new(LogLevel::Error, "config-rows-without-head"));
            return false;
        }
        if self.view.revision < self.newest_reported {
            return false;
        }
        self.mark_loaded(now.wall);
        true
    }

    /// Applies a change that this daemon committed. `head` is the head row that the commit wrote.
    pub(super) fn apply_own_commit(
        &mut self,
        wall: WallTime,
        head: VersionedHead,
        key: ResourceKey,
        row: ResourceRow,
        effects: &mut EffectQueue,
    ) {
        let change = ResourceChange {
            key,
            revision: row.revision,
            document: row.document,
        };
        self.install(wall, head, vec![change], effects);
    }

    /// Applies the complete configuration of a peer if it is newer than the one in force.
    pub(super) fn apply_snapshot(
        &mut self,
        now: CoreTime,
        snapshot: ConfigSnapshot,
        effects: &mut EffectQueue,
    ) {
        if self.is_ready() && snapshot.revision <= self.view.revision {
            return;
        }
        let head = VersionedHead {
            commit: snapshot.table_revision,
            row: HeadRow {
                revision: snapshot.revision,
                recent: Vec::new(),
            },
        };
        let changes = self.changes_from_snapshot(snapshot);
        self.install(now.wall, head, changes, effects);
    }

    fn changes_from_snapshot(&self, snapshot: ConfigSnapshot) -> Vec<ResourceChange> {
        let revision = snapshot.revision;
        let snapshot_keys: BTreeSet<_> = snapshot
            .documents
            .iter()
            .map(ResourceDocument::key)
            .collect();
        let deleted = self
            .view
            .documents
            .keys()
            .filter(|key| !snapshot_keys.contains(key));
        let deleted = deleted.map(|key| ResourceChange {
            key: key.clone(),
            revision,
            document: None,
        });
        let deleted: Vec<_> = deleted.collect();
        let current = &self.view.documents;
        let written = snapshot.documents.into_iter().filter_map(|document| {
            let key = document.key();
            let unchanged =
                current.get(&key).map(|current| current.revision) == Some(document.revision);
            (!unchanged).then(|| ResourceChange {
                revision: document.revision.unwrap_or_default(),
                key,
                document: Some(document),
            })
        });
        let mut changes: Vec<_> = written.chain(deleted).collect();
        changes.sort_by_key(|change| change.revision);
        changes
    }

    fn install(
        &mut self,
        wall: WallTime,
        head: VersionedHead,
        changes: Vec<ResourceChange>,
        effects: &mut EffectQueue,
    ) {
        let next = head.row.revision;
        let not_older = next >= self.view.revision;
        invariant::check(
            effects,
            InvariantName::ConfigNeverReverts,
            not_older,
            || {
                format!(
                    "revision={next} would follow revision={}",
                    self.view.revision
                )
            },
        );
        if !not_older {
            return;
        }
        let view = Arc::make_mut(&mut self.view);
        for change in changes {
            if self.loaded_at.is_some() {
                self.change_log.push(ConfigChange {
                    revision: change.revision,
                    key: change.key.clone(),
                    applied_at: wall,
                });
            }
            put_resource(view, change, effects);
        }
        view.revision = next;
        self.head = head;
        self.newest_reported = self.newest_reported.max(next);
        self.mark_loaded(wall);
        let line = LogLine::new(LogLevel::Info, "config-in-force").with("revision", next);
        effects.log(line);
    }

    fn mark_loaded(&mut self, wall: WallTime) {
        if self.loaded_at.is_none() {
            self.loaded_at = Some(wall);
            self.change_log.restart(self.view.revision);
        }
    }
}

fn put_resource(view: &mut ConfigView, change: ResourceChange, effects: &mut EffectQueue) {
    let Some(document) = change.document else {
        view.remove(&change.key);
        return;
    };
    if let Err(error) = view.insert(document) {
        let line = LogLine::new(LogLevel::Error, "config-row-refused")
            .with("resource", change.key)
            .with("error", error);
        effects.log(line);
    }
}

/// Parses the resource rows of a scan. A row that can't be parsed, such as one of a kind that this
/// version does not support, is skipped and named in the log: rejecting the complete scan would
/// block all other changes as well.
fn read_changes(rows: &[TableRow], effects: &mut EffectQueue) -> Vec<ResourceChange> {
    let mut changes = Vec::new();
    for row in rows.iter().filter(|row| row.key != HEAD_KEY) {
        let key = row::resource_key(&row.key);
        match (key, row::read_resource(row)) {
            (Some(key), Ok(content)) => changes.push(ResourceChange {
                key,
                revision: content.revision,
                document: content.document,
            }),
            (None, _) | (_, Err(_)) => {
                let line = LogLine::new(LogLevel::Error, "config-row-unreadable");
                effects.log(line.with("row", &row.key));
            }
        }
    }
    changes
}
