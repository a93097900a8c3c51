//! How traffic is split, from the rows, the stops and the clock.

use super::{MovesState, PlannedMove, planned_moves};
use crate::view::{ConfigView, VersionSplit};
use savorywood_protocol::{CoreTime, ServiceName, resource::MoveState};
use std::collections::BTreeMap;

impl MovesState {
    pub(super) fn build_splits(
        &self,
        now: CoreTime,
        config: &ConfigView,
    ) -> BTreeMap<ServiceName, VersionSplit> {
        let mut newest: BTreeMap<&ServiceName, PlannedMove<'_>> = BTreeMap::new();
        for planned in planned_moves(config) {
            let place = newest.entry(&planned.spec.service).or_insert(planned);
            if planned.revision > place.revision {
                *place = planned;
            }
        }
        let splits = newest.into_values().map(|planned| {
            let split = VersionSplit {
                move_name: planned.name.clone(),
                old: planned.spec.from.clone(),
                new: planned.spec.to.clone(),
                new_per_mille: self.share(now, planned),
            };
            (planned.spec.service.clone(), split)
        });
        splits.collect()
    }

    fn share(&self, now: CoreTime, planned: PlannedMove<'_>) -> u16 {
        let Some(row) = self.row_of(planned.name, planned.revision) else {
            return 0;
        };
        match row.state {
            MoveState::Completed => 1_000,
            MoveState::Planned | MoveState::TakenBack => 0,
            MoveState::Moving | MoveState::Soaking => {
                // The table may be down and the holder gone: then nobody writes that the move was
                // taken back, and an unproven version would keep its share past the deadline.
                let late = now.wall >= planned.spec.finish_by;
                let stopped = self.is_stopped(planned.name, planned.revision);
                if late || stopped {
                    0
                } else {
                    row.share_per_mille
                }
            }
        }
    }
}
