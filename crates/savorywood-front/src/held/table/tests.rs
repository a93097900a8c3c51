//! Decisions near and at the bound.

mod weighing;

use super::*;

const BUDGET: usize = 80 << 20;
const MIB: usize = 1 << 20;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(1_000_000 + millis * 1_000)
}

/// Adds a complete response whose caller begins to read it.
fn deliver(table: &mut HolderTable, now: MonotonicTime, bytes: usize) -> HolderId {
    let id = table.open(now, HeldKind::Response);
    assert_eq!(table.grow(now, id, bytes), HeldVerdict::Allow);
    table.begin_delivery(now, id);
    id
}

fn cut_of(verdict: HeldVerdict) -> Option<(HolderId, CutOutcome)> {
    match verdict {
        HeldVerdict::Cut(cut) => Some((cut.holder, cut.outcome)),
        _ => None,
    }
}

/// Guards against responses that each wait for the memory of the others: one of them has to become
/// complete within the budget.
#[test]
fn one_of_many_large_responses_always_completes() {
    let mut table = HolderTable::new(BUDGET);
    let ids: Vec<_> = (0..20)
        .map(|_| table.open(at(0), HeldKind::Response))
        .collect();
    let mut received = vec![0; ids.len()];
    let mut now = 0;
    let mut complete = 0;
    while complete < ids.len() {
        now += 1;
        let before = complete;
        for (index, id) in ids.iter().enumerate() {
            if received[index] < MAX_RESPONSE_BYTES
                && table.grow(at(now), *id, MIB) == HeldVerdict::Allow
            {
                received[index] += MIB;
                if received[index] == MAX_RESPONSE_BYTES {
                    complete += 1;
                    table.close(*id);
                }
            }
            assert!(table.total() <= BUDGET);
        }
        assert!(now < 1_000 || complete > before, "no response completes");
    }
    assert_eq!(table.total(), 0);
}

/// Guards against a disconnected caller that reads, while another one has read nothing, and against an
/// order by anything else than the time without progress.
#[test]
fn caller_that_has_read_nothing_for_the_longest_is_cut_first() {
    let mut table = HolderTable::new(BUDGET);
    let reading = deliver(&mut table, at(0), 16 * MIB);
    let newest = deliver(&mut table, at(400), 16 * MIB);
    let oldest = deliver(&mut table, at(200), 16 * MIB);
    let receiving = table.open(at(400), HeldKind::Response);
    assert_eq!(table.grow(at(400), receiving, 16 * MIB), HeldVerdict::Allow);
    let other = table.open(at(400), HeldKind::Response);
    let mut cuts = Vec::new();
    for now in (500..4_000).step_by(50) {
        table.shrink(at(now), reading, 20_000);
        let verdict = table.grow(at(now), other, 16 * MIB);
        if verdict == HeldVerdict::Allow {
            break;
        }
        if let Some((holder, outcome)) = cut_of(verdict) {
            assert_eq!(outcome, CutOutcome::ResponseUnread);
            cuts.push((now, holder));
            table.close(holder);
        }
    }
    assert_eq!(cuts, [(1_500, oldest)]);
    table.close(receiving);
    let third = table.open(at(4_000), HeldKind::Response);
    for now in (4_000..6_000).step_by(50) {
        table.shrink(at(now), reading, 20_000);
        cuts.extend(cut_of(table.grow(at(now), third, 40 * MIB)).map(|cut| (now, cut.0)));
    }
    assert_eq!(cuts[1..], [(5_000, newest)]);
}

/// Guards against the loss of responses that can be delivered because of a reader that is paused: as
/// long as all callers read, nobody is disconnected.
#[test]
fn callers_that_read_are_never_cut() {
    let mut table = HolderTable::new(BUDGET);
    let ids: Vec<_> = (0..4)
        .map(|_| deliver(&mut table, at(0), 16 * MIB))
        .collect();
    let waiting = table.open(at(0), HeldKind::Response);
    for now in (0..3_000).step_by(100) {
        for id in &ids {
            table.shrink(at(now), *id, MIN_PROGRESS);
        }
        let verdict = table.grow(at(now), waiting, 17 * MIB);
        assert_eq!(verdict, HeldVerdict::Pause, "{now}");
    }
}

/// Guards against a caller that reads a byte at a time to keep its memory.
#[test]
fn caller_that_trickles_counts_as_stalled() {
    let mut table = HolderTable::new(BUDGET);
    let trickling = deliver(&mut table, at(0), 16 * MIB);
    for _ in 0..3 {
        deliver(&mut table, at(500), 16 * MIB);
    }
    let waiting = table.open(at(500), HeldKind::Response);
    let mut cut = None;
    for now in (500..2_000).step_by(10) {
        table.shrink(at(now), trickling, 1);
        cut = cut.or(cut_of(table.grow(at(now), waiting, 17 * MIB)));
    }
    assert_eq!(cut, Some((trickling, CutOutcome::ResponseUnread)));
}

/// Guards against a request that is read although its body has no room, against one that is refused
/// while a caller blocks the memory without reading, and against the refusal of small requests
/// because of a few large ones.
#[test]
fn requests_without_room_are_refused() {
    let mut table = HolderTable::new(BUDGET);
    let large = table.open(at(0), HeldKind::RequestBody);
    assert_eq!(table.grow(at(0), large, 60 * MIB), HeldVerdict::Allow);
    table.keep(large);
    assert_eq!(table.admit_body(at(9_000), 8 * MIB), HeldVerdict::Refuse);
    assert_eq!(table.admit_body(at(9_000), 4 * MIB), HeldVerdict::Allow);
    assert_eq!(table.admit_body(at(9_000), 60_000), HeldVerdict::Allow);
    deliver(&mut table, at(9_000), 4 * MIB);
    assert_eq!(table.admit_body(at(9_900), 4 * MIB), HeldVerdict::Refuse);
    assert!(cut_of(table.admit_body(at(10_000), 4 * MIB)).is_some());
    assert_eq!(table.admit_body(at(10_000), 60_000), HeldVerdict::Allow);
}

/// Guards against a request body of unknown length that waits for memory until its time-out, and
/// against callers that stop in the middle of their requests and keep the memory.
#[test]
fn bodies_of_unknown_length_are_refused_or_cut() {
    let mut table = HolderTable::new(BUDGET);
    let complete = table.open(at(0), HeldKind::RequestBody);
    assert_eq!(table.grow(at(0), complete, 60 * MIB), HeldVerdict::Allow);
    table.keep(complete);
    let growing = table.open(at(0), HeldKind::RequestBody);
    assert_eq!(table.grow(at(0), growing, 5 * MIB), HeldVerdict::Pause);
    assert_eq!(table.grow(at(999), growing, 5 * MIB), HeldVerdict::Pause);
    assert_eq!(table.grow(at(1_000), growing, 5 * MIB), HeldVerdict::Refuse);
    let stopped = table.open(at(1_000), HeldKind::RequestBody);
    assert_eq!(table.grow(at(1_000), stopped, 3 * MIB), HeldVerdict::Allow);
    assert_eq!(table.grow(at(1_900), growing, 5 * MIB), HeldVerdict::Refuse);
    let cut = cut_of(table.grow(at(2_000), growing, 5 * MIB));
    assert_eq!(cut, Some((stopped, CutOutcome::RequestIncomplete)));
    assert_eq!(table.grow(at(2_010), growing, 5 * MIB), HeldVerdict::Refuse);
    table.close(stopped);
    table.close(complete);
    assert_eq!(table.grow(at(2_020), growing, 5 * MIB), HeldVerdict::Allow);
}

/// Guards against totals that drift from what the holders have, over random sequences.
#[test]
fn total_is_the_sum_of_the_holders_and_within_the_budget() {
    let mut random = fastrand::Rng::with_seed(7);
    let mut table = HolderTable::new(BUDGET);
    let mut ids = Vec::new();
    for step in 0..4_000 {
        let now = at(step * 10);
        match random.u8(..6) {
            0 => ids.push(table.open(now, HeldKind::Response)),
            1 => ids.push(table.open(now, HeldKind::RequestBody)),
            2 => ids.push(table.open(now, HeldKind::Events)),
            3 if ids.len() > 10 => table.close(ids.swap_remove(random.usize(..ids.len()))),
            _ => {}
        }
        let Some(id) = random.choice(&ids).copied() else {
            continue;
        };
        let bytes = random.usize(..4 * MIB);
        match random.u8(..4) {
            0 => table.shrink(now, id, bytes),
            1 => table.begin_delivery(now, id),
            _ => {
                if let HeldVerdict::Cut(cut) = table.grow(now, id, bytes) {
                    assert!(cut.stalled >= STALL_TIME);
                    table.close(cut.holder);
                    ids.retain(|id| *id != cut.holder);
                }
            }
        }
        let kinds = [HeldKind::Response, HeldKind::RequestBody, HeldKind::Events];
        let held: usize = kinds.iter().map(|kind| table.held(*kind)).sum();
        assert_eq!(table.total(), held);
        assert!(held <= BUDGET);
    }
}
