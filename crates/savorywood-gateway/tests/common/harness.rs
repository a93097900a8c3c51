//! Test harness around one gateway with a small deployment; the test drives clock and events.
#![allow(dead_code, reason = "each test file uses a part of the harness")]

use savorywood_gateway::{
    AttemptOutcome, ContentDigest, DaemonRole, DeclaredConfig, DispatchOrder, Gateway,
    GatewayBounds, GatewayEffect, GatewayEvent, GatewayOptions, HostLabel, HostResources,
    LocalRequest, OverloadOptions, PeerPhase, PeerSummary, PromptPart, RefusalReason, RegionMap,
    RequestArrival, RequestSize, ResponseMetadata, RetrySafety, RouteSpec, RoutingPolicy,
    ServiceLabel, ServiceSpec, TeamLabel, TeamLimit, TeamSpec, TrafficShare, UpstreamEntry,
    UpstreamLabel, VersionLabel, ZoneLabel, name_digest,
};
use savorywood_protocol::MonotonicTime;
use std::{sync::Arc, time::Duration};

/// Time within which a revoked key must stop working.
pub const REVOCATION_BOUND: Duration = Duration::from_secs(5);

/// A gateway with its simulated clock and the effects that it has requested.
pub struct GatewayHarness {
    pub gateway: Gateway,
    pub now: MonotonicTime,
    /// Effects since the test last took or cleared them.
    pub effects: Vec<GatewayEffect>,
    /// Number of the next request.
    next_number: u64,
}

/// Returns options of a first start in `zone-a`.
pub fn options(host: &str) -> GatewayOptions {
    GatewayOptions {
        host: HostLabel::from(host),
        zone: ZoneLabel::from("zone-a"),
        incarnation: 1,
        peer_address: "10.0.0.1:7600".parse().expect("an address"),
        caller_address: "10.0.0.1:80".parse().expect("an address"),
        first_start: true,
        bounds: GatewayBounds {
            revocation_delay: Some(REVOCATION_BOUND),
            max_canary_fraction: 0.1,
            canary_slack: 50.0,
            ..GatewayBounds::default()
        },
        seed: 7,
        routing: RoutingPolicy::LowestCost,
        capacity: HostResources::default(),
        regions: RegionMap::default(),
        overload: OverloadOptions::default(),
    }
}

pub fn route(prefix: &str, retry_safety: RetrySafety, priority: u32) -> RouteSpec {
    RouteSpec {
        name: prefix.trim_matches('/').to_owned(),
        host: "api.example".to_owned(),
        prefix: prefix.to_owned(),
        retry_safety,
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

/// Returns a configuration with the routes `/safe/`, `/once/`, `/stream/`, `/urgent/` and `/open/`
/// and a team with the key `key`.
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

/// Returns a warm upstream `upstream-<number>` in `zone-a`.
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

/// Returns the summary of a ready peer `host-<number>` without slots in use.
pub fn peer_summary(number: u8, zone: &str, sequence: u64) -> PeerSummary {
    let address = |port: u16| {
        format!("10.0.0.{number}:{port}")
            .parse()
            .expect("an address")
    };
    PeerSummary {
        host: format!("host-{number}"),
        incarnation: 1,
        uptime_ms: 60_000,
        sequence,
        zone: zone.to_owned(),
        peer_address: address(7_600),
        caller_address: address(80),
        phase: PeerPhase::Ready,
        config_version: 1,
        partitioned: false,
        slots: Vec::new(),
        ejected_upstreams: Vec::new(),
        usage: Vec::new(),
        tallies: Vec::new(),
        role: DaemonRole::default(),
        keeps_member_callers: false,
        capacity: HostResources::default(),
        load: HostResources::default(),
        peak: HostResources::default(),
        sent_at: MonotonicTime(0),
        attestation: None,
        echoes: Vec::new(),
        view_revision: 0,
        coordinates: false,
    }
}

/// Returns a request of the team with an 8 s deadline, 1,000 prompt tokens and 100 output tokens.
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

impl GatewayHarness {
    /// Returns a gateway without configuration, upstreams or peers.
    pub fn unconfigured(options: GatewayOptions) -> Self {
        Self {
            gateway: Gateway::new(options),
            now: MonotonicTime(1_000_000),
            effects: Vec::new(),
            next_number: 1,
        }
    }

    /// Returns a ready gateway with some upstreams of one slot each.
    pub fn ready(upstreams: u16) -> Self {
        let mut harness = Self::unconfigured(options("host-a"));
        harness.step(GatewayEvent::ConfigRead(Arc::new(config(1, None))));
        let entries = (1..=upstreams).map(|number| upstream(number, 1)).collect();
        harness.step(GatewayEvent::UpstreamsRead(entries));
        harness.confirm();
        harness
    }

    /// Confirms the configuration as of now.
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
        self.next_number += 1;
        LocalRequest(self.next_number - 1)
    }

    /// Lets a request arrive.
    pub fn arrive(&mut self, arrival: RequestArrival) -> LocalRequest {
        let request = self.next_request();
        let arrival = Box::new(arrival);
        self.step(GatewayEvent::Arrived { request, arrival });
        request
    }

    /// Ends the current attempt of a request.
    pub fn end(&mut self, request: LocalRequest, outcome: AttemptOutcome) {
        self.step(GatewayEvent::AttemptEnded { request, outcome });
    }

    /// Ends the current attempt of a request with a complete response.
    pub fn deliver(&mut self, request: LocalRequest) {
        let outcome = AttemptOutcome::Delivered {
            metadata: ResponseMetadata::default(),
            events: 1,
        };
        self.end(request, outcome);
    }

    /// Returns the dispatch orders of a request so far.
    pub fn orders(&self, request: LocalRequest) -> Vec<&DispatchOrder> {
        let orders = self.effects.iter().filter_map(|effect| match effect {
            GatewayEffect::Dispatch(order) if order.request == request => Some(order),
            _ => None,
        });
        orders.collect()
    }

    /// Returns the reason if a request was refused.
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
