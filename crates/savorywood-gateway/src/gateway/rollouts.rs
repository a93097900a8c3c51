//! Logs of roll-outs.

use super::Gateway;
use crate::rollout::RolloutWrite;
use savorywood_core::{LogLevel, LogLine};

impl Gateway {
    /// Returns the log line of a step with the evidence on which it was decided.
    pub(super) fn rollout_line(&self, write: &RolloutWrite) -> LogLine {
        let line = LogLine::new(LogLevel::Info, "rollout-step")
            .with("service", &write.service)
            .with("to", &write.target_version)
            .with("state", write.phase);
        let Some(total) = self.rollouts.total(&write.service) else {
            return line;
        };
        line.with("sent", total.dispatched)
            .with("sent_new", total.dispatched_new)
            .with("responses_new", total.new_responses)
            .with("bad_new", total.new_bad)
            .with("responses_old", total.old_responses)
            .with("bad_old", total.old_bad)
    }
}
