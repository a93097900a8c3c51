//! What callers got, by tier.

use super::deployment::{ClassKind, RequestDraw};
use crate::{measured_call::CallRecord, statistics::LatencyRecord};
use std::{collections::BTreeMap, time::Duration};

/// What the callers of one tier got.
#[derive(Debug, Default)]
pub struct TierRecord {
    /// Requests that were wanted.
    pub offered: u64,
    /// Answered whole by their deadline.
    pub in_time: u64,
    /// Answered whole after it.
    pub late: u64,
    /// Refused for good.
    pub refused: u64,
    /// Neither answered whole nor refused.
    pub failed: u64,
    /// To the first byte.
    pub first: LatencyRecord,
    /// Longest time between two pieces.
    pub gap: LatencyRecord,
}

impl TierRecord {
    /// Share of offered requests that were answered whole by their deadline.
    pub fn goodput_percent(&self) -> f64 {
        100.0 * self.in_time as f64 / self.offered.max(1) as f64
    }
}

/// What one request came to.
#[derive(Debug, Clone)]
pub enum RequestEnd {
    /// An answer or a final refusal, after this long in all.
    Answered(CallRecord, Duration),
    /// No head of an answer came.
    Broken,
}

/// What all callers got.
#[derive(Debug, Default)]
pub struct TrafficLedger {
    /// By tier.
    pub tiers: BTreeMap<&'static str, TierRecord>,
    /// Refusals by code, those after which the caller came back included.
    pub codes: BTreeMap<String, u64>,
    /// Identities of requests whose refusal said that they did not run.
    pub not_run: Vec<String>,
    /// Answers that ended cleanly without being whole.
    pub cut_off: u64,
}

impl TrafficLedger {
    /// Notes a refusal, final or not.
    pub fn refusal(&mut self, record: &CallRecord) {
        *self.codes.entry(record.code.clone()).or_default() += 1;
        if record.outcome == "not-run" && !record.request_id.is_empty() {
            self.not_run.push(record.request_id.clone());
        }
    }

    /// Notes how a request ended.
    pub fn end(&mut self, draw: &RequestDraw, end: &RequestEnd) {
        let tier = self.tiers.entry(draw.class.tier).or_default();
        tier.offered += 1;
        let RequestEnd::Answered(record, elapsed) = end else {
            tier.failed += 1;
            return;
        };
        match record.status {
            200..=299 if record.is_whole && *elapsed <= draw.class.deadline => {
                tier.in_time += 1;
                if draw.class.kind == ClassKind::Completion {
                    tier.first.add(record.first_byte.unwrap_or_default());
                    tier.gap.add(record.longest_gap);
                }
            }
            200..=299 if record.is_whole => tier.late += 1,
            200..=299 => tier.failed += 1,
            _ if record.outcome == "not-run" => tier.refused += 1,
            _ => tier.failed += 1,
        }
    }

    /// Adds what another ledger holds.
    pub fn merge(&mut self, other: Self) {
        for (tier, record) in other.tiers {
            let all = self.tiers.entry(tier).or_default();
            all.offered += record.offered;
            all.in_time += record.in_time;
            all.late += record.late;
            all.refused += record.refused;
            all.failed += record.failed;
            all.first.merge(&record.first);
            all.gap.merge(&record.gap);
        }
        for (code, count) in other.codes {
            *self.codes.entry(code).or_default() += count;
        }
        self.not_run.extend(other.not_run);
        self.cut_off += other.cut_off;
    }
}
