//! Log lines of cuts and of unbounded input.

use super::HeldKind;
use crate::{
    shared::FrontShared,
    wire::{BodyFraming, InputLimit, RequestHead},
};
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

    /// Reports that a request is refused because the budget has no room for its body.
    pub fn report_body_refused(&self, head: &RequestHead) {
        let metric = &self.metrics.held.cuts;
        metric.with_label_values(&["request-refused"]).inc();
        let request_id = self.adapter.parse_arrival(head);
        let request_id = request_id.map(|arrival| arrival.request_id);
        let line = LogLine::new(LogLevel::Warn, "body-refused")
            .with("request", request_id.unwrap_or_default())
            .with("bodies", self.held.held(HeldKind::RequestBody))
            .with("responses", self.held.held(HeldKind::Response))
            .with("events", self.held.held(HeldKind::Events))
            .with("budget", self.held.budget());
        let line = match head.framing {
            BodyFraming::Length(length) => line.with("length", length),
            _ => line,
        };
        self.log.write_line(&line);
    }
}
