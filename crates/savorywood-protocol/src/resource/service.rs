//! Services that callers address, with their objectives and routes.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantNames};

/// Protocol between callers and upstreams of a service.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
    VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ServiceProtocol {
    /// OpenAI-compatible API with token streams.
    Model,
    /// Arbitrary HTTP calls, forwarded unchanged.
    Plain,
}

/// Latency objectives, used by the burn report and by admission control.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceObjectives {
    /// Maximum time to the first token (model service) or byte (plain service), in milliseconds.
    pub first_token_ms: u32,
    /// Maximum mean time between tokens, in milliseconds.
    pub token_gap_ms: u32,
    /// Deadline of a request that sets none, in milliseconds after its arrival.
    pub deadline_ms: u32,
    /// Fraction of requests that must meet each objective, in thousandths.
    pub target_per_mille: u16,
}

impl Default for ServiceObjectives {
    /// The objectives in the users' plan: first token within 1.6 s and 79 ms between tokens, for
    /// 95 % of requests.
    fn default() -> Self {
        Self {
            first_token_ms: 1_600,
            token_gap_ms: 79,
            deadline_ms: 60_000,
            target_per_mille: 950,
        }
    }
}

/// Retention of claims. A claim records the use of an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimRetention {
    /// Claims are never deleted, so keys need no time stamp.
    Forever,
    /// Retention in seconds. Keys must be version 7 UUIDs, and keys older than this are refused.
    Seconds(u32),
}

impl Default for ClaimRetention {
    /// One day, which is longer than any retry that callers are asked to make.
    fn default() -> Self {
        Self::Seconds(86_400)
    }
}

/// Rule that declares whether calls of a group of paths are idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// Path prefix within the service, with a leading slash.
    pub path: String,
    /// HTTP methods that the rule matches; empty for all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Whether a call may be executed twice without harm.
    pub idempotent: bool,
}

/// Spec of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Protocol of callers and upstreams.
    pub protocol: ServiceProtocol,
    /// Latency objectives; defaults apply to omitted ones.
    #[serde(default)]
    pub objectives: ServiceObjectives,
    /// Route rules, of which the first match applies. Without a match, `GET`, `HEAD`, `OPTIONS`,
    /// `PUT` and `DELETE` are idempotent, as in RFC 9110, and other methods are not. Model
    /// services have no rules: all their calls are idempotent.
    #[serde(default)]
    pub routes: Vec<RouteRule>,
    /// Retention of claims of idempotency keys.
    #[serde(default)]
    pub claims: ClaimRetention,
    /// Version that gets the traffic while no move is in progress; `None` for any version.
    #[serde(default)]
    pub version: Option<crate::VersionName>,
}

impl ServiceSpec {
    /// Returns whether a call of `method` on `path` may be executed twice without harm.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        if self.protocol == ServiceProtocol::Model {
            return true;
        }
        let rule = self.routes.iter().find(|rule| rule.matches(method, path));
        match rule {
            Some(rule) => rule.idempotent,
            None => matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE"),
        }
    }
}

impl RouteRule {
    /// Returns whether this rule matches a call of `method` on `path`.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let any_method = self.methods.is_empty();
        path.starts_with(&self.path) && (any_method || self.methods.iter().any(|m| m == method))
    }
}
