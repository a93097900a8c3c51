//! Stores whose responses never end, over loopback.

use super::*;
use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::Instant,
};

/// Time of a call; 8 MiB in small chunks took 3 s on a busy machine in a build without optimisation.
const CALL_TIME: Duration = Duration::from_secs(10);

/// Starts a store that responds to each call with `start` and, without an end, `repeated`; without
/// the latter it keeps the connection open.
fn start_store(start: &'static str, repeated: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let piece = repeated.repeat(1_000);
                while matches!(stream.read(&mut [0; 4_096]), Ok(1..)) {
                    if stream.write_all(start.as_bytes()).is_err() {
                        return;
                    }
                    while !piece.is_empty() && stream.write_all(piece.as_bytes()).is_ok() {}
                }
            });
        }
    });
    address
}

fn call(connection: &mut StoreConnection, time: Duration) -> Result<StoreResponse, StoreError> {
    let call = StoreCall {
        method: "GET",
        target: "/".to_owned(),
        body: Vec::new(),
        content_type: "",
    };
    async_io::block_on(connection.call(&call, time))
}

/// Guards against a response of the store that fills the memory or keeps a reader beyond its time.
#[test]
fn endless_response_is_cut() {
    let kinds = [
        ("HTTP/1.1 200 OK\r\n", "x: y\r\n", InputLimit::Head),
        (
            "",
            "HTTP/1.1 102 Processing\r\n\r\n",
            InputLimit::InterimHeads,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
            "x",
            InputLimit::Body,
        ),
        ("HTTP/1.1 200 OK\r\n\r\n", "x", InputLimit::Body),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "20\r\nxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n",
            InputLimit::Body,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "x: y\r\n",
            InputLimit::ChunkCoding,
        ),
    ];
    for (start, repeated, limit) in kinds {
        let mut connection = StoreConnection::new(start_store(start, repeated));
        let started = Instant::now();
        let error = call(&mut connection, CALL_TIME).expect_err("the response never ends");
        assert_eq!(error.limit(), Some(limit), "{error}");
        assert!(started.elapsed() < CALL_TIME);
        assert!(connection.reader.is_none(), "the connection is kept");
    }
}

/// Guards against a response that trickles without an end and so never reaches a limit.
#[test]
fn response_without_an_end_is_cut_at_its_time() {
    let address = start_store("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nx", "");
    let mut connection = StoreConnection::new(address);
    let result = call(&mut connection, Duration::from_millis(200));
    assert!(matches!(result, Err(StoreError::TimedOut { .. })));
    assert!(connection.reader.is_none(), "the connection is kept");
}

/// Guards against an interim response that is taken for the final one, and against bytes after a
/// response that are taken for the response to the next call.
#[test]
fn responses_are_not_confused() {
    let mut connection = StoreConnection::new(start_store(
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 204 Old\r\n\r\n",
        "",
    ));
    for _ in 0..2 {
        let response = call(&mut connection, CALL_TIME).expect("a response");
        assert_eq!(
            (response.status, response.body.as_slice()),
            (200, &b"ok"[..])
        );
    }
}
