//! The table service against a simple second model of it.

use quickcheck::{Arbitrary, Gen, quickcheck};
use savorywood_protocol::table::{
    RowCondition, RowWrite, TableCommit, TableRequest, TableResponse, TableRow,
};
use savorywood_standin::TableStore;
use std::collections::BTreeMap;

const KEYS: [&str; 5] = ["a/1", "a/2", "a/3", "b/1", "b/2"];

#[derive(Debug, Clone)]
struct CommitPlan {
    key: usize,
    second: usize,
    value: Option<u8>,
    guess: Option<u64>,
}

impl Arbitrary for CommitPlan {
    fn arbitrary(source: &mut Gen) -> Self {
        Self {
            key: usize::arbitrary(source) % KEYS.len(),
            second: usize::arbitrary(source) % KEYS.len(),
            value: Option::arbitrary(source),
            guess: Option::<u64>::arbitrary(source).map(|guess| guess % 8),
        }
    }
}

impl CommitPlan {
    fn commit(&self) -> TableCommit {
        let write = |index: usize| RowWrite {
            key: KEYS[index].to_owned(),
            value: self.value.map(|value| value.to_string()),
        };
        TableCommit {
            conditions: vec![RowCondition {
                key: KEYS[self.key].to_owned(),
                revision: self.guess,
            }],
            writes: vec![write(self.key), write(self.second)],
        }
    }
}

fn rows(answer: TableResponse) -> (Vec<TableRow>, bool) {
    match answer {
        TableResponse::Rows { rows, more, .. } => (rows, more),
        other => panic!("no rows: {other:?}"),
    }
}

quickcheck! {
    fn commits_take_effect_whole_or_not_at_all(plans: Vec<CommitPlan>) -> bool {
        let mut store = TableStore::default();
        let mut expected: BTreeMap<&str, (Option<String>, u64)> = BTreeMap::new();
        let mut revision = 0;
        for plan in plans {
            let current = expected.get(KEYS[plan.key]);
            let live = current.and_then(|(value, at)| value.as_ref().map(|_| *at));
            let answer = store.execute(&TableRequest::Commit(plan.commit()));
            if live == plan.guess {
                revision += 1;
                let value = plan.value.map(|value| value.to_string());
                expected.insert(KEYS[plan.key], (value.clone(), revision));
                expected.insert(KEYS[plan.second], (value, revision));
                if answer != (TableResponse::Committed { revision }) {
                    return false;
                }
            } else if !matches!(answer, TableResponse::Conflict { .. }) {
                return false;
            }
        }
        let keys = KEYS.map(str::to_owned).to_vec();
        let (read, _) = rows(store.execute(&TableRequest::Get { keys }));
        let wanted = expected.iter().filter_map(|(key, (value, revision))| {
            Some(TableRow { key: (*key).to_owned(), value: Some(value.clone()?), revision: *revision })
        });
        read == wanted.collect::<Vec<_>>()
    }

    fn pages_of_a_scan_miss_nothing(plans: Vec<CommitPlan>, limit: u32) -> bool {
        let mut store = TableStore::default();
        for plan in plans {
            let mut commit = plan.commit();
            commit.conditions.clear();
            store.execute(&TableRequest::Commit(commit));
        }
        let scan = |after, limit| TableRequest::Scan { prefix: "a/".to_owned(), after, limit };
        let (whole, _) = rows(store.execute(&scan(0, u32::MAX)));
        let mut paged = Vec::new();
        let mut after = 0;
        loop {
            let (page, more) = rows(store.execute(&scan(after, limit % 4)));
            after = page.last().map_or(after, |row| row.revision);
            paged.extend(page);
            if !more {
                return paged == whole;
            }
        }
    }
}

#[test]
fn a_deleted_row_is_told_by_scans_and_may_be_inserted_again() {
    let mut store = TableStore::default();
    let commit = |value: Option<&str>, revision| {
        TableRequest::Commit(TableCommit {
            conditions: vec![RowCondition {
                key: "a/1".to_owned(),
                revision,
            }],
            writes: vec![RowWrite {
                key: "a/1".to_owned(),
                value: value.map(str::to_owned),
            }],
        })
    };
    let committed = |revision| TableResponse::Committed { revision };
    assert_eq!(store.execute(&commit(Some("x"), None)), committed(1));
    assert_eq!(store.execute(&commit(None, Some(1))), committed(2));
    let scan = TableRequest::Scan {
        prefix: "a/".to_owned(),
        after: 1,
        limit: 10,
    };
    let (told, _) = rows(store.execute(&scan));
    assert_eq!((told[0].value.as_ref(), told[0].revision), (None, 2));
    assert_eq!(store.execute(&commit(Some("y"), None)), committed(3));
}
