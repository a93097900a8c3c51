//! Metrics of held memory and of unbounded input.

use super::{memory::HeldMemory, verdict::HeldKind};
use crate::metrics::{counter_vec, gauge_vec};
use prometheus::{IntCounterVec, IntGaugeVec, Registry, core::Collector};
use strum::IntoEnumIterator;

#[derive(Debug)]
pub struct HeldMetrics {
    /// Connections closed because their input exceeded a limit, by limit.
    pub unbounded: IntCounterVec,
    /// Holders disconnected and requests refused because the budget was exhausted, by outcome.
    pub cuts: IntCounterVec,
    /// Pauses of a reader beyond one second, by kind.
    pub pauses: IntCounterVec,
    /// Bytes held, by kind.
    bytes: IntGaugeVec,
    /// Maximum of the bytes held, of the process and of one response.
    budget: IntGaugeVec,
}

impl Default for HeldMetrics {
    fn default() -> Self {
        Self {
            unbounded: counter_vec(
                "unbounded_input_total",
                "Connections closed because their input exceeded a limit, by limit",
                "limit",
            ),
            cuts: counter_vec(
                "held_cuts_total",
                "Connections closed because held memory was exhausted, by outcome",
                "outcome",
            ),
            pauses: counter_vec(
                "held_pauses_total",
                "Pauses of a reader beyond one second because held memory was exhausted, by kind",
                "kind",
            ),
            bytes: gauge_vec("held_bytes", "Bytes of the memory budget in use", "kind"),
            budget: gauge_vec("held_budget_bytes", "Maximum of the bytes held", "scope"),
        }
    }
}

impl HeldMetrics {
    /// Registers all metrics.
    pub fn register(&self, registry: &Registry) {
        let collectors: [Box<dyn Collector>; 5] = [
            Box::new(self.unbounded.clone()),
            Box::new(self.cuts.clone()),
            Box::new(self.pauses.clone()),
            Box::new(self.bytes.clone()),
            Box::new(self.budget.clone()),
        ];
        for collector in collectors {
            registry
                .register(collector)
                .expect("each metric is registered once");
        }
    }

    /// Sets the gauges.
    pub fn update(&self, memory: &HeldMemory) {
        let count = |bytes: usize| i64::try_from(bytes).unwrap_or(i64::MAX);
        for kind in HeldKind::iter() {
            let gauge = self.bytes.with_label_values(&[<&str>::from(kind)]);
            gauge.set(count(memory.held(kind)));
        }
        let scopes = [
            ("process", memory.budget()),
            ("response", memory.max_response()),
        ];
        for (scope, bytes) in scopes {
            let gauge = self.budget.with_label_values(&[scope]);
            gauge.set(count(bytes));
        }
    }
}
