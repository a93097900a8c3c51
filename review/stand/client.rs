//! Clients: requests as the pages describe them.

use crate::{
    http::{Connection, Response},
    record::Record,
};
use std::{
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

static NUMBERS: AtomicU64 = AtomicU64::new(1);

/// Returns the id of a new client attempt.
pub fn new_id() -> String {
    format!("a{:06}", NUMBERS.fetch_add(1, Ordering::SeqCst))
}

pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    pub lines: &'a str,
    pub body: &'a str,
}

/// How a client attempt ended for its client.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub id: String,
    /// Milliseconds since the case began.
    pub sent_ms: u64,
    pub ended_ms: u64,
    /// `None`: no connection, or closed without an answer.
    pub response: Option<Response>,
    pub connected: bool,
}

impl Outcome {
    pub fn status(&self) -> u16 {
        self.response.as_ref().map_or(0, |response| response.status)
    }

    pub fn is_complete(&self) -> bool {
        self.response.as_ref().is_some_and(|response| response.complete)
    }
}

pub fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    Some(Connection::new(stream))
}

/// Sends a request and returns its id and the time of its last byte.
pub fn send(connection: &mut Connection, call: &Call<'_>, to: &str, record: &Record) -> (String, u64) {
    let id = new_id();
    let text = format!(
        "{} {} HTTP/1.1\r\nHost: api.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\n\
         Authorization: Token {}\r\n{}Content-Length: {}\r\n\r\n{}",
        call.method,
        call.path,
        call.deadline_ms,
        call.key,
        call.lines,
        call.body.len(),
        call.body
    );
    connection.write(&text);
    record.add(format!("client sends {id} {} {} to {to}", call.method, call.path));
    (id, record.millis())
}

/// Sends a request and reads its answer within the deadline.
pub fn exchange(connection: &mut Connection, call: &Call<'_>, to: &str, record: &Record) -> Outcome {
    let (id, sent_ms) = send(connection, call, to, record);
    let time = Duration::from_millis(call.deadline_ms);
    connection.stream.set_read_timeout(Some(time)).ok();
    let response = connection.read_response();
    report(&id, response.as_ref(), record);
    Outcome {
        id,
        sent_ms,
        ended_ms: record.millis(),
        response,
        connected: true,
    }
}

pub fn report(id: &str, response: Option<&Response>, record: &Record) {
    match response {
        Some(response) => {
            let whole = if response.complete { "whole" } else { "cut" };
            record.add(format!("client gets {id} {} {whole}", response.status));
        }
        None => record.add(format!("client gets {id} no answer")),
    }
}

/// Sends a request on a new connection and reads its answer.
pub fn call_once(address: SocketAddr, call: &Call<'_>, to: &str, record: &Record) -> Outcome {
    match connect(address) {
        Some(mut connection) => exchange(&mut connection, call, to, record),
        None => {
            let now = record.millis();
            Outcome {
                id: new_id(),
                sent_ms: now,
                ended_ms: now,
                response: None,
                connected: false,
            }
        }
    }
}
