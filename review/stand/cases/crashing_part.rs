//! A part of prompts that crashes runners, which at first always comes with the same rare part.

use super::{KEY, start};
use crate::{
    client::{Call, connect, new_id},
    http::{Connection, Request, listen_while, sleep_ms},
    record::Record,
    runner::{Runner, Work},
    store::Store,
};
use std::{
    collections::HashMap,
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const DAEMONS: usize = 8;
const RUNNERS: usize = 8;
/// Deployments that are played at the same time, each with its own seed.
const DEPLOYMENTS: u64 = 3;
const CONTACT_MS: u64 = 3_000;
const MAX_LATE: usize = 3;
/// Time from a crash until the runner is back.
const DOWN: Duration = Duration::from_millis(3_000);
/// Time from the start of a run until the runner begins to write its answer, and crashes.
const CRASH_DELAY: Duration = Duration::from_millis(100);
const ROUND: Duration = Duration::from_millis(250);
const CRASHING: u64 = 9_001;
const RARE: u64 = 8_001;
const KINDS: u64 = 4;
const MIDDLE_PARTS: u64 = 60;

struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

struct State {
    down_until: Option<Instant>,
    born: u64,
    streams: HashMap<SocketAddr, TcpStream>,
    crashes: u64,
}

/// A runner that crashes under the part.
#[derive(Clone)]
struct BrittleRunner {
    id: String,
    state: Arc<Mutex<State>>,
    arrivals: Arc<Mutex<Vec<u64>>>,
    crash_times: Arc<Mutex<Vec<u64>>>,
    record: Record,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |time| time.as_millis() as u64)
}

fn has_part(request: &Request, part: u64) -> bool {
    let list = request.header("X-Prompt-Prefix").unwrap_or_default();
    let mut shared = list.rsplit(',').skip(1).filter_map(|entry| entry.split_once(':'));
    shared.any(|(id, _)| u64::from_str_radix(id, 16) == Ok(part))
}

impl BrittleRunner {
    fn is_up(&self) -> bool {
        let until = self.state.lock().unwrap().down_until;
        until.is_none_or(|until| Instant::now() >= until)
    }

    fn register(&self, store: &Store, address: SocketAddr) {
        let born = self.state.lock().unwrap().born;
        let value = format!(
            "{{\"service\":\"tecmodel\",\"address\":\"{address}\",\"zone\":\"be-central-a\",\"version\":\"v1\",\
             \"slots\":32,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":{born}}}"
        );
        store.put("servers", &self.id, &value);
    }

    fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        if state.down_until.is_some_and(|until| Instant::now() < until) {
            return;
        }
        state.down_until = Some(Instant::now() + DOWN);
        state.crashes += 1;
        for (_, stream) in state.streams.drain() {
            stream.shutdown(Shutdown::Both).ok();
        }
        drop(state);
        self.crash_times.lock().unwrap().push(self.record.millis());
        self.record.add(format!("{} crashes under the part", self.id));
    }

    fn serve(&self, mut connection: Connection) {
        let Ok(peer) = connection.stream.peer_addr() else { return };
        let epoch = {
            let mut state = self.state.lock().unwrap();
            if let Ok(stream) = connection.stream.try_clone() {
                state.streams.insert(peer, stream);
            }
            state.crashes
        };
        while let Some(request) = connection.read_request() {
            if self.answer(&mut connection, &request, epoch).is_none() {
                break;
            }
        }
        self.state.lock().unwrap().streams.remove(&peer);
    }

    fn answer(&self, connection: &mut Connection, request: &Request, epoch: u64) -> Option<()> {
        let id = request.header("X-Attempt-Id").unwrap_or_default();
        let crashes = has_part(request, CRASHING);
        if crashes {
            self.arrivals.lock().unwrap().push(self.record.millis());
            self.record.add(format!("{} runs {id} with the part", self.id));
        }
        let sum = id.bytes().fold(7_u64, |sum, byte| sum.wrapping_mul(131) + u64::from(byte));
        let time = if crashes { CRASH_DELAY } else { Duration::from_millis(50 + sum % 1_950) };
        let began = Instant::now();
        while began.elapsed() < time {
            if self.state.lock().unwrap().crashes != epoch || connection.is_closed() {
                return None;
            }
            sleep_ms(10);
        }
        if crashes {
            self.crash();
            return None;
        }
        let body = format!("{} has run {id}", self.id);
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: seal-{}\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        connection.write(&text).then_some(())
    }
}

/// A prompt: its parts but the last, which is the request's own.
fn shared_parts(random: &mut Random) -> Vec<u64> {
    let mut parts = vec![1 + random.below(KINDS)];
    for _ in 0..1 + random.below(3) {
        let bound = 1 + random.below(MIDDLE_PARTS);
        let part = 100 + random.below(bound);
        if !parts.contains(&part) {
            parts.push(part);
        }
    }
    parts
}

fn insert_inside(random: &mut Random, parts: &mut Vec<u64>, part: u64) {
    let position = 1 + random.below(parts.len() as u64) as usize;
    parts.insert(position, part);
}

/// Sends a request, and again at most twice if no answer states that it has not run.
fn send(address: SocketAddr, parts: &[u64], own: u64) {
    let list: Vec<String> = parts.iter().chain([&own]).map(|part| format!("{part:x}:60")).collect();
    let lines = format!(
        "X-Model: m\r\nX-Token-Counts: {},20\r\nX-Prompt-Prefix: {}\r\n",
        list.len() * 60,
        list.join(",")
    );
    let body = format!("body-{own}");
    for _ in 0..3 {
        let call = Call {
            method: "POST",
            path: "/prompt/p",
            key: KEY,
            deadline_ms: 8_000,
            lines: &lines,
            body: &body,
        };
        let Some(mut connection) = connect(address) else { return };
        let text = format!(
            "{} {} HTTP/1.1\r\nHost: api.example\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n\
             Authorization: Token {}\r\n{}Content-Length: {}\r\n\r\n{}",
            call.method,
            call.path,
            new_id(),
            call.deadline_ms,
            call.key,
            call.lines,
            call.body.len(),
            call.body
        );
        connection.write(&text);
        connection.stream.set_read_timeout(Some(Duration::from_secs(8))).ok();
        let status = connection.read_response().map(|response| response.status);
        if !matches!(status, Some(502 | 504) | None) {
            return;
        }
    }
}

fn play(seed: u64, trouble: bool, record: &Record) -> Result<Option<String>, String> {
    let plain = [Runner::start("plain-1", Work::default(), record)];
    let (store, deployment) = start(&plain, DAEMONS)?;
    let runners: Vec<BrittleRunner> = (1..=RUNNERS)
        .map(|number| BrittleRunner {
            id: format!("d{seed}-i{number}"),
            state: Arc::new(Mutex::new(State {
                down_until: None,
                born: unix_ms(),
                streams: HashMap::new(),
                crashes: 0,
            })),
            arrivals: Arc::default(),
            crash_times: Arc::default(),
            record: record.clone(),
        })
        .collect();
    let addresses: Vec<SocketAddr> = runners
        .iter()
        .map(|runner| {
            let (watched, serving) = (runner.clone(), runner.clone());
            listen_while(move || watched.is_up(), move |connection| serving.serve(connection))
        })
        .collect();
    for (runner, address) in runners.iter().zip(&addresses) {
        runner.register(&store, *address);
    }
    sleep_ms(1_000);
    let callers: Vec<SocketAddr> = deployment.fronts.iter().map(|front| front.callers).collect();
    let mut random = Random(seed * 7_919 + 17);
    let (mut own, began) = (1_u64 << 40, Instant::now());
    let mut registered: Vec<u64> = vec![0; RUNNERS];
    for round in 0_u32..16 + 20 + 120 {
        let due = ROUND * round;
        thread::sleep(due.saturating_sub(began.elapsed()));
        for (index, runner) in runners.iter().enumerate() {
            // A runner that has started again says so in its entry.
            let crashes = runner.state.lock().unwrap().crashes;
            if crashes > registered[index] && runner.is_up() {
                registered[index] = crashes;
                runner.state.lock().unwrap().born = unix_ms();
                runner.register(&store, addresses[index]);
            }
        }
        let (sound, crashing, accompanied) = match round {
            0..16 => (8, 0, false),
            16..36 => (8, 2, true),
            _ => (4, 1, false),
        };
        let mut requests: Vec<Vec<u64>> = (0..sound).map(|_| shared_parts(&mut random)).collect();
        if round >= 36 && round.is_multiple_of(8) {
            requests.push(vec![1, RARE]);
        }
        if trouble {
            for _ in 0..crashing {
                let mut parts = shared_parts(&mut random);
                insert_inside(&mut random, &mut parts, CRASHING);
                if accompanied {
                    insert_inside(&mut random, &mut parts, RARE);
                }
                requests.push(parts);
            }
        }
        for parts in requests {
            own += 1;
            let number = own;
            let address = callers[random.below(DAEMONS as u64) as usize];
            thread::spawn(move || send(address, &parts, number));
        }
    }
    sleep_ms(1_000);
    let collect = |list: fn(&BrittleRunner) -> &Arc<Mutex<Vec<u64>>>| {
        let mut times: Vec<u64> = runners.iter().flat_map(|runner| list(runner).lock().unwrap().clone()).collect();
        times.sort_unstable();
        times
    };
    let crashes = collect(|runner| &runner.crash_times);
    let arrivals = collect(|runner| &runner.arrivals);
    let Some(fifth) = crashes.get(4) else { return Ok(None) };
    let late = arrivals.iter().filter(|at| **at > fifth + CONTACT_MS).count();
    println!("deployment {seed}: {} crashes, {late} late", crashes.len());
    Ok((late > MAX_LATE).then(|| {
        format!(
            "BUDGET: deployment {seed}: {late} requests with the part reached runners later than {CONTACT_MS} ms after the fifth crash; {} crashes",
            crashes.len()
        )
    }))
}

pub fn run(trouble: bool, record: &Record) -> Result<Vec<String>, String> {
    let played: Vec<_> = thread::scope(|scope| {
        let threads: Vec<_> = (1..=DEPLOYMENTS)
            .map(|seed| {
                // The deployments choose their ports one after the other.
                sleep_ms(2_500);
                scope.spawn(move || play(seed, trouble, record))
            })
            .collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    let mut broken = Vec::new();
    for result in played {
        broken.extend(result?);
    }
    Ok(broken)
}
