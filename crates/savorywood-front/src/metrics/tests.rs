//! Checks that the operators' page lists the metrics that the code exports.

use super::*;
use std::collections::BTreeSet;

/// The operators' page. The rows of its metrics table begin with metric names.
const PAGE: &str = include_str!("../../../../docs/OPERATIONS.md");

fn names_on_page() -> BTreeSet<String> {
    let section = PAGE.split("## Metrics").last().expect("a section");
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    let cells = rows.filter_map(|line| line.split('|').nth(1));
    let names = cells.flat_map(|cell| {
        cell.split(',')
            .map(|name| name.trim().trim_matches('`').to_owned())
    });
    names.collect()
}

fn names_in_code(metrics: &FrontMetrics) -> BTreeSet<String> {
    let counted = [
        &metrics.ended,
        &metrics.cut,
        &metrics.attempts,
        &metrics.store_calls,
        &metrics.connect_failures,
        &metrics.pool_lookups,
        &metrics.relays,
        &metrics.reported_paces,
        &metrics.scheduled_returns,
        &metrics.queue_decisions,
        &metrics.retry_decisions,
        &metrics.reservation_holds,
        &metrics.held.unbounded,
        &metrics.held.cuts,
        &metrics.held.pauses,
    ];
    for family in counted {
        family.with_label_values(&["x"]).inc();
    }
    let timed = [
        &metrics.waiting_duration,
        &metrics.first_event,
        &metrics.complete_response,
    ];
    for family in timed {
        family.with_label_values(&["x", "0"]).observe(1.0);
    }
    let text = metrics.text(&OmittedLines::default());
    let text = String::from_utf8(text).expect("text");
    let lines = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE savorywood_"));
    let names = lines.filter_map(|line| line.split(' ').next());
    names.map(str::to_owned).collect()
}

#[test]
fn operators_page_lists_all_metrics() {
    let metrics = FrontMetrics::default();
    assert_eq!(names_on_page(), names_in_code(&metrics));
}
