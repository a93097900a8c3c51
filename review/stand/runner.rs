//! Stand-in for a runner.

use crate::{
    http::{Connection, Request, listen, sleep_ms},
    record::Record,
    store::Store,
};
use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// How a runner works, and what of its answers is spoiled.
#[derive(Debug, Clone)]
pub struct Work {
    pub service: &'static str,
    pub slots: usize,
    /// Requests that may wait for a slot; further ones are rejected.
    pub queue: usize,
    /// Mean work of a request that isn't a stream; it is spread evenly from a third to five thirds.
    pub work_ms: u64,
    /// Size of an answer that isn't a stream, in bytes.
    pub answer_bytes: usize,
    /// Events of a stream, and the mean pause between them, which differs by stream.
    pub events: u64,
    pub gap_ms: u64,
    /// All requests take the mean time.
    pub even: bool,
    /// Percent of its requests that a runner sheds, without running them.
    pub shed_percent: u64,
    /// For each so many answers, a rejection is followed by a copy that arrives late, at the point where
    /// the next response on the connection is expected; 0 for none.
    pub late_copy_each: u64,
}

impl Default for Work {
    fn default() -> Self {
        Self {
            service: "franchise-api",
            slots: 6,
            queue: 4,
            work_ms: 60,
            answer_bytes: 800,
            events: 20,
            gap_ms: 50,
            even: false,
            shed_percent: 0,
            late_copy_each: 0,
        }
    }
}

/// A request that a runner began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub runner: String,
    /// Milliseconds since the case began.
    pub at_ms: u64,
    pub target: String,
}

/// A request that reached a runner, whether it ran or was rejected.
pub type Arrival = Run;

#[derive(Default)]
struct Shared {
    running: Mutex<usize>,
    waiting: Mutex<VecDeque<u64>>,
    tickets: AtomicU64,
    answers: AtomicU64,
    copies_due: Mutex<usize>,
    gone: AtomicBool,
    /// The runner sheds requests and spoils answers.
    is_spoiled: AtomicBool,
    runs: Mutex<Vec<Run>>,
    arrivals: Mutex<Vec<Arrival>>,
}

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    work: Work,
    born: u64,
    shared: Arc<Shared>,
}

impl Runner {
    pub fn start(id: &str, work: Work, record: &Record) -> Self {
        let shared = Arc::new(Shared::default());
        let seen = Server {
            id: id.to_owned(),
            work: work.clone(),
            shared: Arc::clone(&shared),
            record: record.clone(),
        };
        let address = listen(move |connection| seen.serve(connection));
        let born = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(1, |time| time.as_millis() as u64);
        Self {
            id: id.to_owned(),
            address,
            work,
            born,
            shared,
        }
    }

    /// Writes the entry of the runner, as its heartbeat does.
    pub fn register(&self, store: &Store, state: &str) {
        let (service, slots) = (self.work.service, self.work.slots);
        let value = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"be-central-a\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":{}}}",
            self.address, self.born
        );
        store.put("servers", &self.id, &value);
    }

    /// Ends the runner: its connections are closed, and it accepts no others.
    pub fn exit(&self) {
        self.shared.gone.store(true, Ordering::SeqCst);
    }

    /// Begins or ends the time in which the runner sheds requests and spoils answers.
    pub fn spoil(&self, is_spoiled: bool) {
        self.shared.is_spoiled.store(is_spoiled, Ordering::SeqCst);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().unwrap().clone()
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.arrivals.lock().unwrap().clone()
    }
}

#[derive(Clone)]
struct Server {
    id: String,
    work: Work,
    shared: Arc<Shared>,
    record: Record,
}

impl Server {
    fn is_gone(&self) -> bool {
        self.shared.gone.load(Ordering::SeqCst)
    }

    /// Returns the time that a request takes, in three hundredths of the mean; it depends on its id.
    fn spread(&self, id: &str) -> u64 {
        let sum = id.bytes().fold(7_u64, |sum, byte| sum.wrapping_mul(131) + u64::from(byte));
        if self.work.even { 300 } else { 100 + sum % 401 }
    }

    fn is_spoiled(&self) -> bool {
        self.shared.is_spoiled.load(Ordering::SeqCst)
    }

    /// Returns whether this request is one of those that the runner sheds.
    fn sheds(&self) -> bool {
        let number = self.shared.tickets.load(Ordering::SeqCst);
        self.is_spoiled() && number * 37 % 100 < self.work.shed_percent
    }

    fn load(&self) -> String {
        let running = *self.shared.running.lock().unwrap();
        let waiting = self.shared.waiting.lock().unwrap().len();
        format!("{running},{waiting},{}", self.work.slots)
    }

    fn serve(&self, mut connection: Connection) {
        let mut late_copy: Option<String> = None;
        if self.is_gone() {
            return;
        }
        while let Some(request) = connection.read_request() {
            if self.is_gone() {
                return;
            }
            if let Some(copy) = late_copy.take() {
                self.record
                    .add(format!("{} sends a late copy of an earlier answer", self.id));
                if !connection.write(&copy) {
                    return;
                }
            }
            let Some(answer) = self.answer(&mut connection, &request) else {
                return;
            };
            let number = self.shared.answers.fetch_add(1, Ordering::SeqCst) + 1;
            let each = self.work.late_copy_each;
            if self.is_spoiled() && each > 0 {
                let mut due = self.shared.copies_due.lock().unwrap();
                *due += usize::from(number.is_multiple_of(each));
                if *due > 0 && answer.starts_with("HTTP/1.1 503") {
                    *due -= 1;
                    late_copy = Some(answer);
                }
            }
        }
    }

    /// Answers one request; `None` if the connection can't be used again.
    fn answer(&self, connection: &mut Connection, request: &Request) -> Option<String> {
        let id = request.header("X-Attempt-Id").unwrap_or_default().to_owned();
        if request.path() == "/health" {
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Instance: {}\r\nX-Server-Load: {}\r\nContent-Length: 0\r\n\r\n",
                self.id,
                self.load()
            );
            return connection.write(&text).then_some(text);
        }
        if request.header("X-Expect-Instance").is_some_and(|name| name != self.id) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\nX-Instance: {}\r\n\
                 Content-Length: 0\r\n\r\n",
                self.id
            );
            return connection.write(&text).then_some(text);
        }
        let run = Run {
            id: id.clone(),
            runner: self.id.clone(),
            at_ms: self.record.millis(),
            target: request.target.clone(),
        };
        self.shared.arrivals.lock().unwrap().push(run.clone());
        let deadline = request.header("X-Deadline-Ms").and_then(|text| text.parse().ok());
        let until = Instant::now() + Duration::from_millis(deadline.unwrap_or(60_000));
        if !self.take_slot(connection, until) {
            self.record.add(format!("{} rejects {id}", self.id));
            let text = format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n\
                 X-Server-Load: {}\r\nContent-Length: 0\r\n\r\n",
                self.load()
            );
            return connection.write(&text).then_some(text);
        }
        self.record.add(format!("{} runs {id}", self.id));
        self.shared.runs.lock().unwrap().push(Run {
            at_ms: self.record.millis(),
            ..run
        });
        let answer = self.run(connection, request, &id, until);
        *self.shared.running.lock().unwrap() -= 1;
        let end = if answer.is_some() { "answered" } else { "not answered" };
        self.record.add(format!("{} has {end} {id}", self.id));
        answer
    }

    /// Waits for a slot; returns false if the request is rejected.
    fn take_slot(&self, connection: &Connection, until: Instant) -> bool {
        let sheds = self.sheds();
        let ticket = self.shared.tickets.fetch_add(1, Ordering::SeqCst);
        if sheds {
            return false;
        }
        {
            let mut running = self.shared.running.lock().unwrap();
            let mut waiting = self.shared.waiting.lock().unwrap();
            if *running < self.work.slots && waiting.is_empty() {
                *running += 1;
                return true;
            }
            if waiting.len() >= self.work.queue {
                return false;
            }
            waiting.push_back(ticket);
        }
        loop {
            sleep_ms(1);
            let mut running = self.shared.running.lock().unwrap();
            let mut waiting = self.shared.waiting.lock().unwrap();
            let is_first = waiting.front() == Some(&ticket);
            if is_first && *running < self.work.slots {
                waiting.pop_front();
                *running += 1;
                return true;
            }
            if Instant::now() >= until || connection.is_closed() || self.is_gone() {
                waiting.retain(|other| *other != ticket);
                return false;
            }
        }
    }

    fn run(
        &self,
        connection: &mut Connection,
        request: &Request,
        id: &str,
        until: Instant,
    ) -> Option<String> {
        let head = format!(
            "X-Attempt-Id: {id}\r\nX-Server-Seal: seal-{}\r\nX-Server-Load: {}\r\n",
            self.id,
            self.load()
        );
        if request.path().starts_with("/brief/") {
            return self.stream(connection, request, &head, until);
        }
        let began = Instant::now();
        let work = self.work.work_ms * self.spread(id) / 300;
        while began.elapsed() < Duration::from_millis(work) {
            if self.is_gone() || connection.is_closed() {
                return None;
            }
            if Instant::now() >= until {
                let text = format!("HTTP/1.1 504 Late\r\n{head}Content-Length: 0\r\n\r\n");
                return connection.write(&text).then_some(text);
            }
            thread::sleep(Duration::from_millis(2));
        }
        let mut body = format!("{} has run {id} ", self.id);
        while body.len() < self.work.answer_bytes {
            body.push('x');
        }
        let text = format!("HTTP/1.1 200 OK\r\n{head}Content-Length: {}\r\n\r\n{body}", body.len());
        connection.write(&text).then_some(text)
    }

    fn stream(
        &self,
        connection: &mut Connection,
        request: &Request,
        head: &str,
        until: Instant,
    ) -> Option<String> {
        let last = request.header("Last-Event-Id").and_then(|text| text.parse().ok());
        let mut text = format!(
            "HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if !connection.write(&text) {
            return None;
        }
        let id = request.header("X-Attempt-Id").unwrap_or_default();
        let gap_ms = self.work.gap_ms * self.spread(id) / 300;
        for number in last.unwrap_or(0) + 1..=self.work.events {
            let began = Instant::now();
            while began.elapsed() < Duration::from_millis(gap_ms) {
                if self.is_gone() || connection.is_closed() || Instant::now() >= until {
                    return None;
                }
                thread::sleep(Duration::from_millis(5));
            }
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if !connection.write(&chunk) {
                return None;
            }
            text.push_str(&chunk);
        }
        text.push_str("0\r\n\r\n");
        connection.write("0\r\n\r\n").then_some(text)
    }
}
