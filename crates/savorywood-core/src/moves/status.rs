//! Reported state and status conditions of a move.

use super::{MovesState, row::MoveRow};
use crate::view::ConfigView;
use savorywood_protocol::{
    MoveName,
    resource::{ConditionKind, MoveState, StatusCondition},
};

impl MovesState {
    /// Returns the state of a move according to its row; `Planned` while there is no row for the
    /// current spec. A recorded stop shows only in the conditions, as "not progressing", until the
    /// row has the state `TakenBack`.
    #[must_use]
    pub fn state_of(&self, name: &MoveName, config: &ConfigView) -> MoveState {
        let revision = super::spec_revision(name, config);
        self.row_of(name, revision)
            .map_or(MoveState::Planned, |row| row.state)
    }

    /// Returns the status conditions of a move; empty while there is no row for the current spec.
    #[must_use]
    pub fn conditions_of(&self, name: &MoveName, config: &ConfigView) -> Vec<StatusCondition> {
        let revision = super::spec_revision(name, config);
        let Some(row) = self.row_of(name, revision) else {
            return Vec::new();
        };
        let mut conditions = vec![
            condition(row, ConditionKind::Progressing, !row.is_over()),
            condition(
                row,
                ConditionKind::Completed,
                row.state == MoveState::Completed,
            ),
            condition(
                row,
                ConditionKind::TakenBack,
                row.state == MoveState::TakenBack,
            ),
        ];
        if let Some(stop) = self.stop_of(name, revision).filter(|_| !row.is_over()) {
            conditions[0].holds = false;
            conditions[0].reason = "Stopped".into();
            conditions[0].message.clone_from(&stop.reason);
            conditions[0].since = stop.at;
        }
        conditions
    }
}

fn condition(row: &MoveRow, kind: ConditionKind, holds: bool) -> StatusCondition {
    let share = row.share_per_mille;
    StatusCondition {
        kind,
        holds,
        reason: format!("{:?}", row.state),
        message: format!("{} (share {share} in 1000)", row.reason),
        since: row.stage_at,
    }
}
