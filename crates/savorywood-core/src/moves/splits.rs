//! Traffic splits, derived from the rows, the recorded stops and the clock.

use super::{ConfiguredMove, MovesState, configured_moves};
use crate::view::{ConfigView, VersionSplit};
use savorywood_protocol::{CoreTime, ServiceName, resource::MoveState};
use std::collections::BTreeMap;

impl MovesState {
    /// Computes the split of each service from its newest move.
    pub(super) fn build_splits(
        &self,
        now: CoreTime,
        config: &ConfigView,
    ) -> BTreeMap<ServiceName, VersionSplit> {
        let mut newest: BTreeMap<&ServiceName, ConfiguredMove<'_>> = BTreeMap::new();
        for configured in configured_moves(config) {
            let latest = newest.entry(&configured.spec.service).or_insert(configured);
            if configured.revision > latest.revision {
                *latest = configured;
            }
        }
        let splits = newest.into_values().map(|configured| {
            let split = VersionSplit {
                move_name: configured.name.clone(),
                old: configured.spec.from.clone(),
                new: configured.spec.to.clone(),
                new_per_mille: self.new_per_mille(now, configured),
            };
            (configured.spec.service.clone(), split)
        });
        splits.collect()
    }

    fn new_per_mille(&self, now: CoreTime, configured: ConfiguredMove<'_>) -> u16 {
        let Some(row) = self.row_of(configured.name, configured.revision) else {
            return 0;
        };
        match row.state {
            MoveState::Completed => 1_000,
            MoveState::Planned | MoveState::TakenBack => 0,
            MoveState::Moving | MoveState::Soaking => {
                // While the table or the holder is unreachable, no row records the rollback.
                // Without this check an unverified version would keep its share past the deadline.
                let late = now.wall >= configured.spec.finish_by;
                let stopped = self.is_stopped(configured.name, configured.revision);
                if late || stopped {
                    0
                } else {
                    row.share_per_mille
                }
            }
        }
    }
}
