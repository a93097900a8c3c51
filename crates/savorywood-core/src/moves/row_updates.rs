//! Reads the rows of moves and handles the responses to row writes. A move counts as completed or
//! rolled back only once its row has that state.

use super::{
    MoveTimer, MovesState, PendingRead,
    row::{MOVE_PREFIX, MoveRecord, MoveRow},
};
use crate::{
    config::table_poll::poll_period,
    effect::{EffectQueue, LogLevel, LogLine},
    view::MemberView,
};
use rand::Rng;
use savorywood_protocol::{
    CoreTime, MoveName,
    table::{TableRequest, TableResponse, TableRow},
};
use std::time::Duration;

/// Maximum rows in one scan. The next poll continues after the last row received.
const SCAN_LIMIT: u32 = 500;

/// Time after which a scan without a response is sent again.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

impl MovesState {
    pub(super) fn is_poll_scheduled(&self, now: CoreTime) -> bool {
        self.poll_scheduled_until
            .is_some_and(|until| now.monotonic < until)
    }

    /// Sets the poll timer, with random jitter that shortens the period by up to 20 %. The poll
    /// counts as scheduled for two periods, after which a lost timer is set again.
    pub(super) fn schedule_poll(
        &mut self,
        now: CoreTime,
        members: &MemberView,
        effects: &mut EffectQueue,
    ) {
        let period = poll_period(members.serving().count());
        let period = period.mul_f64(self.rng.random_range(0.8..1.0));
        self.poll_scheduled_until = Some(now.monotonic + period + period);
        effects.set_timer(MoveTimer::Poll.key(), now.monotonic + period);
    }

    pub(super) fn read_rows(&mut self, now: CoreTime, effects: &mut EffectQueue) {
        let pending = self.pending_read.as_ref();
        if pending.is_some_and(|read| now.monotonic.since(read.sent_at) < READ_TIMEOUT) {
            return;
        }
        let request = TableRequest::Scan {
            prefix: MOVE_PREFIX.into(),
            after: self.scanned_to,
            limit: SCAN_LIMIT,
        };
        let number = self.call_table(request, effects);
        let sent_at = now.monotonic;
        self.pending_read = Some(PendingRead { number, sent_at });
    }

    pub(super) fn handle_response(
        &mut self,
        number: u64,
        response: TableResponse,
        effects: &mut EffectQueue,
    ) {
        if self
            .pending_read
            .as_ref()
            .is_some_and(|read| read.number == number)
        {
            self.pending_read = None;
            if let TableResponse::Rows { rows, .. } = response {
                for row in &rows {
                    // Only a scan advances the scan position: a row from a conflict may be newer
                    // than rows of other moves that were not read yet.
                    self.scanned_to = self.scanned_to.max(row.revision);
                    self.apply_row(row, effects);
                }
            }
            return;
        }
        let mut write = self.pending_writes.iter();
        let Some(name) = write.find(|(_, write)| write.number == number) else {
            return;
        };
        let name = name.0.clone();
        self.finish_write(&name, response, effects);
    }

    /// Handles the response to a commit. If it is unknown whether the commit took effect, the next
    /// scan returns the row as it is.
    fn finish_write(
        &mut self,
        name: &MoveName,
        response: TableResponse,
        effects: &mut EffectQueue,
    ) {
        let Some(write) = self.pending_writes.remove(name) else {
            return;
        };
        match response {
            TableResponse::Committed { revision } => {
                let row = write.row;
                self.record_row(name.clone(), MoveRecord { row, revision }, effects);
            }
            TableResponse::Conflict { rows } => {
                for row in &rows {
                    self.apply_row(row, effects);
                }
            }
            TableResponse::Rows { .. } | TableResponse::Unavailable | TableResponse::Lost => {}
        }
    }

    fn apply_row(&mut self, row: &TableRow, effects: &mut EffectQueue) {
        let name = row.key.strip_prefix(MOVE_PREFIX);
        let name = name.and_then(|name| name.parse::<MoveName>().ok());
        let text = row.value.as_deref().unwrap_or_default();
        let content = serde_json::from_str::<MoveRow>(text).ok();
        let (Some(name), Some(content)) = (name, content) else {
            let line = LogLine::new(LogLevel::Error, "move-row-unreadable");
            effects.log(line.with("row", &row.key));
            return;
        };
        let revision = row.revision;
        let row = content;
        self.record_row(name, MoveRecord { row, revision }, effects);
    }

    /// Records a row unless the recorded one is at least as new: a slow scan may return a row that
    /// was overwritten in the meantime.
    fn record_row(&mut self, name: MoveName, record: MoveRecord, effects: &mut EffectQueue) {
        let recorded = self.rows.get(&name);
        if recorded.is_some_and(|recorded| recorded.revision >= record.revision) {
            return;
        }
        let changed = recorded.map(|recorded| recorded.row.state) != Some(record.row.state);
        if changed {
            let line = LogLine::new(LogLevel::Info, "move-state")
                .with("move", &name)
                .with("state", record.row.state)
                .with("reason", &record.row.reason);
            effects.log(line);
        }
        self.rows.insert(name, record);
    }
}
