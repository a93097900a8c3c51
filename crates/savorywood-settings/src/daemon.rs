//! What a daemon learns from its settings file.

use crate::{
    builder::SettingsBuilder,
    decode,
    fault::FaultReport,
    node::{SourceNode, SpannedFault},
    path::MemberPath,
    secret::SecretFile,
    source::SourceText,
};
use savorywood_protocol::{HostName, RegionName, ZoneName};
use std::{net::SocketAddr, path::Path, time::Duration};

/// Where the platform's services are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Transactional table service.
    pub table_address: SocketAddr,
    /// Object store.
    pub object_address: SocketAddr,
    /// List of live and leaving hosts.
    pub host_list_address: SocketAddr,
    /// Longest wait for one answer of the platform.
    pub call_timeout: Duration,
}

/// Files that hold secrets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeySettings {
    /// Authenticates messages between daemons.
    pub peer_key_file: SecretFile,
    /// Bearer token of operators.
    pub operator_token_file: SecretFile,
    /// Signs the tokens with which callers resume streams.
    pub resume_key_file: SecretFile,
}

/// Bounds of what callers can make a daemon hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSettings {
    /// Open connections of callers.
    pub connections: usize,
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time in which a head must have arrived.
    pub head_time: Duration,
    /// Longest time in which a body must have arrived.
    pub body_time: Duration,
    /// Longest time that a caller may take for some bytes of its answer.
    pub write_time: Duration,
    /// Longest time that a connection may stay open without a request.
    pub idle_time: Duration,
    /// Threads that run tasks.
    pub executor_threads: usize,
    /// Open connections to one upstream.
    pub upstream_connections: usize,
}

/// Times of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSettings {
    /// Longest wait for open requests once the daemon was told to stop.
    pub drain: Duration,
    /// How long callers may keep an address, and so how long a leaving daemon goes on serving.
    pub address_max_age: Duration,
}

/// Shares of what all daemons spend together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetSettings {
    /// Transactions that this daemon commits to the table service per second.
    pub table_writes_per_second: u32,
    /// Bytes that this daemon sends to its peers per second.
    pub peer_bytes_per_second: u32,
}

/// Everything in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonSettings {
    /// Host that the daemon runs on.
    pub host: HostName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Where it listens for callers and operators (HTTP).
    pub listen_callers: SocketAddr,
    /// Where it listens for peers (UDP and TCP).
    pub listen_peers: SocketAddr,
    /// Where callers reach it, as it tells them.
    pub advertise_callers: SocketAddr,
    /// Where peers reach it, as it tells them.
    pub advertise_peers: SocketAddr,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// Files that hold secrets.
    pub keys: KeySettings,
    /// Bounds of what callers can make it hold.
    pub limits: LimitSettings,
    /// Times of a planned stop.
    pub stop: StopSettings,
    /// Shares of what all daemons spend together.
    pub budgets: BudgetSettings,
    /// Seed of its random numbers; `None` to take one from the system.
    pub seed: Option<u64>,
}

impl DaemonSettings {
    /// Reads a settings file. Secret files named relative to it are made absolute to its folder;
    /// they are not opened.
    ///
    /// # Errors
    ///
    /// All faults of the file.
    pub fn read(path: &Path) -> Result<Self, FaultReport> {
        let source = SourceText::read(path)?;
        let folder = path.parent().unwrap_or(Path::new(""));
        Self::parse(&source, folder)
    }

    /// Reads settings from a text; secret files are sought in `folder`.
    ///
    /// # Errors
    ///
    /// All faults of the text.
    pub fn parse(source: &SourceText, folder: &Path) -> Result<Self, FaultReport> {
        let parsed = SourceNode::parse(source);
        let (node, mut faults) =
            parsed.map_err(|fault| FaultReport::locate(source, vec![fault]))?;
        let decoded = decode::decode_partly(&node, &MemberPath::default());
        faults.extend(decoded.faults);
        let raw = decoded.value.unwrap_or_default();
        let built = SettingsBuilder::from_raw(raw).secrets_below(folder).build();
        match built {
            Ok(settings) if faults.is_empty() => return Ok(settings),
            Ok(_) => {}
            Err(found) => {
                let already = |path: &str| decoded.skipped.contains(&MemberPath::parse(path));
                let found = found.into_iter().filter(|fault| !already(&fault.path));
                faults.extend(found.map(|fault| place(&node, fault)));
            }
        }
        Err(FaultReport::locate(source, faults))
    }
}

/// Finds the bytes that a fault is about. An absent member is shown at the start of the object
/// that should hold it.
fn place(node: &SourceNode, fault: crate::MemberFault) -> SpannedFault {
    let path = MemberPath::parse(&fault.path);
    let found = node.find(&path, false);
    let span = if found.name_span.is_some() {
        found.span
    } else {
        found.span.start..found.span.start + 1
    };
    SpannedFault { span, fault }
}
