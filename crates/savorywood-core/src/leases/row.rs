//! Content and key of a lease's table row.

use crate::leases::LeaseName;
use savorywood_protocol::{FencingNumber, HostIncarnation, HostName};
use serde::{Deserialize, Serialize};

/// The host and incarnation that hold a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// Host name.
    pub host: HostName,
    /// Incarnation of the host.
    pub incarnation: HostIncarnation,
}

/// Content of a lease's row, stored as JSON.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Current holder; `None` after a release.
    pub holder: Option<LeaseHolder>,
    /// Incremented by each acquisition and never lowered; kept on release.
    pub fencing: FencingNumber,
    /// Random number of the write, by which a daemon recognises its own unconfirmed write.
    pub nonce: u64,
}

impl LeaseRow {
    /// Host name of the holder for log lines; `none` after a release.
    #[must_use]
    pub fn holder_text(&self) -> &str {
        self.holder
            .as_ref()
            .map_or("none", |holder| holder.host.as_str())
    }
}

/// Key of the lease's row.
#[must_use]
pub fn row_key(name: LeaseName) -> String {
    format!("lease/{name}")
}
