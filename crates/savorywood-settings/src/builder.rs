//! Making [`DaemonSettings`], from a file or by hand.

mod address;
mod number;
mod parts;

use crate::{
    daemon::DaemonSettings,
    fault::MemberFault,
    raw::{RawBudgets, RawKeys, RawLimits, RawPlatform, RawSettings, RawStop},
};
use savorywood_protocol::{HostName, RegionName, ZoneName};
use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

/// Collects settings, checks them together and names all faults at once.
#[derive(Debug, Clone, Default)]
pub struct SettingsBuilder {
    raw: RawSettings,
    folder: PathBuf,
}

impl SettingsBuilder {
    /// Settings of a host, the rest still to be said.
    #[must_use]
    pub fn new(host: HostName, zone: ZoneName, region: RegionName) -> Self {
        let raw = RawSettings {
            host: Some(host),
            zone: Some(zone),
            region: Some(region),
            ..RawSettings::default()
        };
        Self::from_raw(raw)
    }

    /// Settings as a file gives them.
    #[must_use]
    pub fn from_raw(raw: RawSettings) -> Self {
        Self {
            raw,
            folder: PathBuf::new(),
        }
    }

    /// Seeks secret files with relative paths in `folder`.
    #[must_use]
    pub fn secrets_below(mut self, folder: &Path) -> Self {
        self.folder = folder.to_owned();
        self
    }

    /// Where to listen for callers; also told to them unless another address is advertised.
    #[must_use]
    pub fn listen_callers(mut self, address: SocketAddr) -> Self {
        self.raw.listen_callers = Some(address);
        self
    }

    /// Where to listen for peers; also told to them unless another address is advertised.
    #[must_use]
    pub fn listen_peers(mut self, address: SocketAddr) -> Self {
        self.raw.listen_peers = Some(address);
        self
    }

    /// Where callers reach the daemon, when it isn't where it listens.
    #[must_use]
    pub fn advertise_callers(mut self, address: SocketAddr) -> Self {
        self.raw.advertise_callers = Some(address);
        self
    }

    /// Where peers reach the daemon, when it isn't where it listens.
    #[must_use]
    pub fn advertise_peers(mut self, address: SocketAddr) -> Self {
        self.raw.advertise_peers = Some(address);
        self
    }

    /// Where the platform's services are.
    #[must_use]
    pub fn platform(mut self, platform: RawPlatform) -> Self {
        self.raw.platform = platform;
        self
    }

    /// Files of secrets.
    #[must_use]
    pub fn keys(mut self, keys: RawKeys) -> Self {
        self.raw.keys = keys;
        self
    }

    /// Bounds of what callers can make the daemon hold.
    #[must_use]
    pub fn limits(mut self, limits: RawLimits) -> Self {
        self.raw.limits = limits;
        self
    }

    /// Times of a planned stop.
    #[must_use]
    pub fn stop(mut self, stop: RawStop) -> Self {
        self.raw.stop = stop;
        self
    }

    /// Shares of what all daemons spend together.
    #[must_use]
    pub fn budgets(mut self, budgets: RawBudgets) -> Self {
        self.raw.budgets = budgets;
        self
    }

    /// Seed of the random numbers.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.raw.seed = Some(seed);
        self
    }

    /// Checks everything.
    ///
    /// # Errors
    ///
    /// All that is missing, out of range or at odds.
    pub fn build(self) -> Result<DaemonSettings, Vec<MemberFault>> {
        let Self { raw, folder } = self;
        let mut faults = Vec::new();
        let limits = parts::read_limits(&raw.limits, &mut faults);
        let stop = parts::read_stop(&raw.stop, &mut faults);
        let budgets = parts::read_budgets(&raw.budgets, &mut faults);
        let platform = parts::read_platform(&raw.platform, &mut faults);
        let keys = parts::read_keys(raw.keys, &folder, &mut faults);
        let host = parts::required(raw.host, "host", &mut faults);
        let zone = parts::required(raw.zone, "zone", &mut faults);
        let region = parts::required(raw.region, "region", &mut faults);
        let callers =
            address::AddressPair::read("callers", raw.listen_callers, raw.advertise_callers);
        let callers = callers.check(&mut faults);
        let peers = address::AddressPair::read("peers", raw.listen_peers, raw.advertise_peers);
        let peers = peers.check(&mut faults);
        address::check_distinct(callers, peers, &mut faults);
        let complete = (|| {
            let (listen_callers, advertise_callers) = callers?;
            let (listen_peers, advertise_peers) = peers?;
            Some(DaemonSettings {
                host: host?,
                zone: zone?,
                region: region?,
                listen_callers,
                listen_peers,
                advertise_callers,
                advertise_peers,
                platform: platform?,
                keys: keys?,
                limits,
                stop,
                budgets,
                seed: raw.seed,
            })
        })();
        match complete {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(faults),
        }
    }
}
