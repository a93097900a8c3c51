//! Relaying through peers that fail at any step.

use super::*;
use crate::wire::read_final_head;
use async_executor::LocalExecutor;
use async_io::{Timer, block_on};
use async_net::TcpListener;
use quickcheck::QuickCheck;
use std::cell::Cell;

/// Size of a request, larger than one read of the relay so that resets fall within it.
const REQUEST_BYTES: usize = 40_000;
/// Bytes of a request that a relay forwards before it resets the connection within it.
const FORWARDED_PART: usize = 1_000;
/// Time for which an upstream waits for a second request on a connection or for a late one. A relay
/// whose confirmation comes late would forward the request within it.
const LATE_REQUEST_WAIT: Duration = Duration::from_millis(60);
/// Random lists of faults, in addition to all pairs.
const RANDOM_LISTS: u64 = 40;
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// What a peer that is asked to relay a request does wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerFault {
    None,
    /// Closes the connection before it reads the call.
    ClosesAtOnce,
    /// Refuses the call.
    Refuses,
    /// Reports that the upstream can't be reached.
    ReportsUnreachable,
    /// Connects to the upstream and loses the confirmation.
    LosesConfirmation,
    /// Confirms after the requesting daemon has given up, and forwards whatever it receives.
    ConfirmsLate,
    /// Confirms twice.
    ConfirmsTwice,
    /// Confirms and closes the connection before it forwards anything.
    ClosesConfirmed,
    /// Forwards a part of the request and closes its connections.
    ClosesWithinRequest,
    /// Forwards the request and closes the connection before the response.
    LosesResponse,
}

const FAULTS: [PeerFault; 10] = [
    PeerFault::None,
    PeerFault::ClosesAtOnce,
    PeerFault::Refuses,
    PeerFault::ReportsUnreachable,
    PeerFault::LosesConfirmation,
    PeerFault::ConfirmsLate,
    PeerFault::ConfirmsTwice,
    PeerFault::ClosesConfirmed,
    PeerFault::ClosesWithinRequest,
    PeerFault::LosesResponse,
];

/// Counts of an upstream and of the requesting daemon.
#[derive(Debug, Default)]
struct RelayCounts {
    /// Requests that the upstream received whole.
    executed: Cell<usize>,
    /// Connections to the upstream.
    connections: Cell<usize>,
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Reads requests of `REQUEST_BYTES` and answers each.
async fn serve_upstream(mut stream: TcpStream, counts: &RelayCounts) {
    let mut request = vec![0; REQUEST_BYTES];
    while stream.read_exact(&mut request).await.is_ok() {
        counts.executed.set(counts.executed.get() + 1);
        if stream.write_all(RESPONSE).await.is_err() {
            return;
        }
    }
}

/// Serves one call of the requesting daemon with a fault; forwards by the code of the daemon.
async fn serve_peer(mut origin: TcpStream, upstream: SocketAddr, fault: PeerFault) {
    if fault == PeerFault::ClosesAtOnce {
        return;
    }
    let call: io::Result<PeerCall> = read_message(&mut origin, 1_024).await;
    assert!(matches!(call, Ok(PeerCall::Relay(_))), "{call:?}");
    let reply = match fault {
        PeerFault::Refuses => RelayReply::Refused(RelayRefusal::Full),
        PeerFault::ReportsUnreachable => RelayReply::UpstreamUnreachable,
        _ => RelayReply::Connected,
    };
    if reply != RelayReply::Connected {
        write_message(&mut origin, &reply).await.ok();
        return;
    }
    let mut target = connect(upstream).await.expect("the upstream listens");
    match fault {
        PeerFault::LosesConfirmation => return,
        PeerFault::ConfirmsLate => {
            Timer::after(REPLY_TIMEOUT + Duration::from_millis(20)).await;
        }
        PeerFault::ConfirmsTwice => {
            write_message(&mut origin, &reply).await.ok();
        }
        _ => {}
    }
    write_message(&mut origin, &reply).await.ok();
    match fault {
        PeerFault::ClosesConfirmed => {}
        PeerFault::ClosesWithinRequest => {
            let mut part = vec![0; FORWARDED_PART];
            if origin.read_exact(&mut part).await.is_ok() {
                target.write_all(&part).await.ok();
            }
        }
        PeerFault::LosesResponse => {
            let mut request = vec![0; REQUEST_BYTES];
            if origin.read_exact(&mut request).await.is_ok() {
                target.write_all(&request).await.ok();
                target.read_exact(&mut [0; RESPONSE.len()]).await.ok();
            }
        }
        _ => {
            forward(origin, target, |_| {}).await.ok();
        }
    }
}

/// Sends one request through peers with `faults`. Returns whether a response arrived.
async fn send_through(faults: &[PeerFault], counts: &Rc<RelayCounts>) -> Result<bool, String> {
    let executor = Rc::new(LocalExecutor::new());
    let (upstream, upstream_address) = listen().await;
    let mut peers = Vec::new();
    for fault in faults.iter().copied() {
        let (listener, address) = listen().await;
        peers.push(address);
        let task_executor = Rc::clone(&executor);
        let serve = async move {
            // Every connection is served, so that a call that is sent twice is noticed.
            while let Ok((origin, _)) = listener.accept().await {
                task_executor
                    .spawn(serve_peer(origin, upstream_address, fault))
                    .detach();
            }
        };
        executor.spawn(serve).detach();
    }
    let (task_executor, task_counts) = (Rc::clone(&executor), Rc::clone(counts));
    let accept = async move {
        while let Ok((stream, _)) = upstream.accept().await {
            let connections = &task_counts.connections;
            connections.set(connections.get() + 1);
            let counts = Rc::clone(&task_counts);
            let serve = async move { serve_upstream(stream, &counts).await };
            task_executor.spawn(serve).detach();
        }
    };
    executor.spawn(accept).detach();
    let request = RelayRequest {
        upstream: "i-0".to_owned(),
        request_id: "request-0".to_owned(),
        time_left_ms: 1_000,
    };
    let attempt = async {
        let opened = open_first_relay(&peers, &request, |_, _| {}).await;
        let received = match opened {
            Ok(mut reader) => {
                let mut writer = reader.stream().clone();
                writer.write_all(&vec![b'x'; REQUEST_BYTES]).await.ok();
                read_final_head(&mut reader).await.is_ok()
            }
            Err(_) if counts.executed.get() > 0 => {
                return Err("executed though no peer relayed the request".to_owned());
            }
            Err(_) => false,
        };
        Timer::after(LATE_REQUEST_WAIT).await;
        Ok(received)
    };
    executor.run(attempt).await
}

fn check_relays(numbers: &[u8]) -> Result<(), String> {
    let numbers = numbers.iter().take(3).map(|number| usize::from(*number));
    let faults: Vec<PeerFault> = numbers
        .map(|number| FAULTS[number % FAULTS.len()])
        .collect();
    let counts = Rc::new(RelayCounts::default());
    let received = block_on(send_through(&faults, &counts))?;
    let executed = counts.executed.get();
    if executed > 1 || (received && executed == 0) {
        return Err(format!("{faults:?}: received {received}, {counts:?}"));
    }
    Ok(())
}

/// A relay fails or is slow: its confirmation is lost, late or doubled, or its connections are closed
/// before, within or after the request. If the request was sent to the next peer as well, an
/// upstream would execute it twice, although the caller sent it once and it must not be repeated.
#[test]
fn a_request_is_executed_at_most_once_whatever_its_relays_do() {
    for fault in 0..FAULTS.len() as u8 {
        for second in 0..FAULTS.len() as u8 {
            assert_eq!(check_relays(&[fault, second]), Ok(()));
        }
    }
    let property = |numbers: Vec<u8>| check_relays(&numbers);
    QuickCheck::new()
        .tests(RANDOM_LISTS)
        .quickcheck(property as fn(Vec<u8>) -> Result<(), String>);
}

/// A relay without faults delivers the response.
#[test]
fn a_relay_without_faults_delivers_the_response() {
    let counts = Rc::new(RelayCounts::default());
    let received = block_on(send_through(&[PeerFault::None], &counts));
    assert_eq!(received, Ok(true));
    assert_eq!((counts.executed.get(), counts.connections.get()), (1, 1));
}
