//! Malformed answers of an upstream: a body is either whole or an error.

#![allow(clippy::unwrap_used, reason = "a test that can't be set up fails")]

use http_types::{Method, Request, Url};
use quickcheck::TestResult;
use savorywood_http::{ClientLimits, HttpClient, SendError};
use savorywood_testing::{InputMutation, fuzz};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread::{self, JoinHandle},
    time::Duration,
};

/// Inputs where nothing else is asked for.
const RUNS: u64 = 1_000;

/// Header lines of an answer at most; more are an error of the client.
const MAX_HEADERS: usize = 128;

const ANSWERS: [&[u8]; 5] = [
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 16\r\n\r\n\
      {\"a\": \"abcdefg\"}",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n\
      9\r\ndata: a\n\n\r\n10\r\ndata: [DONE]\n\nxx\r\n0\r\n\r\n",
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 4\r\n\r\nbusy",
    b"HTTP/1.1 204 No Content\r\nETag: \"7\"\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
];

/// Pause between two pieces of an answer, so that they are read one by one.
const PIECE_PAUSE: Duration = Duration::from_millis(30);

/// An upstream that answers one request with the pieces, whatever they are, and closes.
fn upstream(pieces: Vec<Vec<u8>>) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let serve = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = Vec::new();
        let mut piece = [0; 1_024];
        while !request.ends_with(b"\r\n\r\n") {
            match stream.read(&mut piece) {
                Ok(count) if count > 0 => request.extend_from_slice(&piece[..count]),
                _ => return,
            }
        }
        for (number, piece) in pieces.iter().enumerate() {
            if number > 0 {
                thread::sleep(PIECE_PAUSE);
            }
            // The client may have closed at the first fault.
            let _ = stream.write_all(piece);
        }
    });
    (address, serve)
}

async fn read_answer(address: SocketAddr) -> Result<Vec<u8>, String> {
    let limits = ClientLimits {
        head_time: Duration::from_secs(5),
        ..ClientLimits::default()
    };
    let url = Url::parse(&format!("http://{address}/")).unwrap();
    let client = HttpClient::new(limits);
    let sent = client.send(address, Request::new(Method::Get, url)).await;
    let mut answer = sent.map_err(|error| match error {
        SendError::NotSent { .. } => panic!("the upstream listens"),
        SendError::Broken { .. } => error.to_string(),
    })?;
    let mut whole = Vec::new();
    let mut piece = [0; 7];
    loop {
        match answer.body.read(&mut piece).await {
            Ok(0) => return Ok(whole),
            Ok(count) => whole.extend_from_slice(&piece[..count]),
            Err(error) => return Err(error.to_string()),
        }
    }
}

/// What a strict reader takes for the whole body of an answer; `None` when there is no whole one.
fn strict_body(bytes: &[u8]) -> Option<Vec<u8>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(end) = head.parse(bytes).ok()? else {
        return None;
    };
    let rest = &bytes[end..];
    if matches!(head.code, Some(100..=199)) {
        return None;
    }
    if matches!(head.code, Some(204 | 304)) {
        return Some(Vec::new());
    }
    let values = |name: &str| {
        let lines = head.headers.iter();
        let lines = lines.filter(|header| header.name.eq_ignore_ascii_case(name));
        lines.map(|header| header.value).collect::<Vec<_>>()
    };
    match (
        &values("transfer-encoding")[..],
        &values("content-length")[..],
    ) {
        ([coding], []) if coding.eq_ignore_ascii_case(b"chunked") => strict_chunks(rest),
        ([], [length]) => {
            let length: usize = std::str::from_utf8(length).ok()?.parse().ok()?;
            rest.get(..length).map(<[u8]>::to_vec)
        }
        _ => None,
    }
}

fn strict_chunks(mut rest: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let httparse::Status::Complete((start, length)) = httparse::parse_chunk_size(rest).ok()?
        else {
            return None;
        };
        let length = usize::try_from(length).ok()?;
        rest = rest.get(start..)?;
        if length == 0 {
            return Some(body);
        }
        body.extend_from_slice(rest.get(..length)?);
        rest = rest.get(length..)?.strip_prefix(b"\r\n")?;
    }
}

fn judge(answer: &[u8]) -> TestResult {
    let (address, serve) = upstream(vec![answer.to_vec()]);
    let read = async_io::block_on(read_answer(address));
    serve.join().unwrap();
    match (read, strict_body(answer)) {
        (Err(_), _) => TestResult::passed(),
        (Ok(body), Some(strict)) if body == strict => TestResult::passed(),
        (Ok(body), strict) => {
            let answer = String::from_utf8_lossy(answer);
            let body = String::from_utf8_lossy(&body);
            TestResult::error(format!("read {body:?}, whole is {strict:?}: {answer:?}"))
        }
    }
}

/// An upstream dies in the middle of an answer, or something on the way changes it. A body that
/// ends cleanly must be the whole one, or a caller takes a part for the whole.
#[test]
fn body_that_ends_cleanly_is_whole() {
    fn is_whole(which: usize, mutation: InputMutation) -> TestResult {
        judge(&mutation.apply(ANSWERS[which % ANSWERS.len()]))
    }
    fuzz(21, RUNS, is_whole as fn(usize, InputMutation) -> TestResult);
}

/// The answers themselves are read whole: without this the property above could hold by refusing
/// all.
#[test]
fn sound_answers_are_read_whole() {
    for answer in ANSWERS {
        let (address, serve) = upstream(vec![answer.to_vec()]);
        let read = async_io::block_on(read_answer(address));
        serve.join().unwrap();
        assert_eq!(read.ok(), strict_body(answer));
    }
}

/// An upstream dies at each byte of its answer in turn.
#[test]
fn answers_cut_off_anywhere_are_never_whole() {
    for answer in ANSWERS {
        for end in 0..answer.len() {
            let result = judge(&answer[..end]);
            assert!(!result.is_failure(), "{end}: {result:?}");
        }
    }
}

/// Guards against an interim answer whose end is taken for that of the final one, which is cut off.
#[test]
fn answers_cut_off_after_an_interim_answer_are_never_whole() {
    for answer in ANSWERS {
        for end in 0..answer.len() {
            let cut = [
                b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
                &answer[..end],
            ]
            .concat();
            assert!(read_pieces(&[&cut]).is_err(), "{end} bytes of {answer:?}");
        }
    }
}

/// What a client reads of an answer that comes in pieces.
fn read_pieces(pieces: &[&[u8]]) -> Result<Vec<u8>, String> {
    let pieces = pieces.iter().map(|piece| piece.to_vec()).collect();
    let (address, serve) = upstream(pieces);
    let timely = async {
        async_io::Timer::after(Duration::from_secs(5)).await;
        Err("the reader sleeps".to_owned())
    };
    let read = async_io::block_on(futures_lite::future::or(timely, read_answer(address)));
    serve.join().unwrap();
    read
}

/// A packet of an answer ends between the CR and the LF that end the chunks. The library then
/// slept until a timeout, and the caller saw a whole answer break off.
#[test]
fn end_of_chunks_in_two_pieces_is_read() {
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r";
    assert_eq!(read_pieces(&[head, b"\n"]).as_deref(), Ok(&b"hello"[..]));
}

/// An upstream dies between the CR and the LF that end the chunks. No reader may sleep on it.
#[test]
fn end_of_chunks_that_never_comes_is_noticed() {
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r";
    let error = read_pieces(&[head]).unwrap_err();
    assert!(error.contains("EOF"), "{error}");
}

/// An upstream sends a body without length until it closes, in a coding that the decoder does not
/// know, with two lengths, or after an interim answer. The decoder gave each an empty body, and a
/// caller took that for the whole answer.
#[test]
fn answers_without_a_known_end_are_never_whole() {
    for answer in [
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhello",
        "HTTP/1.1 503 Service \n\nUnavailable\r\nRetry-After: 1\r\nContent-Length: 4\r\n\r\nbusy",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 3\r\n\r\nhello",
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    ] {
        assert!(read_pieces(&[answer.as_bytes()]).is_err(), "{answer:?}");
    }
}

/// A plain service names a file with an accent in a header. The decoder panicked on it, and the
/// caller of a call that had run got no answer.
#[test]
fn header_outside_ascii_does_not_cost_the_answer() {
    let answer = "HTTP/1.1 200 OK\r\nX-File: r\u{e9}sum\u{e9}\r\nContent-Length: 5\r\n\r\nhello";
    assert_eq!(
        read_pieces(&[answer.as_bytes()]).as_deref(),
        Ok(&b"hello"[..])
    );
}

/// The head of an answer holds an empty line that only some programs take for its end. The decoder
/// dropped what lay between the two ends, and the caller got a later part of the answer as a whole
/// one.
#[test]
fn head_with_two_ends_is_refused() {
    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 5\n\r\nhello: a\r\n\r\nworld";
    assert!(read_pieces(&[answer]).is_err());
}
