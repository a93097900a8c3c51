//! Clients that read slowly for some seconds, and then at full speed.

use super::{KEY, await_runner, start};
use crate::{
    client::{Call, report, send},
    fronts::SIGHUP,
    http::{Connection, sleep_ms},
    record::Record,
    runner::{Runner, Work},
};
use std::{
    net::{SocketAddr, TcpStream},
    os::fd::{AsRawFd, FromRawFd},
    thread,
    time::Duration,
};

/// Time for which a client reads slowly: a piece at a time, with a pause after each.
const SLOW_MS: u64 = 6_000;
const PIECE_BYTES: usize = 250;
const PIECE_PAUSE_MS: u64 = 500;
const DEADLINE_MS: u64 = 12_000;
const CLIENTS: usize = 12;
/// Receive buffer of a client, in bytes.
const RECEIVE_BYTES: i32 = 8_192;
const ANSWER_BYTES: usize = 400_000;

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
}

/// Connects with a small receive buffer, as a small device has.
fn connect_small(address: SocketAddr) -> Option<Connection> {
    let SocketAddr::V4(address) = address else { return None };
    let mut bytes = [0_u8; 16];
    bytes[0..2].copy_from_slice(&2_u16.to_ne_bytes());
    bytes[2..4].copy_from_slice(&address.port().to_be_bytes());
    bytes[4..8].copy_from_slice(&address.ip().octets());
    // SAFETY: the calls get a valid socket, and pointers to values of the stated lengths.
    unsafe {
        let socket = socket(2, 1, 0);
        if socket < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(socket);
        setsockopt(stream.as_raw_fd(), 1, 8, &RECEIVE_BYTES, 4);
        let connected = connect(stream.as_raw_fd(), bytes.as_ptr(), 16);
        (connected == 0).then(|| Connection::new(stream))
    }
}

pub fn run(trouble: bool, record: &Record) -> Result<Vec<String>, String> {
    let work = Work {
        answer_bytes: ANSWER_BYTES,
        ..Work::default()
    };
    let runners: Vec<Runner> = (1..=2)
        .map(|number| Runner::start(&format!("i-{number}"), work.clone(), record))
        .collect();
    let (_store, deployment) = start(&runners, 2)?;
    for runner in &runners {
        await_runner(&deployment, &runner.id)?;
    }
    sleep_ms(4_000);
    let front = &deployment.fronts[0];
    front.signal(SIGHUP);
    record.add(format!("SIGHUP to {}", front.name));
    let hup_ms = record.millis();
    sleep_ms(300);
    let mut broken = Vec::new();
    thread::scope(|scope| {
        let calls: Vec<_> = (0..CLIENTS)
            .map(|_| {
                scope.spawn(move || {
                    let mut connection = connect_small(front.callers)?;
                    let call = Call {
                        method: "POST",
                        path: "/slow/activate",
                        key: KEY,
                        deadline_ms: DEADLINE_MS,
                        lines: "",
                        body: "activate",
                    };
                    let (id, sent_ms) = send(&mut connection, &call, &front.name, record);
                    while trouble && record.millis() < sent_ms + SLOW_MS {
                        connection.read_some(PIECE_BYTES);
                        sleep_ms(PIECE_PAUSE_MS);
                    }
                    let left = (sent_ms + DEADLINE_MS).saturating_sub(record.millis());
                    let time = Duration::from_millis(left);
                    connection.stream.set_read_timeout(Some(time)).ok();
                    let response = connection.read_response();
                    report(&id, response.as_ref(), record);
                    let complete = response.is_some_and(|response| response.complete);
                    Some((id, sent_ms, record.millis(), complete))
                })
            })
            .collect();
        for call in calls {
            let Some((id, sent_ms, ended_ms, complete)) = call.join().unwrap() else { continue };
            let ran = runners.iter().any(|runner| runner.runs().iter().any(|run| run.id == id));
            let is_excused = ended_ms >= sent_ms + DEADLINE_MS;
            if ran && !complete && !is_excused {
                broken.push(format!(
                    "LOST: {id} was sent {} ms after SIGHUP, ran, and its connection ended after {} ms without a complete answer",
                    sent_ms - hup_ms,
                    ended_ms - sent_ms
                ));
            }
        }
    });
    println!("{CLIENTS} sent, {} lost", broken.len());
    Ok(broken)
}
