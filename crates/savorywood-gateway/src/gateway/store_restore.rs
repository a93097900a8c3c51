//! Handling of a store that was restored from a backup that is some seconds old.

use super::{Gateway, GatewayEffects};
use crate::effect::GatewayEffect;
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Period after a restore in which operators and upstreams write lost rows again. During this
/// period a missing row does not count as removed.
pub(super) const REWRITE_PERIOD: Duration = Duration::from_secs(6);

impl Gateway {
    /// Records the era that a response of the store or a peer reports.
    pub(super) fn store_era_observed(
        &mut self,
        now: MonotonicTime,
        era: u64,
        effects: &mut GatewayEffects,
    ) {
        let before = self
            .store_era
            .replace(self.store_era.unwrap_or(era).max(era));
        let Some(before) = before.filter(|before| *before < era) else {
            return;
        };
        self.store_restored_at = Some(now);
        // Registrations that the backup lacks are written again.
        self.fleet.record_store_failure(now);
        self.rollouts.on_store_restored(era);
        self.quarantine.on_store_restored();
        let line = LogLine::new(LogLevel::Warn, "store-restored")
            .with("era", era)
            .with("before", before);
        effects.push(GatewayEffect::Log(line));
    }

    /// Returns whether the period in which lost rows are written again has ended.
    pub(super) fn is_rewrite_complete(&self, now: MonotonicTime) -> bool {
        self.store_restored_at
            .is_none_or(|at| now.since(at) >= REWRITE_PERIOD)
    }

    /// Applies the withdrawals deferred since the restore, unless their order was written again.
    pub(super) fn apply_withdrawals(&mut self, now: MonotonicTime, effects: &mut GatewayEffects) {
        if self.pending_withdrawals.is_empty() || !self.is_rewrite_complete(now) {
            return;
        }
        for order in std::mem::take(&mut self.pending_withdrawals) {
            self.evacuation_withdrawn(now, order, effects);
        }
    }

    /// Returns the newest era of the store reported by responses and peers; 0 before the first
    /// report.
    #[must_use]
    pub fn store_era(&self) -> u64 {
        self.store_era.unwrap_or_default()
    }
}
