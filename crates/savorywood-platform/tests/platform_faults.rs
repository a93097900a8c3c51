//! The client against a platform stand-in that fails.

use async_executor::Executor;
use async_io::block_on;
use futures_lite::future;
use quickcheck::quickcheck;
use savorywood_http::{ClientLimits, HttpClient};
use savorywood_platform::{
    BreakerState, CallKind, DutyBudgets, PlatformClient, PlatformDuty,
    PlatformOptions as ClientOptions, PlatformService, TakeVerdict, TokenBucket,
};
use savorywood_protocol::{
    host_list::HostDocument,
    table::{RowWrite, TableCommit, TableRequest, TableResponse},
};
use savorywood_standin::{OutageKind, PlatformFaults, PlatformOptions, PlatformServer};
use socket2::{Domain, Socket, Type};
use std::{
    future::Future,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::Arc,
    time::{Duration, Instant},
};
use strum::IntoEnumIterator;

fn run<F: Future>(test: impl FnOnce(Arc<Executor<'static>>) -> F) -> F::Output {
    let executor = Arc::new(Executor::new());
    let body = test(Arc::clone(&executor));
    block_on(executor.run(body))
}

async fn platform(executor: &Arc<Executor<'static>>, faults: PlatformFaults) -> PlatformServer {
    let options = PlatformOptions {
        faults,
        ..PlatformOptions::default()
    };
    PlatformServer::start(executor, options)
        .await
        .expect("a free port")
}

fn client(address: SocketAddr) -> PlatformClient {
    let http = HttpClient::new(ClientLimits::default());
    let options = ClientOptions::new(address).call_time(Duration::from_millis(300));
    PlatformClient::new(http, options)
}

fn write(key: &str) -> TableRequest {
    let value = Some("1".to_owned());
    let key = key.to_owned();
    TableRequest::Commit(TableCommit {
        conditions: Vec::new(),
        writes: vec![RowWrite { key, value }],
    })
}

fn read(key: &str) -> TableRequest {
    let keys = vec![key.to_owned()];
    TableRequest::Get { keys }
}

fn row_count(answer: &TableResponse) -> usize {
    match answer {
        TableResponse::Rows { rows, .. } => rows.len(),
        other => panic!("expected rows, got {other:?}"),
    }
}

/// The service commits a row and the connection closes before the answer. If the client said that
/// nothing happened, the writer would write again and an operator's change or a claim would be
/// there twice. It must say that the answer is lost, and must not send the commit again by itself.
#[test]
fn a_commit_whose_answer_is_lost_is_told_so_and_sent_once() {
    run(|executor| async move {
        let faults = PlatformFaults {
            lose_answers: 1,
            ..PlatformFaults::default()
        };
        let server = platform(&executor, faults).await;
        let client = client(server.address());
        let answer = client.execute(PlatformDuty::Config, &write("a/1")).await;
        assert_eq!(answer, TableResponse::Lost);
        let answer = client.execute(PlatformDuty::Config, &read("a/1")).await;
        let TableResponse::Rows { rows, revision, .. } = answer else {
            panic!("expected rows, got {answer:?}");
        };
        assert_eq!(rows.len(), 1);
        assert_eq!(revision, 1, "the commit was sent more than once");
    });
}

/// The service takes a commit and never answers. The caller must not wait for ever, and must not
/// be told that nothing happened.
#[test]
fn a_commit_that_hangs_is_lost_after_the_call_time() {
    run(|executor| async move {
        let faults = PlatformFaults {
            outage: OutageKind::Hang,
            ..PlatformFaults::default()
        };
        let server = platform(&executor, faults).await;
        let client = client(server.address());
        let began = Instant::now();
        let answer = client.execute(PlatformDuty::Config, &write("a/1")).await;
        assert_eq!(answer, TableResponse::Lost);
        assert!(began.elapsed() < Duration::from_secs(2));
    });
}

/// The service refuses calls with 503, or nothing listens at its address. The write took no effect
/// and saying so lets a daemon give a refusal that is true rather than an uncertain one.
#[test]
fn a_refused_commit_took_no_effect() {
    run(|executor| async move {
        let faults = PlatformFaults {
            outage: OutageKind::Refuse,
            ..PlatformFaults::default()
        };
        let server = platform(&executor, faults).await;
        let refused = client(server.address());
        let answer = refused.execute(PlatformDuty::Config, &write("a/1")).await;
        assert_eq!(answer, TableResponse::Unavailable);
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        drop(listener);
        let unreachable = client(address);
        let answer = unreachable
            .execute(PlatformDuty::Config, &write("a/1"))
            .await;
        assert_eq!(answer, TableResponse::Unavailable);
    });
}

/// The service is down and comes back. Calls made meanwhile must fail at once rather than each
/// wait, and the end of the outage must be noticed within seconds or a change would not be in
/// force everywhere in time.
#[test]
fn the_breaker_opens_in_an_outage_and_closes_soon_after() {
    run(|executor| async move {
        let faults = PlatformFaults {
            outage: OutageKind::Refuse,
            ..PlatformFaults::default()
        };
        let server = platform(&executor, faults).await;
        let client = client(server.address());
        for _ in 0..6 {
            client.execute(PlatformDuty::Config, &write("a/1")).await;
        }
        assert_eq!(
            client.breaker_state(PlatformService::Table),
            BreakerState::Open
        );
        server.set_faults(PlatformFaults::default());
        let began = Instant::now();
        while client.execute(PlatformDuty::Config, &read("a/1")).await == TableResponse::Unavailable
        {
            assert!(began.elapsed() < Duration::from_secs(4), "still open");
            async_io::Timer::after(Duration::from_millis(20)).await;
        }
        assert_eq!(
            client.breaker_state(PlatformService::Table),
            BreakerState::Closed
        );
    });
}

/// A daemon's task that tried the service after an outage is dropped in the middle. The breaker
/// must let another call try, or the daemon would believe in the outage for good.
#[test]
fn a_dropped_try_does_not_keep_the_breaker_open() {
    run(|executor| async move {
        let refuse = PlatformFaults {
            outage: OutageKind::Refuse,
            ..PlatformFaults::default()
        };
        let hang = PlatformFaults {
            outage: OutageKind::Hang,
            ..PlatformFaults::default()
        };
        let server = platform(&executor, refuse).await;
        let client = client(server.address());
        for _ in 0..6 {
            client.execute(PlatformDuty::Config, &write("a/1")).await;
        }
        server.set_faults(hang);
        let began = Instant::now();
        while client.breaker_state(PlatformService::Table) != BreakerState::Trying {
            assert!(began.elapsed() < Duration::from_secs(4), "never tries");
            async_io::Timer::after(Duration::from_millis(10)).await;
        }
        let commit = write("a/1");
        let call = client.execute(PlatformDuty::Config, &commit);
        let dropped = poll_for(call, Duration::from_millis(50)).await;
        assert_eq!(dropped, None);
        server.set_faults(PlatformFaults::default());
        let began = Instant::now();
        while client.execute(PlatformDuty::Config, &read("a/1")).await == TableResponse::Unavailable
        {
            assert!(began.elapsed() < Duration::from_secs(4), "still open");
            async_io::Timer::after(Duration::from_millis(20)).await;
        }
    });
}

/// Runs a call for so long and drops it then.
async fn poll_for(
    call: impl Future<Output = TableResponse>,
    limit: Duration,
) -> Option<TableResponse> {
    let call = async { Some(call.await) };
    let timer = async {
        async_io::Timer::after(limit).await;
        None
    };
    future::or(call, timer).await
}

/// Objects, hosts and missing things.
#[test]
fn objects_and_hosts_are_read_as_written() {
    run(|executor| async move {
        let server = platform(&executor, PlatformFaults::default()).await;
        let host = HostDocument {
            host: "host-1".parse().expect("a name"),
            peer_address: "127.0.0.1:1".parse().expect("an address"),
            caller_address: "127.0.0.1:2".parse().expect("an address"),
            zone: "a".parse().expect("a name"),
            region: "r".parse().expect("a name"),
            leaving: false,
        };
        server.put_host(host.clone());
        let client = client(server.address());
        assert_eq!(client.list_hosts().await.expect("a list"), [host]);
        assert_eq!(client.get_object("x/1").await.expect("an answer"), None);
        let bytes = b"kept".to_vec();
        client.put_object("x/1", bytes.clone()).await.expect("kept");
        let read = client.get_object("x/1").await.expect("an answer");
        assert_eq!(read, Some(bytes));
        client.delete_object("x/1").await.expect("deleted");
        assert_eq!(client.get_object("x/1").await.expect("an answer"), None);
        assert_eq!(client.get_weights("w").await.expect("an answer"), None);
        let answer = client.execute(PlatformDuty::Config, &read_absent()).await;
        assert_eq!(row_count(&answer), 0);
    });
}

fn read_absent() -> TableRequest {
    read("absent/1")
}

/// The budgets of all duties must add up to what the platform gives, or one busy duty would make
/// the table refuse the claims of calls that may not be repeated.
#[test]
fn budgets_of_all_duties_fit_the_platform() {
    let sum = |kind| -> f64 {
        let rates = PlatformDuty::iter().map(|duty| duty.rate(kind).per_second);
        rates.sum()
    };
    assert!(sum(CallKind::Write) <= 400.0);
    assert!(sum(CallKind::Read) <= 1_600.0);
}

/// A duty that has gone mad must not use what another needs.
#[test]
fn one_duty_can_not_starve_another() {
    let now = Instant::now();
    let mut budgets = DutyBudgets::new(8);
    while budgets.take(PlatformDuty::Claims, CallKind::Write, now) == TakeVerdict::Taken {}
    let other = budgets.take(PlatformDuty::Leases, CallKind::Write, now);
    assert_eq!(other, TakeVerdict::Taken);
}

quickcheck! {
    /// However calls are spaced, no more get through than rate and burst allow.
    fn a_bucket_never_gives_more_than_its_rate(gaps_ms: Vec<u8>, rate: u8) -> bool {
        let start = Instant::now();
        let per_second = f64::from(rate);
        let mut bucket = TokenBucket::new(per_second, 3.0, start);
        let mut now = start;
        let mut taken = 0;
        for gap in gaps_ms {
            now += Duration::from_millis(gap.into());
            taken += u32::from(bucket.take(now) == TakeVerdict::Taken);
        }
        let allowed = 3.0 + (now - start).as_secs_f64() * per_second + 1e-6;
        f64::from(taken) <= allowed
    }
}

/// One duty has used up its part of the writes and keeps asking. Its tries must not use up what
/// the settings allow the daemon in all, or claims would be refused because of something else.
#[test]
fn a_waiting_duty_takes_no_writes_of_others() {
    let now = Instant::now();
    let mut budgets = DutyBudgets::new(1).with_write_bound(500, now);
    while budgets.take(PlatformDuty::Leases, CallKind::Write, now) == TakeVerdict::Taken {}
    for _ in 0..1_000 {
        let verdict = budgets.take(PlatformDuty::Leases, CallKind::Write, now);
        assert_ne!(verdict, TakeVerdict::Taken);
    }
    let verdict = budgets.take(PlatformDuty::Claims, CallKind::Write, now);
    assert_eq!(verdict, TakeVerdict::Taken);
}

/// Listens with a queue of one connection and fills it, so that packets of new ones are lost.
fn unanswering_listener() -> (Socket, Vec<Socket>, SocketAddr) {
    let socket = || Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket is created");
    let listener = socket();
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    listener.bind(&any.into()).expect("a free port");
    listener.listen(0).expect("the socket listens");
    let address = listener.local_addr().expect("an address").as_socket();
    let address = address.expect("an address of the Internet protocol");
    let connect = || {
        let waiting = socket();
        waiting.set_nonblocking(true).expect("the option is set");
        waiting.connect(&address.into()).ok();
        waiting
    };
    let waiting = (0..3).map(|_| connect()).collect();
    (listener, waiting, address)
}

/// Packets to the table are lost, so that connecting takes its full time. A daemon that waited for it
/// beyond the time of a call would be late to read a change of configuration, as no other read
/// begins meanwhile.
#[test]
fn a_read_ends_within_two_call_times_also_while_connecting() {
    let (_listener, _waiting, address) = unanswering_listener();
    let client = client(address);
    let began = Instant::now();
    let answer = block_on(client.execute(PlatformDuty::Config, &read("a/1")));
    let took = began.elapsed();
    println!("took {took:?}");
    assert_eq!(answer, TableResponse::Unavailable);
    assert!(took < Duration::from_millis(1_500), "{took:?}");
}
