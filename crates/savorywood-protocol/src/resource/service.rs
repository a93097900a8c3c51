//! Services that callers name.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantNames};

/// How callers and upstreams of a service talk.
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
    /// Token streams by the OpenAI-compatible protocol.
    Model,
    /// Any HTTP calls, passed through.
    Plain,
}

/// Targets that the burn report measures against and admission plans with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceObjectives {
    /// Time to the first token (model) or byte (plain).
    pub first_token_ms: u32,
    /// Time between two tokens.
    pub token_gap_ms: u32,
    /// Deadline of a request that names none.
    pub deadline_ms: u32,
    /// Share of requests that must meet the objective, in thousandths.
    pub target_per_mille: u16,
}

impl Default for ServiceObjectives {
    /// The figures of the users' plan: 1.6 s, 79 ms, for 95 in 100.
    fn default() -> Self {
        Self {
            first_token_ms: 1_600,
            token_gap_ms: 79,
            deadline_ms: 60_000,
            target_per_mille: 950,
        }
    }
}

/// How long claims of idempotency keys are kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimRetention {
    /// For good: keys need not carry a time.
    Forever,
    /// For this many seconds: keys must be version 7 UUIDs, older ones are refused.
    Seconds(u32),
}

impl Default for ClaimRetention {
    /// One day, longer than any retry that callers are told to make.
    fn default() -> Self {
        Self::Seconds(86_400)
    }
}

/// Says of a group of paths whether calls may be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// Path prefix within the service, with a leading slash.
    pub path: String,
    /// HTTP methods the rule is for; empty for all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Whether a call may run twice without harm.
    pub idempotent: bool,
}

/// Spec of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// How it talks.
    pub protocol: ServiceProtocol,
    /// Targets.
    #[serde(default)]
    pub objectives: ServiceObjectives,
    /// First matching rule wins; without one, `GET`, `HEAD`, `OPTIONS`, `PUT` and `DELETE` are
    /// idempotent as in RFC 9110 and others are not. Model services need no rules.
    #[serde(default)]
    pub routes: Vec<RouteRule>,
    /// How long claims are kept.
    #[serde(default)]
    pub claims: ClaimRetention,
    /// Version that takes traffic when no move is under way; `None` for any.
    #[serde(default)]
    pub version: Option<crate::VersionName>,
}

impl ServiceSpec {
    /// Whether a call of `method` on `path` may run twice without harm.
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
    /// Whether this rule is for a call of `method` on `path`.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let any_method = self.methods.is_empty();
        path.starts_with(&self.path) && (any_method || self.methods.iter().any(|m| m == method))
    }
}
