//! The proxy: each fault does what it says, for connections and for datagrams.

use async_io::block_on;
use savorywood_standin::{
    FaultProxy, LinkDirection, LinkMode, PlainOptions, PlainServer, ProxyFaults, ProxyLink,
    ProxyOptions,
};
use savorywood_testing::{TestCall, background_executor};
use std::{
    net::{SocketAddr, UdpSocket},
    time::{Duration, Instant},
};

const SHORT: Duration = Duration::from_millis(300);

struct Setup {
    proxy: FaultProxy,
    plain: PlainServer,
}

fn start() -> Setup {
    let executor = background_executor();
    let plain = block_on(PlainServer::start(&executor, PlainOptions::default()));
    let plain = plain.expect("a plain service");
    let options = ProxyOptions::new().tcp(Some(ProxyLink::to(plain.address())));
    let proxy = block_on(FaultProxy::start(&executor, options)).expect("a proxy");
    Setup { proxy, plain }
}

impl Setup {
    fn call(&self) -> TestCall {
        let address = self.proxy.tcp_address().expect("a link");
        TestCall::post(address, "/echo", "0123456789").timeout(SHORT)
    }

    fn set(&self, faults: &ProxyFaults) {
        let body = serde_json::to_vec(faults).expect("JSON");
        let put = TestCall::put(self.proxy.control_address(), "/standin/faults", body);
        assert_eq!(put.send().expect("an answer").status(), 200);
    }
}

fn mode(mode: LinkMode) -> ProxyFaults {
    ProxyFaults {
        mode,
        ..ProxyFaults::default()
    }
}

#[test]
fn a_cut_link_comes_back() {
    let setup = start();
    assert_eq!(setup.call().send().expect("an echo").text(), "0123456789");
    setup.set(&mode(LinkMode::Cut));
    let begin = Instant::now();
    assert!(setup.call().send().is_err());
    assert!(begin.elapsed() < SHORT, "a cut link is closed at once");
    setup.set(&mode(LinkMode::Pass));
    assert!(setup.call().send().is_ok());
}

/// The connection is there, but nothing passes: only a timeout tells.
#[test]
fn a_half_open_link_carries_nothing_and_never_closes() {
    let setup = start();
    setup.set(&mode(LinkMode::HalfOpen));
    let begin = Instant::now();
    assert!(setup.call().send().is_err());
    assert!(begin.elapsed() >= SHORT);
    assert_eq!(setup.plain.runs().total, 0);
}

/// The request arrives and runs, but its answer does not come back.
#[test]
fn a_link_cut_one_way_hides_what_ran() {
    let setup = start();
    setup.set(&ProxyFaults {
        blocked: Some(LinkDirection::ToClient),
        ..ProxyFaults::default()
    });
    assert!(setup.call().send().is_err());
    assert_eq!(setup.plain.runs().total, 1);
}

#[test]
fn an_answer_is_cut_off_after_its_bytes_and_delayed() {
    let setup = start();
    setup.set(&ProxyFaults {
        close_after_bytes: Some(20),
        ..ProxyFaults::default()
    });
    assert!(setup.call().send().is_err());
    setup.set(&ProxyFaults {
        delay_ms: 50,
        ..ProxyFaults::default()
    });
    let begin = Instant::now();
    assert!(setup.call().send().is_ok());
    assert!(
        begin.elapsed() >= Duration::from_millis(100),
        "once each way"
    );
}

#[test]
fn datagrams_pass_both_ways_and_are_lost_on_purpose() {
    let target = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let address = target.local_addr().expect("an address");
    let options = ProxyOptions::new().udp(Some(ProxyLink::to(address)));
    let proxy = block_on(FaultProxy::start(&background_executor(), options)).expect("a proxy");
    let relay = proxy.udp_address().expect("a link");
    let client = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    for socket in [&target, &client] {
        socket.set_read_timeout(Some(SHORT)).expect("a timeout");
    }
    client.send_to(b"ping", relay).expect("sent");
    let sender = receive(&target).expect("a datagram");
    target.send_to(b"pong", sender).expect("sent");
    assert_eq!(receive(&client), Some(relay));
    proxy.set_faults(ProxyFaults {
        drop_per_mille: 1_000,
        ..ProxyFaults::default()
    });
    client.send_to(b"ping", relay).expect("sent");
    assert_eq!(receive(&target), None);
}

fn receive(socket: &UdpSocket) -> Option<SocketAddr> {
    let mut buffer = [0; 16];
    socket.recv_from(&mut buffer).ok().map(|(_, from)| from)
}
