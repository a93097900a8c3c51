//! Idempotency keys as callers send them.

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use savorywood_protocol::{
    RefusalCode, RequestRefusal, TeamName, WallTime, resource::ClaimRetention, table::RowKey,
};
use std::time::Duration;
use uuid::Uuid;

/// Longest accepted key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Prefix of all rows of claims.
pub const CLAIM_PREFIX: &str = "claim/";

/// A key that may be claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimKey {
    /// Row of the claim.
    pub row: RowKey,
    /// From when on the claim may be deleted, margin not counted; `None` for never.
    pub expires_at: Option<WallTime>,
}

impl ClaimKey {
    /// Checks a key against the retention of its service.
    ///
    /// # Errors
    ///
    /// The refusal to give at once; nothing has run.
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

/// Row of a key. The same UUID in capitals or without hyphens is the same key: a client library
/// that changes its spelling between two tries must not run a call twice.
fn row_of(team: &TeamName, text: &str, uuid: Option<Uuid>) -> RowKey {
    match uuid {
        Some(uuid) => format!("{CLAIM_PREFIX}{team}/{}", uuid.hyphenated()),
        None => format!("{CLAIM_PREFIX}{team}/x.{}", URL_SAFE_NO_PAD.encode(text)),
    }
}

/// When the key was made, if its claim is still sure to be kept.
fn check_age(
    uuid: Option<Uuid>,
    validity: Duration,
    now: WallTime,
    skew: Duration,
) -> Result<WallTime, RequestRefusal> {
    let uuid = uuid.filter(|uuid| uuid.get_version_num() == 7);
    let Some(uuid) = uuid else {
        let detail = "the key carries no time: send a version 7 UUID as `Idempotency-Key`, and \
                      the same one when you retry";
        return Err(RequestRefusal::not_run(RefusalCode::BadRequest, detail));
    };
    let created_at = WallTime(u64::try_from(uuid.as_u128() >> 80).unwrap_or(u64::MAX));
    if created_at > now + skew {
        let detail = format!("the key is from the future ({created_at}); check the caller's clock");
        return Err(RequestRefusal::not_run(RefusalCode::BadRequest, detail));
    }
    // The claim of an older key may have been deleted, so a repeat could not be told from a
    // first call and would run twice.
    if now.since(created_at) > validity {
        let detail = format!(
            "the key was made at {created_at}; keys are good for {} s. This call was not run; \
             whether an earlier one with this key ran is no longer known here",
            validity.as_secs()
        );
        return Err(RequestRefusal::not_run(RefusalCode::KeyExpired, detail));
    }
    Ok(created_at)
}
