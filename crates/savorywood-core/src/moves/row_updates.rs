//! Reading the rows of moves. Nobody calls a move done or taken back before its row says so.

use super::{
    MoveTimer, MovesState, RowReading,
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

/// Rows asked for in one read. The next poll goes on after the last one.
const PAGE_ROWS: u32 = 500;

/// A read whose answer has not come for so long is made anew.
const READ_LIMIT: Duration = Duration::from_secs(10);

impl MovesState {
    pub(super) fn is_polling(&self, now: CoreTime) -> bool {
        self.polled_until.is_some_and(|until| now.monotonic < until)
    }

    pub(super) fn set_read(
        &mut self,
        now: CoreTime,
        members: &MemberView,
        effects: &mut EffectQueue,
    ) {
        let period = poll_period(members.serving().count());
        let period = period.mul_f64(self.rng.random_range(0.8..1.0));
        self.polled_until = Some(now.monotonic + period + period);
        effects.set_timer(MoveTimer::Read.key(), now.monotonic + period);
    }

    pub(super) fn read_rows(&mut self, now: CoreTime, effects: &mut EffectQueue) {
        let waiting = self.reading.as_ref();
        if waiting.is_some_and(|reading| now.monotonic.since(reading.asked_at) < READ_LIMIT) {
            return;
        }
        let request = TableRequest::Scan {
            prefix: MOVE_PREFIX.into(),
            after: self.read_to,
            limit: PAGE_ROWS,
        };
        let number = self.call_table(request, effects);
        let asked_at = now.monotonic;
        self.reading = Some(RowReading { number, asked_at });
    }

    pub(super) fn answered(
        &mut self,
        number: u64,
        answer: TableResponse,
        effects: &mut EffectQueue,
    ) {
        if self
            .reading
            .as_ref()
            .is_some_and(|reading| reading.number == number)
        {
            self.reading = None;
            if let TableResponse::Rows { rows, .. } = answer {
                for row in &rows {
                    // Only a scan moves this on: a row that came with a conflict may be newer than
                    // rows of other moves that were not read yet.
                    self.read_to = self.read_to.max(row.revision);
                    self.take_row(row, effects);
                }
            }
            return;
        }
        let mut writing = self.writing.iter();
        let Some(name) = writing.find(|(_, writing)| writing.number == number) else {
            return;
        };
        let name = name.0.clone();
        self.written(&name, answer, effects);
    }

    /// A commit took effect, or did not, or nobody knows: then the next read tells.
    fn written(&mut self, name: &MoveName, answer: TableResponse, effects: &mut EffectQueue) {
        let Some(writing) = self.writing.remove(name) else {
            return;
        };
        match answer {
            TableResponse::Committed { revision } => {
                let row = writing.row;
                self.note_row(name.clone(), MoveRecord { row, revision }, effects);
            }
            TableResponse::Conflict { rows } => {
                for row in &rows {
                    self.take_row(row, effects);
                }
            }
            TableResponse::Rows { .. } | TableResponse::Unavailable | TableResponse::Lost => {}
        }
    }

    fn take_row(&mut self, row: &TableRow, effects: &mut EffectQueue) {
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
        self.note_row(name, MoveRecord { row, revision }, effects);
    }

    /// Keeps the newer of two rows: a slow read may bring one that was overwritten meanwhile.
    fn note_row(&mut self, name: MoveName, record: MoveRecord, effects: &mut EffectQueue) {
        let known = self.rows.get(&name);
        if known.is_some_and(|known| known.revision >= record.revision) {
            return;
        }
        let changed = known.map(|known| known.row.state) != Some(record.row.state);
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
