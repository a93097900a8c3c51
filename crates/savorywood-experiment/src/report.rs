//! Tables in Markdown.

use crate::{run::RunResult, tally::RunTally};
use std::fmt::Write;

/// Heads of the table's columns.
const HEADS: [&str; 12] = [
    "policy",
    "in time by tier %",
    "first token too %",
    "all %",
    "worst team %",
    "tokens in time",
    "shed by tier %",
    "late by tier %",
    "wasted prefill % (late, broken, missed)",
    "p95 first token / from dispatch / gap ms",
    "order breaches",
    "µs a request",
];

/// Writes the results, one table for each deployment and scenario.
#[must_use]
pub fn tables(results: &[RunResult]) -> String {
    let mut text = String::new();
    let mut title = String::new();
    for result in results {
        let plan = &result.plan;
        let next = format!(
            "{}, load {:.1}, {}",
            plan.deployment, plan.scenario.load, plan.scenario.trouble
        );
        if next != title {
            let _ = write!(text, "\n### {next}\n\n");
            let _ = writeln!(text, "| {} |", HEADS.join(" | "));
            let _ = writeln!(text, "|{}", "---|".repeat(HEADS.len()));
            title = next;
        }
        let _ = writeln!(text, "{}", row(result));
    }
    text
}

fn row(result: &RunResult) -> String {
    let tally = &result.tally;
    let tiers = &tally.tiers;
    let by_tier = |of: &dyn Fn(usize) -> u64| {
        let shares = (0..tiers.len()).map(|rank| percent(of(rank), tiers[rank].tasks));
        shares.collect::<Vec<_>>().join(" ")
    };
    let cells = [
        result.plan.policy.to_string(),
        by_tier(&|rank| tiers[rank].in_time),
        by_tier(&|rank| tiers[rank].prompt_start),
        format!("{:.1}", tally.goodput() * 100.0),
        format!("{:.1}", tally.worst_team() * 100.0),
        tally.good_tokens.to_string(),
        by_tier(&|rank| tiers[rank].shed),
        by_tier(&|rank| tiers[rank].late + tiers[rank].broken),
        waste(tally),
        format!(
            "{} / {} / {}",
            tally.first_token.value_at_quantile(0.95) / 1_000,
            tally.engine_first.value_at_quantile(0.95) / 1_000,
            tally.token_gap.value_at_quantile(0.95) / 1_000
        ),
        (tally.order_breaches + tally.noticed_breaches).to_string(),
        format!("{:.1}", tally.decision_micros()),
    ];
    format!("| {} |", cells.join(" | "))
}

/// Wasted prefill: all, then late, broken, missed.
fn waste(tally: &RunTally) -> String {
    let prefill = &tally.prefill;
    let share = |part: f64| format!("{:.1}", part * 100.0 / prefill.total.max(1.0));
    let parts = [prefill.late, prefill.broken, prefill.miss].map(share);
    format!("{:.1} ({})", prefill.wasted() * 100.0, parts.join(" "))
}

fn percent(part: u64, whole: u64) -> String {
    format!("{:.1}", part as f64 * 100.0 / whole.max(1) as f64)
}
