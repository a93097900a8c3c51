//! Checks of upstreams that send without an end, or accept nothing, over loopback.

use super::*;
use crate::connect::CONNECT_TIMEOUT;
use std::{io::Write, net::TcpListener, thread, time::Instant};

/// Guards against a check that waits for the input of an upstream, or keeps its connection.
#[test]
fn upstreams_that_send_without_an_end_are_counted_and_left() {
    let (ended, ends) = std::sync::mpsc::channel();
    let addresses: Vec<SocketAddr> = (0..3)
        .map(|_| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let address = listener.local_addr().expect("an address");
            let ended = ended.clone();
            thread::spawn(move || {
                let (mut stream, _) = listener.accept().expect("a connection");
                while stream.write_all(&[b'x'; 4_096]).is_ok() {}
                ended.send(()).expect("the test waits");
            });
            address
        })
        .collect();
    let executor = LocalExecutor::new();
    let started = Instant::now();
    let reached = async_io::block_on(executor.run(count_reached(&executor, addresses)));
    assert_eq!(reached, 3);
    assert!(started.elapsed() < CONNECT_TIMEOUT * 2);
    for _ in 0..3 {
        let closed = ends.recv_timeout(std::time::Duration::from_secs(5));
        assert!(closed.is_ok(), "a connection is kept");
    }
}
