//! One scheduler with its view, stepped by hand.

use savorywood_core::{
    ConfigView, DaemonEffect, DispatchCommand, EffectQueue, InvariantViolation, PromptShape,
    QueuedRequest, ResponseReport, UpstreamEvent, VersionSplit,
    scheduler::{RequestScheduler, SchedulerEvent, SchedulerOptions, SchedulerView, SlotGrant},
};
use savorywood_protocol::{
    CoreTime, RequestId, RequestRefusal, ServiceName, TierRank, UpstreamName, ZoneName,
    resource::{ResourceDocument, ResourceSpec, ServiceSpec, UpstreamSpec},
};
use std::{collections::BTreeMap, time::Duration};

/// Service of all tests.
pub const SERVICE: &str = "delay-map";

/// A scheduler and all that it reads.
pub struct SchedulerBench {
    pub scheduler: RequestScheduler,
    pub config: ConfigView,
    pub zone: ZoneName,
    pub splits: BTreeMap<ServiceName, VersionSplit>,
    pub grants: BTreeMap<UpstreamName, SlotGrant>,
    pub floors: BTreeMap<ServiceName, TierRank>,
    pub now: CoreTime,
    pub effects: Vec<DaemonEffect>,
    next_request: u128,
}

/// A request to send.
#[derive(Debug, Clone)]
pub struct BenchRequest {
    pub team: &'static str,
    pub rank: u8,
    pub weight: u32,
    pub prompt_tokens: u32,
    pub prefix_hashes: Vec<u64>,
    pub deadline: Duration,
}

impl Default for BenchRequest {
    fn default() -> Self {
        Self {
            team: "resellers",
            rank: 1,
            weight: 1,
            prompt_tokens: 100,
            prefix_hashes: Vec::new(),
            deadline: Duration::from_secs(60),
        }
    }
}

impl SchedulerBench {
    /// A service with upstreams `u0`, `u1`, ... of `seats` each.
    pub fn new(upstreams: usize, seats: u32) -> Self {
        let mut bench = Self {
            scheduler: RequestScheduler::new(SchedulerOptions::new(7)),
            config: ConfigView::default(),
            zone: "a".parse().unwrap(),
            splits: BTreeMap::new(),
            grants: BTreeMap::new(),
            floors: BTreeMap::new(),
            now: CoreTime::default().after(Duration::from_secs(1_000)),
            effects: Vec::new(),
            next_request: 1,
        };
        let service: ServiceSpec = serde_json::from_str(r#"{"protocol":"model"}"#).unwrap();
        bench.install(SERVICE, ResourceSpec::Service(service));
        for number in 0..upstreams {
            bench.add_upstream(&format!("u{number}"), seats, "v1");
        }
        bench
    }

    pub fn install(&mut self, name: &str, spec: ResourceSpec) {
        let document = ResourceDocument {
            name: name.to_owned(),
            spec,
            revision: None,
            status: None,
        };
        self.config.insert(document).unwrap();
        self.config.revision = self.config.revision.next();
    }

    pub fn add_upstream(&mut self, name: &str, seats: u32, version: &str) {
        let text = format!(
            r#"{{"address":"10.0.0.1:80","service":"{SERVICE}","version":"{version}",
                "zone":"a","seats":{seats}}}"#
        );
        let spec: UpstreamSpec = serde_json::from_str(&text).unwrap();
        self.install(name, ResourceSpec::Upstream(spec));
    }

    pub fn service(&self) -> ServiceName {
        SERVICE.parse().unwrap()
    }

    pub fn step(&mut self, event: SchedulerEvent) -> Vec<DaemonEffect> {
        let mut queue = EffectQueue::new();
        let view = SchedulerView {
            config: &self.config,
            zone: &self.zone,
            splits: &self.splits,
            grants: &self.grants,
            floors: &self.floors,
        };
        self.scheduler.step(self.now, event, view, &mut queue);
        let effects: Vec<_> = queue.drain().collect();
        self.effects.extend(effects.iter().cloned());
        effects
    }

    pub fn send(&mut self, request: &BenchRequest) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.step(SchedulerEvent::Arrived(Box::new(QueuedRequest {
            request: id,
            service: self.service(),
            route: "/v1/completions".to_owned(),
            team: request.team.parse().unwrap(),
            weight: request.weight,
            rank: TierRank(request.rank),
            idempotent: true,
            arrived_at: self.now.monotonic,
            deadline_at: self.now.monotonic + request.deadline,
            prompt: PromptShape {
                tokens: request.prompt_tokens,
                prefix_hashes: request.prefix_hashes.clone(),
                max_output_tokens: None,
            },
        })));
        id
    }

    pub fn upstream(&mut self, event: UpstreamEvent) -> Vec<DaemonEffect> {
        self.step(SchedulerEvent::Upstream(event))
    }

    /// Ends an attempt well.
    pub fn finish(&mut self, order: &DispatchCommand) {
        let report = ResponseReport {
            status: 200,
            prompt_tokens: 100,
            cached_tokens: 0,
            output_tokens: 50,
        };
        self.upstream(UpstreamEvent::Finished {
            request: order.request,
            attempt: order.attempt,
            report,
        });
    }

    /// Lets the scheduler learn that an answer has 50 tokens and takes about `time`.
    pub fn teach(&mut self, time: Duration) {
        for _ in 0..10 {
            let request = self.send(&BenchRequest::default());
            let order = self.dispatches().pop().unwrap();
            let attempt = order.attempt;
            self.pass(time / 50);
            self.upstream(UpstreamEvent::FirstToken { request, attempt });
            self.pass(time);
            let count = 49;
            self.upstream(UpstreamEvent::Tokens {
                request,
                attempt,
                count,
            });
            self.finish(&order);
        }
        self.effects.clear();
    }

    pub fn pass(&mut self, time: Duration) {
        self.now = self.now.after(time);
    }

    /// Lets time pass and fires the timers that came due.
    pub fn fire_timers(&mut self, time: Duration) {
        self.pass(time);
        for number in 0..3 {
            self.step(SchedulerEvent::TimerFired { number });
        }
    }

    pub fn dispatches(&self) -> Vec<DispatchCommand> {
        let effects = self.effects.iter().filter_map(|effect| match effect {
            DaemonEffect::Dispatch(order) => Some(order.clone()),
            _ => None,
        });
        effects.collect()
    }

    pub fn refusals(&self) -> BTreeMap<RequestId, RequestRefusal> {
        let effects = self.effects.iter().filter_map(|effect| match effect {
            DaemonEffect::Refuse { request, refusal } => Some((*request, refusal.clone())),
            _ => None,
        });
        effects.collect()
    }

    pub fn breaches(&self) -> Vec<InvariantViolation> {
        let effects = self.effects.iter().filter_map(|effect| match effect {
            DaemonEffect::InvariantViolated(breach) => Some(breach.clone()),
            _ => None,
        });
        effects.collect()
    }
}
