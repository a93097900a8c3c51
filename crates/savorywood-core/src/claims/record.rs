//! Content of a claim's table row.

use crate::request::StoredResponse;
use base64::{Engine, engine::general_purpose::STANDARD};
use savorywood_protocol::{HostIncarnation, HostName, ServiceName, WallTime};
use serde::{Deserialize, Serialize};

/// Random number unique to one attempt. The attempt whose nonce is in the row holds the claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimNonce(pub u128);

/// Content of a claim's row, stored as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Nonce of the attempt that holds the claim, as 32 hexadecimal digits.
    nonce: String,
    /// Host that holds the claim.
    pub host: HostName,
    /// Incarnation of that host.
    pub incarnation: HostIncarnation,
    /// Service of the call.
    pub service: ServiceName,
    /// SHA-256 over method, path and body of the call, as 64 hexadecimal digits.
    pub fingerprint: String,
    /// Wall-clock time of the claim.
    pub claimed_at: WallTime,
    /// Time after which the row may be deleted; `None` for never.
    pub delete_after: Option<WallTime>,
    /// Outcome of the call.
    pub outcome: ClaimOutcome,
}

/// Outcome of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimOutcome {
    /// The call is waiting or running, or its daemon failed before it recorded an outcome.
    Running,
    /// The call ran and its response was received.
    Answered(RecordedResponse),
    /// The call was interrupted: it may or may not have run.
    Unknown,
}

/// A response as stored in the claim's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of `Content-Type`; empty if the response had none.
    pub content_type: String,
    /// Body in base64; `None` if it exceeded the recorded size limit.
    pub body: Option<String>,
}

impl ClaimRecord {
    /// Identifies the attempt that makes the claim; `into_record` completes the record.
    #[must_use]
    pub fn owned_by(nonce: ClaimNonce, host: HostName, incarnation: HostIncarnation) -> ClaimOwner {
        ClaimOwner {
            nonce,
            host,
            incarnation,
        }
    }

    /// Whether the attempt with this nonce holds the claim.
    #[must_use]
    pub fn is_held_by(&self, nonce: ClaimNonce) -> bool {
        self.nonce == nonce_text(nonce)
    }

    /// Parses a row; `None` if it is not a valid record.
    #[must_use]
    pub fn parse(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// Serialises the record as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Identity of the attempt that makes a claim.
#[derive(Debug, Clone)]
pub struct ClaimOwner {
    nonce: ClaimNonce,
    host: HostName,
    incarnation: HostIncarnation,
}

impl ClaimOwner {
    /// Creates the record of a call that has not been dispatched yet.
    #[must_use]
    pub fn into_record(
        self,
        service: ServiceName,
        fingerprint: String,
        claimed_at: WallTime,
        delete_after: Option<WallTime>,
    ) -> ClaimRecord {
        ClaimRecord {
            nonce: nonce_text(self.nonce),
            host: self.host,
            incarnation: self.incarnation,
            service,
            fingerprint,
            claimed_at,
            delete_after,
            outcome: ClaimOutcome::Running,
        }
    }
}

impl RecordedResponse {
    /// Records a response; omits a body larger than `max_body` bytes.
    #[must_use]
    pub fn from_response(response: &StoredResponse, max_body: usize) -> Self {
        let body = response.body.as_ref().filter(|body| body.len() <= max_body);
        Self {
            status: response.status,
            content_type: response.content_type.clone(),
            body: body.map(|body| STANDARD.encode(body)),
        }
    }

    /// Restores the response for replay.
    #[must_use]
    pub fn to_response(&self) -> StoredResponse {
        let body = self.body.as_ref();
        StoredResponse {
            status: self.status,
            content_type: self.content_type.clone(),
            body: body.and_then(|body| STANDARD.decode(body).ok()),
        }
    }
}

/// Encodes a SHA-256 digest as hexadecimal digits.
#[must_use]
pub fn hex_digest(fingerprint: &[u8; 32]) -> String {
    fingerprint
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

fn nonce_text(nonce: ClaimNonce) -> String {
    format!("{:032x}", nonce.0)
}
