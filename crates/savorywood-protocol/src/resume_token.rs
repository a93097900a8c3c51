//! Signed tokens with which any daemon can resume a response stream that another daemon began.
//!
//! A token is self-contained: daemons store nothing and look nothing up, and the second daemon
//! reads from the same upstream instead of dispatching the request again.

use crate::{AttemptNumber, ServiceName, TeamName, UpstreamName, WallTime};
use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use hmac::{Hmac, Mac, digest::KeyInit};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use snafu::Snafu;
use std::{fmt, time::Duration};

/// Size of the HMAC-SHA-256 signature at the end of a token, in bytes.
const SIGNATURE_BYTES: usize = 32;

/// Block size of SHA-256, in bytes.
const BLOCK_BYTES: usize = 64;

/// Longest accepted token, in characters. Signed tokens are never longer.
const MAX_TOKEN_CHARS: usize = 1_024;

/// Format version, the first byte of the content.
const TOKEN_VERSION: u8 = 1;

/// Key that signs resume tokens. All daemons share it; it is read from the file named in the
/// settings (`keys.resume_key_file`).
#[derive(Clone)]
pub struct ResumeKey([u8; 32]);

impl ResumeKey {
    /// Derives the key from the bytes of the key file.
    #[must_use]
    pub fn derive(secret: &[u8]) -> Self {
        Self(blake3::derive_key("savorywood resume token v1", secret))
    }

    fn mac(&self, content: &[u8]) -> Hmac<Sha256> {
        // HMAC pads a short key with zeros to one block, so this is the HMAC with the 32-byte
        // key, by the constructor that can't fail.
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
    /// Upstream that produces the stream.
    pub upstream: UpstreamName,
    /// Name of the stream at the upstream.
    pub stream: String,
    /// Service that was called.
    pub service: ServiceName,
    /// Team that made the call; no other team may read the stream.
    pub team: TeamName,
    /// Attempt that produces the stream.
    pub attempt: AttemptNumber,
    /// Time at which the token was signed.
    pub issued_at: WallTime,
}

/// Reason why a token is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ResumeTokenError {
    /// The text is not a token, or a token of another format version.
    #[snafu(display("the text is not a resume token"))]
    Malformed,
    /// The signature is invalid: made with another key, or the token was changed.
    #[snafu(display("the signature of the resume token is invalid"))]
    BadSignature,
    /// The token is older than allowed: the upstream no longer has the stream.
    #[snafu(display("the resume token is {age_seconds} s old; {max_seconds} s are allowed"))]
    Expired {
        /// Age of the token, in seconds.
        age_seconds: u64,
        /// Maximum age, in seconds.
        max_seconds: u64,
    },
    /// The token was issued to another team.
    #[snafu(display("the resume token was issued to another team"))]
    OtherTeam,
}

impl ResumeToken {
    /// Encodes and signs the token as URL-safe text.
    ///
    /// # Errors
    ///
    /// [`ResumeTokenError::Malformed`] when the token can't be encoded or is too long.
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

    /// Decodes a token and checks its signature, team and age. The signature is checked first
    /// and in constant time, so that neither the error nor the duration of the check helps to
    /// forge a token.
    ///
    /// # Errors
    ///
    /// Returns why the token is refused.
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
