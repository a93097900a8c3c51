//! Validation of deletions.

use super::{ResourceSet, ValidationError, lookup};
use crate::resource::{ResourceDocument, ResourceKey, ResourceKind, ResourceSpec};

/// Returns the errors of deleting a resource. New documents with dangling references are refused,
/// so a deletion must not leave any either.
pub(super) fn check(key: &ResourceKey, others: &ResourceSet) -> Vec<ValidationError> {
    let users = match key.kind {
        ResourceKind::Service => users_of_service(key, others),
        ResourceKind::Tier => users_of_tier(key, others),
        ResourceKind::Version => users_of_version(key, others),
        ResourceKind::Team | ResourceKind::Upstream | ResourceKind::Move => Vec::new(),
    };
    if users.is_empty() {
        return Vec::new();
    }
    let error = ValidationError::new(
        "name",
        format!("still referred to by {}", lookup::join_names(&users)),
        "delete or change these first",
    );
    vec![error]
}

fn users_of_service(key: &ResourceKey, others: &ResourceSet) -> Vec<String> {
    let kinds = [
        ResourceKind::Upstream,
        ResourceKind::Version,
        ResourceKind::Move,
    ];
    let documents = kinds
        .into_iter()
        .flat_map(|kind| lookup::of_kind(others, kind));
    let users = documents.filter(|document| match &document.spec {
        ResourceSpec::Upstream(spec) => spec.service.as_str() == key.name,
        ResourceSpec::Version(spec) => spec.service.as_str() == key.name,
        ResourceSpec::Move(spec) => spec.service.as_str() == key.name,
        ResourceSpec::Service(_) | ResourceSpec::Tier(_) | ResourceSpec::Team(_) => false,
    });
    users.map(key_text).collect()
}

fn users_of_tier(key: &ResourceKey, others: &ResourceSet) -> Vec<String> {
    let teams = lookup::of_kind(others, ResourceKind::Team);
    let users = teams.filter(|document| match &document.spec {
        ResourceSpec::Team(spec) => spec.tiers.iter().any(|tier| tier.as_str() == key.name),
        _ => false,
    });
    users.map(key_text).collect()
}

fn users_of_version(key: &ResourceKey, others: &ResourceSet) -> Vec<String> {
    let Ok(version) = key.name.parse() else {
        return Vec::new();
    };
    let users = lookup::users_of_version(others, &version);
    users.map(|(key, _)| key.to_string()).collect()
}

fn key_text(document: &ResourceDocument) -> String {
    document.key().to_string()
}
