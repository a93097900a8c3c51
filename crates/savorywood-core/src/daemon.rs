//! The whole daemon: one reducer over all events.

use crate::{
    effect::{DaemonEffect, EffectQueue},
    event::{CallerEvent, DaemonEvent, DutyKind},
    intake,
    request::RequestArrival,
    scheduler::{RequestScheduler, SchedulerEvent, SchedulerView},
    view::{ConfigView, MemberView},
};
use savorywood_protocol::{
    ConfigRevision, CoreTime, HostIncarnation, HostName, RefusalCode, RegionName, RequestRefusal,
    ZoneName, resource::ResourceDocument,
};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

/// What a daemon knows of itself from its settings.
#[derive(Debug, Clone)]
pub struct CoreOptions {
    /// Host it runs on.
    pub host: HostName,
    /// Its life; larger after a restart.
    pub incarnation: HostIncarnation,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Seed of all its random numbers.
    pub seed: u64,
}

/// State of one daemon.
#[derive(Debug)]
pub struct DaemonCore {
    options: CoreOptions,
    config: Arc<ConfigView>,
    members: MemberView,
    scheduler: RequestScheduler,
    stopping: bool,
}

impl DaemonCore {
    /// A daemon that has not begun.
    #[must_use]
    pub fn new(options: CoreOptions) -> Self {
        Self {
            options,
            config: Arc::default(),
            members: MemberView::default(),
            scheduler: RequestScheduler::default(),
            stopping: false,
        }
    }

    /// Configuration in force.
    #[must_use]
    pub fn config(&self) -> &Arc<ConfigView> {
        &self.config
    }

    /// Daemons known.
    #[must_use]
    pub fn members(&self) -> &MemberView {
        &self.members
    }

    /// Whether new work is taken; if not, why.
    ///
    /// # Errors
    ///
    /// Names the reason in one word.
    pub fn readiness(&self, _now: CoreTime) -> Result<(), &'static str> {
        if self.stopping {
            return Err("stopping");
        }
        if self.config.revision == ConfigRevision::default() {
            return Err("no-configuration");
        }
        Ok(())
    }

    /// A resource with what the system says of it now.
    #[must_use]
    pub fn with_status(&self, _now: CoreTime, document: &ResourceDocument) -> ResourceDocument {
        document.clone()
    }

    /// Puts a configuration in force without the table, for embedding and tests.
    pub fn install_config(&mut self, now: CoreTime, config: ConfigView, effects: &mut EffectQueue) {
        self.config = Arc::new(config);
        effects.push(DaemonEffect::ConfigChanged);
        self.schedule(now, SchedulerEvent::ViewChanged, effects);
    }

    /// Handles one event.
    pub fn step(&mut self, now: CoreTime, event: DaemonEvent, effects: &mut EffectQueue) {
        match event {
            DaemonEvent::Caller(CallerEvent::Arrived(arrival)) => {
                self.arrive(now, &arrival, effects);
            }
            DaemonEvent::Caller(CallerEvent::Left { request }) => {
                self.schedule(now, SchedulerEvent::CallerLeft { request }, effects);
            }
            DaemonEvent::Upstream(event) => {
                self.schedule(now, SchedulerEvent::Upstream(event), effects);
            }
            DaemonEvent::TimerFired(key) => match key.duty {
                DutyKind::Scheduler => {
                    let event = SchedulerEvent::TimerFired { number: key.number };
                    self.schedule(now, event, effects);
                }
                DutyKind::Credits
                | DutyKind::Membership
                | DutyKind::Config
                | DutyKind::Leases
                | DutyKind::Moves
                | DutyKind::Orders
                | DutyKind::Claims
                | DutyKind::Stop => {}
            },
            DaemonEvent::StopRequested => self.stopping = true,
            DaemonEvent::Caller(CallerEvent::Resumed(_))
            | DaemonEvent::Started
            | DaemonEvent::Peer { .. }
            | DaemonEvent::Table { .. }
            | DaemonEvent::Operator { .. }
            | DaemonEvent::SnapshotFetched { .. }
            | DaemonEvent::OrderAnswered { .. }
            | DaemonEvent::AnswerKept { .. }
            | DaemonEvent::HostsListed(_) => {}
        }
        if self.stopping && self.scheduler.open_requests() == 0 {
            effects.push(DaemonEffect::Exit);
        }
    }

    fn arrive(&mut self, now: CoreTime, arrival: &RequestArrival, effects: &mut EffectQueue) {
        match intake::resolve(now.monotonic, arrival, &self.config) {
            Ok(request) if request.idempotent => {
                let event = SchedulerEvent::Arrived(Box::new(request));
                self.schedule(now, event, effects);
            }
            Ok(request) => {
                let detail = "claims need the table service, which is not connected";
                let refusal = RequestRefusal::not_run(RefusalCode::StoreUnavailable, detail);
                effects.refuse(request.request, refusal);
            }
            Err(refusal) => effects.refuse(arrival.request, refusal),
        }
    }

    fn schedule(&mut self, now: CoreTime, event: SchedulerEvent, effects: &mut EffectQueue) {
        let view = SchedulerView {
            config: &self.config,
            zone: &self.options.zone,
            splits: &BTreeMap::new(),
            grants: &BTreeMap::new(),
            floors: &BTreeMap::new(),
        };
        self.scheduler.step(now, event, view, effects);
    }
}
