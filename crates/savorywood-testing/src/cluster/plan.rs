//! What a cluster of daemons is started with.

use std::{fs, path::Path};

/// What a cluster is started with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClusterPlan {
    /// Daemons; they stand in zones `zone-a` and `zone-b` by turns.
    pub daemons: usize,
    /// How long callers may keep an address, in seconds.
    pub address_max_age_seconds: u64,
    /// Longest wait for open requests at a planned stop, in seconds.
    pub drain_seconds: u64,
    /// Longest wait of a daemon for one answer of the platform, in milliseconds.
    pub call_timeout_ms: u64,
}

impl Default for ClusterPlan {
    fn default() -> Self {
        Self {
            daemons: 2,
            address_max_age_seconds: 2,
            drain_seconds: 20,
            call_timeout_ms: 1_000,
        }
    }
}

/// Names of the files of secrets, which stand beside the settings.
pub(super) const PEER_KEY: &str = "peer.key";
pub(super) const OPERATOR_KEY: &str = "operator.token";
pub(super) const RESUME_KEY: &str = "resume.key";

/// Writes the secrets that all daemons share.
pub(super) fn write_keys(folder: &Path) {
    let write = |name: &str, content: &str| {
        fs::write(folder.join(name), content).expect("a file can be written");
    };
    write(PEER_KEY, "peer-key-of-the-tests-0123456789-abcdef");
    write(OPERATOR_KEY, super::OPERATOR_TOKEN);
    write(RESUME_KEY, "resume-key-of-the-tests-0123456789-abcdef");
}
