//! Sums the daemons' counts.

use super::verdict::{BurnVerdict, judge};
use crate::table::TextTable;
use savorywood_protocol::{
    HostName, ServiceName, TierRank,
    burn::{BurnObjective, BurnWindow, DaemonBurnReport},
    resource::{ResourceDocument, ResourceSpec, ServiceObjectives},
};
use serde::Serialize;
use std::{collections::BTreeMap, fmt, net::SocketAddr};
use strum::IntoEnumIterator;

/// What a report is made of.
#[derive(Debug, Clone, Default)]
pub struct ReportInput {
    /// Services and tiers, for targets and names.
    pub resources: Vec<ResourceDocument>,
    /// Counts of the members that answered.
    pub daemons: Vec<DaemonBurnReport>,
    /// Members that did not.
    pub silent: Vec<SilentMember>,
}

/// A member whose counts are missing from a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SilentMember {
    /// Which.
    pub host: HostName,
    /// Where it was asked.
    pub address: SocketAddr,
    /// Why its counts are missing.
    pub reason: String,
}

/// Burn over one window.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct WindowRate {
    /// How far back.
    pub window: BurnWindow,
    /// Requests that met the objective.
    pub good: u64,
    /// All requests.
    pub total: u64,
    /// Share of bad requests relative to the share that the target allows: above one, the errors
    /// allowed are used up before their time.
    pub burn_rate: f64,
}

/// Burn of one service, tier and objective.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurnRow {
    /// Which service.
    pub service: ServiceName,
    /// Rank of the tier.
    pub rank: TierRank,
    /// Name of the tier, if there is one of that rank.
    pub tier: Option<String>,
    /// Which objective.
    pub objective: BurnObjective,
    /// Share of requests that must meet it, in thousandths.
    pub target_per_mille: u16,
    /// Windows from the shortest, all of them.
    pub windows: Vec<WindowRate>,
    /// What it calls for.
    pub verdict: BurnVerdict,
}

/// The whole report.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurnReport {
    /// The worst first, then by service, tier and objective.
    pub rows: Vec<BurnRow>,
    /// Daemons whose counts are in it.
    pub answered: usize,
    /// Daemons whose counts are missing.
    pub silent: Vec<SilentMember>,
    /// Shortest time that an answering daemon has counted for.
    pub shortest_observed_ms: Option<u64>,
    /// Requests that daemons left out because they counted too many services and tiers.
    pub untracked: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RowKey {
    service: ServiceName,
    rank: TierRank,
    objective: BurnObjective,
}

#[derive(Debug, Clone, Copy, Default)]
struct GoodTotal {
    good: u64,
    total: u64,
}

/// Sums counts over daemons and judges them.
#[must_use]
pub fn build_report(input: ReportInput) -> BurnReport {
    let targets = targets_of(&input.resources);
    let tiers = tiers_of(&input.resources);
    let mut sums: BTreeMap<RowKey, BTreeMap<BurnWindow, GoodTotal>> = BTreeMap::new();
    for sample in input.daemons.iter().flat_map(|daemon| &daemon.samples) {
        let key = RowKey {
            service: sample.service.clone(),
            rank: sample.rank,
            objective: sample.objective,
        };
        let sum = sums
            .entry(key)
            .or_default()
            .entry(sample.window)
            .or_default();
        sum.good = sum.good.saturating_add(sample.good);
        sum.total = sum.total.saturating_add(sample.total);
    }
    let rows = sums.into_iter().map(|(key, windows)| {
        let target = targets.get(&key.service).copied();
        let target_per_mille =
            target.unwrap_or_else(|| ServiceObjectives::default().target_per_mille);
        let windows: Vec<_> = BurnWindow::iter()
            .map(|window| {
                let sum = windows.get(&window).copied().unwrap_or_default();
                rate_of(window, sum, target_per_mille)
            })
            .collect();
        BurnRow {
            tier: tiers.get(&key.rank).cloned(),
            verdict: judge(&windows, target_per_mille),
            service: key.service,
            rank: key.rank,
            objective: key.objective,
            target_per_mille,
            windows,
        }
    });
    let mut rows: Vec<_> = rows.collect();
    rows.sort_by_key(|row| std::cmp::Reverse(row.verdict));
    let daemons = &input.daemons;
    let untracked = daemons.iter().map(|daemon| daemon.untracked);
    BurnReport {
        rows,
        answered: daemons.len(),
        shortest_observed_ms: daemons.iter().map(|daemon| daemon.observed_ms).min(),
        untracked: untracked.fold(0, u64::saturating_add),
        silent: input.silent,
    }
}

fn rate_of(window: BurnWindow, sum: GoodTotal, target_per_mille: u16) -> WindowRate {
    let bad = sum.total.saturating_sub(sum.good);
    let allowed = f64::from(1_000_u16.saturating_sub(target_per_mille).max(1)) / 1_000.0;
    let burn_rate = if sum.total == 0 {
        0.0
    } else {
        bad as f64 / sum.total as f64 / allowed
    };
    WindowRate {
        window,
        good: sum.good,
        total: sum.total,
        burn_rate,
    }
}

fn targets_of(resources: &[ResourceDocument]) -> BTreeMap<ServiceName, u16> {
    let services = resources
        .iter()
        .filter_map(|document| match &document.spec {
            ResourceSpec::Service(spec) => {
                let name = document.name.parse().ok()?;
                Some((name, spec.objectives.target_per_mille))
            }
            _ => None,
        });
    services.collect()
}

fn tiers_of(resources: &[ResourceDocument]) -> BTreeMap<TierRank, String> {
    let tiers = resources
        .iter()
        .filter_map(|document| match &document.spec {
            ResourceSpec::Tier(spec) => Some((spec.rank, document.name.clone())),
            _ => None,
        });
    tiers.collect()
}

impl fmt::Display for BurnReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut heading = vec!["SERVICE", "TIER", "OBJECTIVE", "TARGET"];
        heading.extend(BurnWindow::iter().map(Into::<&str>::into));
        heading.push("VERDICT");
        let mut table = TextTable::new(&heading);
        for row in &self.rows {
            table.push(row_cells(row));
        }
        table.fmt(f)?;
        if self.rows.is_empty() {
            writeln!(f, "no request has ended yet")?;
        }
        let asked = self.answered + self.silent.len();
        writeln!(f, "\ncounts of {} of {asked} live daemons", self.answered)?;
        for member in &self.silent {
            writeln!(
                f,
                "missing: {} at {}: {}",
                member.host, member.address, member.reason
            )?;
        }
        if let Some(millis) = self.shortest_observed_ms {
            writeln!(
                f,
                "the youngest daemon has counted for {} s",
                millis / 1_000
            )?;
        }
        if self.untracked > 0 {
            writeln!(
                f,
                "{} requests left out: too many services and tiers",
                self.untracked
            )?;
        }
        Ok(())
    }
}

fn row_cells(row: &BurnRow) -> Vec<String> {
    let tier = row.tier.clone();
    let mut cells = vec![
        row.service.to_string(),
        tier.unwrap_or_else(|| format!("rank {}", row.rank)),
        row.objective.to_string(),
        format!("{:.1}%", f64::from(row.target_per_mille) / 10.0),
    ];
    let rates = row.windows.iter().map(|rate| match rate.total {
        0 => "-".to_owned(),
        total => format!("{:.2} ({total})", rate.burn_rate),
    });
    cells.extend(rates);
    cells.push(row.verdict.to_string());
    cells
}
