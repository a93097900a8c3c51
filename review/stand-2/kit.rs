//! Stand-ins of the review's cases: the platform's store, runners and clients, and the front daemons as
//! processes. Only the standard library is used.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs::{self, File},
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU16, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

// --- record -------------------------------------------------------------------------------------

/// Writes `record.txt`: what was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            began: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = lock(&self.file);
        let _ = writeln!(file, "{at:9.3} {text}");
    }
}

// --- ports --------------------------------------------------------------------------------------

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns the loopback address of a machine of this run. Runs at the same time have others.
fn host(number: usize) -> Ipv4Addr {
    let run = std::process::id();
    Ipv4Addr::new(
        127,
        20 + (run / 250 % 200) as u8,
        (run % 250) as u8,
        10 + number as u8,
    )
}

/// Returns a port that is free, below the range of outgoing connections.
pub fn free_port() -> u16 {
    let start = std::process::id().wrapping_mul(397) % 18_000;
    loop {
        let step = u32::from(NEXT_PORT.fetch_add(1, Ordering::Relaxed));
        let port = 12_000 + ((start + step) % 18_000) as u16;
        if TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok()
            && TcpListener::bind((host(0), port)).is_ok()
        {
            return port;
        }
    }
}

// --- JSON and base64 ----------------------------------------------------------------------------

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        Some(value)
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Map(map));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = parse_text(bytes, at)?;
                        skip_space(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        map.insert(key, parse_value(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => parse_text(bytes, at).map(Json::Text),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|byte| !b",]} \n\r\t".contains(byte)) {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[start..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                let escaped = *bytes.get(*at + 1)?;
                *at += 2;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b'r' => out.push(b'\r'),
                    b't' => out.push(b'\t'),
                    b'u' => {
                        let code = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let code = char::from_u32(u32::from_str_radix(code, 16).ok()?)?;
                        out.extend(code.to_string().bytes());
                        *at += 4;
                    }
                    other => out.push(other),
                }
            }
            byte => {
                out.push(*byte);
                *at += 1;
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = group.iter().enumerate().fold(0u32, |word, (index, byte)| {
            word | u32::from(*byte) << (16 - 8 * index)
        });
        for index in 0..4 {
            if index <= group.len() {
                text.push(char::from(ALPHABET[(word >> (18 - 6 * index) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for byte in text.bytes() {
        let Some(value) = ALPHABET.iter().position(|known| *known == byte) else {
            break;
        };
        word = word << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    bytes
}

// --- HTTP ---------------------------------------------------------------------------------------

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.headers.iter();
        let line = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        line.map(|(_, value)| value.as_str())
    }

    pub fn id(&self) -> &str {
        self.header("X-Attempt-Id").unwrap_or("")
    }

    fn parameter(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        Some(value.replace("%2F", "/").replace("%00", "\0").replace("%20", " "))
    }
}

pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn read_more(&mut self) -> bool {
        let mut piece = [0; 16_384];
        match self.stream.read(&mut piece) {
            Ok(count) if count > 0 => {
                self.buffer.extend_from_slice(&piece[..count]);
                true
            }
            _ => false,
        }
    }

    fn read_head(&mut self) -> Option<String> {
        loop {
            let end = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = end {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                return Some(String::from_utf8_lossy(&head).into_owned());
            }
            if !self.read_more() {
                return None;
            }
        }
    }

    pub fn read_request(&mut self) -> Option<Request> {
        let head = self.read_head()?;
        let mut lines = head.split("\r\n");
        let mut start = lines.next()?.split(' ');
        let mut request = Request {
            method: start.next()?.to_owned(),
            target: start.next()?.to_owned(),
            headers: lines
                .filter_map(|line| line.split_once(": "))
                .map(|(name, value)| (name.to_owned(), value.to_owned()))
                .collect(),
            body: Vec::new(),
        };
        let length: usize = request.header("Content-Length").unwrap_or("0").parse().ok()?;
        while self.buffer.len() < length {
            if !self.read_more() {
                return None;
            }
        }
        request.body = self.buffer.drain(..length).collect();
        Some(request)
    }

    pub fn write(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    /// Reads one response. Without a complete one, `complete` is false; `None` if not even a head came.
    pub fn read_response(&mut self) -> Option<Response> {
        let head = self.read_head()?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let mut response = Response {
            status,
            head,
            body: Vec::new(),
            complete: false,
        };
        if response.header("Transfer-Encoding").is_some() {
            response.complete = self.read_chunks(&mut response.body);
        } else {
            let length: usize = response.header("Content-Length").unwrap_or("0").parse().ok()?;
            while self.buffer.len() < length && self.read_more() {}
            let count = length.min(self.buffer.len());
            response.body = self.buffer.drain(..count).collect();
            response.complete = count == length;
        }
        Some(response)
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let line = loop {
                if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                    let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                    break String::from_utf8_lossy(&line).trim().to_owned();
                }
                if !self.read_more() {
                    return false;
                }
            };
            let Ok(size) = usize::from_str_radix(&line, 16) else {
                return false;
            };
            while self.buffer.len() < size + 2 {
                if !self.read_more() {
                    let count = size.min(self.buffer.len());
                    body.extend(self.buffer.drain(..count));
                    return false;
                }
            }
            body.extend(self.buffer.drain(..size));
            self.buffer.drain(..2);
            if size == 0 {
                return true;
            }
        }
    }
}

#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    pub complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.split("\r\n").filter_map(|line| line.split_once(": "));
        let line = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        line.map(|(_, value)| value)
    }
}

/// Accepts connections on an address; each has a thread of its own.
pub fn listen(address: SocketAddr, serve: impl Fn(Connection) + Send + Clone + 'static) {
    let listener = TcpListener::bind(address).expect("the address is free");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(Connection::new(stream)));
        }
    });
}

// --- the platform's store -----------------------------------------------------------------------

type RowKey = (String, String);

#[derive(Debug, Clone)]
struct Row {
    value: Vec<u8>,
    version: u64,
}

#[derive(Debug, Clone)]
struct Change {
    key: RowKey,
    value: Option<Vec<u8>>,
    version: u64,
}

#[derive(Debug)]
struct StoreState {
    revision: u64,
    rows: BTreeMap<RowKey, Row>,
    changes: Vec<Change>,
    /// Feeds from an earlier version get 410.
    compacted: u64,
    began: Instant,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let store = Self {
            address,
            state: Arc::new(Mutex::new(StoreState {
                revision: 100,
                rows: BTreeMap::new(),
                changes: Vec::new(),
                compacted: 0,
                began: Instant::now(),
            })),
            record: record.clone(),
        };
        let server = store.clone();
        listen(address, move |connection| server.serve(connection));
        store
    }

    /// Writes a row on behalf of the operator, a runner or another writer.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        lock(&self.state).write(table, key, Some(value.as_bytes().to_vec()));
    }

    pub fn remove(&self, table: &str, key: &str) {
        lock(&self.state).write(table, key, None);
    }

    pub fn row(&self, table: &str, key: &str) -> Option<String> {
        let state = lock(&self.state);
        let row = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        Some(String::from_utf8_lossy(&row.value).into_owned())
    }

    fn serve(&self, mut connection: Connection) {
        while let Some(request) = connection.read_request() {
            let (status, body) = self.answer(&request);
            let text = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if !connection.write(&text) {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let path = request.target.split('?').next().unwrap_or("");
        let table = request.parameter("table").unwrap_or_default();
        match path {
            "/v1/rows-get" => {
                let from = request.parameter("from").unwrap_or_default();
                let to = request.parameter("to");
                (200, lock(&self.state).read(&table, &from, to.as_deref()))
            }
            "/v1/rows-feed" => {
                let number = |name| request.parameter(name).and_then(|text| text.parse().ok());
                let after: u64 = number("after_revision").unwrap_or(0);
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                let until = Instant::now() + wait;
                loop {
                    let state = lock(&self.state);
                    if after < state.compacted || after > state.revision {
                        return (410, "{}".to_owned());
                    }
                    if let Some(body) = state.changed(&table, after) {
                        return (200, body);
                    }
                    if Instant::now() >= until {
                        return (200, state.page(&[]));
                    }
                    drop(state);
                    sleep_ms(4);
                }
            }
            "/v1/rows-tx" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let Some(body) = Json::parse(&body) else {
                    return (400, "{}".to_owned());
                };
                let answer = lock(&self.state).transact(&body);
                for put in body.get("puts").list() {
                    if put.get("table").text() != "savorywood-members" {
                        let value = unbase64(put.get("value").text());
                        self.record.line(&format!(
                            "store: write {}/{} = {} -> {}",
                            put.get("table").text(),
                            put.get("key").text(),
                            String::from_utf8_lossy(&value),
                            answer.0
                        ));
                    }
                }
                answer
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

impl StoreState {
    fn write(&mut self, table: &str, key: &str, value: Option<Vec<u8>>) {
        self.revision += 1;
        let version = self.revision;
        let key = (table.to_owned(), key.to_owned());
        match &value {
            Some(value) => {
                let value = value.clone();
                self.rows.insert(key.clone(), Row { value, version });
            }
            None => {
                self.rows.remove(&key);
            }
        }
        self.changes.push(Change { key, value, version });
    }

    fn page(&self, rows: &[String]) -> String {
        format!(
            "{{\"rows\":[{}],\"truncated\":false,\"row_version\":{},\"now_ms\":{}}}",
            rows.join(","),
            self.revision,
            self.began.elapsed().as_millis()
        )
    }

    fn read(&self, table: &str, from: &str, to: Option<&str>) -> String {
        let rows = self.rows.iter().filter(|((of, key), _)| {
            of == table && key.as_str() >= from && to.is_none_or(|to| key.as_str() < to)
        });
        let rows: Vec<String> = rows
            .map(|((_, key), row)| row_text(table, key, Some(&row.value), row.version))
            .collect();
        self.page(&rows)
    }

    fn changed(&self, table: &str, after: u64) -> Option<String> {
        let changes = self.changes.iter();
        let changes = changes.filter(|change| change.key.0 == table && change.version > after);
        let rows: Vec<String> = changes
            .map(|change| row_text(table, &change.key.1, change.value.as_deref(), change.version))
            .collect();
        (!rows.is_empty()).then(|| self.page(&rows))
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        for row in body.get("expected_revision").list() {
            let key = (
                row.get("table").text().to_owned(),
                row.get("key").text().to_owned(),
            );
            let version = self.rows.get(&key).map_or(0, |row| row.version);
            if row.get("row_version").number() as u64 != version {
                return (412, self.page(&[]));
            }
        }
        for row in body.get("puts").list() {
            let value = unbase64(row.get("value").text());
            self.write(row.get("table").text(), row.get("key").text(), Some(value));
        }
        for row in body.get("remove").list() {
            self.write(row.get("table").text(), row.get("key").text(), None);
        }
        (200, self.page(&[]))
    }
}

fn row_text(table: &str, key: &str, value: Option<&[u8]>, version: u64) -> String {
    let mut text = format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",");
    match value {
        Some(value) => write!(text, "\"value\":\"{}\",", base64(value)),
        None => write!(text, "\"tombstone\":true,"),
    }
    .expect("a text grows");
    write!(text, "\"row_version\":{version}}}").expect("a text grows");
    text
}

// --- front daemons ------------------------------------------------------------------------------

/// Processes that were started, so that none outlives a run that ends early.
static STARTED: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// A front daemon, started with the command of the deploy file. It is killed when dropped.
pub struct Front {
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    child: Arc<Mutex<Child>>,
}

impl Drop for Front {
    fn drop(&mut self) {
        end_child(&self.child);
    }
}

fn end_child(child: &Mutex<Child>) {
    let mut child = lock(child);
    let _ = child.kill();
    let _ = child.wait();
}

/// Settings of a deployment that all daemons have in common.
pub struct Deployment {
    pub folder: PathBuf,
    pub peer_port: u16,
    pub store: SocketAddr,
    pub grace_s: f64,
    pub memory_mb: u64,
}

impl Deployment {
    pub fn new(store: &Store) -> Self {
        let folder = std::env::temp_dir().join(format!("savorywood-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Self {
            folder,
            peer_port: free_port(),
            store: store.address,
            grace_s: 8.0,
            memory_mb: 260,
        }
    }

    /// Starts the daemon with a number, and waits until it is ready.
    pub fn start(&self, number: usize) -> Front {
        let (callers, admin) = (free_port(), free_port());
        let ip = host(number);
        let text = format!(
            "{{\"host\": \"front-{number}\", \"zone\": \"zone-a\", \"zone_regions\": {{\"zone-a\": \"region-a\"}},\n\
             \"first_start\": true,\n\
             \"listen\": {{\"callers\": \"{ip}:{callers}\", \"readiness\": \"{ip}:{admin}\",\n\
             \"directory\": \"{ip}:{admin}\", \"metrics\": \"{ip}:{admin}\", \"peers\": \"{ip}:{}\"}},\n\
             \"seeds\": [\"{}:1\", \"{}:1\", \"{}:1\"], \"store\": {{\"address\": \"{}\"}},\n\
             \"bounds\": {{\"revocation_ms\": 5000, \"retry_ratio\": 0.2, \"retry_slack\": 54, \"retry_window_s\": 10,\n\
             \"limit_window_s\": 8, \"limit_overage\": 0.1, \"limit_slack\": 190000, \"exposure_share\": 0.1,\n\
             \"address_ttl_s\": 5, \"grace_s\": {}}},\n\
             \"limits\": {{\"memory_mb\": {}, \"processor_share\": 0.25, \"cores\": 1, \"link_mbps\": 1000.0, \"descriptors\": 4100}}}}\n",
            self.peer_port,
            host(0),
            host(1),
            host(2),
            self.store,
            self.grace_s,
            self.memory_mb
        );
        let settings = self.folder.join(format!("front-{number}.json"));
        fs::write(&settings, text).expect("the settings are written");
        let log = self.folder.join(format!("front-{number}.log"));
        let child = spawn(&settings, &log);
        let child = Arc::new(Mutex::new(child));
        lock(&STARTED).push(Arc::clone(&child));
        let front = Front {
            callers: SocketAddr::from((ip, callers)),
            admin: SocketAddr::from((ip, admin)),
            child,
        };
        front.wait_ready();
        front
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("a log file");
    Command::new("target/release/savorywood-front")
        .env_clear()
        .env("SAVORYWOOD_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log file"))
        .stderr(log)
        .spawn()
        .expect("the front daemon starts; build it first")
}

impl Front {
    pub fn get(&self, path: &str) -> Option<Response> {
        let stream = TcpStream::connect_timeout(&self.admin, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        let mut connection = Connection::new(stream);
        connection.write(&format!(
            "GET {path} HTTP/1.1\r\nHost: admin\r\nConnection: close\r\n\r\n"
        ));
        connection.read_response()
    }

    pub fn is_ready(&self) -> bool {
        self.get("/v1/readiness")
            .is_some_and(|response| response.status == 200)
    }

    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > until {
                unable("a front daemon did not become ready");
            }
            sleep_ms(20);
        }
    }
}

/// Ends the run with 2: the case could not run.
pub fn unable(cause: &str) -> ! {
    eprintln!("could not run: {cause}");
    for child in lock(&STARTED).iter() {
        end_child(child);
    }
    std::process::exit(2);
}
