//! Log lines of cuts and of unbounded input.

use crate::{shared::FrontShared, wire::InputLimit};
use savorywood_core::{LogLevel, LogLine};
use std::fmt::Display;

impl FrontShared {
    /// Reports that a connection is closed because its input exceeded a limit.
    pub fn report_unbounded(&self, limit: InputLimit, source: impl Display, request_id: &str) {
        let name: &'static str = limit.into();
        let metric = &self.metrics.held.unbounded;
        metric.with_label_values(&[name]).inc();
        let line = LogLine::new(LogLevel::Warn, "input-unbounded")
            .with("limit", name)
            .with("source", source)
            .with("request", request_id);
        self.log.write_line(&line);
    }
}
