//! Validation of resources beyond their JSON shape: value ranges, references and uniqueness.
//!
//! A check looks up the names that a resource refers to and, where a value has to be unique,
//! iterates over the other resources of the same kind. Resources of other kinds cost nothing, so
//! that a change of an upstream is as cheap with 24,000 teams as with five.

mod deletion;
mod lookup;
mod service;
mod team;
mod traffic_move;
mod upstream;

use super::{ResourceDocument, ResourceKey, ResourceSpec, TierSpec, VersionSpec};
use crate::{WallTime, name};
use lookup::{ResourceLookup, TokenIndex};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Validation error of a resource.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValidationError {
    /// Path of the member in the document, as names and indices joined by dots: `spec.tiers.0`.
    pub path: String,
    /// What is wrong, and which values are allowed.
    pub message: String,
    /// What to do to correct it.
    pub remedy: String,
}

impl ValidationError {
    fn new(path: impl Into<String>, message: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            message: message.into(),
            remedy: remedy.into(),
        }
    }
}

/// Resources by key, against which documents are validated.
pub type ResourceSet = BTreeMap<ResourceKey, ResourceDocument>;

/// Returns the errors of writing `document` into `others`; empty when the write is valid. `others`
/// may contain the previous version of the document.
#[must_use]
pub fn check_document(
    document: &ResourceDocument,
    others: &ResourceSet,
    now: WallTime,
) -> Vec<ValidationError> {
    check_with(&ResourceLookup::new(document, others), document, now)
}

/// Validation error of one resource of a set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SetValidationError {
    /// Key of the resource.
    pub key: ResourceKey,
    /// The validation error.
    pub error: ValidationError,
}

/// Returns the errors of all resources of a set, in the order of their keys. The set is validated
/// as if none of its resources existed before.
#[must_use]
pub fn check_set(set: &ResourceSet, now: WallTime) -> Vec<SetValidationError> {
    let index = TokenIndex::new(set);
    let mut errors = Vec::new();
    for (key, document) in set {
        let lookup = ResourceLookup::new(document, set).with_index(&index);
        let found = check_with(&lookup, document, now).into_iter();
        errors.extend(found.map(|error| SetValidationError {
            key: key.clone(),
            error,
        }));
    }
    errors
}

fn check_with(
    lookup: &ResourceLookup<'_>,
    document: &ResourceDocument,
    now: WallTime,
) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    if let Err(error) = name::check_name(&document.name) {
        let remedy = "rename the resource";
        errors.push(ValidationError::new("name", error.to_string(), remedy));
    }
    match &document.spec {
        ResourceSpec::Service(spec) => service::check(spec, lookup, &mut errors),
        ResourceSpec::Tier(spec) => check_tier(spec, lookup, &mut errors),
        ResourceSpec::Team(spec) => team::check(spec, lookup, &mut errors),
        ResourceSpec::Upstream(spec) => upstream::check(spec, lookup, &mut errors),
        ResourceSpec::Version(spec) => check_version(spec, lookup, &mut errors),
        ResourceSpec::Move(spec) => traffic_move::check(spec, lookup, now, &mut errors),
    }
    errors
}

/// Returns the errors of deleting the resource `key` from `others`, such as resources that still
/// refer to it.
#[must_use]
pub fn check_deletion(key: &ResourceKey, others: &ResourceSet) -> Vec<ValidationError> {
    deletion::check(key, others)
}

/// Checks that the rank is unique: with two tiers of one rank, the order of shedding is undefined.
fn check_tier(spec: &TierSpec, lookup: &ResourceLookup<'_>, errors: &mut Vec<ValidationError>) {
    let duplicate = lookup.tiers().find(|(_, other)| other.rank == spec.rank);
    if let Some((name, _)) = duplicate {
        let taken: Vec<_> = lookup.tiers().map(|(_, other)| other.rank.0).collect();
        let free = (0..=u8::MAX).find(|rank| !taken.contains(rank));
        errors.push(ValidationError::new(
            "spec.rank",
            format!(
                "tier `{name}` has rank {} too; each rank is allowed once",
                spec.rank
            ),
            free.map_or_else(
                || "delete a tier first".to_owned(),
                |free| format!("choose a free rank such as {free}"),
            ),
        ));
    }
}

fn check_version(
    spec: &VersionSpec,
    lookup: &ResourceLookup<'_>,
    errors: &mut Vec<ValidationError>,
) {
    lookup.check_service("spec.service", &spec.service, errors);
    if spec.weights.as_deref() == Some("") {
        errors.push(ValidationError::new(
            "spec.weights",
            "the key of the weights is empty; a key of the weight store is allowed, or none",
            "write the key, or omit the member",
        ));
    }
    // Resources that refer to a version rely on its service: an upstream would belong to another
    // service than its version, and get requests that it can't execute.
    let outside_users = lookup.users_of_version_outside(&spec.service);
    if !outside_users.is_empty() {
        errors.push(ValidationError::new(
            "spec.service",
            format!(
                "still referred to under its previous service by {}",
                lookup::join_names(&outside_users)
            ),
            "create a version with another name for the other service",
        ));
    }
}
