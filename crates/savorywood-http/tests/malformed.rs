//! What callers see when their requests are malformed, too large or too slow.

#![allow(clippy::unwrap_used, reason = "a test that can't be set up fails")]

use async_executor::Executor;
use futures_lite::future;
use http_types::{Method, Response, StatusCode};
use savorywood_http::{
    CallRequest, ClientLimits, HttpClient, HttpHandler, HttpServer, IncomingRequest, ServerLimits,
};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

struct EchoHandler;

impl HttpHandler for EchoHandler {
    async fn handle(&self, mut incoming: IncomingRequest) -> Response {
        let mut response = Response::new(StatusCode::Ok);
        match incoming.read_body().await {
            Ok(body) => response.set_body(body),
            Err(fault) => {
                response.set_status(StatusCode::BadRequest);
                response.set_body(fault.to_string());
            }
        }
        response
    }
}

fn limits() -> ServerLimits {
    ServerLimits {
        body_bytes: 64,
        head_time: Duration::from_millis(200),
        body_time: Duration::from_millis(200),
        ..ServerLimits::default()
    }
}

fn start() -> SocketAddr {
    let executor: Arc<Executor<'static>> = Arc::default();
    let server = future::block_on(HttpServer::bind(([127, 0, 0, 1], 0).into(), limits())).unwrap();
    let address = server.local_address().unwrap();
    let spawner = Arc::clone(&executor);
    spawner
        .spawn(server.run(Arc::clone(&executor), Arc::new(EchoHandler)))
        .detach();
    thread::spawn(move || future::block_on(executor.run(future::pending::<()>())));
    address
}

/// Sends bytes and reads until the server closes or falls silent.
fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(2)))
        .unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = Vec::new();
    let mut piece = [0; 4_096];
    while let Ok(count) = stream.read(&mut piece) {
        if count == 0 {
            break;
        }
        answer.extend_from_slice(&piece[..count]);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}

/// A caller's library sends two lengths that differ, as happens when a body is rewritten on the
/// way. Taken as they are, one program reads the rest of the body as a second request. The caller
/// must see a 400.
#[test]
fn differing_lengths_are_refused() {
    let request =
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde";
    assert_eq!(status(&exchange(start(), request)), "400");
}

/// The decoder closes the connection without a word on each of these heads, and the caller can't
/// tell a fault of its own from a crash. Each must get a status.
#[test]
fn silent_faults_get_an_answer() {
    let address = start();
    let heads = [
        ("no host", "GET / HTTP/1.1\r\n\r\n"),
        ("bad host", "GET / HTTP/1.1\r\nHost: a b\r\n\r\n"),
        ("old version", "GET / HTTP/1.0\r\nHost: a\r\n\r\n"),
        (
            "length beside chunks",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        ),
        (
            "bad length",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
        ),
        (
            "control character",
            "GET / HTTP/1.1\r\nHost: a\r\nX: a\u{1}b\r\n\r\n",
        ),
        (
            "value outside ascii",
            "GET / HTTP/1.1\r\nHost: a\r\nX: \u{e9}\r\n\r\n",
        ),
        ("unknown method", "BREW / HTTP/1.1\r\nHost: a\r\n\r\n"),
        ("no path", "GET a HTTP/1.1\r\nHost: a\r\n\r\n"),
        ("not http", "\u{0}\u{1}\u{2}\r\n\r\n"),
    ];
    for (name, head) in heads {
        assert_eq!(status(&exchange(address, head)), "400", "{name}");
    }
    let good = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    assert_eq!(status(&exchange(address, good)), "200");
}

/// A caller sends a head without end, by mistake or to fill the daemon's memory.
#[test]
fn large_head_is_refused() {
    let request = format!(
        "GET / HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n",
        "a".repeat(9_000)
    );
    assert_eq!(status(&exchange(start(), &request)), "431");
}

/// A caller sends one byte now and then, by a bad line or to hold connections open.
#[test]
fn slow_head_is_refused() {
    let request = "GET / HTTP/1.1\r\nHost:";
    assert_eq!(status(&exchange(start(), request)), "408");
}

/// A caller's body is over the limit, too slow, or cut off. The refusal names which.
#[test]
fn faulty_bodies_are_named() {
    let address = start();
    let large = format!(
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{}",
        "a".repeat(100)
    );
    let answer = exchange(address, &large);
    assert!(answer.contains("more than 64 bytes"), "{answer}");
    let slow = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc";
    let answer = exchange(address, slow);
    assert!(answer.contains("did not come within"), "{answer}");
}

/// A caller asks whether it may send its body, as curl does for large ones.
#[test]
fn expectation_is_met() {
    let request = "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nConnection: close\r\n\
                   Content-Length: 2\r\n\r\nhi";
    let answer = exchange(start(), request);
    assert!(
        answer.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"),
        "{answer}"
    );
}

/// A caller sends its second request before the first answer has come. The decoder reads ahead
/// and would drop the second; its caller would wait for ever.
#[test]
fn pipelined_requests_are_all_answered() {
    let one = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none";
    let two = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nConnection: close\r\n\r\ntwo";
    let answer = exchange(start(), &format!("{one}{two}"));
    assert!(answer.contains("one") && answer.contains("two"), "{answer}");
}

/// An upstream dies after three of ten announced bytes. Read as a clean end, a caller would take
/// the three for the whole answer.
#[test]
fn short_answer_is_an_error() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut piece = [0; 1_024];
        let _ = stream.read(&mut piece);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    });
    let client = HttpClient::new(ClientLimits::default());
    let call = CallRequest::new(address, Method::Get, "/");
    let error = future::block_on(client.call(&call)).unwrap_err();
    assert!(error.to_string().contains("cut off"), "{error}");
}

/// Guards against passing on a status code that HTTP does not have.
#[test]
fn an_answer_without_a_valid_status_is_an_error() {
    for code in ["000", "001", "099", "600", "700", "999"] {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let mut piece = [0; 1_024];
            let _ = stream.read(&mut piece);
            let answer = format!("HTTP/1.1 {code} X\r\nContent-Length: 2\r\n\r\nok");
            let _ = stream.write_all(answer.as_bytes());
        });
        let client = HttpClient::new(ClientLimits::default());
        let call = CallRequest::new(address, Method::Get, "/");
        let answer = future::block_on(client.call(&call));
        assert!(answer.is_err(), "{code}: {answer:?}");
    }
}

/// An upstream closes an idle connection in the moment it is to be used again. The request must go
/// out on a new one instead of being lost on the old.
#[test]
fn closed_idle_connection_is_not_used() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().unwrap();
            let mut piece = [0; 1_024];
            let _ = stream.read(&mut piece);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    let client = HttpClient::new(ClientLimits::default());
    let call = CallRequest::new(address, Method::Get, "/");
    for _ in 0..2 {
        let answer = future::block_on(client.call(&call)).unwrap();
        assert_eq!(answer.body, b"ok");
        thread::sleep(Duration::from_millis(50));
    }
}

/// A packet of a request ends between the CR and the LF that end the chunks of its body. The
/// library's decoder then waits without being woken; were it left to itself, the caller would be
/// told that its body was too slow.
#[test]
fn end_of_chunked_body_in_two_pieces_is_read() {
    let mut stream = TcpStream::connect(start()).unwrap();
    let head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(b"5\r\nhello\r\n0\r\n\r").unwrap();
    thread::sleep(Duration::from_millis(50));
    stream.write_all(b"\n").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert_eq!(status(&answer), "200");
    assert!(answer.ends_with("hello"), "{answer}");
}
