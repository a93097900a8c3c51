//! Evacuation of availability zones by operators.

use super::{Gateway, GatewayEffects};
use crate::{
    effect::GatewayEffect, evacuation::EvacuationOrder, label::ZoneLabel, position::StorePosition,
};
use savorywood_core::{LogLevel, LogLine};
use savorywood_protocol::MonotonicTime;

impl Gateway {
    /// Stops dispatching to the zone's upstreams; requests in progress there continue.
    pub(super) fn evacuation_ordered(
        &mut self,
        order: EvacuationOrder,
        effects: &mut GatewayEffects,
    ) {
        let line = self.evacuation_line("zone-evacuated", &order);
        let is_older =
            |other: &EvacuationOrder| other.zone == order.zone && other.position <= order.position;
        self.pending_withdrawals.retain(|other| !is_older(other));
        if self.fleet.evacuate(order) {
            effects.push(GatewayEffect::Log(line));
        }
    }

    /// Resumes dispatching to the zone's upstreams, at the rate of cold ones. An order that is
    /// missing from a restored store may be written again soon, so it stays in force for a while.
    pub(super) fn evacuation_withdrawn(
        &mut self,
        now: MonotonicTime,
        order: EvacuationOrder,
        effects: &mut GatewayEffects,
    ) {
        if !self.is_rewrite_complete(now) {
            self.pending_withdrawals.push(order);
            return;
        }
        let line = self.evacuation_line("zone-taken-back", &order);
        if self.fleet.end_evacuation(now, order) {
            effects.push(GatewayEffect::Log(line));
            self.dispatch_all_waiting(now, effects);
        }
    }

    /// Orders that are missing from a complete read were withdrawn while changes were not followed.
    pub(super) fn evacuations_read(
        &mut self,
        now: MonotonicTime,
        orders: Vec<EvacuationOrder>,
        revision: StorePosition,
        effects: &mut GatewayEffects,
    ) {
        let missing = self.fleet.evacuations().missing_from(&orders, revision);
        for order in missing {
            self.evacuation_withdrawn(now, order, effects);
        }
        for order in orders {
            self.evacuation_ordered(order, effects);
        }
    }

    /// Returns the zones under evacuation.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = &ZoneLabel> {
        self.fleet.evacuations().zones()
    }

    fn evacuation_line(&self, event: &'static str, order: &EvacuationOrder) -> LogLine {
        let upstreams = self.fleet.iter();
        let here = upstreams.filter(|state| state.entry.zone == order.zone);
        let (mut count, mut running) = (0, 0);
        for state in here {
            count += 1;
            running += state.running;
        }
        LogLine::new(LogLevel::Info, event)
            .with("zone", &order.zone)
            .with("order", order.position)
            .with("upstreams", count)
            .with("running", running)
    }
}
