//! Counts behind the burn report.

#![allow(clippy::unwrap_used, reason = "a test that can't be set up fails")]

use quickcheck::quickcheck;
use savorywood_core::{BurnTracker, burn::MAX_SERIES};
use savorywood_protocol::{
    MonotonicTime, ServiceName, TierRank,
    burn::{BurnObjective, BurnSample, BurnWindow},
};
use std::time::Duration;
use strum::IntoEnumIterator;

fn service(name: &str) -> ServiceName {
    name.parse().unwrap()
}

fn total(samples: &[BurnSample], window: BurnWindow) -> u64 {
    let counted = samples.iter().filter(|sample| sample.window == window);
    counted.map(|sample| sample.total).sum()
}

fn record(ledger: &mut BurnTracker, seconds: u64, name: &str, met: bool) {
    let now = MonotonicTime(seconds * 1_000_000);
    ledger.record(
        now,
        &service(name),
        TierRank(0),
        BurnObjective::Deadline,
        met,
    );
}

#[test]
fn counts_leave_each_window_as_it_passes() {
    let mut ledger = BurnTracker::default();
    record(&mut ledger, 1_000, "notes", true);
    record(&mut ledger, 1_000, "notes", false);
    let windows = |seconds: u64| {
        let samples = ledger.windows(MonotonicTime(seconds * 1_000_000));
        BurnWindow::iter()
            .map(|window| total(&samples, window))
            .collect::<Vec<_>>()
    };
    assert_eq!(windows(1_000), [2, 2, 2, 2]);
    assert_eq!(windows(1_000 + 280), [2, 2, 2, 2]);
    assert_eq!(windows(1_000 + 310), [0, 2, 2, 2]);
    assert_eq!(windows(1_000 + 3_610), [0, 0, 2, 2]);
    assert_eq!(windows(1_000 + 6 * 3_610), [0, 0, 0, 2]);
    assert_eq!(windows(1_000 + 72 * 3_610), [0, 0, 0, 0]);
}

/// A daemon that lives for weeks sees many services come and go. Were each kept, its memory
/// would grow until the host kills it.
#[test]
fn series_are_bounded_and_old_ones_make_room() {
    let mut ledger = BurnTracker::default();
    for number in 0..MAX_SERIES + 20 {
        record(&mut ledger, 10, &format!("s{number}"), true);
    }
    assert_eq!(ledger.series_count(), MAX_SERIES);
    assert_eq!(ledger.untracked(), 20);
    record(&mut ledger, 10 + 73 * 3_600, "new", true);
    assert_eq!(ledger.series_count(), 1);
    assert_eq!(ledger.untracked(), 20);
}

quickcheck! {
    /// Each window holds at least what ended within 29 thirtieths of it, at most what ended
    /// within all of it.
    fn windows_hold_what_ended_within_them(steps: Vec<(u16, bool)>) -> bool {
        let mut ledger = BurnTracker::default();
        let mut ends = Vec::new();
        let mut now = 0_u64;
        for (step, met) in steps {
            now += u64::from(step) * 7;
            record(&mut ledger, now, "notes", met);
            ends.push((now, met));
        }
        let samples = ledger.windows(MonotonicTime(now * 1_000_000));
        BurnWindow::iter().all(|window| {
            let length = window.duration();
            let surely = length * 29 / 30;
            let within = |span: Duration| {
                let ended = ends.iter().filter(|(end, _)| now - end < span.as_secs());
                ended.count() as u64
            };
            let counted = total(&samples, window);
            let good: u64 = samples.iter().filter(|s| s.window == window).map(|s| s.good).sum();
            (within(surely)..=within(length)).contains(&counted) && good <= counted
        })
    }
}
