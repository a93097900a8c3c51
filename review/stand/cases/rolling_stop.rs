//! A rolling restart while long streams run.

use super::{KEY, await_runner, start};
use crate::{
    client::{Call, Outcome, connect, exchange},
    fronts::{Deployment, SIGTERM},
    http::{get, sleep_ms},
    json::Json,
    record::Record,
    runner::{Runner, Work},
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Time from SIGTERM to SIGKILL.
const GRACE_MS: u64 = 8_000;
/// Time after SIGTERM up to which a request may have been sent whose runner is still at work at the end.
const EXCUSED_MS: u64 = 3_000;
const CLIENTS: usize = 24;
/// A stream of 20 events with this pause between them takes six seconds; pauses of 800 ms are on time.
const GAP_MS: u64 = 300;
const EVENTS: u64 = 20;
const DEADLINE_MS: u64 = 12_000;
/// Time between two machines of the restart.
const RESTART_GAP_MS: u64 = 1_000;

/// What a client knows of the daemons.
struct Directory {
    addresses: Vec<SocketAddr>,
    until: Instant,
}

/// Asks the directories for addresses, nearest first, at most three and one second each.
fn look_up(admins: &[SocketAddr], first: usize) -> Option<(Vec<SocketAddr>, u64)> {
    for offset in 0..admins.len().min(3) {
        let admin = admins[(first + offset) % admins.len()];
        let target = "/v1/resolution?name=api.example&region=be-central&zone=be-central-a";
        let Some(response) = get(admin, target, Duration::from_secs(1)) else {
            continue;
        };
        let body = String::from_utf8_lossy(&response.body).into_owned();
        let Some(body) = Json::parse(&body) else { continue };
        let list = body.get("addresses").map(Json::list).unwrap_or_default();
        let addresses: Vec<SocketAddr> = list
            .iter()
            .filter_map(|address| address.text()?.parse().ok())
            .collect();
        if response.status == 200 && !addresses.is_empty() {
            let ttl = body.get("ttl_s").and_then(Json::number).unwrap_or(1.0);
            return Some((addresses, (ttl.min(5.0) * 1e3) as u64));
        }
    }
    None
}

struct Sent {
    to: SocketAddr,
    outcome: Outcome,
}

fn client(
    number: usize,
    admins: &[SocketAddr],
    stop: &AtomicBool,
    sent: &Mutex<Vec<Sent>>,
    record: &Record,
) {
    let mut known = Directory {
        addresses: Vec::new(),
        until: Instant::now(),
    };
    // Some clients keep a response three times as long.
    let factor = if number.is_multiple_of(2) { 3 } else { 1 };
    let mut random = number as u64 * 7_919 + 1;
    thread::scope(|scope| {
        while !stop.load(Ordering::SeqCst) {
            if Instant::now() >= known.until
                && let Some((addresses, ttl)) = look_up(admins, number)
            {
                known.addresses = addresses;
                known.until = Instant::now() + Duration::from_millis(ttl * factor);
            }
            // A client that can't obtain a new response keeps the old one.
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let pick = (random >> 33) as usize % known.addresses.len().max(1);
            if let Some(address) = known.addresses.get(pick).copied() {
                scope.spawn(move || {
                    let call = Call {
                        method: "POST",
                        path: "/brief/summary",
                        key: KEY,
                        deadline_ms: DEADLINE_MS,
                        lines: "X-Model: m\r\nX-Token-Counts: 1460,80\r\n",
                        body: "brief",
                    };
                    if let Some(mut connection) = connect(address) {
                        let outcome =
                            exchange(&mut connection, &call, &address.to_string(), record);
                        sent.lock().unwrap().push(Sent { to: address, outcome });
                    }
                });
            }
            sleep_ms(500 + (random >> 40) % 200);
        }
    });
}

pub fn run(trouble: bool, record: &Record) -> Result<Vec<String>, String> {
    let work = Work {
        service: "tecmodel",
        slots: 64,
        queue: 64,
        events: EVENTS,
        gap_ms: GAP_MS,
        even: true,
        ..Work::default()
    };
    let runners: Vec<Runner> = (1..=4)
        .map(|number| Runner::start(&format!("i-{number}"), work.clone(), record))
        .collect();
    let (_store, mut deployment) = start(&runners, 4)?;
    for runner in &runners {
        await_runner(&deployment, &runner.id)?;
    }
    let admins: Vec<SocketAddr> = deployment.fronts.iter().map(|front| front.admin).collect();
    let callers: Vec<SocketAddr> = deployment.fronts.iter().map(|front| front.callers).collect();
    let stop = AtomicBool::new(false);
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut stopped = Vec::new();
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (admins, stop, sent) = (&admins, &stop, &sent);
            scope.spawn(move || client(number, admins, stop, sent, record));
        }
        sleep_ms(8_000);
        stopped = restart_all(&mut deployment, trouble, record);
        sleep_ms(3_000);
        stop.store(true, Ordering::SeqCst);
    });
    let mut broken = Vec::new();
    let sent = sent.lock().unwrap();
    for Sent { to, outcome } in sent.iter() {
        let Some(front) = callers.iter().position(|address| address == to) else { continue };
        let Some(signalled) = stopped.get(front).copied().flatten() else { continue };
        let ran = runners.iter().any(|runner| runner.runs().iter().any(|run| run.id == outcome.id));
        let is_after = outcome.sent_ms > signalled + EXCUSED_MS;
        let ended_at = outcome.ended_ms;
        let is_within = ended_at <= signalled + GRACE_MS + 1_000 && ended_at < outcome.sent_ms + DEADLINE_MS;
        if ran && is_after && is_within && !outcome.is_complete() {
            broken.push(format!(
                "LOST: {} was sent {} ms after the SIGTERM of its machine, ran, and was cut after {} ms",
                outcome.id,
                outcome.sent_ms - signalled,
                ended_at - outcome.sent_ms
            ));
        }
    }
    let whole = sent.iter().filter(|sent| sent.outcome.is_complete()).count();
    println!("{} sent, {whole} answered whole", sent.len());
    Ok(broken)
}

/// Stops and starts the machines in turn, one a second, as a rolling restart does; those that the
/// directory names come first. Returns when each got its SIGTERM.
fn restart_all(deployment: &mut Deployment, trouble: bool, record: &Record) -> Vec<Option<u64>> {
    let count = deployment.fronts.len();
    let mut signalled = vec![None; count];
    let mut started = vec![false; count];
    let admins: Vec<SocketAddr> = deployment.fronts.iter().map(|front| front.admin).collect();
    let named = look_up(&admins, 0).map(|(addresses, _)| addresses).unwrap_or_default();
    let mut order: Vec<usize> = (0..count).collect();
    order.sort_by_key(|index| !named.contains(&deployment.fronts[*index].callers));
    let began = Instant::now();
    while began.elapsed() < Duration::from_millis(GRACE_MS + RESTART_GAP_MS * count as u64 + 2_000) {
        for (turn, index) in order.iter().copied().enumerate() {
            let front = &mut deployment.fronts[index];
            let due = began.elapsed() >= Duration::from_millis(RESTART_GAP_MS * turn as u64);
            if trouble && due && signalled[index].is_none() {
                record.add(format!("SIGTERM to {}", front.name));
                front.signal(SIGTERM);
                signalled[index] = Some(record.millis());
            }
            if signalled[index].is_some() && !started[index] && front.has_ended() {
                record.add(format!("{} has ended", front.name));
                sleep_ms(50);
                if front.start_again().is_ok() {
                    record.add(format!("{} is started again", front.name));
                    started[index] = true;
                }
            }
        }
        sleep_ms(20);
    }
    signalled
}
