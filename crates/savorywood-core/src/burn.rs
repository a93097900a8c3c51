//! Counts of met and missed objectives over sliding windows, in bounded memory.

mod ring;

use ring::BucketRing;
use savorywood_protocol::{
    MonotonicTime, ServiceName, TierRank,
    burn::{BurnObjective, BurnSample, BurnWindow},
};
use std::collections::BTreeMap;
use strum::{EnumCount, IntoEnumIterator};

/// Maximum number of series: 40 services with 4 tiers and 3 objectives. One series takes about a
/// kilobyte.
pub const MAX_SERIES: usize = 480;

/// Identifies one series.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct SeriesKey {
    service: ServiceName,
    rank: TierRank,
    objective: BurnObjective,
}

/// Counts of one series, with a ring of buckets per window.
#[derive(Debug, Clone)]
struct BurnSeries {
    rings: [BucketRing; BurnWindow::COUNT],
    last_record: MonotonicTime,
}

/// Counts of one daemon since its start.
#[derive(Debug, Clone, Default)]
pub struct BurnTracker {
    series: BTreeMap<SeriesKey, BurnSeries>,
    untracked: u64,
}

impl BurnTracker {
    /// Records whether a request that ended met an objective.
    pub fn record(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        rank: TierRank,
        objective: BurnObjective,
        met: bool,
    ) {
        let key = SeriesKey {
            service: service.clone(),
            rank,
            objective,
        };
        let Some(series) = self.series_mut(now, key) else {
            self.untracked = self.untracked.saturating_add(1);
            return;
        };
        series.last_record = series.last_record.max(now);
        for ring in &mut series.rings {
            ring.record(now, met);
        }
    }

    /// Returns the counts of all series and windows, without those that are zero.
    #[must_use]
    pub fn windows(&self, now: MonotonicTime) -> Vec<BurnSample> {
        let series = self.series.iter();
        let samples = series.flat_map(|(key, series)| {
            let windows = BurnWindow::iter().zip(&series.rings);
            windows.map(move |(window, ring)| {
                let count = ring.sum(now);
                BurnSample {
                    service: key.service.clone(),
                    rank: key.rank,
                    objective: key.objective,
                    window,
                    good: count.good,
                    total: count.total,
                }
            })
        });
        samples.filter(|sample| sample.total > 0).collect()
    }

    /// Returns the number of records dropped because [`MAX_SERIES`] series were in use.
    #[must_use]
    pub fn untracked(&self) -> u64 {
        self.untracked
    }

    /// Returns the number of series in use.
    #[must_use]
    pub fn series_count(&self) -> usize {
        self.series.len()
    }

    /// Returns a series, created on first use. `None` if the limit is reached after unused series
    /// have been evicted: services are created and removed while a daemon runs, and without the
    /// limit every name ever used would keep its rings and memory would grow.
    fn series_mut(&mut self, now: MonotonicTime, key: SeriesKey) -> Option<&mut BurnSeries> {
        if !self.series.contains_key(&key) && self.series.len() >= MAX_SERIES {
            let max_age = BurnWindow::ThreeDays.duration();
            self.series
                .retain(|_, series| now.since(series.last_record) <= max_age);
            if self.series.len() >= MAX_SERIES {
                return None;
            }
        }
        let series = self
            .series
            .entry(key)
            .or_insert_with(|| BurnSeries::new(now));
        Some(series)
    }
}

impl BurnSeries {
    fn new(now: MonotonicTime) -> Self {
        let mut windows = BurnWindow::iter();
        let rings = std::array::from_fn(|_| {
            let window = windows.next().unwrap_or(BurnWindow::ThreeDays);
            BucketRing::new(window.duration())
        });
        Self {
            rings,
            last_record: now,
        }
    }
}
