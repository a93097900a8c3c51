//! Differences between complete reads, also across a restore, and completeness of pushed rows.

use super::RowCache;
use crate::{adapter::StoreRow, peers::RowsPush};
use savorywood_gateway::{SharedTable, StorePosition};

fn row(key: &str, value: &str, era: u64, version: u64) -> StoreRow {
    StoreRow {
        key: key.to_owned(),
        value: Some(value.as_bytes().to_vec()),
        position: StorePosition::new(era, version),
    }
}

fn keys(rows: &[StoreRow]) -> Vec<&str> {
    rows.iter().map(|row| row.key.as_str()).collect()
}

/// Guards against a restore after which every row counts as changed because all positions differ.
#[test]
fn restored_table_differs_only_in_changed_rows() {
    let mut known = RowCache::default();
    let before = vec![
        row("kept", "a", 1, 10),
        row("rewritten", "new", 1, 20),
        row("lost", "c", 1, 21),
    ];
    known.replace(before, StorePosition::new(1, 21));
    let restored = vec![
        row("kept", "a", 2, 10),
        row("rewritten", "old", 2, 12),
        row("removed-before", "d", 2, 13),
    ];
    let differences = known.replace(restored, StorePosition::new(2, 15));
    assert_eq!(keys(&differences), ["rewritten", "removed-before", "lost"]);
    assert_eq!(differences[2].value, None);
}

/// Guards against an order that is withdrawn and written again with the same content, but is not
/// pushed.
#[test]
fn row_rewritten_within_an_era_is_a_difference() {
    let mut known = RowCache::default();
    known.replace(vec![row("order", "a", 1, 10)], StorePosition::new(1, 10));
    let again = vec![row("order", "a", 1, 14)];
    let differences = known.replace(again, StorePosition::new(1, 14));
    assert_eq!(keys(&differences), ["order"]);
}

/// Guards against a push after a restore that is taken as complete by a daemon that still holds
/// rows the restore lost.
#[test]
fn push_after_restore_is_incomplete_for_daemon_with_lost_rows() {
    let push = RowsPush {
        table: SharedTable::Upstreams,
        after: StorePosition::new(1, 10),
        before: StorePosition::new(1, 20),
        through: StorePosition::new(2, 12),
        rows: Vec::new(),
    };
    assert!(push.is_complete_for(StorePosition::new(1, 10)));
    assert!(push.is_complete_for(StorePosition::new(1, 20)));
    assert!(
        !push.is_complete_for(StorePosition::new(1, 9)),
        "it lacks earlier rows"
    );
    assert!(
        !push.is_complete_for(StorePosition::new(1, 21)),
        "it holds rows that the restore lost"
    );
    assert!(
        !push.is_complete_for(StorePosition::new(2, 12)),
        "it has applied all changes"
    );
    let same_era = RowsPush {
        through: StorePosition::new(1, 30),
        ..push
    };
    assert!(same_era.is_complete_for(StorePosition::new(1, 25)));
}
