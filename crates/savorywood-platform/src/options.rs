//! Settings of a client of the platform.

use std::{net::SocketAddr, time::Duration};

/// Settings of a client of the platform.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    pub(crate) address: SocketAddr,
    pub(crate) token: Option<String>,
    pub(crate) call_time: Duration,
    pub(crate) budget_wait: Duration,
    pub(crate) members: u32,
}

impl PlatformOptions {
    /// Defaults for the service at an address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            token: None,
            call_time: Duration::from_secs(3),
            budget_wait: Duration::from_millis(500),
            members: 1,
        }
    }

    /// Sets the bearer token.
    #[must_use]
    pub fn token(self, token: Option<String>) -> Self {
        Self { token, ..self }
    }

    /// Sets the time for one try of a call.
    #[must_use]
    pub fn call_time(self, call_time: Duration) -> Self {
        Self { call_time, ..self }
    }

    /// Sets how long a call waits at most for its duty's budget.
    #[must_use]
    pub fn budget_wait(self, budget_wait: Duration) -> Self {
        Self {
            budget_wait,
            ..self
        }
    }

    /// Sets how many daemons share the rates at first.
    #[must_use]
    pub fn members(self, members: u32) -> Self {
        Self { members, ..self }
    }
}
