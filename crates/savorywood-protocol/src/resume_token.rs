//! Signed tokens by which any daemon can read on a stream that another one began.
//!
//! The token says all that is needed, so no daemon has to keep or look up anything, and the
//! second daemon reads from the same upstream instead of dispatching anew.

use crate::{AttemptNumber, ServiceName, TeamName, UpstreamName, WallTime};
use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use hmac::{Hmac, Mac, digest::KeyInit};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use snafu::Snafu;
use std::{fmt, time::Duration};

/// Bytes of the signature that ends a token.
const SIGNATURE_BYTES: usize = 32;

/// Bytes of a block of SHA-256.
const BLOCK_BYTES: usize = 64;

/// Longest token that is looked at, in characters. A longer one was not made here.
const MAX_TOKEN_CHARS: usize = 1_024;

/// Version of the content, its first byte.
const TOKEN_VERSION: u8 = 1;

/// Key that signs resume tokens; the same at all daemons, read from a file that the settings
/// name.
#[derive(Clone)]
pub struct ResumeKey([u8; 32]);

impl ResumeKey {
    /// Derives the key from the bytes of the key file.
    #[must_use]
    pub fn derive(secret: &[u8]) -> Self {
        Self(blake3::derive_key("savorywood resume token v1", secret))
    }

    fn mac(&self, content: &[u8]) -> Hmac<Sha256> {
        // HMAC fills a shorter key up with zeros to one block, so this is the usual HMAC of the
        // 32 bytes, by the constructor that can't fail.
        let mut block = [0; BLOCK_BYTES];
        block[..self.0.len()].copy_from_slice(&self.0);
        let mut mac = <Hmac<Sha256> as KeyInit>::new(&block.into());
        mac.update(content);
        mac
    }
}

impl fmt::Debug for ResumeKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ResumeKey(..)")
    }
}

/// Content of a resume token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeToken {
    /// Upstream that holds the stream.
    pub upstream: UpstreamName,
    /// Name of the stream there.
    pub stream: String,
    /// Service that was called.
    pub service: ServiceName,
    /// Team that called; no other may read the stream.
    pub team: TeamName,
    /// Attempt that was dispatched.
    pub attempt: AttemptNumber,
    /// When the token was made.
    pub issued_at: WallTime,
}

/// Why a token was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ResumeTokenError {
    /// It is no token, or not of this version.
    #[snafu(display("the text is not a resume token"))]
    Malformed,
    /// The signature does not fit: made with another key, or changed.
    #[snafu(display("the resume token is not signed by these daemons"))]
    BadSignature,
    /// It is older than allowed: the upstream has dropped the stream.
    #[snafu(display("the resume token is {age_seconds} s old; {max_seconds} s are allowed"))]
    Expired {
        /// Its age.
        age_seconds: u64,
        /// Greatest age.
        max_seconds: u64,
    },
    /// It was given to another team.
    #[snafu(display("the resume token was given to another team"))]
    OtherTeam,
}

impl ResumeToken {
    /// Signs the token.
    ///
    /// # Errors
    ///
    /// [`ResumeTokenError::Malformed`] when it can't be encoded or is too long to be read.
    pub fn sign(&self, key: &ResumeKey) -> Result<String, ResumeTokenError> {
        let body = postcard::to_stdvec(self).map_err(|_| ResumeTokenError::Malformed)?;
        let mut content = vec![TOKEN_VERSION];
        content.extend_from_slice(&body);
        let signature = key.mac(&content).finalize().into_bytes();
        content.extend_from_slice(&signature);
        let text = URL_SAFE_NO_PAD.encode(content);
        match text.len() <= MAX_TOKEN_CHARS {
            true => Ok(text),
            false => MalformedSnafu.fail(),
        }
    }

    /// Checks signature, team and age. The signature comes first and is compared in constant
    /// time, so that neither an error nor the time taken tells a forger anything.
    ///
    /// # Errors
    ///
    /// Says why the token must be refused.
    pub fn verify(
        text: &str,
        key: &ResumeKey,
        team: &TeamName,
        now: WallTime,
        max_age: Duration,
    ) -> Result<Self, ResumeTokenError> {
        let token = Self::open(text, key)?;
        if token.team != *team {
            return OtherTeamSnafu.fail();
        }
        let age = now.since(token.issued_at);
        if age > max_age {
            return ExpiredSnafu {
                age_seconds: age.as_secs(),
                max_seconds: max_age.as_secs(),
            }
            .fail();
        }
        Ok(token)
    }

    fn open(text: &str, key: &ResumeKey) -> Result<Self, ResumeTokenError> {
        if text.len() > MAX_TOKEN_CHARS {
            return MalformedSnafu.fail();
        }
        let bytes = URL_SAFE_NO_PAD.decode(text);
        let bytes = bytes.map_err(|_| ResumeTokenError::Malformed)?;
        let split = bytes.len().checked_sub(SIGNATURE_BYTES);
        let split = split.ok_or(ResumeTokenError::Malformed)?;
        let (content, signature) = bytes.split_at(split);
        let checked = key.mac(content).verify_slice(signature);
        checked.map_err(|_| ResumeTokenError::BadSignature)?;
        match content.split_first() {
            Some((&TOKEN_VERSION, body)) => {
                postcard::from_bytes(body).map_err(|_| ResumeTokenError::Malformed)
            }
            _ => MalformedSnafu.fail(),
        }
    }
}
