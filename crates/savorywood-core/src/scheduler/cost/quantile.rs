//! Quantile sketch for lengths that vary by a factor of a hundred, in bounded memory.

/// Number of buckets per doubling of the length.
const BUCKETS_PER_OCTAVE: f64 = 2.0;
/// Number of buckets: lengths up to 2^18 tokens, half an octave each.
const BUCKET_COUNT: usize = 37;
/// Weight at which all counts are halved, so that the sketch follows a change of the distribution.
const MAX_WEIGHT: u32 = 128;

/// Histogram with buckets of equal ratio. The error of a quantile is at most half a bucket, about
/// 19%.
#[derive(Debug, Clone)]
pub struct QuantileSketch {
    buckets: [u8; BUCKET_COUNT],
    weight: u32,
}

impl Default for QuantileSketch {
    fn default() -> Self {
        Self {
            buckets: [0; BUCKET_COUNT],
            weight: 0,
        }
    }
}

impl QuantileSketch {
    /// Adds a sample, in tokens.
    pub fn record(&mut self, tokens: u32) {
        if self.weight >= MAX_WEIGHT {
            self.halve();
        }
        self.buckets[bucket_index(tokens)] += 1;
        self.weight += 1;
    }

    fn halve(&mut self) {
        for bucket in &mut self.buckets {
            *bucket /= 2;
        }
        self.weight = self.buckets.iter().map(|count| u32::from(*count)).sum();
    }

    /// Returns the number of samples, with older ones halved out.
    #[must_use]
    pub fn weight(&self) -> u32 {
        self.weight
    }

    /// Returns the length below which `per_mille` thousandths of the samples lie; `None` without
    /// samples.
    #[must_use]
    pub fn quantile(&self, per_mille: u32) -> Option<u32> {
        if self.weight == 0 {
            return None;
        }
        let rank = (self.weight * per_mille).div_ceil(1_000).max(1);
        let mut seen = 0;
        for (index, count) in self.buckets.iter().enumerate() {
            seen += u32::from(*count);
            if seen >= rank {
                return Some(bucket_midpoint(index));
            }
        }
        Some(bucket_midpoint(BUCKET_COUNT - 1))
    }

    /// Returns the mean length; `None` without samples.
    #[must_use]
    pub fn mean(&self) -> Option<u32> {
        if self.weight == 0 {
            return None;
        }
        let counts = self.buckets.iter().enumerate();
        let sum: u64 = counts
            .map(|(index, count)| u64::from(*count) * u64::from(bucket_midpoint(index)))
            .sum();
        u32::try_from(sum / u64::from(self.weight)).ok()
    }
}

fn bucket_index(tokens: u32) -> usize {
    let octave = f64::from(tokens.max(1)).log2();
    let index = (octave * BUCKETS_PER_OCTAVE).round() as usize;
    index.min(BUCKET_COUNT - 1)
}

fn bucket_midpoint(index: usize) -> u32 {
    (index as f64 / BUCKETS_PER_OCTAVE).exp2().round() as u32
}
