//! Blocking HTTP/1.1 for the stand-ins: one thread a connection.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let line = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    line.map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a query parameter, percent-decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(key, _)| *key == name)?.1;
        let (mut out, mut bytes) = (Vec::new(), value.bytes());
        while let Some(byte) = bytes.next() {
            if byte == b'%' {
                let digits = [bytes.next()?, bytes.next()?];
                let text = std::str::from_utf8(&digits).ok()?;
                out.push(u8::from_str_radix(text, 16).ok()?);
            } else {
                out.push(byte);
            }
        }
        String::from_utf8(out).ok()
    }
}

pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn read_more(&mut self) -> bool {
        let mut chunk = [0; 16_384];
        loop {
            return match self.stream.read(&mut chunk) {
                Ok(count) if count > 0 => {
                    self.buffer.extend_from_slice(&chunk[..count]);
                    true
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                _ => false,
            };
        }
    }

    /// Reads at most `count` bytes.
    pub fn read_some(&mut self, count: usize) {
        let mut piece = vec![0; count];
        if let Ok(count) = self.stream.read(&mut piece) {
            self.buffer.extend_from_slice(&piece[..count]);
        }
    }

    fn read_head(&mut self) -> Option<(String, Vec<(String, String)>)> {
        let end = loop {
            let found = self.buffer.windows(4).position(|part| part == b"\r\n\r\n");
            match found {
                Some(end) => break end + 4,
                None if self.read_more() => {}
                None => return None,
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let head = String::from_utf8(head).ok()?;
        let mut lines = head.split("\r\n");
        let first = lines.next()?.to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
            .collect();
        Some((first, headers))
    }

    fn read_length(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.read_more() {
                return None;
            }
        }
        Some(self.buffer.drain(..length).collect())
    }

    pub fn read_request(&mut self) -> Option<Request> {
        let (first, headers) = self.read_head()?;
        let mut words = first.split(' ');
        let method = words.next()?.to_owned();
        let target = words.next()?.to_owned();
        let length = find(&headers, "content-length").unwrap_or("0");
        let body = self.read_length(length.parse().ok()?)?;
        Some(Request {
            method,
            target,
            headers,
            body,
        })
    }

    /// Reads a response; `None` if the connection ends before a complete head.
    pub fn read_response(&mut self) -> Option<Response> {
        let (first, headers) = self.read_head()?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let mut response = Response {
            status,
            headers,
            body: Vec::new(),
            complete: false,
        };
        if find(&response.headers, "transfer-encoding").is_some() {
            while let Some(chunk) = self.read_chunk() {
                if chunk.is_empty() {
                    response.complete = true;
                    break;
                }
                response.body.extend_from_slice(&chunk);
            }
        } else {
            let length = find(&response.headers, "content-length").unwrap_or("0");
            let length: usize = length.parse().ok()?;
            while self.buffer.len() < length && self.read_more() {}
            let count = self.buffer.len().min(length);
            response.body = self.buffer.drain(..count).collect();
            response.complete = count == length;
        }
        Some(response)
    }

    fn read_chunk(&mut self) -> Option<Vec<u8>> {
        let end = loop {
            let found = self.buffer.windows(2).position(|part| part == b"\r\n");
            match found {
                Some(end) => break end,
                None if self.read_more() => {}
                None => return None,
            }
        };
        let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
        let size = std::str::from_utf8(&line[..end]).ok()?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        let mut chunk = self.read_length(size + 2)?;
        chunk.truncate(size);
        Some(chunk)
    }

    pub fn write(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    /// Returns whether the peer has closed the connection, without consuming bytes.
    pub fn is_closed(&self) -> bool {
        self.stream.set_nonblocking(true).ok();
        let peeked = self.stream.peek(&mut [0; 1]);
        self.stream.set_nonblocking(false).ok();
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }
}

#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The body has its stated length, or ended with the last chunk.
    pub complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// Serves connections at a free loopback port until the process ends.
pub fn listen(handle: impl Fn(Connection) + Send + Clone + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(Connection::new(stream)));
        }
    });
    address
}

/// Serves connections at a free loopback port, which refuses connections while `is_up` is false.
pub fn listen_while(
    is_up: impl Fn() -> bool + Send + 'static,
    handle: impl Fn(Connection) + Send + Clone + 'static,
) -> SocketAddr {
    let first = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let address = first.local_addr().expect("an address");
    thread::spawn(move || {
        let mut listener = Some(first);
        loop {
            if !is_up() {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(address).ok();
            }
            let Some(open) = &listener else {
                sleep_ms(5);
                continue;
            };
            open.set_nonblocking(true).ok();
            match open.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).ok();
                    let handle = handle.clone();
                    thread::spawn(move || handle(Connection::new(stream)));
                }
                Err(_) => sleep_ms(1),
            }
        }
    });
    address
}

pub fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// Sends a GET request on a connection of its own.
pub fn get(address: SocketAddr, target: &str, time: Duration) -> Option<Response> {
    let stream = TcpStream::connect_timeout(&address, time).ok()?;
    stream.set_read_timeout(Some(time)).ok()?;
    let mut connection = Connection::new(stream);
    let text = format!("GET {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    connection.write(&text).then_some(())?;
    connection.read_response()
}

/// Waits until `condition` holds; returns false after `time`.
pub fn wait_until(time: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < time {
        if condition() {
            return true;
        }
        sleep_ms(20);
    }
    false
}
