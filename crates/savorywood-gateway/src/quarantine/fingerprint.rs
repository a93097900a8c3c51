//! What requests have in common that may crash upstreams.

use crate::{
    arrival::{ContentDigest, PromptPart},
    label::TeamLabel,
    peer::name_digest,
    rendezvous::rendezvous_weight,
};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Separates the fingerprints of parts from those of whole requests.
const PART_DOMAIN: u64 = 0x70_61_72_74;

/// Identifies what requests have in common: repetitions of the same request of a team by a hash of
/// content and team, or all requests with a part in their prompts by a hash of the part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint(u64);

impl RequestFingerprint {
    /// Computes the fingerprint of a whole request. Requests without a team have one as well.
    #[must_use]
    pub fn new(content: ContentDigest, team: Option<&TeamLabel>) -> Self {
        let team = team.map_or(0, |team| name_digest(team.as_str()));
        Self(rendezvous_weight(content.0, team))
    }

    /// Computes the fingerprint of all requests with a part in their prompts.
    #[must_use]
    pub fn of_part(part: &PromptPart) -> Self {
        Self(rendezvous_weight(part.id, PART_DOMAIN))
    }

    /// Parses the hexadecimal format that `Display` writes.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }

    /// Returns the hash value, for the selection of a lease holder.
    #[must_use]
    pub fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// All fingerprints of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestFingerprints {
    /// Fingerprint of the whole request.
    pub whole: RequestFingerprint,
    /// Fingerprints of the parts of its prompt that other requests may share.
    parts: Vec<RequestFingerprint>,
}

impl RequestFingerprints {
    /// Computes the fingerprints. The last part of a prompt belongs to the request or its session
    /// and has none.
    #[must_use]
    pub fn new(whole: RequestFingerprint, prompt: &[PromptPart]) -> Self {
        let shared = prompt.split_last().map_or(&[][..], |(_, shared)| shared);
        let mut parts: Vec<_> = shared.iter().map(RequestFingerprint::of_part).collect();
        parts.sort_unstable();
        parts.dedup();
        Self { whole, parts }
    }

    /// Returns whether the request has a fingerprint.
    #[must_use]
    pub fn contains(&self, fingerprint: RequestFingerprint) -> bool {
        self.iter().any(|own| own == fingerprint)
    }

    /// Iterates over the fingerprints, each once.
    pub fn iter(&self) -> impl Iterator<Item = RequestFingerprint> {
        std::iter::once(self.whole).chain(self.parts.iter().copied())
    }
}
