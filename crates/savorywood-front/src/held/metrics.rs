//! Metrics of held memory and of unbounded input.

use crate::metrics::counter_vec;
use prometheus::{IntCounterVec, Registry, core::Collector};

#[derive(Debug)]
pub struct HeldMetrics {
    /// Connections closed because their input exceeded a limit, by limit.
    pub unbounded: IntCounterVec,
}

impl Default for HeldMetrics {
    fn default() -> Self {
        Self {
            unbounded: counter_vec(
                "unbounded_input_total",
                "Connections closed because their input exceeded a limit, by limit",
                "limit",
            ),
        }
    }
}

impl HeldMetrics {
    /// Registers all metrics.
    pub fn register(&self, registry: &Registry) {
        let collectors: [Box<dyn Collector>; 1] = [Box::new(self.unbounded.clone())];
        for collector in collectors {
            registry
                .register(collector)
                .expect("each metric is registered once");
        }
    }
}
