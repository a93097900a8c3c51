//! Validation of the idempotency keys that callers send.

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use savorywood_protocol::{
    RefusalCode, RequestRefusal, TeamName, WallTime, resource::ClaimRetention, table::RowKey,
};
use std::time::Duration;
use uuid::Uuid;

/// Maximum length of a key.
const MAX_KEY_BYTES: usize = 128;

/// Key prefix of all claim rows.
pub const CLAIM_PREFIX: &str = "claim/";

/// A validated idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimKey {
    /// Key of the claim's table row.
    pub row: RowKey,
    /// Time at which the claim expires, without the sweep margin; `None` if it is retained forever.
    pub expires_at: Option<WallTime>,
}

impl ClaimKey {
    /// Validates a key against the claim retention of its service.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller; the call has not run.
    pub fn parse(
        text: &str,
        team: &TeamName,
        retention: ClaimRetention,
        now: WallTime,
        skew: Duration,
    ) -> Result<Self, RequestRefusal> {
        if text.is_empty() || text.len() > MAX_KEY_BYTES {
            let detail = format!("`Idempotency-Key` must have 1 to {MAX_KEY_BYTES} characters");
            return Err(RequestRefusal::not_run(RefusalCode::BadRequest, detail));
        }
        let uuid = Uuid::try_parse(text).ok();
        let row = row_of(team, text, uuid);
        match retention {
            ClaimRetention::Forever => Ok(Self {
                row,
                expires_at: None,
            }),
            ClaimRetention::Seconds(seconds) => {
                let validity = Duration::from_secs(seconds.into());
                let created_at = check_age(uuid, validity, now, skew)?;
                Ok(Self {
                    row,
                    expires_at: Some(created_at + validity),
                })
            }
        }
    }
}

/// Returns the row key for an idempotency key. UUIDs are normalised: a client library that changes
/// case or hyphens between two attempts must not cause a second execution.
fn row_of(team: &TeamName, text: &str, uuid: Option<Uuid>) -> RowKey {
    match uuid {
        Some(uuid) => format!("{CLAIM_PREFIX}{team}/{}", uuid.hyphenated()),
        None => format!("{CLAIM_PREFIX}{team}/x.{}", URL_SAFE_NO_PAD.encode(text)),
    }
}

/// Returns the creation time of the key if its claim is guaranteed to be retained still.
fn check_age(
    uuid: Option<Uuid>,
    validity: Duration,
    now: WallTime,
    skew: Duration,
) -> Result<WallTime, RequestRefusal> {
    let uuid = uuid.filter(|uuid| uuid.get_version_num() == 7);
    let Some(uuid) = uuid else {
        let detail = "the key has no timestamp: send a version 7 UUID as `Idempotency-Key`, and \
                      reuse it for retries";
        return Err(RequestRefusal::not_run(RefusalCode::BadRequest, detail));
    };
    let created_at = WallTime(u64::try_from(uuid.as_u128() >> 80).unwrap_or(u64::MAX));
    if created_at > now + skew {
        let detail =
            format!("the key's timestamp {created_at} is in the future; check the caller's clock");
        return Err(RequestRefusal::not_run(RefusalCode::BadRequest, detail));
    }
    // The claim of an older key may have been deleted already, so a repeat would be treated as a
    // first call and run twice.
    if now.since(created_at) > validity {
        let detail = format!(
            "the key was created at {created_at} and keys are valid for {} s. This call was not \
             run; whether an earlier call with this key ran is no longer recorded",
            validity.as_secs()
        );
        return Err(RequestRefusal::not_run(RefusalCode::KeyExpired, detail));
    }
    Ok(created_at)
}
