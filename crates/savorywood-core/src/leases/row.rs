//! The row of a lease.

use crate::leases::LeaseName;
use savorywood_protocol::{FencingNumber, HostIncarnation, HostName};
use serde::{Deserialize, Serialize};

/// One life of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// Host.
    pub host: HostName,
    /// Its life.
    pub incarnation: HostIncarnation,
}

/// Content of a lease's row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Who holds it; `None` once it was given back.
    pub holder: Option<LeaseHolder>,
    /// Raised by each daemon that takes it, never lowered, kept when it is given back.
    pub fencing: FencingNumber,
    /// Differs in each write: by it a writer whose answer was lost knows its own write.
    pub nonce: u64,
}

impl LeaseRow {
    /// The holder's host for logs.
    #[must_use]
    pub fn holder_text(&self) -> &str {
        self.holder
            .as_ref()
            .map_or("none", |holder| holder.host.as_str())
    }
}

/// Key of a lease's row.
#[must_use]
pub fn row_key(name: LeaseName) -> String {
    format!("lease/{name}")
}
