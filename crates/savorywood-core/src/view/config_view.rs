//! The configuration in force, indexed for decisions.

use crate::request::TokenDigest;
use savorywood_protocol::{
    ConfigRevision, MoveName, NameError, ServiceName, TeamName, TierName, TierRank, UpstreamName,
    VersionName,
    resource::{
        ResourceDocument, ResourceKey, ResourceSpec, ServiceSpec, TeamSpec, TierSpec,
        TrafficMoveSpec, UpstreamSpec, VersionSpec,
    },
};
use std::collections::{BTreeMap, BTreeSet};

/// Resources in force at one revision.
#[derive(Debug, Clone, Default)]
pub struct ConfigView {
    /// Newest revision applied.
    pub revision: ConfigRevision,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Tiers by name.
    pub tiers: BTreeMap<TierName, TierSpec>,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, TeamSpec>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<UpstreamName, UpstreamSpec>,
    /// Versions by name.
    pub versions: BTreeMap<VersionName, VersionSpec>,
    /// Moves by name.
    pub moves: BTreeMap<MoveName, TrafficMoveSpec>,
    /// All documents as written, for reads and watches.
    pub documents: BTreeMap<ResourceKey, ResourceDocument>,
    tokens: BTreeMap<TokenDigest, TeamName>,
    upstreams_by_service: BTreeMap<ServiceName, BTreeSet<UpstreamName>>,
}

impl ConfigView {
    /// Adds or replaces a resource.
    ///
    /// # Errors
    ///
    /// When the document's name is not a name.
    pub fn insert(&mut self, document: ResourceDocument) -> Result<(), NameError> {
        savorywood_protocol::name::check_name(&document.name)?;
        self.remove(&document.key());
        let name = document.name.as_str();
        match &document.spec {
            ResourceSpec::Service(spec) => {
                self.services.insert(name.parse()?, spec.clone());
            }
            ResourceSpec::Tier(spec) => {
                self.tiers.insert(name.parse()?, spec.clone());
            }
            ResourceSpec::Team(spec) => self.insert_team(name.parse()?, spec),
            ResourceSpec::Upstream(spec) => self.insert_upstream(name.parse()?, spec),
            ResourceSpec::Version(spec) => {
                self.versions.insert(name.parse()?, spec.clone());
            }
            ResourceSpec::Move(spec) => {
                self.moves.insert(name.parse()?, spec.clone());
            }
        }
        self.documents.insert(document.key(), document);
        Ok(())
    }

    fn insert_team(&mut self, name: TeamName, spec: &TeamSpec) {
        if let Some(digest) = parse_digest(&spec.token_sha256) {
            self.tokens.insert(digest, name.clone());
        }
        self.teams.insert(name, spec.clone());
    }

    fn insert_upstream(&mut self, name: UpstreamName, spec: &UpstreamSpec) {
        let names = self
            .upstreams_by_service
            .entry(spec.service.clone())
            .or_default();
        names.insert(name.clone());
        self.upstreams.insert(name, spec.clone());
    }

    /// Removes a resource; absent ones are no error.
    pub fn remove(&mut self, key: &ResourceKey) {
        let Some(document) = self.documents.remove(key) else {
            return;
        };
        let name = key.name.as_str();
        match &document.spec {
            ResourceSpec::Service(_) => {
                self.services.remove(name);
            }
            ResourceSpec::Tier(_) => {
                self.tiers.remove(name);
            }
            ResourceSpec::Team(spec) => {
                self.teams.remove(name);
                if let Some(digest) = parse_digest(&spec.token_sha256) {
                    self.tokens.remove(&digest);
                }
            }
            ResourceSpec::Upstream(spec) => {
                self.upstreams.remove(name);
                if let Some(names) = self.upstreams_by_service.get_mut(&spec.service) {
                    names.remove(name);
                }
            }
            ResourceSpec::Version(_) => {
                self.versions.remove(name);
            }
            ResourceSpec::Move(_) => {
                self.moves.remove(name);
            }
        }
    }

    /// Team that holds a token. Digests, not tokens, are compared: how long the look-up takes
    /// tells nothing of a token that an attacker does not hold.
    #[must_use]
    pub fn team_of(&self, token: &TokenDigest) -> Option<&TeamName> {
        self.tokens.get(token)
    }

    /// Names of a service's upstreams, in order.
    pub fn upstreams_of(&self, service: &ServiceName) -> impl Iterator<Item = &UpstreamName> {
        self.upstreams_by_service.get(service).into_iter().flatten()
    }

    /// Rank of a tier.
    #[must_use]
    pub fn rank_of(&self, tier: &TierName) -> Option<TierRank> {
        self.tiers.get(tier).map(|spec| spec.rank)
    }
}

/// Reads 64 hexadecimal digits.
fn parse_digest(text: &str) -> Option<TokenDigest> {
    let mut digest = [0; 32];
    if text.len() != 2 * digest.len() || !text.is_ascii() {
        return None;
    }
    for (byte, pair) in digest.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
        let pair = std::str::from_utf8(pair).ok()?;
        *byte = u8::from_str_radix(pair, 16).ok()?;
    }
    Some(TokenDigest(digest))
}
