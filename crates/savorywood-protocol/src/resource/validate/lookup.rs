//! Look-ups of resources that other resources refer to.

use super::{ResourceSet, ValidationError};
use crate::{
    ServiceName, VersionName,
    resource::{
        ResourceDocument, ResourceKey, ResourceKind, ResourceSpec, TeamSpec, TierSpec,
        TrafficMoveSpec, UpstreamSpec, VersionSpec,
    },
};
use std::collections::BTreeMap;
use strum::IntoEnumIterator;

/// Maximum number of names listed in an error message.
const MAX_LISTED_NAMES: usize = 6;

/// Teams by the digest of their token, for the validation of complete sets. Comparing each team
/// with all others would take seconds with 24,000 teams.
pub(super) struct TokenIndex<'a> {
    teams_by_digest: BTreeMap<String, Vec<&'a str>>,
}

impl<'a> TokenIndex<'a> {
    pub(super) fn new(set: &'a ResourceSet) -> Self {
        let mut teams_by_digest: BTreeMap<String, Vec<&'a str>> = BTreeMap::new();
        for document in of_kind(set, ResourceKind::Team) {
            if let ResourceSpec::Team(spec) = &document.spec {
                let digest = spec.token_sha256.to_ascii_lowercase();
                teams_by_digest
                    .entry(digest)
                    .or_default()
                    .push(&document.name);
            }
        }
        Self { teams_by_digest }
    }
}

/// The other resources of a set, from the view of one document, which is excluded.
pub(super) struct ResourceLookup<'a> {
    document: &'a ResourceDocument,
    document_key: ResourceKey,
    set: &'a ResourceSet,
    index: Option<&'a TokenIndex<'a>>,
}

impl<'a> ResourceLookup<'a> {
    pub(super) fn new(document: &'a ResourceDocument, set: &'a ResourceSet) -> Self {
        Self {
            document,
            document_key: document.key(),
            set,
            index: None,
        }
    }

    /// Adds an index of the set. The set then contains the checked document itself instead of a
    /// previous version of it.
    pub(super) fn with_index(self, index: &'a TokenIndex<'a>) -> Self {
        Self {
            index: Some(index),
            ..self
        }
    }

    /// Returns the name of the checked document.
    pub(super) fn document_name(&self) -> &'a str {
        &self.document.name
    }

    /// Returns the version of the document before the write; `None` when it is new.
    pub(super) fn previous(&self) -> Option<&'a ResourceDocument> {
        match self.index {
            Some(_) => None,
            None => self.set.get(&self.document_key),
        }
    }

    /// Returns another team whose token has this digest.
    pub(super) fn other_team_with_token(&self, token_sha256: &str) -> Option<&'a str> {
        match self.index {
            Some(index) => {
                let teams = index
                    .teams_by_digest
                    .get(&token_sha256.to_ascii_lowercase())?;
                let others = teams.iter().copied();
                others
                    .into_iter()
                    .find(|name| *name != self.document_name())
            }
            None => self
                .teams()
                .find(|(_, other)| other.token_sha256.eq_ignore_ascii_case(token_sha256))
                .map(|(name, _)| name),
        }
    }

    fn others(&self, kind: ResourceKind) -> impl Iterator<Item = &'a ResourceDocument> {
        let document_name =
            (self.document_key.kind == kind).then_some(self.document_key.name.as_str());
        of_kind(self.set, kind)
            .filter(move |document| Some(document.name.as_str()) != document_name)
    }

    pub(super) fn tiers(&self) -> impl Iterator<Item = (&'a str, &'a TierSpec)> {
        let others = self.others(ResourceKind::Tier);
        others.filter_map(|document| match &document.spec {
            ResourceSpec::Tier(spec) => Some((document.name.as_str(), spec)),
            _ => None,
        })
    }

    fn teams(&self) -> impl Iterator<Item = (&'a str, &'a TeamSpec)> {
        let others = self.others(ResourceKind::Team);
        others.filter_map(|document| match &document.spec {
            ResourceSpec::Team(spec) => Some((document.name.as_str(), spec)),
            _ => None,
        })
    }

    pub(super) fn upstreams(&self) -> impl Iterator<Item = (&'a str, &'a UpstreamSpec)> {
        let others = self.others(ResourceKind::Upstream);
        others.filter_map(|document| match &document.spec {
            ResourceSpec::Upstream(spec) => Some((document.name.as_str(), spec)),
            _ => None,
        })
    }

    pub(super) fn moves(
        &self,
    ) -> impl Iterator<Item = (&'a ResourceDocument, &'a TrafficMoveSpec)> {
        let others = self.others(ResourceKind::Move);
        others.filter_map(|document| match &document.spec {
            ResourceSpec::Move(spec) => Some((document, spec)),
            _ => None,
        })
    }

    fn version(&self, name: &VersionName) -> Option<&'a VersionSpec> {
        match &self.get(ResourceKind::Version, name.as_str())?.spec {
            ResourceSpec::Version(spec) => Some(spec),
            _ => None,
        }
    }

    fn get(&self, kind: ResourceKind, name: &str) -> Option<&'a ResourceDocument> {
        let name = name.to_owned();
        self.set.get(&ResourceKey { kind, name })
    }

    /// Checks that a resource exists, adds an error otherwise, and returns whether it exists.
    pub(super) fn check_exists(
        &self,
        path: &str,
        kind: ResourceKind,
        name: &str,
        errors: &mut Vec<ValidationError>,
    ) -> bool {
        let found = self.get(kind, name).is_some();
        if !found {
            let existing: Vec<_> = of_kind(self.set, kind).map(|d| d.name.clone()).collect();
            errors.push(ValidationError::new(
                path,
                format!(
                    "there is no {kind} `{name}`; allowed: {}",
                    join_names(&existing)
                ),
                format!("create the {kind} first, or choose an existing one"),
            ));
        }
        found
    }

    pub(super) fn check_service(
        &self,
        path: &str,
        service: &ServiceName,
        errors: &mut Vec<ValidationError>,
    ) {
        self.check_exists(path, ResourceKind::Service, service.as_str(), errors);
    }

    /// Checks that a version exists and belongs to `service`.
    pub(super) fn check_version(
        &self,
        path: &str,
        version: &VersionName,
        service: &str,
        errors: &mut Vec<ValidationError>,
    ) {
        let kind = ResourceKind::Version;
        if !self.check_exists(path, kind, version.as_str(), errors) {
            return;
        }
        let Some(spec) = self.version(version) else {
            return;
        };
        if spec.service.as_str() != service {
            let candidates: Vec<_> = of_kind(self.set, kind)
                .filter(|d| matches!(&d.spec, ResourceSpec::Version(v) if v.service.as_str() == service))
                .map(|d| d.name.clone())
                .collect();
            errors.push(ValidationError::new(
                path,
                format!(
                    "version `{version}` belongs to service `{}`, not `{service}`; allowed: {}",
                    spec.service,
                    join_names(&candidates)
                ),
                format!("choose a version of `{service}`"),
            ));
        }
    }

    /// Returns the resources that refer to the checked version under another service than `service`.
    pub(super) fn users_of_version_outside(&self, service: &ServiceName) -> Vec<String> {
        let Ok(document_name) = self.document_name().parse() else {
            return Vec::new();
        };
        let users = users_of_version(self.set, &document_name);
        let outside = users.filter(|(_, used_in)| *used_in != service.as_str());
        outside.map(|(key, _)| key.to_string()).collect()
    }
}

/// Returns all resources of a kind. The set is ordered by kind, so this doesn't iterate over the
/// others.
pub(super) fn of_kind(
    set: &ResourceSet,
    kind: ResourceKind,
) -> impl Iterator<Item = &ResourceDocument> {
    let key = |kind| ResourceKey {
        kind,
        name: String::new(),
    };
    let after = ResourceKind::iter().find(|other| *other > kind);
    let from = set.range(key(kind)..);
    let end = after.map(key);
    from.take_while(move |(key, _)| end.as_ref().is_none_or(|end| *key < end))
        .map(|(_, document)| document)
}

/// Returns the resources that refer to a version, with the service under which they do.
pub(super) fn users_of_version<'a>(
    set: &'a ResourceSet,
    version: &VersionName,
) -> impl Iterator<Item = (ResourceKey, &'a str)> {
    let kinds = [
        ResourceKind::Service,
        ResourceKind::Upstream,
        ResourceKind::Move,
    ];
    let documents = kinds.into_iter().flat_map(|kind| of_kind(set, kind));
    documents.filter_map(move |document| {
        let service = match &document.spec {
            ResourceSpec::Service(spec) if spec.version.as_ref() == Some(version) => &document.name,
            ResourceSpec::Upstream(spec) if spec.version == *version => spec.service.as_str(),
            ResourceSpec::Move(spec) if spec.from == *version || spec.to == *version => {
                spec.service.as_str()
            }
            _ => return None,
        };
        Some((document.key(), service))
    })
}

/// Joins the first [`MAX_LISTED_NAMES`] names, followed by the number of further ones.
pub(super) fn join_names(names: &[String]) -> String {
    let shown = names.get(..MAX_LISTED_NAMES).unwrap_or(names).join(", ");
    match names.len().saturating_sub(MAX_LISTED_NAMES) {
        0 if names.is_empty() => "none yet".to_owned(),
        0 => shown,
        more => format!("{shown} and {more} more"),
    }
}
