//! Malformed requests against a server: well-formed answers or a closed connection, and service
//! afterwards.

#![allow(clippy::unwrap_used, reason = "a test that can't be set up fails")]

use http_types::{Response, StatusCode};
use quickcheck::TestResult;
use savorywood_http::{HttpHandler, HttpServer, IncomingRequest, ServerLimits};
use savorywood_testing::{InputMutation, background_executor, fuzz};
use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{Arc, OnceLock},
    time::Duration,
};

/// Inputs where nothing else is asked for.
const RUNS: u64 = 200;

/// Longest silence of a server whose caller has sent all it had.
const SILENCE: Duration = Duration::from_secs(5);

/// Limit of the server on heads, bodies and idle connections: most inputs run into one of them.
const SHORT: Duration = Duration::from_millis(50);

/// A good request can run into the short limits too, when the machine is busy.
const GOOD_TRIES: usize = 5;

/// Header lines of an answer at most.
const MAX_HEADERS: usize = 32;

const GOOD: &[u8] = b"GET /good HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

const REQUESTS: [&[u8]; 6] = [
    b"GET /v1/models?service=notes HTTP/1.1\r\nHost: entry-1:8080\r\nAccept: */*\r\n\r\n",
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer x\r\n\
      Content-Type: application/json\r\nContent-Length: 16\r\n\r\n{\"model\": \"aaa\"}",
    b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\
      5\r\nhello\r\n6;x=y\r\n world\r\n0\r\n\r\n",
    b"PUT /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nhello",
    b"GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: b\r\n\r\n",
    b"DELETE /%41%zz?a=b&c HTTP/1.1\r\nHost: [::1]:80\r\nIf-Match: \"7\"\r\n\
      Connection: keep-alive\r\n\r\n",
];

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

/// Address of a server that serves all properties of this file.
fn server() -> SocketAddr {
    static ADDRESS: OnceLock<SocketAddr> = OnceLock::new();
    *ADDRESS.get_or_init(|| {
        let executor = background_executor();
        let limits = ServerLimits {
            body_bytes: 1_024,
            head_time: SHORT,
            body_time: SHORT,
            idle_time: SHORT,
            ..ServerLimits::default()
        };
        let bind = HttpServer::bind(([127, 0, 0, 1], 0).into(), limits);
        let server = async_io::block_on(bind).unwrap();
        let address = server.local_address().unwrap();
        let run = server.run(Arc::clone(&executor), Arc::new(EchoHandler));
        executor.spawn(run).detach();
        address
    })
}

/// All that a server says to some bytes, or `None` when it falls silent without closing. Bytes
/// can't all be written once a server has closed: that is no fault.
fn exchange(request: &[u8], half_closes: bool) -> Option<Vec<u8>> {
    let mut stream = TcpStream::connect(server()).unwrap();
    stream.set_read_timeout(Some(SILENCE)).unwrap();
    let _ = stream.write_all(request);
    if half_closes {
        let _ = stream.shutdown(Shutdown::Write);
    }
    let mut answer = Vec::new();
    match stream.read_to_end(&mut answer) {
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => None,
        _ => Some(answer),
    }
}

/// Reads answers one behind the other; says what is wrong with them.
fn check_answers(mut rest: &[u8]) -> Result<usize, String> {
    let mut count = 0;
    while !rest.is_empty() {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let parsed = head.parse(rest).map_err(|error| error.to_string())?;
        let httparse::Status::Complete(end) = parsed else {
            return Err("a head without end".to_owned());
        };
        let status = head.code.unwrap_or_default();
        if !(100..600).contains(&status) {
            return Err(format!("status {status}"));
        }
        let length = head.headers.iter().find_map(|header| {
            let is_length = header.name.eq_ignore_ascii_case("content-length");
            is_length.then(|| String::from_utf8_lossy(header.value).parse::<usize>())
        });
        let length = length.transpose().map_err(|error| error.to_string())?;
        let length = if status == 100 {
            0
        } else {
            length.ok_or("no length")?
        };
        rest = rest.get(end + length..).ok_or("a body without end")?;
        count += 1;
    }
    Ok(count)
}

fn judge(request: &[u8], half_closes: bool) -> TestResult {
    let Some(answer) = exchange(request, half_closes) else {
        return TestResult::error("neither an answer's end nor a closed connection");
    };
    // An answer to HEAD has a length and no body.
    let has_head = request.windows(4).any(|window| window == b"HEAD");
    match check_answers(&answer) {
        Err(reason) if !has_head => {
            let answer = String::from_utf8_lossy(&answer);
            return TestResult::error(format!("{reason}: {answer:?}"));
        }
        Ok(_) | Err(_) => {}
    }
    let is_served = (0..GOOD_TRIES).any(|_| {
        let good = exchange(GOOD, false).unwrap_or_default();
        good.starts_with(b"HTTP/1.1 200 ")
    });
    TestResult::from_bool(is_served)
}

/// Callers' libraries, scanners and bad lines send what no standard allows. Each caller must see
/// an answer or a closed connection, and the next caller must be served.
#[test]
fn malformed_requests_get_an_answer_or_a_closed_connection() {
    fn is_handled(which: usize, mutation: InputMutation) -> TestResult {
        let request = mutation.apply(REQUESTS[which % REQUESTS.len()]);
        judge(&request, false)
    }
    fuzz(
        11,
        RUNS,
        is_handled as fn(usize, InputMutation) -> TestResult,
    );
}

/// The same from callers that close their side as soon as they have sent all.
#[test]
fn malformed_requests_of_callers_that_left_do_no_harm() {
    fn is_handled(which: usize, mutation: InputMutation) -> TestResult {
        let request = mutation.apply(REQUESTS[which % REQUESTS.len()]);
        judge(&request, true)
    }
    fuzz(
        12,
        RUNS,
        is_handled as fn(usize, InputMutation) -> TestResult,
    );
}
