//! Addresses for processes under test stay free until the process binds them.

use savorywood_testing::free_address;
use std::{
    net::{Ipv4Addr, TcpListener, TcpStream},
    process::Command,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

/// Threads that start processes beside the choice of addresses.
const SPAWNERS: usize = 6;

/// Addresses that are chosen and bound.
const ADDRESSES: usize = 3_000;

/// Guards against a listener that a process started at the same moment inherits before it runs its program.
#[test]
fn an_address_stays_free_while_other_threads_start_processes() {
    let done = AtomicBool::new(false);
    let taken = thread::scope(|scope| {
        for _ in 0..SPAWNERS {
            scope.spawn(|| start_processes(&done));
        }
        let addresses = (0..ADDRESSES).map(|_| free_address());
        let taken = addresses
            .filter(|address| TcpListener::bind(address).is_err())
            .count();
        done.store(true, Ordering::Relaxed);
        taken
    });
    assert_eq!(taken, 0, "of {ADDRESSES} addresses");
}

/// Guards against the system giving the port to a listener or to an outgoing connection of another test.
#[test]
fn an_address_stays_free_when_its_port_is_taken_on_localhost() {
    let address = free_address();
    let other = TcpListener::bind((Ipv4Addr::LOCALHOST, address.port())).expect("a listener");
    let own = TcpListener::bind(address).expect("the address is free");
    TcpStream::connect(own.local_addr().expect("an address")).expect("the address is reachable");
    drop(other);
}

fn start_processes(done: &AtomicBool) {
    while !done.load(Ordering::Relaxed) {
        let ended = Command::new("true").status();
        assert!(ended.expect("a process can be started").success());
    }
}
