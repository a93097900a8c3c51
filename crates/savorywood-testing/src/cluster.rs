//! Daemons and a platform as processes of their own.

mod daemon;
mod plan;

pub use daemon::TestDaemon;
pub use plan::ClusterPlan;

use crate::{http::TestCall, http::TestReply, standin::StandinProcess, wait};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use std::{net::SocketAddr, time::Duration};
use tempfile::TempDir;

/// Bearer token of operators.
pub const OPERATOR_TOKEN: &str = "operator-token-of-the-tests-0123456789";

/// Bearer token of the team `desk`, which may use all tiers.
pub const TEAM_TOKEN: &str = "team-token-of-the-tests";

/// Daemons serve and agree within this time after their start.
const START_TIME: Duration = Duration::from_secs(10);

/// A daemon answers an operator within this time, also when the platform does not answer it: it
/// waits ten seconds for the table, and its last call there may take some more.
const CHANGE_TIME: Duration = Duration::from_secs(14);

/// An accepted configuration is in force everywhere within this time.
const IN_FORCE_TIME: Duration = Duration::from_secs(4);

/// Daemons with their platform.
#[derive(Debug)]
pub struct TestCluster {
    /// The platform that all daemons use.
    pub platform: StandinProcess,
    /// The daemons, in the order of the plan.
    pub daemons: Vec<TestDaemon>,
    // Last, so that no daemon outlives its settings.
    _folder: TempDir,
}

impl TestCluster {
    /// Starts a platform and daemons, and waits until the daemons take operators' calls.
    ///
    /// # Panics
    ///
    /// When something does not start in time.
    #[must_use]
    pub fn start(plan: &ClusterPlan) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        plan::write_keys(folder.path());
        let platform = StandinProcess::platform(&[]);
        let daemons = (0..plan.daemons).map(|number| {
            let daemon = TestDaemon::prepare(folder.path(), plan, number, platform.address());
            list_host(platform.address(), &daemon);
            daemon
        });
        let mut daemons: Vec<TestDaemon> = daemons.collect();
        for daemon in &mut daemons {
            daemon.start();
        }
        let cluster = Self {
            platform,
            daemons,
            _folder: folder,
        };
        for daemon in &cluster.daemons {
            daemon.wait_until_ready(START_TIME);
        }
        cluster
    }

    /// Sends a resource to a daemon as an operator does.
    ///
    /// # Panics
    ///
    /// When the daemon does not answer.
    #[must_use]
    pub fn put(&self, daemon: usize, kind: &str, name: &str, spec: &Value) -> TestReply {
        let body = json!({"kind": kind, "name": name, "spec": spec}).to_string();
        let target = format!("/v1/resources/{kind}/{name}");
        let address = self.daemons[daemon].callers();
        let call = TestCall::put(address, &target, body).token(OPERATOR_TOKEN);
        call.timeout(CHANGE_TIME)
            .send()
            .expect("the daemon answers its operator")
    }

    /// Creates or edits a resource through the first daemon and gives the accepted revision.
    ///
    /// # Panics
    ///
    /// When it is not accepted.
    pub fn apply(&self, kind: &str, name: &str, spec: &Value) -> u64 {
        let reply = self.put(0, kind, name, spec);
        assert_eq!(reply.status(), 200, "{kind}/{name}: {}", reply.text());
        reply.json()["revision"].as_u64().expect("a revision")
    }

    /// Reads a resource as a daemon shows it.
    ///
    /// # Panics
    ///
    /// When the daemon does not answer.
    #[must_use]
    pub fn get(&self, daemon: usize, kind: &str, name: &str) -> TestReply {
        let target = format!("/v1/resources/{kind}/{name}");
        let address = self.daemons[daemon].callers();
        let call = TestCall::get(address, &target).token(OPERATOR_TOKEN);
        call.send().expect("the daemon answers its operator")
    }

    /// Waits until every daemon that runs has a revision in force.
    ///
    /// # Panics
    ///
    /// When one has it not within the time that users are promised.
    pub fn wait_in_force(&self, revision: u64) {
        for daemon in self.daemons.iter().filter(|daemon| daemon.is_running()) {
            let what = format!("revision {revision} in force at {}", daemon.host());
            wait::wait_until(&what, IN_FORCE_TIME, || {
                daemon.revision().is_some_and(|at| at >= revision)
            });
        }
    }

    /// Declares two tiers, a team, a model service `notes` and a plain service `shop`, with one
    /// upstream for each address, and waits until all is in force.
    pub fn declare(&self, engines: &[SocketAddr], plains: &[SocketAddr]) {
        let digest = Sha256::digest(TEAM_TOKEN.as_bytes());
        self.apply("tier", "urgent", &json!({"rank": 0}));
        self.apply("tier", "usual", &json!({"rank": 1}));
        let team = json!({"token_sha256": hex::encode(digest), "tiers": ["urgent", "usual"]});
        self.apply("team", "desk", &team);
        self.apply("service", "notes", &json!({"protocol": "model"}));
        let shop = json!({"protocol": "plain", "claims": "forever"});
        self.apply("service", "shop", &shop);
        self.apply("version", "notes-v1", &json!({"service": "notes"}));
        let mut last = self.apply("version", "shop-v1", &json!({"service": "shop"}));
        for (number, address) in engines.iter().enumerate() {
            last = self.declare_engine(&format!("engine-{number}"), *address);
        }
        for (number, address) in plains.iter().enumerate() {
            let spec = upstream(*address, "shop", "shop-v1");
            last = self.apply("upstream", &format!("plain-{number}"), &spec);
        }
        self.wait_in_force(last);
    }

    /// Declares one engine of the service `notes` and gives the accepted revision.
    pub fn declare_engine(&self, name: &str, address: SocketAddr) -> u64 {
        let mut spec = upstream(address, "notes", "notes-v1");
        spec["extensions"] = json!(["resume", "cancel", "load", "cache-events"]);
        spec["checks_fencing"] = json!(true);
        self.apply("upstream", name, &spec)
    }

    /// A streamed chat through a daemon.
    #[must_use]
    pub fn chat(&self, daemon: usize, content: &str, tokens: u32) -> TestCall {
        Self::chat_at(self.daemons[daemon].callers(), content, tokens)
    }

    /// A streamed chat through the daemon at an address.
    #[must_use]
    pub fn chat_at(address: SocketAddr, content: &str, tokens: u32) -> TestCall {
        let body = json!({
            "model": "notes",
            "stream": true,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": content}],
        });
        TestCall::post(address, "/v1/chat/completions", body.to_string()).token(TEAM_TOKEN)
    }

    /// A call that may not be repeated, through a daemon.
    #[must_use]
    pub fn charge(&self, daemon: usize, key: &str) -> TestCall {
        Self::charge_at(self.daemons[daemon].callers(), key)
    }

    /// A call that may not be repeated, through the daemon at an address.
    #[must_use]
    pub fn charge_at(address: SocketAddr, key: &str) -> TestCall {
        let call = TestCall::post(address, "/services/shop/charge", "{\"euro\":3}");
        call.token(TEAM_TOKEN).header("Idempotency-Key", key)
    }
}

fn upstream(address: SocketAddr, service: &str, version: &str) -> Value {
    json!({
        "address": address.to_string(),
        "service": service,
        "version": version,
        "zone": "zone-a",
    })
}

fn list_host(platform: SocketAddr, daemon: &TestDaemon) {
    let target = format!("/v1/hosts/{}", daemon.host());
    let put = TestCall::put(platform, &target, daemon.listing().to_string());
    let reply = put.send().expect("the platform answers");
    assert_eq!(reply.status(), 204, "{}", reply.text());
}
