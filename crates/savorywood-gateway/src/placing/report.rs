//! Load that an upstream itself reported, as a lower bound of the slots in use there.

use crate::event::ReportedLoad;
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Time for which a reported load is a lower bound of the use. It is about the time for which a
/// request holds a slot.
const REPORT_TTL: Duration = Duration::from_millis(600);
/// Factor on the slots of an upstream above which a reported load is regarded as false.
const MAX_LOAD_FACTOR: u32 = 16;

/// Last load that an upstream reported to this daemon.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadRecord {
    at: Option<MonotonicTime>,
    /// Requests of other daemons, known or not.
    others: u32,
}

impl LoadRecord {
    /// Records the load in a response that was received while `own` requests of this daemon were at
    /// the upstream. A load beyond what an upstream of this size can hold is ignored.
    pub fn record(&mut self, now: MonotonicTime, load: ReportedLoad, own: u32, slots: u32) {
        let total = load.running.saturating_add(load.waiting);
        if total > slots.saturating_mul(MAX_LOAD_FACTOR) {
            return;
        }
        self.at = Some(now);
        self.others = total.saturating_sub(own);
    }

    /// Returns by how many slots the reported use by other daemons exceeds the use that their own
    /// reports show.
    #[must_use]
    pub fn unaccounted(&self, now: MonotonicTime, seen_others: u32) -> u32 {
        let is_valid = self.at.is_some_and(|at| now.since(at) < REPORT_TTL);
        if is_valid {
            self.others.saturating_sub(seen_others)
        } else {
            0
        }
    }
}
