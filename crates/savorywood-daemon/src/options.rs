//! What a daemon is started with.

use savorywood_core::{CoreOptions, TokenDigest, membership::CONTROL_BYTES_PER_SECOND};
use savorywood_http::{ClientLimits, ServerLimits};
use savorywood_platform::PlatformOptions;
use savorywood_protocol::peer::DatagramKey;
use std::{net::SocketAddr, time::Duration};

/// What a daemon is started with.
#[derive(Debug, Clone)]
pub struct DaemonOptions {
    /// What the core knows of itself.
    pub core: CoreOptions,
    /// Where callers' connections are taken.
    pub listen_callers: SocketAddr,
    /// Where peers' datagrams and connections are taken.
    pub listen_peers: SocketAddr,
    /// The platform's table, object store and host list.
    pub platform: PlatformOptions,
    /// Key that all daemons share.
    pub peer_key: DatagramKey,
    /// What one caller may cost.
    pub server_limits: ServerLimits,
    /// What one upstream may cost.
    pub client_limits: ClientLimits,
    /// Digest of the operators' token; without one, operators are refused.
    pub operator_token: Option<TokenDigest>,
    /// Longest silence of an upstream in the middle of an answer.
    pub stall_time: Duration,
    /// Bytes of datagrams that may be sent to peers a second, heads of packets included.
    pub peer_bytes_per_second: u64,
}

/// Where a daemon listens.
#[derive(Debug, Clone, Copy)]
pub struct ListenAddresses {
    /// For callers and operators, by HTTP.
    pub callers: SocketAddr,
    /// For peers, by UDP and TCP.
    pub peers: SocketAddr,
}

/// What a daemon needs to reach others.
#[derive(Debug, Clone)]
pub struct DaemonLinks {
    /// The platform's services.
    pub platform: PlatformOptions,
    /// Key that all daemons share.
    pub peer_key: DatagramKey,
}

/// Builds [`DaemonOptions`].
#[derive(Debug, Clone)]
pub struct DaemonOptionsBuilder {
    options: DaemonOptions,
}

impl DaemonOptionsBuilder {
    /// Begins with defaults.
    #[must_use]
    pub fn new(core: CoreOptions, listen: ListenAddresses, links: DaemonLinks) -> Self {
        let options = DaemonOptions {
            core,
            listen_callers: listen.callers,
            listen_peers: listen.peers,
            platform: links.platform,
            peer_key: links.peer_key,
            server_limits: ServerLimits::default(),
            client_limits: ClientLimits::default(),
            operator_token: None,
            stall_time: Duration::from_secs(30),
            peer_bytes_per_second: CONTROL_BYTES_PER_SECOND,
        };
        Self { options }
    }

    /// Sets what one caller may cost.
    #[must_use]
    pub fn server_limits(mut self, limits: ServerLimits) -> Self {
        self.options.server_limits = limits;
        self
    }

    /// Sets what one upstream may cost.
    #[must_use]
    pub fn client_limits(mut self, limits: ClientLimits) -> Self {
        self.options.client_limits = limits;
        self
    }

    /// Sets the digest of the operators' token.
    #[must_use]
    pub fn operator_token(mut self, token: TokenDigest) -> Self {
        self.options.operator_token = Some(token);
        self
    }

    /// Sets the bytes of datagrams that may be sent to peers a second.
    #[must_use]
    pub fn peer_bytes_per_second(mut self, bytes: u32) -> Self {
        self.options.peer_bytes_per_second = bytes.into();
        self
    }

    /// Sets the longest silence of an upstream in the middle of an answer.
    #[must_use]
    pub fn stall_time(mut self, time: Duration) -> Self {
        self.options.stall_time = time;
        self
    }

    /// The options.
    #[must_use]
    pub fn build(self) -> DaemonOptions {
        self.options
    }
}
