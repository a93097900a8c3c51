//! Validation of teams.

use super::{ValidationError, lookup::ResourceLookup};
use crate::resource::{ResourceKind, TeamSpec};

/// Length of a SHA-256 digest in hexadecimal digits.
const DIGEST_DIGITS: usize = 64;

/// Maximum weight. A team with a share of one in a million is practically starved.
const MAX_WEIGHT: u32 = 1_000_000;

pub(super) fn check(
    spec: &TeamSpec,
    lookup: &ResourceLookup<'_>,
    errors: &mut Vec<ValidationError>,
) {
    check_token(spec, lookup, errors);
    check_tiers(spec, lookup, errors);
    if !(1..=MAX_WEIGHT).contains(&spec.weight) {
        errors.push(ValidationError::new(
            "spec.weight",
            format!(
                "{} is out of range; allowed: 1 to {MAX_WEIGHT}",
                spec.weight
            ),
            "write the weight relative to other teams, 1 for an equal share",
        ));
    }
}

fn check_token(spec: &TeamSpec, lookup: &ResourceLookup<'_>, errors: &mut Vec<ValidationError>) {
    let digest = &spec.token_sha256;
    let path = "spec.token_sha256";
    let hexadecimal = digest.chars().all(|c| c.is_ascii_hexdigit());
    if digest.len() != DIGEST_DIGITS || !hexadecimal {
        // The message omits the text, since it may be the token itself.
        errors.push(ValidationError::new(
            path,
            format!("not a SHA-256; allowed: {DIGEST_DIGITS} hexadecimal digits"),
            "write the digest, as from `printf %s TOKEN | sha256sum`",
        ));
        return;
    }
    // Requests with a token of two teams couldn't be attributed to either.
    if let Some(other_team) = lookup.other_team_with_token(digest) {
        errors.push(ValidationError::new(
            path,
            format!("team `{other_team}` has this token too; each token is allowed once"),
            "give the team a token of its own",
        ));
    }
}

fn check_tiers(spec: &TeamSpec, lookup: &ResourceLookup<'_>, errors: &mut Vec<ValidationError>) {
    if spec.tiers.is_empty() {
        errors.push(ValidationError::new(
            "spec.tiers",
            "a team without tiers can send no requests; allowed: one tier or more",
            "write the tier of its requests",
        ));
    }
    for (index, tier) in spec.tiers.iter().enumerate() {
        let path = format!("spec.tiers.{index}");
        if spec.tiers[..index].contains(tier) {
            errors.push(ValidationError::new(
                path,
                format!("tier `{tier}` is listed twice; each is allowed once"),
                "delete one of the two",
            ));
        } else {
            lookup.check_exists(&path, ResourceKind::Tier, tier.as_str(), errors);
        }
    }
}
