//! The `slopes` command: what a decision costs as upstreams and teams grow.

mod drive;

use drive::{SlopeCase, SlopeFigures};
use savorywood_protocol::NameError;
use std::fmt::Write;

/// Numbers of upstreams measured.
const UPSTREAMS: [usize; 2] = [60, 600];
/// Numbers of teams measured.
const TEAMS: [usize; 2] = [2_400, 24_000];

/// Measures and writes a table, then the slopes between its rows.
///
/// # Errors
///
/// When a generated name is not one.
pub fn slopes() -> Result<String, NameError> {
    let mut text = String::from(
        "| upstreams | teams | load | µs an arrival (p99) | µs an answer (p99) | \
         µs a second look | KB of state |\n|---|---|---|---|---|---|---|\n",
    );
    let mut rows = Vec::new();
    // The first scheduler grows the allocator; later ones would look as if they needed nothing.
    let mut kept = vec![SlopeCase::SMALLEST.drive()?];
    for drive in &mut kept {
        drive.measure();
    }
    for saturated in [false, true] {
        for upstreams in UPSTREAMS {
            for teams in TEAMS {
                let case = SlopeCase {
                    upstreams,
                    teams,
                    saturated,
                };
                let mut drive = case.drive()?;
                let figures = drive.measure();
                // Kept, so that its memory is not given to the next one.
                kept.push(drive);
                write_row(&mut text, case, &figures);
                rows.push(SlopeRow { case, figures });
            }
        }
    }
    write_slopes(&mut text, &rows);
    Ok(text)
}

#[derive(Debug, Clone, Copy)]
struct SlopeRow {
    case: SlopeCase,
    figures: SlopeFigures,
}

fn write_row(text: &mut String, case: SlopeCase, figures: &SlopeFigures) {
    let load = load_name(case.saturated);
    let _ = writeln!(
        text,
        "| {} | {} | {load} | {:.1} ({:.1}) | {:.1} ({:.1}) | {:.0} | {} |",
        case.upstreams,
        case.teams,
        figures.arrival.mean,
        figures.arrival.high,
        figures.answer.mean,
        figures.answer.high,
        figures.look.mean,
        figures.state_bytes / 1_024,
    );
}

fn load_name(saturated: bool) -> &'static str {
    if saturated { "queue full" } else { "half" }
}

/// Writes what one more upstream and one more team cost.
fn write_slopes(text: &mut String, rows: &[SlopeRow]) {
    for saturated in [false, true] {
        let find = |upstreams: usize, teams: usize| {
            let mut rows = rows.iter();
            let row = rows.find(|row| {
                let case = row.case;
                case.saturated == saturated && case.upstreams == upstreams && case.teams == teams
            });
            row.map(|row| row.figures).unwrap_or_default()
        };
        let base = find(UPSTREAMS[0], TEAMS[0]);
        let more_upstreams = find(UPSTREAMS[1], TEAMS[0]);
        let more_teams = find(UPSTREAMS[0], TEAMS[1]);
        let load = load_name(saturated);
        write_slope(
            text,
            &format!("{load}, an upstream"),
            &base,
            &more_upstreams,
            540.0,
        );
        write_slope(
            text,
            &format!("{load}, a team"),
            &base,
            &more_teams,
            21_600.0,
        );
    }
}

fn write_slope(text: &mut String, of: &str, base: &SlopeFigures, more: &SlopeFigures, steps: f64) {
    let nanos = |from: f64, to: f64| (to - from) * 1_000.0 / steps;
    let bytes = (more.state_bytes as f64 - base.state_bytes as f64) / steps;
    let _ = writeln!(
        text,
        "\nOne more ({of}): {:.2} ns an arrival, {:.2} ns an answer, {bytes:.0} bytes of state.",
        nanos(base.arrival.mean, more.arrival.mean),
        nanos(base.answer.mean, more.answer.mean),
    );
}
