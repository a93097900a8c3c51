//! One gateway with a small deployment, driven by hand.
#![allow(dead_code, reason = "each test file uses a part of the scene")]

use savorywood_gateway::{
    AttemptOutcome, ContentDigest, DeclaredConfig, DispatchOrder, Gateway, GatewayBounds,
    GatewayEffect, GatewayEvent, GatewayOptions, HostLabel, HostResources, LocalRequest,
    PromptPart, RefusalReason, RegionMap, RequestArrival, RequestSize, ResponseMetadata,
    RetrySafety, RouteSpec, RoutingPolicy, ServiceLabel, ServiceSpec, TeamLabel, TeamLimit,
    TeamSpec, TrafficShare, UpstreamEntry, UpstreamLabel, VersionLabel, ZoneLabel, name_digest,
};
use savorywood_protocol::MonotonicTime;
use std::{sync::Arc, time::Duration};

/// Bound within which a key that was taken away stops working.
pub const REVOCATION: Duration = Duration::from_secs(5);

/// A gateway, its time and what came out of it.
pub struct GatewayScene {
    pub gateway: Gateway,
    pub now: MonotonicTime,
    pub effects: Vec<GatewayEffect>,
    next: u64,
}

pub fn options(host: &str) -> GatewayOptions {
    GatewayOptions {
        host: HostLabel::from(host),
        zone: ZoneLabel::from("zone-a"),
        incarnation: 1,
        peer_address: "10.0.0.1:7600".parse().expect("an address"),
        caller_address: "10.0.0.1:80".parse().expect("an address"),
        first_start: true,
        bounds: GatewayBounds {
            revocation_delay: Some(REVOCATION),
            max_canary_fraction: 0.1,
            ..GatewayBounds::default()
        },
        seed: 7,
        routing: RoutingPolicy::LowestCost,
        capacity: HostResources::default(),
        regions: RegionMap::default(),
    }
}

pub fn route(prefix: &str, repeat: RetrySafety, priority: u32) -> RouteSpec {
    RouteSpec {
        name: prefix.trim_matches('/').to_owned(),
        host: "api.example".to_owned(),
        prefix: prefix.to_owned(),
        retry_safety: repeat,
        timeout: Some(Duration::from_secs(8)),
        objective: Duration::from_secs(1),
        gap_objective: Some(Duration::from_millis(800)),
        caller_idle_timeout: None,
        priority,
        service_shares: vec![TrafficShare {
            service: ServiceLabel::from("engine"),
            weight: 1,
        }],
        max_attempts: 2,
        public: false,
        affinity: true,
        home_regions: Vec::new(),
    }
}

/// Routes `/safe/`, `/once/`, `/stream/`, `/urgent/` and `/open/`, and a team with the key `key`.
pub fn config(version: u64, limit: Option<TeamLimit>) -> DeclaredConfig {
    let mut config = DeclaredConfig::new(version);
    config.add_route(route("/safe/", RetrySafety::Idempotent, 1));
    config.add_route(route("/once/", RetrySafety::AtMostOnce, 1));
    config.add_route(route(
        "/stream/",
        RetrySafety::Stream { resumable: true },
        1,
    ));
    config.add_route(route("/urgent/", RetrySafety::Idempotent, 0));
    let mut open = route("/open/", RetrySafety::Idempotent, 1);
    open.public = true;
    config.add_route(open);
    let service = ServiceSpec {
        max_connections: 100,
        engine: None,
        warmup: None,
    };
    config
        .services
        .insert(ServiceLabel::from("engine"), service);
    let team = TeamSpec {
        name: TeamLabel::from("team"),
        priority: None,
        limit,
        home_regions: Vec::new(),
    };
    config.add_team(team, vec!["key".to_owned()]);
    config
}

pub fn upstream(number: u16, slots: u32) -> UpstreamEntry {
    UpstreamEntry {
        name: UpstreamLabel::from(format!("upstream-{number}").as_str()),
        service: ServiceLabel::from("engine"),
        address: format!("10.0.1.{number}:80").parse().expect("an address"),
        zone: ZoneLabel::from("zone-a"),
        version: VersionLabel::from("v1"),
        slots,
        draining: false,
        incarnation: 1,
        cold_for: Duration::ZERO,
    }
}

pub fn arrival(path: &str) -> RequestArrival {
    RequestArrival {
        request_id: "request".to_owned(),
        host: "api.example".to_owned(),
        path: path.to_owned(),
        content_digest: ContentDigest(name_digest(path)),
        api_key: Some("key".to_owned()),
        deadline: Some(Duration::from_secs(8)),
        size: Some(RequestSize {
            prompt_tokens: 1_000,
            max_output_tokens: 100,
        }),
        expected_output_tokens: None,
        prompt_parts: vec![PromptPart { id: 1, tokens: 60 }],
    }
}

impl GatewayScene {
    /// A gateway that knows nothing yet.
    pub fn empty(options: GatewayOptions) -> Self {
        Self {
            gateway: Gateway::new(options),
            now: MonotonicTime(1_000_000),
            effects: Vec::new(),
            next: 1,
        }
    }

    /// A gateway that is ready, with some upstreams of one slot each.
    pub fn ready(upstreams: u16) -> Self {
        let mut scene = Self::empty(options("host-a"));
        scene.step(GatewayEvent::ConfigRead(Arc::new(config(1, None))));
        let entries = (1..=upstreams).map(|number| upstream(number, 1)).collect();
        scene.step(GatewayEvent::UpstreamsRead(entries));
        scene.confirm();
        scene
    }

    pub fn confirm(&mut self) {
        let at = self.now;
        self.step(GatewayEvent::ConfigConfirmed { at });
    }

    pub fn step(&mut self, event: GatewayEvent) {
        self.gateway.step(self.now, event, &mut self.effects);
    }

    pub fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
        self.step(GatewayEvent::Tick);
    }

    pub fn next_request(&mut self) -> LocalRequest {
        self.next += 1;
        LocalRequest(self.next - 1)
    }

    pub fn arrive(&mut self, arrival: RequestArrival) -> LocalRequest {
        let request = self.next_request();
        let arrival = Box::new(arrival);
        self.step(GatewayEvent::Arrived { request, arrival });
        request
    }

    pub fn end(&mut self, request: LocalRequest, outcome: AttemptOutcome) {
        self.step(GatewayEvent::AttemptEnded { request, outcome });
    }

    pub fn deliver(&mut self, request: LocalRequest) {
        let outcome = AttemptOutcome::Delivered {
            metadata: ResponseMetadata::default(),
            events: 1,
        };
        self.end(request, outcome);
    }

    /// All sends of a request so far.
    pub fn orders(&self, request: LocalRequest) -> Vec<&DispatchOrder> {
        let orders = self.effects.iter().filter_map(|effect| match effect {
            GatewayEffect::Dispatch(order) if order.request == request => Some(order),
            _ => None,
        });
        orders.collect()
    }

    /// The refusal of a request.
    pub fn refusal(&self, request: LocalRequest) -> Option<RefusalReason> {
        self.effects.iter().find_map(|effect| match effect {
            GatewayEffect::Refuse {
                request: refused,
                reason,
                ..
            } if *refused == request => Some(*reason),
            _ => None,
        })
    }
}
