//! Orders that an engine takes, with or without a check of their fencing number.

use savorywood_protocol::{
    FencingNumber,
    extension::{FencingConflictDocument, OrderDocument, OrderStateDocument},
};
use serde::{Deserialize, Serialize};

/// One order that reached the engine, for tests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The order.
    pub order: OrderDocument,
    /// Whether it was taken, or refused for its fencing number.
    pub taken: bool,
    /// A newer fencing number had been seen before. On an engine without a check this is the
    /// harm that a paused holder does.
    pub stale: bool,
}

/// What an order leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OrderOutcome {
    /// Nothing has to be loaded.
    Settled,
    /// A version has to be loaded; the number tells this load from later ones.
    Load {
        number: u64,
        weights: Option<String>,
    },
    /// Refused.
    Fenced(FencingConflictDocument),
}

/// Orders of one engine.
#[derive(Debug)]
pub(crate) struct OrderBook {
    checks_fencing: bool,
    newest: Option<FencingNumber>,
    state: OrderStateDocument,
    loads: u64,
    records: Vec<OrderRecord>,
}

impl OrderBook {
    pub(crate) fn new(version: &str, checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            newest: None,
            state: OrderStateDocument {
                version: version.to_owned(),
                wanted: version.to_owned(),
                ready: true,
                ..OrderStateDocument::default()
            },
            loads: 0,
            records: Vec::new(),
        }
    }

    pub(crate) fn state(&self) -> &OrderStateDocument {
        &self.state
    }

    pub(crate) fn records(&self) -> &[OrderRecord] {
        &self.records
    }

    pub(crate) fn take(&mut self, order: OrderDocument) -> OrderOutcome {
        let newest = self.newest.unwrap_or_default();
        let stale = order.fencing < newest;
        let taken = !(stale && self.checks_fencing);
        let outcome = if taken {
            self.newest = Some(newest.max(order.fencing));
            self.apply(&order)
        } else {
            OrderOutcome::Fenced(FencingConflictDocument { newest })
        };
        self.records.push(OrderRecord {
            order,
            taken,
            stale,
        });
        outcome
    }

    fn apply(&mut self, order: &OrderDocument) -> OrderOutcome {
        if self.checks_fencing {
            self.state.fencing = self.newest;
        }
        if let Some(adapters) = &order.adapters {
            self.state.adapters.clone_from(adapters);
        }
        if let Some(role) = &order.role {
            self.state.role.clone_from(role);
        }
        let wanted = order.version.as_ref();
        let Some(version) = wanted.filter(|version| **version != self.state.wanted) else {
            return OrderOutcome::Settled;
        };
        self.loads += 1;
        self.state.wanted.clone_from(version);
        self.state.ready = false;
        OrderOutcome::Load {
            number: self.loads,
            weights: order.weights.clone(),
        }
    }

    /// Ends a load; `false` when a later order has overtaken it.
    pub(crate) fn loaded(&mut self, number: u64) -> bool {
        if number != self.loads {
            return false;
        }
        self.state.version = self.state.wanted.clone();
        self.state.ready = true;
        true
    }
}
