//! Names and resources of a run.

use crate::deployment::DeploymentShape;
use savorywood_core::ConfigView;
use savorywood_protocol::{
    ConfigRevision, HostName, NameError, ServiceName, TeamName, UpstreamName, ZoneName,
    resource::{
        ResourceDocument, ResourceSpec, ServiceObjectives, ServiceProtocol, ServiceSpec,
        UpstreamSpec,
    },
};
use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
};

/// Seats declared for every engine: its operator does not know better.
pub const DECLARED_SEATS: u32 = 16;
/// Batch tokens declared for every engine.
const DECLARED_TOKENS: u32 = 65_536;

/// Names by index.
#[derive(Debug, Clone)]
pub struct NameBook {
    /// The model service.
    pub service: ServiceName,
    /// Daemons' hosts.
    pub hosts: Vec<HostName>,
    /// Engines.
    pub upstreams: Vec<UpstreamName>,
    /// Teams.
    pub teams: Vec<TeamName>,
    /// Availability zones.
    pub zones: Vec<ZoneName>,
}

impl NameBook {
    /// Names of a deployment.
    ///
    /// # Errors
    ///
    /// When a name of the deployment is not one.
    pub fn new(shape: &DeploymentShape) -> Result<Self, NameError> {
        let upstreams = 0..shape.engines.len();
        let zones = 0..shape.zones;
        Ok(Self {
            service: "model".parse()?,
            hosts: (0..shape.daemons)
                .map(|index| format!("host-{index}").parse())
                .collect::<Result<_, _>>()?,
            upstreams: upstreams
                .map(|index| format!("engine-{index:03}").parse())
                .collect::<Result<_, _>>()?,
            teams: shape
                .teams
                .iter()
                .map(|team| team.name.parse())
                .collect::<Result<_, _>>()?,
            zones: zones
                .map(|index| format!("zone-{index}").parse())
                .collect::<Result<_, _>>()?,
        })
    }

    /// Configuration of a deployment.
    ///
    /// # Errors
    ///
    /// When a name of the deployment is not one.
    pub fn config(&self, shape: &DeploymentShape) -> Result<ConfigView, NameError> {
        let mut view = ConfigView::default();
        let service = ServiceSpec {
            protocol: ServiceProtocol::Model,
            objectives: ServiceObjectives::default(),
            routes: Vec::new(),
            claims: Default::default(),
            version: None,
        };
        view.insert(document(
            self.service.as_str(),
            ResourceSpec::Service(service),
        ))?;
        for (name, engine) in self.upstreams.iter().zip(&shape.engines) {
            let spec = UpstreamSpec {
                address: SocketAddr::from((Ipv4Addr::LOCALHOST, 80)),
                service: self.service.clone(),
                version: "v1".parse()?,
                zone: self.zones[engine.zone].clone(),
                generation: engine.generation.to_string(),
                slots: DECLARED_SEATS,
                batch_tokens: DECLARED_TOKENS,
                checks_fencing: false,
                extensions: BTreeSet::new(),
                draining: false,
                host: None,
            };
            view.insert(document(name.as_str(), ResourceSpec::Upstream(spec)))?;
        }
        view.revision = ConfigRevision(1);
        Ok(view)
    }
}

fn document(name: &str, spec: ResourceSpec) -> ResourceDocument {
    ResourceDocument {
        name: name.to_owned(),
        spec,
        revision: None,
        status: None,
    }
}
