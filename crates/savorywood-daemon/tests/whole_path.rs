//! A request from a caller through a daemon to an upstream, and its whole answer back.

#![allow(clippy::unwrap_used, reason = "a test that can't be set up fails")]

use async_executor::Executor;
use futures_lite::future;
use http_types::{Body, Method, Response, StatusCode};
use savorywood_core::{CoreOptions, TokenDigest};
use savorywood_daemon::{DaemonLinks, DaemonOptionsBuilder, ListenAddresses, RunningDaemon};
use savorywood_http::{
    CallAnswer, CallRequest, ClientLimits, HttpClient, HttpHandler, HttpServer, IncomingRequest,
    SendError, ServerLimits, body::BodyPair, body_channel,
};
use savorywood_platform::PlatformOptions;
use savorywood_protocol::{HostIncarnation, peer::DatagramKey};
use savorywood_standin::{PlatformOptions as StandinOptions, PlatformServer};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

const TOKEN: &str = "test-team-token";

const OPERATOR_TOKEN: &str = "test-operator-token";

/// Answers a chat with three tokens; cuts the stream off before its end mark when asked to.
struct SmallEngine {
    executor: Arc<Executor<'static>>,
}

impl HttpHandler for SmallEngine {
    async fn handle(&self, mut incoming: IncomingRequest) -> Response {
        let body = incoming.read_body().await.unwrap();
        let cut = String::from_utf8_lossy(&body).contains("cut");
        let BodyPair { sender, receiver } = body_channel();
        let produce = async move {
            for token in ["one", "two", "three"] {
                let chunk = json!({"choices": [{"delta": {"content": token}}]});
                let event = format!("data: {chunk}\n\n");
                let _ = sender.send(event.into_bytes()).await;
            }
            if !cut {
                let _ = sender.send(b"data: [DONE]\n\n".to_vec()).await;
            }
            let _ = sender.finish().await;
        };
        self.executor.spawn(produce).detach();
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(Body::from_reader(receiver, None));
        response.insert_header("content-type", "text/event-stream");
        response
    }
}

struct TestRig {
    daemon: SocketAddr,
    _platform: PlatformServer,
}

impl TestRig {
    fn start(upstream_is_up: bool) -> Self {
        let executor: Arc<Executor<'static>> = Arc::default();
        for _ in 0..2 {
            let executor = Arc::clone(&executor);
            thread::spawn(move || future::block_on(executor.run(future::pending::<()>())));
        }
        future::block_on(Self::start_parts(&executor, upstream_is_up))
    }

    async fn start_parts(executor: &Arc<Executor<'static>>, upstream_is_up: bool) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let engine = start_engine(executor, upstream_is_up).await;
        let platform = PlatformServer::start(executor, StandinOptions::default());
        let platform = platform.await.unwrap();
        let core = CoreOptions {
            host: "host-1".parse().unwrap(),
            incarnation: HostIncarnation(1),
            zone: "zone-a".parse().unwrap(),
            region: "region-1".parse().unwrap(),
            peer_address: any,
            caller_address: any,
            address_max_age: Duration::from_secs(1),
            resume_key: None,
            seed: 1,
        };
        let listen = ListenAddresses {
            callers: any,
            peers: any,
        };
        let links = DaemonLinks {
            platform: PlatformOptions::new(platform.address()),
            peer_key: DatagramKey::derive(b"test"),
        };
        let digest = Sha256::digest(OPERATOR_TOKEN.as_bytes());
        let options = DaemonOptionsBuilder::new(core, listen, links)
            .operator_token(TokenDigest(digest.into()))
            .build();
        let daemon = RunningDaemon::start(options, Arc::clone(executor)).await;
        let rig = Self {
            daemon: daemon.unwrap().caller_address(),
            _platform: platform,
        };
        rig.declare_all(&documents(engine));
        rig
    }

    /// Puts the resources in force as an operator does; retries while the daemon begins.
    fn declare_all(&self, documents: &Value) {
        for document in documents.as_array().unwrap() {
            let kind = document["kind"].as_str().unwrap();
            let name = document["name"].as_str().unwrap();
            let target = format!("/v1/resources/{kind}/{name}");
            let put = CallRequest::new(self.daemon, Method::Put, target)
                .with_token(OPERATOR_TOKEN)
                .with_body(document.to_string().into_bytes());
            let accepted = (0..100).any(|_| {
                let answer = self.call(put.clone()).unwrap();
                thread::sleep(Duration::from_millis(u64::from(answer.status == 503) * 50));
                answer.status == 200
            });
            assert!(accepted, "{kind}/{name}");
        }
    }

    fn call(&self, call: CallRequest) -> Result<CallAnswer, SendError> {
        let client = HttpClient::new(ClientLimits::default());
        future::block_on(client.call(&call))
    }

    fn chat(&self, text: &str) -> Result<CallAnswer, SendError> {
        let body = json!({
            "model": "notes",
            "stream": true,
            "messages": [{"role": "user", "content": text}],
        });
        let call = CallRequest::new(self.daemon, Method::Post, "/v1/chat/completions")
            .with_token(TOKEN)
            .with_body(body.to_string().into_bytes());
        self.call(call)
    }
}

async fn start_engine(executor: &Arc<Executor<'static>>, is_up: bool) -> SocketAddr {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = HttpServer::bind(any, ServerLimits::default())
        .await
        .unwrap();
    let address = server.local_address().unwrap();
    if is_up {
        let handler = SmallEngine {
            executor: Arc::clone(executor),
        };
        let run = server.run(Arc::clone(executor), Arc::new(handler));
        executor.spawn(run).detach();
    }
    address
}

fn documents(engine: SocketAddr) -> Value {
    let digest = hex::encode(Sha256::digest(TOKEN.as_bytes()));
    json!([
        {"kind": "tier", "name": "urgent", "spec": {"rank": 0}},
        {"kind": "service", "name": "notes", "spec": {"protocol": "model"}},
        {"kind": "team", "name": "desk", "spec": {"token_sha256": digest, "tiers": ["urgent"]}},
        {"kind": "version", "name": "v1", "spec": {"service": "notes"}},
        {"kind": "upstream", "name": "engine-1", "spec": {
            "address": engine.to_string(), "service": "notes", "version": "v1",
            "zone": "zone-a"}},
    ])
}

fn problem_of(answer: &CallAnswer) -> Value {
    serde_json::from_slice(&answer.body).unwrap()
}

#[test]
fn whole_answer_comes_back() {
    let rig = TestRig::start(true);
    let answer = rig.chat("hello").unwrap();
    let text = String::from_utf8(answer.body).unwrap();
    assert_eq!(answer.status, 200);
    assert!(text.contains("one") && text.contains("two") && text.contains("three"));
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
}

/// An engine dies after its last token but before its end mark, with its connection closed in
/// order. A caller that were handed a clean end would take a part for the whole.
#[test]
fn stream_without_end_mark_is_broken_off() {
    let rig = TestRig::start(true);
    let error = rig.chat("cut").unwrap_err();
    assert!(matches!(error, SendError::Broken { .. }), "{error}");
}

/// No engine listens. The caller is told at once that nothing ran and when to come back.
#[test]
fn unreachable_upstream_is_not_run() {
    let rig = TestRig::start(false);
    let answer = rig.chat("hello").unwrap();
    let problem = problem_of(&answer);
    assert_eq!(answer.status, 503);
    assert_eq!(problem["outcome"], "not-run");
    assert_eq!(problem["code"], "no-upstream");
    assert!(problem["retry_after_ms"].as_u64().is_some());
}

/// Callers send what no schema allows. Each gets a clear refusal that says that nothing ran.
#[test]
fn bad_calls_are_refused_clearly() {
    let rig = TestRig::start(true);
    let chat = |body: &str, token: &str| {
        let call = CallRequest::new(rig.daemon, Method::Post, "/v1/chat/completions")
            .with_token(token)
            .with_body(body.as_bytes().to_vec());
        rig.call(call).unwrap()
    };
    let good = r#"{"model": "notes", "messages": []}"#;
    let unknown = r#"{"model": "nothing", "messages": []}"#;
    for (body, token, status, code) in [
        ("{", TOKEN, 400, "bad-request"),
        (good, "wrong", 401, "unauthorized"),
        (unknown, TOKEN, 404, "not-found"),
    ] {
        let answer = chat(body, token);
        let problem = problem_of(&answer);
        assert_eq!(answer.status, status);
        assert_eq!(problem["code"], code);
        assert_eq!(problem["outcome"], "not-run");
        assert_eq!(problem["error"]["code"], code);
    }
}

/// A client library asks for one model, and a caller errs in a path. Neither is an operator's
/// call: told that its token is wrong, a caller would look for the fault in the wrong place.
#[test]
fn callers_paths_are_told_apart_from_operators() {
    let rig = TestRig::start(true);
    for (path, token, status) in [
        ("/v1/models/notes", TOKEN, 200),
        ("/v1/models/nothing", TOKEN, 404),
        ("/v1/models/notes", "wrong", 401),
        ("/v1/embeddings", TOKEN, 404),
        ("/v1/members", TOKEN, 401),
        ("/v1/members", OPERATOR_TOKEN, 200),
    ] {
        let call = CallRequest::new(rig.daemon, Method::Get, path).with_token(token);
        assert_eq!(rig.call(call).unwrap().status, status, "{path} {token}");
    }
}

/// An operator creates a resource and reads it back at the same daemon as soon as the change is
/// accepted. Told of the change before it was in force, the operator would find nothing, or the
/// old content, and create it again.
#[test]
fn accepted_change_is_readable_at_once() {
    let rig = TestRig::start(true);
    for number in 0..300 {
        let target = format!("/v1/resources/service/plain-{number}");
        let body = json!({
            "kind": "service",
            "name": format!("plain-{number}"),
            "spec": {"protocol": "plain"},
        });
        let put = CallRequest::new(rig.daemon, Method::Put, target.as_str())
            .with_token(OPERATOR_TOKEN)
            .with_body(body.to_string().into_bytes());
        assert_eq!(rig.call(put).unwrap().status, 200);
        let get = CallRequest::new(rig.daemon, Method::Get, target).with_token(OPERATOR_TOKEN);
        assert_eq!(rig.call(get).unwrap().status, 200, "change {number}");
    }
}

/// A client reads the status from the body of a problem. It must be that of the head.
#[test]
fn status_is_the_same_in_head_and_body() {
    let rig = TestRig::start(true);
    let tier = r#"{"kind": "tier", "name": "late", "spec": {"rank": 0}}"#;
    let put = CallRequest::new(rig.daemon, Method::Put, "/v1/resources/tier/late")
        .with_token(OPERATOR_TOKEN)
        .with_body(tier.as_bytes().to_vec());
    let answer = rig.call(put).unwrap();
    assert_eq!(answer.status, 422);
    assert_eq!(problem_of(&answer)["status"], 422);
}

/// An operator declares a move and watches it. The resource does not change any more, but where
/// the move stands does; without a line for that the operator would wait for ever.
#[test]
fn watching_a_move_tells_where_it_stands() {
    let rig = TestRig::start(true);
    let documents = json!([
        {"kind": "version", "name": "v2", "spec": {"service": "notes"}},
        {"kind": "move", "name": "to-v2", "spec": {"service": "notes", "from": "v1", "to": "v2",
            "finish_by": "2099-01-01T00:00:00Z"}},
    ]);
    rig.declare_all(&documents);
    let mut stream = TcpStream::connect(rig.daemon).unwrap();
    let limit = Some(Duration::from_secs(20));
    stream.set_read_timeout(limit).unwrap();
    let head = format!(
        "GET /v1/watch/move?from=0 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {OPERATOR_TOKEN}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    let mut lines = BufReader::new(stream).lines();
    let told = lines.find(|line| line.as_ref().unwrap().contains(r#""type":"status""#));
    assert!(told.unwrap().unwrap().contains(r#""move_state":"planned""#));
}

/// A caller errs again and again: it calls a service that does not exist, or sends what is no
/// request. The report on burn must not page an operator for that.
#[test]
fn callers_mistakes_burn_no_objective() {
    let rig = TestRig::start(true);
    rig.chat("hello").unwrap();
    let body = json!({"kind": "service", "name": "shop", "spec": {"protocol": "plain"}});
    let put = CallRequest::new(rig.daemon, Method::Put, "/v1/resources/service/shop")
        .with_token(OPERATOR_TOKEN)
        .with_body(body.to_string().into_bytes());
    assert_eq!(rig.call(put).unwrap().status, 200);
    let call = CallRequest::new(rig.daemon, Method::Post, "/services/shop/charges")
        .with_token(TOKEN)
        .with_header("idempotency-key", "no-uuid");
    assert_eq!(rig.call(call).unwrap().status, 400);
    let burn = CallRequest::new(rig.daemon, Method::Get, "/v1/burn").with_token(OPERATOR_TOKEN);
    let burn: Value = serde_json::from_slice(&rig.call(burn).unwrap().body).unwrap();
    let samples = burn["samples"].as_array().unwrap();
    assert!(!samples.is_empty());
    for sample in samples {
        assert_eq!(sample["good"], sample["total"], "{sample}");
    }
}
