//! Ring of time buckets that covers one window.

use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Number of buckets per window. A sum covers 29 to 30 thirtieths of the window, depending on how
/// far the current bucket has progressed.
const BUCKETS: usize = 30;

/// Sum of the requests of a window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct BurnCount {
    pub(super) good: u64,
    pub(super) total: u64,
}

/// One bucket. In the longest window a bucket covers 2.4 hours, for which 32 bits hold 490,000
/// requests per second.
#[derive(Debug, Clone, Copy, Default)]
struct BurnBucket {
    good: u32,
    total: u32,
}

/// Counts of one window.
#[derive(Debug, Clone)]
pub(super) struct BucketRing {
    bucket_micros: u64,
    /// Number of the newest bucket, counted from the zero of the monotonic clock.
    newest: u64,
    buckets: [BurnBucket; BUCKETS],
}

impl BucketRing {
    pub(super) fn new(window: Duration) -> Self {
        let width = window / BUCKETS as u32;
        Self {
            bucket_micros: u64::try_from(width.as_micros()).unwrap_or(u64::MAX).max(1),
            newest: 0,
            buckets: [BurnBucket::default(); BUCKETS],
        }
    }

    pub(super) fn record(&mut self, now: MonotonicTime, met: bool) {
        let number = now.0 / self.bucket_micros;
        self.advance(number);
        // A time before the window has no bucket.
        if self.newest - number.min(self.newest) >= BUCKETS as u64 {
            return;
        }
        let bucket = &mut self.buckets[bucket_index(number)];
        bucket.total = bucket.total.saturating_add(1);
        bucket.good = bucket.good.saturating_add(u32::from(met));
    }

    pub(super) fn sum(&self, now: MonotonicTime) -> BurnCount {
        let current = (now.0 / self.bucket_micros).max(self.newest);
        let oldest = current.saturating_sub(BUCKETS as u64 - 1);
        let mut count = BurnCount::default();
        for number in oldest..=self.newest {
            let bucket = self.buckets[bucket_index(number)];
            count.good += u64::from(bucket.good);
            count.total += u64::from(bucket.total);
        }
        count
    }

    /// Clears the buckets between the newest one and `number`.
    fn advance(&mut self, number: u64) {
        let elapsed = number.saturating_sub(self.newest).min(BUCKETS as u64);
        for step in 0..elapsed {
            self.buckets[bucket_index(number - step)] = BurnBucket::default();
        }
        self.newest = self.newest.max(number);
    }
}

/// Returns the index of a bucket in the ring.
fn bucket_index(number: u64) -> usize {
    (number % BUCKETS as u64) as usize
}
