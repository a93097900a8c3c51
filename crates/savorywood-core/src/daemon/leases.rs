//! Requests leases for the duties that act under one: traffic moves and orders to engines.

use super::DaemonCore;
use crate::{
    effect::EffectQueue,
    leases::{LeaseChange, LeaseEvent, LeaseName},
    moves::MoveEvent,
    orders::{OrderEvent, OrderView, OrdersState},
};
use savorywood_protocol::CoreTime;

/// Leases that this daemon currently requests.
#[derive(Debug, Default)]
pub struct RequestedLeases {
    moves: bool,
    orders: bool,
}

impl DaemonCore {
    /// Steps the lease duty and notifies the duty that acts under a lease when it is acquired.
    pub(super) fn step_leases(
        &mut self,
        now: CoreTime,
        event: LeaseEvent,
        effects: &mut EffectQueue,
    ) {
        let members = self.membership.view();
        let verdicts = self.leases.step(now, event, members, effects);
        for verdict in verdicts {
            match verdict {
                LeaseChange::Acquired(LeaseName::Orders) => {
                    self.step_orders(now, OrderEvent::ViewChanged, effects);
                }
                LeaseChange::Acquired(LeaseName::Moves) => {
                    self.step_moves(now, MoveEvent::ConfigChanged, effects);
                }
                // Nothing to do: both duties check their grant at each step.
                LeaseChange::Lost(_) => {}
            }
        }
    }

    /// Requests the leases for which there is work and releases the others.
    pub(super) fn request_leases(&mut self, now: CoreTime, effects: &mut EffectQueue) {
        let config = self.config.view();
        let moves = self.moves.needs_lease(config);
        let orders = OrdersState::needs_lease(config);
        if moves != self.requested_leases.moves {
            self.requested_leases.moves = moves;
            self.request_lease(now, LeaseName::Moves, moves, effects);
        }
        if orders != self.requested_leases.orders {
            self.requested_leases.orders = orders;
            self.request_lease(now, LeaseName::Orders, orders, effects);
        }
    }

    fn request_lease(
        &mut self,
        now: CoreTime,
        name: LeaseName,
        needed: bool,
        effects: &mut EffectQueue,
    ) {
        self.step_leases(now, LeaseEvent::DemandChanged { name, needed }, effects);
    }

    /// Steps the order duty with the current grant of its lease.
    pub(super) fn step_orders(
        &mut self,
        now: CoreTime,
        event: OrderEvent,
        effects: &mut EffectQueue,
    ) {
        let view = OrderView {
            config: self.config.view(),
            lease: self.leases.grant(now, LeaseName::Orders),
        };
        self.orders.step(now, event, view, effects);
    }
}
