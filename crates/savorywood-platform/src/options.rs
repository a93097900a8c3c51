//! Settings of a client of the platform.

use std::{net::SocketAddr, time::Duration};

/// Settings of a client of the platform.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    pub(crate) address: SocketAddr,
    pub(crate) object_address: SocketAddr,
    pub(crate) host_list_address: SocketAddr,
    pub(crate) writes_per_second: Option<u32>,
    pub(crate) token: Option<String>,
    pub(crate) call_time: Duration,
    pub(crate) budget_wait: Duration,
    pub(crate) members: u32,
}

impl PlatformOptions {
    /// Defaults for a platform whose services are all at one address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            object_address: address,
            host_list_address: address,
            writes_per_second: None,
            token: None,
            call_time: Duration::from_secs(3),
            budget_wait: Duration::from_millis(500),
            members: 1,
        }
    }

    /// Sets where the object store and the weight store are, if not beside the table.
    #[must_use]
    pub fn object_address(self, object_address: SocketAddr) -> Self {
        Self {
            object_address,
            ..self
        }
    }

    /// Sets where the host list is, if not beside the table.
    #[must_use]
    pub fn host_list_address(self, host_list_address: SocketAddr) -> Self {
        Self {
            host_list_address,
            ..self
        }
    }

    /// Sets the writes a second of this daemon over all duties, below what each duty may do.
    #[must_use]
    pub fn writes_per_second(self, writes: u32) -> Self {
        Self {
            writes_per_second: Some(writes),
            ..self
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
