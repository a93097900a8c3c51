//! Converts rows of a table to gateway events.

use super::TableReader;
use crate::adapter::{DeclaredRow, StoreRow, StoreTable};
use savorywood_gateway::{
    EvacuationOrder, GatewayEvent, StorePosition, UpstreamEntry, UpstreamLabel,
};
use std::sync::Arc;

impl TableReader {
    pub(super) fn apply_table(&mut self, rows: &[StoreRow], revision: StorePosition) {
        match self.table {
            StoreTable::Upstreams => {
                let mut entries: Vec<UpstreamEntry> = Vec::new();
                for row in rows {
                    match self.shared.adapter.parse_upstream(row) {
                        Some(entry) => entries.push(entry),
                        None => self.log_unreadable(row),
                    }
                }
                self.shared.step(GatewayEvent::UpstreamsRead(entries));
            }
            StoreTable::Declared => {
                self.read_evacuations(rows, revision);
                for row in rows {
                    if self.shared.adapter.evacuated_zone(row).is_none() {
                        self.apply_declared(row);
                    }
                }
            }
            StoreTable::Members | StoreTable::Status | StoreTable::Quarantine => {}
        }
    }

    /// Reports all evacuation orders of a complete read; orders that are missing were withdrawn.
    fn read_evacuations(&self, rows: &[StoreRow], revision: StorePosition) {
        let orders = rows.iter().filter_map(|row| {
            let zone = self.shared.adapter.evacuated_zone(row)?;
            Some(EvacuationOrder {
                zone,
                position: row.position,
            })
        });
        let orders = orders.collect();
        let event = GatewayEvent::EvacuationsRead { orders, revision };
        self.shared.step(event);
    }

    pub(super) fn apply_row(&mut self, row: &StoreRow) {
        match self.table {
            StoreTable::Declared => self.apply_declared(row),
            StoreTable::Upstreams => {
                let event = match self.shared.adapter.parse_upstream(row) {
                    Some(entry) => GatewayEvent::UpstreamWritten(entry),
                    None => {
                        self.log_unreadable(row);
                        GatewayEvent::UpstreamRemoved(UpstreamLabel::from(row.key.as_str()))
                    }
                };
                self.shared.step(event);
            }
            StoreTable::Members | StoreTable::Status | StoreTable::Quarantine => {}
        }
    }

    fn apply_declared(&mut self, row: &StoreRow) {
        if let Some(zone) = self.shared.adapter.evacuated_zone(row) {
            let order = EvacuationOrder {
                zone,
                position: row.position,
            };
            self.shared.step(if row.value.is_some() {
                GatewayEvent::EvacuationOrdered(order)
            } else {
                GatewayEvent::EvacuationWithdrawn(order)
            });
            return;
        }
        match self.shared.adapter.parse_declared(row) {
            DeclaredRow::Config(config) => {
                self.shared
                    .step(GatewayEvent::ConfigRead(Arc::from(config)));
            }
            DeclaredRow::Rollout(order) => {
                self.shared.step(GatewayEvent::RolloutOrdered(order));
            }
            DeclaredRow::Unknown => self.log_unreadable(row),
        }
    }
}
