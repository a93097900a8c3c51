//! Requests of this daemon to an upstream that others own, which one of the owners relays.

use savorywood_protocol::MonotonicTime;
use std::{net::SocketAddr, time::Duration};

/// Pause after the first refusal of all owners. A slot is released in about that time.
const MIN_REFUSAL_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a series of refusals.
const MAX_REFUSAL_PAUSE: Duration = Duration::from_millis(800);

/// Owners of an upstream that this daemon does not own.
#[derive(Debug, Clone, Default)]
pub struct OwnerRelay {
    /// Addresses for messages between daemons, in the order in which the owners are asked; empty if
    /// this daemon is one of them, or none is known.
    owners: Vec<SocketAddr>,
    /// Requests that all owners refused since one was relayed.
    refusals: u32,
    paused_until: MonotonicTime,
}

impl OwnerRelay {
    /// Sets the owners.
    pub fn set_owners(&mut self, owners: Vec<SocketAddr>) {
        self.owners = owners;
    }

    /// Returns whether any owner is known.
    #[must_use]
    pub fn has_owners(&self) -> bool {
        !self.owners.is_empty()
    }

    /// Returns the owners that may relay a request now.
    #[must_use]
    pub fn usable(&self, now: MonotonicTime) -> &[SocketAddr] {
        if now < self.paused_until {
            &[]
        } else {
            &self.owners
        }
    }

    /// Records that an owner relayed a request.
    pub fn record_relayed(&mut self) {
        self.refusals = 0;
    }

    /// Records that no owner relayed a request.
    pub fn record_refusal(&mut self, now: MonotonicTime) {
        let pause = MIN_REFUSAL_PAUSE.saturating_mul(2u32.saturating_pow(self.refusals));
        self.refusals = self.refusals.saturating_add(1);
        self.paused_until = now + pause.min(MAX_REFUSAL_PAUSE);
    }
}
