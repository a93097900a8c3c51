//! Validation of services.

use super::{ValidationError, lookup::ResourceLookup};
use crate::resource::{ClaimRetention, RouteRule, ServiceObjectives, ServiceProtocol, ServiceSpec};

/// Minimum retention of claims, in seconds. The last retry of a caller must still find the claim
/// of the first call, or it would be executed again.
const MIN_CLAIM_SECONDS: u32 = 3_600;

/// Maximum target, in thousandths. A target of all requests leaves an error budget of zero, by
/// which burn rates would be divided.
const MAX_TARGET_PER_MILLE: u16 = 999;

pub(super) fn check(
    spec: &ServiceSpec,
    lookup: &ResourceLookup<'_>,
    errors: &mut Vec<ValidationError>,
) {
    if let Some(version) = &spec.version {
        lookup.check_version("spec.version", version, lookup.document_name(), errors);
    }
    check_objectives(&spec.objectives, errors);
    check_claims(spec.claims, errors);
    if spec.protocol == ServiceProtocol::Model && !spec.routes.is_empty() {
        errors.push(ValidationError::new(
            "spec.routes",
            "a model service has no route rules; rules are allowed with protocol `plain`",
            "delete the rules, or set the protocol to `plain`",
        ));
    }
    for (index, rule) in spec.routes.iter().enumerate() {
        check_rule(index, rule, &spec.routes[..index], errors);
    }
}

fn check_objectives(objectives: &ServiceObjectives, errors: &mut Vec<ValidationError>) {
    let times = [
        ("first_token_ms", objectives.first_token_ms),
        ("token_gap_ms", objectives.token_gap_ms),
        ("deadline_ms", objectives.deadline_ms),
    ];
    for (name, _) in times.into_iter().filter(|(_, millis)| *millis == 0) {
        errors.push(ValidationError::new(
            format!("spec.objectives.{name}"),
            "no request meets zero milliseconds; allowed: 1 or more",
            "write the time in milliseconds",
        ));
    }
    let (first, deadline) = (objectives.first_token_ms, objectives.deadline_ms);
    if deadline != 0 && deadline < first {
        errors.push(ValidationError::new(
            "spec.objectives.deadline_ms",
            format!("the deadline ends before the first token is due; allowed: {first} or more"),
            "raise deadline_ms or lower first_token_ms",
        ));
    }
    let target = objectives.target_per_mille;
    if !(1..=MAX_TARGET_PER_MILLE).contains(&target) {
        errors.push(ValidationError::new(
            "spec.objectives.target_per_mille",
            format!("{target} is out of range; allowed: 1 to {MAX_TARGET_PER_MILLE}"),
            "write the fraction of requests in thousandths, such as 950",
        ));
    }
}

fn check_claims(claims: ClaimRetention, errors: &mut Vec<ValidationError>) {
    let ClaimRetention::Seconds(seconds) = claims else {
        return;
    };
    // If a claim expires before the caller's last retry, that retry is executed a second time.
    if seconds < MIN_CLAIM_SECONDS {
        errors.push(ValidationError::new(
            "spec.claims.seconds",
            format!(
                "a retry after {seconds} s would be executed again; allowed: \
                 {MIN_CLAIM_SECONDS} or more, or \"forever\""
            ),
            "write a time longer than callers keep retrying",
        ));
    }
}

fn check_rule(
    index: usize,
    rule: &RouteRule,
    earlier: &[RouteRule],
    errors: &mut Vec<ValidationError>,
) {
    let path = format!("spec.routes.{index}");
    if !rule.path.starts_with('/') {
        errors.push(ValidationError::new(
            format!("{path}.path"),
            format!(
                "`{}` has no leading slash; allowed: paths such as /v1/notes",
                rule.path
            ),
            format!("write `/{}`", rule.path),
        ));
    }
    for (place, method) in rule.methods.iter().enumerate() {
        let valid = !method.is_empty() && method.chars().all(|c| c.is_ascii_uppercase());
        if !valid {
            errors.push(ValidationError::new(
                format!("{path}.methods.{place}"),
                format!("`{method}` is not a method; allowed: capital letters, such as POST"),
                format!("write `{}`", method.to_ascii_uppercase()),
            ));
        }
    }
    // The first matching rule applies, so a rule after a wider one has no effect: a call that it
    // declares as not idempotent would be treated as idempotent, and could be executed twice.
    let wider = earlier.iter().position(|other| covers(other, rule));
    if let Some(wider) = wider {
        errors.push(ValidationError::new(
            path,
            format!("rule {wider} matches all that this rule matches, so it has no effect"),
            format!("move it before rule {wider}, or delete it"),
        ));
    }
}

/// Returns whether `wider` matches every call that `narrower` matches.
fn covers(wider: &RouteRule, narrower: &RouteRule) -> bool {
    let any_method = wider.methods.is_empty();
    let methods = &narrower.methods;
    let all_methods = !methods.is_empty() && methods.iter().all(|m| wider.methods.contains(m));
    narrower.path.starts_with(&wider.path) && (any_method || all_methods)
}
