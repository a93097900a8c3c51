//! The configuration in force, indexed for look-ups.

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

/// All resources in force at one revision, indexed by kind and name.
#[derive(Debug, Clone, Default)]
pub struct ConfigView {
    /// Revision of the newest change that was applied.
    pub revision: ConfigRevision,
    /// Specs of the services.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Specs of the tiers.
    pub tiers: BTreeMap<TierName, TierSpec>,
    /// Specs of the teams.
    pub teams: BTreeMap<TeamName, TeamSpec>,
    /// Specs of the upstreams, of all services.
    pub upstreams: BTreeMap<UpstreamName, UpstreamSpec>,
    /// Specs of the versions, of all services.
    pub versions: BTreeMap<VersionName, VersionSpec>,
    /// Specs of the traffic moves, ended ones included until they are deleted.
    pub moves: BTreeMap<MoveName, TrafficMoveSpec>,
    /// All resource documents as written by operators, for reads and watches.
    pub documents: BTreeMap<ResourceKey, ResourceDocument>,
    tokens: BTreeMap<TokenDigest, TeamName>,
    upstreams_by_service: BTreeMap<ServiceName, BTreeSet<UpstreamName>>,
}

impl ConfigView {
    /// Inserts or replaces a resource.
    ///
    /// # Errors
    ///
    /// When the document's name is not a valid resource name.
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

    /// Removes a resource. Does nothing if it does not exist.
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

    /// Returns the team that a token belongs to. The look-up compares digests of tokens, so its
    /// timing does not reveal anything about valid tokens.
    #[must_use]
    pub fn team_of(&self, token: &TokenDigest) -> Option<&TeamName> {
        self.tokens.get(token)
    }

    /// Returns the names of a service's upstreams, in lexical order.
    pub fn upstreams_of(&self, service: &ServiceName) -> impl Iterator<Item = &UpstreamName> {
        self.upstreams_by_service.get(service).into_iter().flatten()
    }

    /// Returns the rank of a tier; `None` if the tier does not exist. A smaller rank is
    /// a higher tier.
    #[must_use]
    pub fn rank_of(&self, tier: &TierName) -> Option<TierRank> {
        self.tiers.get(tier).map(|spec| spec.rank)
    }
}

/// Parses a SHA-256 digest from 64 hexadecimal digits.
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
