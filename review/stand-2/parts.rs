//! Runners, clients and the operator's configuration that the cases share.

use crate::kit::{
    Connection, Deployment, Front, Json, Record, Request, Store, free_port, listen, lock, sleep_ms,
};
use std::{
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Limits of the operator's configuration, as in the example of the pages.
const LIMITS: &str = "{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";

/// A configuration with these routes and services, and one tenant.
pub fn configuration(version: u64, routes: &[&str], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":360,\
                 \"protocol\":\"h1\",\"transport_security\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{LIMITS},\
         \"tenants\":[{{\"name\":\"shop\",\"api_keys\":[\"key-1\"],\"priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// One run of a request at a runner.
#[derive(Debug, Clone)]
pub struct RunEntry {
    pub at: Instant,
}

/// How a runner behaves beside its stop and crash.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Time to the first event of a stream, or to the answer.
    pub first_ms: u64,
    pub gap_ms: u64,
    pub events: u64,
    /// Value of `Server-Limit` in all answers, if the runner is in need.
    pub limit: Option<&'static str>,
    /// Requests whose path begins so get 500 after they have run.
    pub fails: Option<&'static str>,
}

/// A sound runner, registered in the store by its heartbeats.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub version: String,
    pub service: String,
    pub address: SocketAddr,
    pub slots: usize,
    state: Arc<RunnerState>,
    record: Record,
}

struct RunnerState {
    pace: Pace,
    running: AtomicUsize,
    runs: Mutex<Vec<RunEntry>>,
    /// The process has ended, by a crash or a stop.
    ended: AtomicBool,
    sequence: AtomicU64,
    open: Mutex<Vec<TcpStream>>,
}

impl Runner {
    pub fn start(record: &Record, id: &str, service: &str, version: &str, slots: usize, pace: Pace) -> Self {
        let runner = Self {
            id: id.to_owned(),
            version: version.to_owned(),
            service: service.to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], free_port())),
            slots,
            state: Arc::new(RunnerState {
                pace,
                running: AtomicUsize::new(0),
                runs: Mutex::default(),
                ended: AtomicBool::new(false),
                sequence: AtomicU64::new(4),
                open: Mutex::default(),
            }),
            record: record.clone(),
        };
        let server = runner.clone();
        listen_until(runner.address, Arc::clone(&runner.state), move |connection| {
            server.serve(connection);
        });
        runner
    }

    /// The registration as the pages show it.
    pub fn entry(&self) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"{}\",\"slots\":{},\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{},\"born\":1790000000000}}",
            self.service,
            self.address,
            self.version,
            self.slots,
            self.state.sequence.load(Ordering::SeqCst)
        )
    }

    pub fn register(&self, store: &Store) {
        store.put("servers", &self.id, &self.entry());
        self.record.line(&format!(
            "runner {} ({} {}) registers",
            self.id, self.service, self.version
        ));
    }

    pub fn runs(&self) -> Vec<RunEntry> {
        lock(&self.state.runs).clone()
    }

    /// Ends the process at once: connections are closed and new ones refused.
    pub fn end(&self) {
        self.state.ended.store(true, Ordering::SeqCst);
        for stream in lock(&self.state.open).drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        // The listener sees it with its next connection.
        let _ = TcpStream::connect(self.address);
    }

    fn has_ended(&self) -> bool {
        self.state.ended.load(Ordering::SeqCst)
    }

    fn serve(&self, mut connection: Connection) {
        if let Ok(stream) = connection.stream.try_clone() {
            lock(&self.state.open).push(stream);
        }
        while let Some(request) = connection.read_request() {
            if self.has_ended() || !self.answer(&mut connection, &request) {
                return;
            }
        }
    }

    fn answer(&self, connection: &mut Connection, request: &Request) -> bool {
        let id = request.id();
        if request.header("X-Expect-Instance") != Some(&self.id) {
            return connection.write(&format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\nX-Instance: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            ));
        }
        let running = self.state.running.fetch_add(1, Ordering::SeqCst);
        let kept = if running >= self.slots {
            connection.write(&format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            ))
        } else {
            lock(&self.state.runs).push(RunEntry { at: Instant::now() });
            self.record
                .line(&format!("runner {} ({}) runs {id}", self.id, self.version));
            self.execute(connection, request)
        };
        self.state.running.fetch_sub(1, Ordering::SeqCst);
        kept
    }

    fn execute(&self, connection: &mut Connection, request: &Request) -> bool {
        let Pace {
            first_ms,
            gap_ms,
            events,
            limit,
            fails,
        } = self.state.pace;
        let id = request.id();
        let limit = limit.map_or_else(String::new, |limit| format!("Server-Limit: {limit}\r\n"));
        let lines = format!(
            "X-Attempt-Id: {id}\r\nX-Server-Seal: seal.{}.{id}\r\nX-Server-Load: {},0,{}\r\n{limit}",
            self.id,
            self.state.running.load(Ordering::SeqCst),
            self.slots
        );
        if !self.wait(connection, first_ms) {
            return false;
        }
        if fails.is_some_and(|path| request.target.starts_with(path)) {
            return connection.write(&format!(
                "HTTP/1.1 500 Internal Server Error\r\n{lines}Content-Length: 4\r\n\r\noops"
            ));
        }
        if request.header("X-Token-Counts").is_none() {
            let body = format!("{} ran {id}", self.id);
            return connection.write(&format!(
                "HTTP/1.1 200 OK\r\n{lines}Content-Length: {}\r\n\r\n{body}",
                body.len()
            ));
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{lines}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if !connection.write(&head) {
            return false;
        }
        for number in 1..=events {
            let event = format!("id: {number}\ndata: {id} piece {number}\n\n");
            if !connection.write(&format!("{:x}\r\n{event}\r\n", event.len())) {
                return false;
            }
            if number < events && !self.wait(connection, gap_ms) {
                return false;
            }
        }
        connection.write("0\r\n\r\n")
    }

    /// Works for a time; stops when the connection closes, as most runners do.
    fn wait(&self, connection: &mut Connection, millis: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(millis);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return !self.has_ended();
            }
            if self.has_ended() || is_closed(connection) {
                return false;
            }
            thread::sleep(left.min(Duration::from_millis(10)));
        }
    }
}

fn listen_until(
    address: SocketAddr,
    state: Arc<RunnerState>,
    serve: impl Fn(Connection) + Send + Clone + 'static,
) {
    let listener = std::net::TcpListener::bind(address).expect("the address is free");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if state.ended.load(Ordering::SeqCst) {
                return;
            }
            let serve = serve.clone();
            thread::spawn(move || serve(Connection::new(stream)));
        }
    });
}

/// Reports whether the peer has closed the connection.
pub fn is_closed(connection: &Connection) -> bool {
    let stream = &connection.stream;
    let _ = stream.set_nonblocking(true);
    let mut byte = [0; 1];
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// How a client's request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// Complete success with a seal.
    Served,
    Status(u16),
    /// The connection ended without a complete answer.
    Cut,
    /// The client has left as it received nothing for too long.
    Left,
}

/// A request as sent by a client.
#[derive(Debug, Clone)]
pub struct Sent {
    pub id: String,
    pub at: Instant,
    pub end: End,
}

/// A route as clients use it.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    pub method: &'static str,
    pub path: &'static str,
    pub stream: bool,
    pub deadline_ms: u64,
    /// Time without data after which the client leaves.
    pub patience_ms: u64,
}

/// Sends one request on a new connection and waits for its end.
pub fn call(record: &Record, front: SocketAddr, call: Call, id: &str) -> Sent {
    let at = Instant::now();
    record.line(&format!("client sends {id} ({} {})", call.method, call.path));
    let end = exchange(front, call, id);
    record.line(&format!(
        "client: {id} ends: {end:?} after {} ms",
        at.elapsed().as_millis()
    ));
    Sent {
        id: id.to_owned(),
        at,
        end,
    }
}

fn exchange(front: SocketAddr, call: Call, id: &str) -> End {
    let Ok(stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        return End::Cut;
    };
    let patience = Duration::from_millis(call.patience_ms.min(call.deadline_ms));
    let _ = stream.set_read_timeout(Some(patience));
    let mut connection = Connection::new(stream);
    let prompt = if call.stream {
        format!(
            "X-Model: m\r\nX-Token-Counts: 688,80\r\nX-Prompt-Prefix: 5c1e07a2:60,{}:628\r\n",
            hex(id)
        )
    } else {
        String::new()
    };
    let body = if call.method == "GET" { "" } else { "order" };
    let length = if body.is_empty() {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    let began = Instant::now();
    let text = format!(
        "{} {}{id} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\n{prompt}\
         Authorization: Token key-1\r\n{length}\r\n{body}",
        call.method, call.path, call.deadline_ms
    );
    if !connection.write(&text) {
        return End::Cut;
    }
    match connection.read_response() {
        Some(response) if response.status != 200 => End::Status(response.status),
        Some(response) if response.complete && response.header("X-Server-Seal").is_some() => End::Served,
        Some(_) if began.elapsed() >= patience => End::Left,
        Some(_) => End::Cut,
        None if began.elapsed() >= patience => End::Left,
        None => End::Cut,
    }
}

fn hex(id: &str) -> String {
    let digest = id.bytes().fold(0xcbf2_9ce4_u32, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    });
    format!("{digest:08x}")
}

/// The addresses that the directory returns, asked for again each second as clients do. A response is
/// kept for longer if there is no new one.
#[derive(Clone)]
pub struct Directory(Arc<Mutex<Vec<SocketAddr>>>);

impl Directory {
    pub fn follow(record: &Record, fronts: &[Front]) -> Self {
        let addresses = Arc::new(Mutex::new(
            fronts.iter().map(|front| front.callers).collect::<Vec<_>>(),
        ));
        let directories: Vec<SocketAddr> = fronts.iter().map(|front| front.admin).collect();
        let (book, record) = (Arc::clone(&addresses), record.clone());
        thread::spawn(move || {
            loop {
                if let Some(found) = directories.iter().find_map(|directory| resolve(*directory)) {
                    let mut known = lock(&book);
                    if *known != found {
                        record.line(&format!("clients: the directory names {found:?}"));
                        *known = found;
                    }
                }
                sleep_ms(1_000);
            }
        });
        sleep_ms(200);
        Self(addresses)
    }

    fn address(&self, number: usize) -> SocketAddr {
        let addresses = lock(&self.0);
        addresses[number % addresses.len()]
    }
}

fn resolve(directory: SocketAddr) -> Option<Vec<SocketAddr>> {
    let stream = TcpStream::connect_timeout(&directory, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let mut connection = Connection::new(stream);
    connection.write(
        "GET /v1/resolution?name=shop.example&region=region-a&zone=zone-a HTTP/1.1\r\nHost: directory\r\n\r\n",
    );
    let response = connection
        .read_response()
        .filter(|response| response.status == 200)?;
    let body = Json::parse(&String::from_utf8_lossy(&response.body))?;
    let found: Vec<SocketAddr> = body
        .get("addresses")
        .list()
        .iter()
        .filter_map(|address| address.text().parse().ok())
        .collect();
    (!found.is_empty()).then_some(found)
}

/// Sends requests at a steady rate to the daemons that the directory names, in turn, until `until`.
pub struct Load {
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Arc<Mutex<Vec<thread::JoinHandle<()>>>>,
    driver: thread::JoinHandle<()>,
}

impl Load {
    pub fn start(
        record: &Record,
        directory: &Directory,
        route: Call,
        name: &str,
        per_s: f64,
        until: Instant,
    ) -> Self {
        let directory = directory.clone();
        let (sent, threads) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(Vec::new())));
        let (record, name) = (record.clone(), name.to_owned());
        let (all, started) = (Arc::clone(&sent), Arc::clone(&threads));
        let driver = thread::spawn(move || {
            let began = Instant::now();
            let mut number = 0;
            while Instant::now() < until {
                let due = began + Duration::from_secs_f64(f64::from(number) / per_s);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let front = directory.address(number as usize);
                let id = format!("{name}-{number:05}");
                let (record, all) = (record.clone(), Arc::clone(&all));
                let handle = thread::spawn(move || {
                    let sent = call(&record, front, route, &id);
                    lock(&all).push(sent);
                });
                lock(&started).push(handle);
                number += 1;
            }
        });
        Self {
            sent,
            threads,
            driver,
        }
    }

    /// Waits for the end of all requests.
    pub fn finish(self) -> Vec<Sent> {
        let _ = self.driver.join();
        let threads = std::mem::take(&mut *lock(&self.threads));
        for thread in threads {
            let _ = thread.join();
        }
        let mut sent = lock(&self.sent).clone();
        sent.sort_by_key(|request| request.at);
        sent
    }
}

/// Starts daemons that all know each other.
pub fn start_fronts(deployment: &Deployment, count: usize) -> Vec<Front> {
    let fronts: Vec<Front> = (0..count).map(|number| deployment.start(number)).collect();
    sleep_ms(2_000);
    fronts
}

/// Stops the old runners of a service at once when the status of its roll-out says `completed`, as the
/// platform does. Returns whether it does.
pub fn stop_completed(record: &Record, store: &Store, service: &str, old: &[Runner]) -> bool {
    let status = store
        .row("status", &format!("rollout/{service}"))
        .unwrap_or_default();
    if !status.contains("\"completed\"") {
        return false;
    }
    for runner in old.iter().filter(|runner| !runner.has_ended()) {
        record.line(&format!(
            "platform: the roll-out is completed, the old runner {} stops",
            runner.id
        ));
        runner.end();
        store.remove("servers", &runner.id);
    }
    true
}

/// Returns whether the requests to the first service are served less than a quarter as often as all.
pub fn is_starved(record: &Record, own: (&str, &[Sent]), other: (&str, &[Sent])) -> bool {
    let count = |sent: &[Sent]| {
        let served = sent.iter().filter(|sent| sent.end == End::Served);
        (served.count() as f64, sent.len() as f64)
    };
    let ((served, asked), (other_served, other_asked)) = (count(own.1), count(other.1));
    let share = served / asked.max(1.0);
    let all = (served + other_served) / (asked + other_asked).max(1.0);
    record.line(&format!(
        "served: {served} of {asked} requests to {}, {other_served} of {other_asked} to {}: {share:.3} against {all:.3} of all",
        own.0, other.0
    ));
    let last = own
        .1
        .iter()
        .filter(|sent| sent.end == End::Served)
        .map(|sent| sent.at)
        .max();
    let end = own.1.iter().map(|sent| sent.at).max();
    if let (Some(last), Some(end)) = (last, end) {
        record.line(&format!(
            "the last request that was served was sent {:.1} s before the end",
            (end - last).as_secs_f64()
        ));
    }
    share < all / 4.0
}

/// Listens as a server that is no runner.
pub fn other_server(serve: impl Fn(Connection) + Send + Clone + 'static) -> SocketAddr {
    let address = SocketAddr::from(([127, 0, 0, 1], free_port()));
    listen(address, serve);
    address
}
