//! Checks of teams.

use super::{ValidationError, lookup::ResourceLookup};
use crate::resource::{ResourceKind, TeamSpec};

/// Hexadecimal digits of a SHA-256.
const DIGEST_DIGITS: usize = 64;

/// Largest weight. Shares of one in a million starve a team for all that can be seen.
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
            "write the share relative to other teams, 1 for an equal one",
        ));
    }
}

fn check_token(spec: &TeamSpec, lookup: &ResourceLookup<'_>, errors: &mut Vec<ValidationError>) {
    let digest = &spec.token_sha256;
    let path = "spec.token_sha256";
    let hexadecimal = digest.chars().all(|c| c.is_ascii_hexdigit());
    if digest.len() != DIGEST_DIGITS || !hexadecimal {
        // The text is left out of the message: it may be the token itself.
        errors.push(ValidationError::new(
            path,
            format!("not a SHA-256; allowed: {DIGEST_DIGITS} hexadecimal digits"),
            "write the digest, as from `printf %s TOKEN | sha256sum`",
        ));
        return;
    }
    // Whoever sends the token would be taken for one team or the other by chance.
    if let Some(holder) = lookup.other_team_with_token(digest) {
        errors.push(ValidationError::new(
            path,
            format!("team `{holder}` holds this token; each token is allowed once"),
            "give the team a token of its own",
        ));
    }
}

fn check_tiers(spec: &TeamSpec, lookup: &ResourceLookup<'_>, errors: &mut Vec<ValidationError>) {
    if spec.tiers.is_empty() {
        errors.push(ValidationError::new(
            "spec.tiers",
            "a team without tiers can ask for nothing; allowed: one tier or more",
            "name the tier that its requests get",
        ));
    }
    for (index, tier) in spec.tiers.iter().enumerate() {
        let path = format!("spec.tiers.{index}");
        if spec.tiers[..index].contains(tier) {
            errors.push(ValidationError::new(
                path,
                format!("tier `{tier}` is named twice; each is allowed once"),
                "delete one of the two",
            ));
        } else {
            lookup.check_exists(&path, ResourceKind::Tier, tier.as_str(), errors);
        }
    }
}
