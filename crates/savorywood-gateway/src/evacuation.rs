//! Availability zones that operators evacuate: their upstreams get nothing new.

use crate::{label::ZoneLabel, position::StorePosition};
use std::collections::BTreeMap;

/// An order of an operator to evacuate a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationOrder {
    /// The zone.
    pub zone: ZoneLabel,
    /// Position of the order in the store.
    pub position: StorePosition,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RecordedOrder {
    position: StorePosition,
    in_force: bool,
}

/// Orders by zone, those that were withdrawn included, so that an older row changes nothing.
#[derive(Debug, Clone, Default)]
pub struct EvacuationTable {
    orders: BTreeMap<ZoneLabel, RecordedOrder>,
}

impl EvacuationTable {
    /// Nothing new may be sent to the zone's upstreams.
    #[must_use]
    pub fn contains(&self, zone: &ZoneLabel) -> bool {
        self.orders.get(zone).is_some_and(|known| known.in_force)
    }

    /// Zones under evacuation.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneLabel> {
        let orders = self.orders.iter().filter(|(_, known)| known.in_force);
        orders.map(|(zone, _)| zone)
    }

    /// Takes an order; whether the zone was not under evacuation before.
    pub fn apply(&mut self, order: EvacuationOrder) -> bool {
        self.update(order, true)
    }

    /// Takes the withdrawal of an order; whether the zone was under evacuation before.
    pub fn withdraw(&mut self, order: EvacuationOrder) -> bool {
        self.update(order, false)
    }

    /// Zones whose orders are missing from a read of all orders as of a version.
    #[must_use]
    pub fn missing_from(
        &self,
        orders: &[EvacuationOrder],
        revision: StorePosition,
    ) -> Vec<EvacuationOrder> {
        let known = self.orders.iter();
        let old = known.filter(|(_, known)| known.in_force && known.position <= revision);
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
        let Some(known) = self.orders.get_mut(&order.zone) else {
            self.orders.insert(order.zone, newest);
            return in_force;
        };
        if known.position > order.position {
            return false;
        }
        let changed = known.in_force != in_force;
        *known = newest;
        changed
    }
}
