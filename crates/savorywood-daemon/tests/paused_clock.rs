//! The runtime's clock stands still until a test moves it.

use futures_lite::future;
use savorywood_daemon::RuntimeClock;
use savorywood_protocol::MonotonicTime;
use std::{thread, time::Duration};

#[test]
fn sleep_ends_when_the_clock_is_advanced() {
    let clock = RuntimeClock::paused();
    let sleeper = clock.clone();
    let slept = thread::spawn(move || {
        future::block_on(sleeper.sleep(Duration::from_secs(3_600)));
        sleeper.now().monotonic
    });
    clock.advance(Duration::from_secs(3_599));
    thread::sleep(Duration::from_millis(20));
    assert!(!slept.is_finished());
    clock.advance(Duration::from_secs(1));
    clock.advance(Duration::from_secs(3_600));
    let woken_at = slept.join().ok();
    assert!(woken_at.is_some_and(|at| at >= MonotonicTime(3_600_000_000)));
}

#[test]
fn system_clock_runs() {
    let clock = RuntimeClock::system();
    let before = clock.now();
    future::block_on(clock.sleep(Duration::from_millis(5)));
    assert!(clock.now().monotonic.since(before.monotonic) >= Duration::from_millis(5));
}
