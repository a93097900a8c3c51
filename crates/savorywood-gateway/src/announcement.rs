//! What an upstream announces of itself in the heads of its responses.

use crate::upstream_limit::RateLimit;
use std::time::Duration;

/// Announcements of one response head.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamAnnouncement {
    /// The upstream leaves and wants no new requests. It holds for its incarnation.
    pub leaving: bool,
    /// Time for which the upstream wants no requests of this daemon; present when it turned one
    /// away.
    pub pause: Option<Duration>,
    /// Rate of requests, of all daemons together, beyond which turning them away makes the
    /// upstream fail; present while it is limited so.
    pub max_rejections: Option<RateLimit>,
    /// The upstream turned this request away.
    pub turned_away: bool,
}

impl UpstreamAnnouncement {
    /// Returns whether the head announces nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self.leaving && self.pause.is_none() && self.max_rejections.is_none()
    }
}
