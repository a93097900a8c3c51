//! Options of an engine stand-in.

use super::{batch::BatchSettings, faults::EngineFaults};
use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

/// Streams are kept this long after their end unless told otherwise.
const DEFAULT_KEEP: Duration = Duration::from_secs(60);

/// Loading a version takes this long unless told otherwise.
const DEFAULT_LOAD_TIME: Duration = Duration::from_millis(500);

/// Options of an engine, built step by step.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    pub(crate) address: SocketAddr,
    pub(crate) version: String,
    pub(crate) batch: BatchSettings,
    pub(crate) faults: EngineFaults,
    pub(crate) checks_fencing: bool,
    pub(crate) keep_streams: Duration,
    pub(crate) load_time: Duration,
    pub(crate) weight_store: Option<SocketAddr>,
    pub(crate) seed: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            version: "v1".to_owned(),
            batch: BatchSettings::default(),
            faults: EngineFaults::default(),
            checks_fencing: true,
            keep_streams: DEFAULT_KEEP,
            load_time: DEFAULT_LOAD_TIME,
            weight_store: None,
            seed: 0,
        }
    }
}

impl EngineOptions {
    /// An engine of ordinary speed on a free port.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Address to listen on; port zero takes a free one.
    #[must_use]
    pub fn address(self, address: SocketAddr) -> Self {
        Self { address, ..self }
    }

    /// Version that runs at the start.
    #[must_use]
    pub fn version(self, version: impl Into<String>) -> Self {
        let version = version.into();
        Self { version, ..self }
    }

    /// Speed and size.
    #[must_use]
    pub fn batch(self, batch: BatchSettings) -> Self {
        Self { batch, ..self }
    }

    /// Faults at the start.
    #[must_use]
    pub fn faults(self, faults: EngineFaults) -> Self {
        Self { faults, ..self }
    }

    /// Whether orders with an old fencing number are refused.
    #[must_use]
    pub fn checks_fencing(self, checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            ..self
        }
    }

    /// How long the bytes of a finished or cancelled stream are kept.
    #[must_use]
    pub fn keep_streams(self, keep_streams: Duration) -> Self {
        Self {
            keep_streams,
            ..self
        }
    }

    /// How long an engine takes to load a version once it has the weights.
    #[must_use]
    pub fn load_time(self, load_time: Duration) -> Self {
        Self { load_time, ..self }
    }

    /// Where weights are fetched that an order names.
    #[must_use]
    pub fn weight_store(self, weight_store: Option<SocketAddr>) -> Self {
        Self {
            weight_store,
            ..self
        }
    }

    /// Seed of all random faults.
    #[must_use]
    pub fn seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }
}
