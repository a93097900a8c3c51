//! Evacuation of availability zones: upstreams of an evacuated zone receive no new requests.

use crate::{label::ZoneLabel, position::StorePosition};
use std::collections::BTreeMap;

/// Order of an operator to evacuate an availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationOrder {
    /// Zone to evacuate.
    pub zone: ZoneLabel,
    /// Position of the order's row in the store; a newer position supersedes an older one.
    pub position: StorePosition,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RecordedOrder {
    position: StorePosition,
    in_force: bool,
}

/// Orders by zone. Withdrawn orders are kept, so that an older row that arrives late has no effect.
#[derive(Debug, Clone, Default)]
pub struct EvacuationTable {
    orders: BTreeMap<ZoneLabel, RecordedOrder>,
}

impl EvacuationTable {
    /// Returns true if the zone is under evacuation.
    #[must_use]
    pub fn contains(&self, zone: &ZoneLabel) -> bool {
        self.orders
            .get(zone)
            .is_some_and(|recorded| recorded.in_force)
    }

    /// Iterates over the zones under evacuation.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneLabel> {
        let orders = self.orders.iter().filter(|(_, recorded)| recorded.in_force);
        orders.map(|(zone, _)| zone)
    }

    /// Applies an order and returns true if the zone was not under evacuation before.
    pub fn apply(&mut self, order: EvacuationOrder) -> bool {
        self.update(order, true)
    }

    /// Applies the withdrawal of an order and returns true if the zone was under evacuation before.
    pub fn withdraw(&mut self, order: EvacuationOrder) -> bool {
        self.update(order, false)
    }

    /// Returns withdrawals for the zones under evacuation that are missing from `orders`, a read of
    /// all orders as of `revision`.
    #[must_use]
    pub fn missing_from(
        &self,
        orders: &[EvacuationOrder],
        revision: StorePosition,
    ) -> Vec<EvacuationOrder> {
        let recorded = self.orders.iter();
        let old =
            recorded.filter(|(_, recorded)| recorded.in_force && recorded.position <= revision);
        let missing = old.filter(|(zone, _)| !orders.iter().any(|order| order.zone == **zone));
        let withdrawn = missing.map(|(zone, _)| EvacuationOrder {
            zone: zone.clone(),
            position: revision,
        });
        withdrawn.collect()
    }

    fn update(&mut self, order: EvacuationOrder, in_force: bool) -> bool {
        let newest = RecordedOrder {
            position: order.position,
            in_force,
        };
        let Some(recorded) = self.orders.get_mut(&order.zone) else {
            self.orders.insert(order.zone, newest);
            return in_force;
        };
        if recorded.position > order.position {
            return false;
        }
        let changed = recorded.in_force != in_force;
        *recorded = newest;
        changed
    }
}
