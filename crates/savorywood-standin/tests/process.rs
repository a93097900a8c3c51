//! The stand-ins as processes: they announce where they listen, can be frozen and are killed.

use savorywood_testing::{ProcessSignal, StandinProcess, TestCall, free_address};
use serde_json::json;
use std::time::Duration;

const SHORT: Duration = Duration::from_millis(300);

#[test]
fn a_frozen_stand_in_is_silent_until_it_goes_on() {
    let plain = StandinProcess::plain(&[]);
    let call = TestCall::get(plain.address(), "/story").timeout(SHORT);
    assert_eq!(call.send().expect("an answer").status(), 200);
    plain.signal(ProcessSignal::Stop);
    assert!(call.send().is_err());
    plain.signal(ProcessSignal::Continue);
    let later = TestCall::get(plain.address(), "/story").send();
    assert_eq!(later.expect("an answer").status(), 200);
}

#[test]
fn a_dropped_stand_in_is_gone() {
    let engine = StandinProcess::engine(&["--decode", "10", "--faults", "{\"frozen\":true}"]);
    let address = engine.address();
    let models = TestCall::get(address, "/v1/models");
    assert_eq!(
        models.send().expect("an answer").json()["data"][0]["id"],
        "v1"
    );
    drop(engine);
    assert!(models.send().is_err());
}

#[test]
fn a_proxy_is_steered_on_an_address_of_its_own() {
    let platform = StandinProcess::platform(&[]);
    let proxy = StandinProcess::proxy(platform.address());
    let hosts = TestCall::get(proxy.address(), "/v1/hosts").timeout(SHORT);
    assert_eq!(hosts.send().expect("a list").json(), json!([]));
    proxy.set_faults(&json!({"mode": "half-open"}));
    assert!(hosts.send().is_err());
    proxy.set_faults(&json!({}));
    assert!(hosts.send().is_ok());
    assert_ne!(free_address(), free_address());
}

/// Guards against calls that are answered after a freeze because the signal has not reached all
/// threads yet.
#[test]
fn no_thread_runs_once_a_freeze_was_ordered() {
    let plain = StandinProcess::plain(&[]);
    let call = TestCall::get(plain.address(), "/story").timeout(SHORT);
    for _ in 0..100 {
        plain.signal(ProcessSignal::Stop);
        let states = plain.thread_states();
        plain.signal(ProcessSignal::Continue);
        assert!(states.iter().all(|state| *state == 'T'), "{states:?}");
        assert_eq!(call.send().expect("an answer").status(), 200);
    }
}
