//! The operators' interface of one daemon, kept in memory, with mishaps on demand.

use async_executor::Executor;
use futures_lite::future;
use http_types::{Body, Method, Response, StatusCode};
use savorywood_http::{
    HttpHandler, HttpServer, IncomingRequest, ServerLimits, body::BodyPair, body_channel,
};
use savorywood_protocol::{
    ConfigRevision, WallTime,
    burn::DaemonBurnReport,
    resource::{
        ResourceDocument, ResourceKey, ResourceKind, ResourceSet, ResourceStatus, validate,
    },
};
use serde_json::{Value, json};
use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::SystemTime,
};

/// What goes wrong with the next write.
#[allow(dead_code, reason = "each test file uses its part")]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mishap {
    /// It takes effect, its answer is lost.
    AnswerLost,
    /// It takes no effect and its answer is lost.
    WriteLost,
    /// It is refused for now.
    NotReady,
}

#[derive(Debug, Default)]
struct FakeState {
    resources: ResourceSet,
    revision: u64,
    writes: Vec<String>,
    mishaps: VecDeque<Mishap>,
    reach_after: u32,
    looks: u32,
    watches: Vec<String>,
    watch_script: VecDeque<String>,
    members: Vec<Value>,
    burn: Option<DaemonBurnReport>,
}

struct FakeHandler {
    state: Arc<Mutex<FakeState>>,
}

/// A running daemon.
pub struct FakeDaemon {
    address: SocketAddr,
    state: Arc<Mutex<FakeState>>,
}

#[allow(dead_code, reason = "each test file uses its part")]
impl FakeDaemon {
    pub fn start(host: &str) -> Self {
        let executor: Arc<Executor<'static>> = Arc::default();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let bind = HttpServer::bind(any, ServerLimits::default());
        let server = future::block_on(bind).unwrap();
        let address = server.local_address().unwrap();
        let state: Arc<Mutex<FakeState>> = Arc::default();
        let handler = Arc::new(FakeHandler {
            state: Arc::clone(&state),
        });
        executor
            .spawn(server.run(Arc::clone(&executor), handler))
            .detach();
        thread::spawn(move || future::block_on(executor.run(future::pending::<()>())));
        let daemon = Self { address, state };
        daemon.lock().burn = Some(DaemonBurnReport {
            host: host.parse().unwrap(),
            observed_ms: 60_000,
            untracked: 0,
            samples: Vec::new(),
        });
        daemon
    }

    fn lock(&self) -> MutexGuard<'_, FakeState> {
        self.state.lock().unwrap()
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn mishap(&self, mishap: Mishap) {
        self.lock().mishaps.push_back(mishap);
    }

    /// Changes are in force after so many looks at a resource.
    pub fn reach_after(&self, looks: u32) {
        let mut state = self.lock();
        state.reach_after = looks;
        state.looks = 0;
    }

    pub fn writes(&self) -> Vec<String> {
        self.lock().writes.clone()
    }

    pub fn resource(&self, key: &ResourceKey) -> Option<ResourceDocument> {
        self.lock().resources.get(key).cloned()
    }

    pub fn revision(&self) -> ConfigRevision {
        ConfigRevision(self.lock().revision)
    }

    /// What the coming watches get: bytes before the connection breaks, or a status.
    pub fn script_watch(&self, answers: &[&str]) {
        let answers = answers.iter().map(|answer| (*answer).to_owned());
        self.lock().watch_script = answers.collect();
    }

    pub fn watches(&self) -> Vec<String> {
        self.lock().watches.clone()
    }

    pub fn put_members(&self, members: Vec<Value>) {
        self.lock().members = members;
    }

    pub fn put_burn(&self, change: impl FnOnce(&mut DaemonBurnReport)) {
        self.lock().burn.as_mut().map(change).unwrap();
    }
}

impl HttpHandler for FakeHandler {
    async fn handle(&self, mut incoming: IncomingRequest) -> Response {
        if incoming.header("authorization") != Some("Bearer operators-token") {
            return problem(401, "unauthorized", "not-run", json!({}));
        }
        let method = incoming.request.method();
        let url = incoming.request.url().clone();
        let body = incoming.read_body().await.unwrap();
        let if_match = incoming.header("if-match").map(str::to_owned);
        let if_absent = incoming.header("if-none-match").is_some();
        let mut state = self.state.lock().unwrap();
        let path = url.path().trim_start_matches("/v1/");
        let parts: Vec<_> = path.split('/').collect();
        match (method, parts.as_slice()) {
            (Method::Get, ["members"]) => ok(&json!(state.members)),
            (Method::Get, ["burn"]) => ok(&json!(state.burn)),
            (Method::Get, ["watch", _]) => state.watch(url.query().unwrap_or_default()),
            (Method::Get, ["resources", kind]) => state.list(kind.parse().unwrap()),
            (Method::Get, ["resources", kind, name]) => state.get(&key(kind, name)),
            (Method::Put, ["resources", kind, name]) => {
                let document = serde_json::from_slice(&body).unwrap();
                let key = key(kind, name);
                if state.conflicts(&key, if_match.as_deref(), if_absent) {
                    let current = json!({"current": state.resources.get(&key)});
                    return problem(409, "revision-conflict", "not-run", current);
                }
                state.put(key, document)
            }
            (Method::Delete, ["resources", kind, name]) => state.delete(&key(kind, name)),
            _ => problem(404, "not-found", "not-run", json!({})),
        }
    }
}

impl FakeState {
    fn list(&mut self, kind: ResourceKind) -> Response {
        if !self.watches.is_empty() {
            self.watches.push("list".to_owned());
        }
        let items = self.resources.values().filter(|d| d.spec.kind() == kind);
        let items: Vec<_> = items.collect();
        ok(&json!({"revision": self.revision, "items": items}))
    }

    fn get(&mut self, key: &ResourceKey) -> Response {
        let Some(document) = self.resources.get(key) else {
            return problem(404, "not-found", "not-run", json!({}));
        };
        let mut document = document.clone();
        self.looks += 1;
        let reached = self.looks > self.reach_after;
        document.status = Some(ResourceStatus {
            observed_revision: ConfigRevision(self.revision),
            members_in_force: if reached { 3 } else { 0 },
            members_live: 3,
            ..ResourceStatus::default()
        });
        ok(&json!(document))
    }

    fn conflicts(&self, key: &ResourceKey, if_match: Option<&str>, if_absent: bool) -> bool {
        let present = self.resources.get(key);
        let revision = present.and_then(|document| document.revision);
        let quoted = revision.map(|revision| format!("\"{revision}\""));
        let mismatch = if_match.is_some() && if_match != quoted.as_deref();
        mismatch || (if_absent && present.is_some())
    }

    fn put(&mut self, key: ResourceKey, mut document: ResourceDocument) -> Response {
        let mishap = self.mishaps.pop_front();
        match mishap {
            Some(Mishap::NotReady) => {
                return problem(
                    503,
                    "store-unavailable",
                    "not-run",
                    json!({"retry_after_ms": 20}),
                );
            }
            Some(Mishap::WriteLost) => return broken("{"),
            Some(Mishap::AnswerLost) | None => {}
        }
        let now = WallTime::from_system(SystemTime::now());
        let faults = validate::check_document(&document, &self.resources, now);
        if !faults.is_empty() {
            return problem(422, "bad-request", "not-run", json!({"faults": faults}));
        }
        self.revision += 1;
        self.looks = 0;
        document.revision = Some(ConfigRevision(self.revision));
        self.writes.push(key.to_string());
        self.resources.insert(key, document);
        if mishap == Some(Mishap::AnswerLost) {
            return broken("{\"revi");
        }
        ok(&json!({"revision": self.revision}))
    }

    fn delete(&mut self, key: &ResourceKey) -> Response {
        let faults = validate::check_deletion(key, &self.resources);
        if !faults.is_empty() {
            return problem(422, "bad-request", "not-run", json!({"faults": faults}));
        }
        self.resources.remove(key);
        self.revision += 1;
        ok(&json!({"revision": self.revision}))
    }

    fn watch(&mut self, query: &str) -> Response {
        self.watches.push(query.to_owned());
        let answer = self.watch_script.pop_front().unwrap();
        match answer.parse() {
            Ok(status) => problem(status, "scripted", "not-run", json!({})),
            Err(_) => broken(&answer),
        }
    }
}

fn key(kind: &str, name: &str) -> ResourceKey {
    ResourceKey {
        kind: kind.parse().unwrap(),
        name: name.to_owned(),
    }
}

fn ok(value: &Value) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(value.to_string());
    response
}

fn problem(status: u16, code: &str, outcome: &str, mut more: Value) -> Response {
    more["code"] = json!(code);
    more["outcome"] = json!(outcome);
    more["detail"] = json!("a scripted refusal");
    let mut response = Response::new(StatusCode::try_from(status).unwrap());
    response.set_body(more.to_string());
    response
}

/// An answer that breaks off after some bytes.
fn broken(bytes: &str) -> Response {
    let BodyPair { sender, receiver } = body_channel();
    future::block_on(sender.send(bytes.as_bytes().to_vec())).unwrap();
    drop(sender);
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(receiver, None));
    response
}
