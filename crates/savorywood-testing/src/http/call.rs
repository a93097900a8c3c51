//! One call.

use super::stream::{TestReply, TestStream};
use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A call ends within this time unless told otherwise.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// One header line.
#[derive(Debug, Clone)]
struct CallHeader {
    name: String,
    value: String,
}

/// One call on a connection of its own.
#[derive(Debug, Clone)]
pub struct TestCall {
    address: SocketAddr,
    method: String,
    target: String,
    headers: Vec<CallHeader>,
    body: Vec<u8>,
    timeout: Duration,
}

impl TestCall {
    /// A call without a body.
    #[must_use]
    pub fn new(address: SocketAddr, method: &str, target: &str) -> Self {
        Self {
            address,
            method: method.to_owned(),
            target: target.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// `GET` of a path.
    #[must_use]
    pub fn get(address: SocketAddr, target: &str) -> Self {
        Self::new(address, "GET", target)
    }

    /// `POST` to a path.
    #[must_use]
    pub fn post(address: SocketAddr, target: &str, body: impl Into<Vec<u8>>) -> Self {
        Self::new(address, "POST", target).body(body)
    }

    /// `PUT` to a path.
    #[must_use]
    pub fn put(address: SocketAddr, target: &str, body: impl Into<Vec<u8>>) -> Self {
        Self::new(address, "PUT", target).body(body)
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push(CallHeader {
            name: name.to_owned(),
            value: value.to_owned(),
        });
        self
    }

    /// Adds a bearer token.
    #[must_use]
    pub fn token(self, token: &str) -> Self {
        self.header("Authorization", &format!("Bearer {token}"))
    }

    /// Sets the body.
    #[must_use]
    pub fn body(self, body: impl Into<Vec<u8>>) -> Self {
        let body = body.into();
        Self { body, ..self }
    }

    /// Longest wait for the connection, and for each piece of the answer.
    #[must_use]
    pub fn timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }

    /// Sends the call and reads the whole answer.
    ///
    /// # Errors
    ///
    /// No connection, no answer in time, or an answer that is not whole.
    pub fn send(&self) -> io::Result<TestReply> {
        self.open()?.into_reply()
    }

    /// Sends the call and reads the head of the answer.
    ///
    /// # Errors
    ///
    /// No connection, or no head in time.
    pub fn open(&self) -> io::Result<TestStream> {
        let mut stream = TcpStream::connect_timeout(&self.address, self.timeout)?;
        stream.set_read_timeout(Some(self.timeout))?;
        stream.set_write_timeout(Some(self.timeout))?;
        stream.set_nodelay(true)?;
        stream.write_all(&self.bytes())?;
        TestStream::read_head(stream)
    }

    fn bytes(&self) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        head.push_str(&format!("Host: {}\r\nConnection: close\r\n", self.address));
        for header in &self.headers {
            head.push_str(&format!("{}: {}\r\n", header.name, header.value));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}
