//! Whether a burn needs somebody's attention.

use super::report::WindowRate;
use savorywood_protocol::burn::BurnWindow;
use serde::Serialize;
use strum::Display;

/// Requests that a window must hold before its rate counts. One failure among three requests at
/// night would otherwise page.
pub const MIN_REQUESTS: u64 = 20;

/// Part of the highest possible burn rate above which a threshold is never set. Where a target
/// allows many errors, even a total failure burns slower than the usual thresholds, and would
/// never page.
const REACHABLE: f64 = 0.9;

/// What a burn calls for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum BurnVerdict {
    /// Nothing.
    Ok,
    /// Somebody should look within days.
    Ticket,
    /// Somebody should look now.
    Page,
}

/// A pair of windows and the rate that both must reach: the long one shows that the burn
/// matters, the short one that it still goes on.
struct BurnRule {
    long: BurnWindow,
    short: BurnWindow,
    rate: f64,
    verdict: BurnVerdict,
}

/// Rules in the order of their weight. The rates spend 2% of a 30-day budget within an hour, 5%
/// within six hours, 10% within three days.
const RULES: [BurnRule; 3] = [
    BurnRule {
        long: BurnWindow::OneHour,
        short: BurnWindow::FiveMinutes,
        rate: 14.4,
        verdict: BurnVerdict::Page,
    },
    BurnRule {
        long: BurnWindow::SixHours,
        short: BurnWindow::OneHour,
        rate: 6.0,
        verdict: BurnVerdict::Page,
    },
    BurnRule {
        long: BurnWindow::ThreeDays,
        short: BurnWindow::SixHours,
        rate: 1.0,
        verdict: BurnVerdict::Ticket,
    },
];

/// Judges the windows of one service, tier and objective.
#[must_use]
pub fn judge(windows: &[WindowRate], target_per_mille: u16) -> BurnVerdict {
    let highest = 1_000.0 / f64::from(1_000_u16.saturating_sub(target_per_mille).max(1));
    let window = |wanted| windows.iter().find(|rate| rate.window == wanted);
    let broken = RULES.iter().find(|rule| {
        let threshold = rule.rate.min(REACHABLE * highest);
        let reached = |rate: &WindowRate| rate.burn_rate >= threshold;
        let long = window(rule.long).filter(|rate| rate.total >= MIN_REQUESTS);
        long.is_some_and(reached) && window(rule.short).is_some_and(reached)
    });
    broken.map_or(BurnVerdict::Ok, |rule| rule.verdict)
}
