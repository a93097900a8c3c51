//! What a claim's row holds.

use crate::request::StoredResponse;
use base64::{Engine, engine::general_purpose::STANDARD};
use savorywood_protocol::{HostIncarnation, HostName, ServiceName, WallTime};
use serde::{Deserialize, Serialize};

/// One attempt's own mark: whoever reads it in the row knows who holds the claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimNonce(pub u128);

/// Content of a claim's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Mark of the attempt that holds the claim, 32 hexadecimal digits.
    nonce: String,
    /// Daemon that holds it.
    pub host: HostName,
    /// Life of that daemon.
    pub incarnation: HostIncarnation,
    /// Service that was called.
    pub service: ServiceName,
    /// SHA-256 over method, path and body of the call, 64 hexadecimal digits.
    pub fingerprint: String,
    /// When the claim was made.
    pub claimed_at: WallTime,
    /// From when on the row may be deleted; `None` for never.
    pub delete_after: Option<WallTime>,
    /// What became of the call.
    pub outcome: ClaimOutcome,
}

/// What became of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimOutcome {
    /// It waits or runs, or its daemon died before it could say.
    Running,
    /// It ran and was answered.
    Answered(RecordedAnswer),
    /// It broke off: it may or may not have run.
    Unknown,
}

/// An answer as it stands in the row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`; empty when there was none.
    pub content_type: String,
    /// Body in base64; `None` when it was too large to keep.
    pub body: Option<String>,
}

impl ClaimRecord {
    /// Begins the record of an attempt.
    #[must_use]
    pub fn draft(nonce: ClaimNonce, host: HostName, incarnation: HostIncarnation) -> ClaimDraft {
        ClaimDraft {
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

    /// Reads a row.
    #[must_use]
    pub fn read(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// The row's content.
    #[must_use]
    pub fn write(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// The part of a record that says who claims.
#[derive(Debug, Clone)]
pub struct ClaimDraft {
    nonce: ClaimNonce,
    host: HostName,
    incarnation: HostIncarnation,
}

impl ClaimDraft {
    /// The record of a call that is about to be dispatched.
    #[must_use]
    pub fn of_call(
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

impl RecordedAnswer {
    /// Takes down an answer; a body over the limit is left out.
    #[must_use]
    pub fn from_kept(answer: &StoredResponse, max_body: usize) -> Self {
        let body = answer.body.as_ref().filter(|body| body.len() <= max_body);
        Self {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: body.map(|body| STANDARD.encode(body)),
        }
    }

    /// The answer as it was.
    #[must_use]
    pub fn to_kept(&self) -> StoredResponse {
        let body = self.body.as_ref();
        StoredResponse {
            status: self.status,
            content_type: self.content_type.clone(),
            body: body.and_then(|body| STANDARD.decode(body).ok()),
        }
    }
}

/// A SHA-256 as hexadecimal digits.
#[must_use]
pub fn fingerprint_text(fingerprint: &[u8; 32]) -> String {
    fingerprint
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

fn nonce_text(nonce: ClaimNonce) -> String {
    format!("{:032x}", nonce.0)
}
