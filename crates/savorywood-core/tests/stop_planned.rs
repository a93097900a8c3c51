//! Planned stops.

use quickcheck::quickcheck;
use savorywood_core::{
    DaemonEffect, EffectQueue,
    stop::{OpenWork, StopAction, StopEvent, StopOptions, StopState},
};
use savorywood_protocol::{CoreTime, MonotonicTime, WallTime};
use std::time::Duration;

/// A daemon that stops, looked at every 200 ms.
struct Stopper {
    stop: StopState,
    now: CoreTime,
    verdicts: Vec<StopAction>,
    exited: bool,
}

impl Stopper {
    fn new() -> Self {
        Self {
            stop: StopState::new(StopOptions::default()),
            now: CoreTime {
                monotonic: MonotonicTime(1_000_000),
                wall: WallTime(1),
            },
            verdicts: Vec::new(),
            exited: false,
        }
    }

    fn step(&mut self, event: StopEvent, requests: usize) {
        let open = OpenWork {
            requests,
            claims: 0,
        };
        let mut effects = EffectQueue::new();
        let verdicts = self.stop.step(self.now, event, open, &mut effects);
        if verdicts.contains(&StopAction::AnnounceLeft) {
            self.stop.finish(&mut effects);
        }
        self.verdicts.extend(verdicts);
        for effect in effects.drain() {
            match effect {
                DaemonEffect::Exit => {
                    assert_eq!(requests, 0, "a request was cut off");
                    self.exited = true;
                }
                DaemonEffect::InvariantViolated(breach) => panic!("{breach:?}"),
                _ => {}
            }
        }
    }

    fn wait(&mut self, seconds: u64, requests: usize) {
        for _ in 0..seconds * 5 {
            if self.exited {
                return;
            }
            self.now = self.now.after(Duration::from_millis(200));
            self.step(StopEvent::TimerFired, requests);
        }
    }
}

/// A daemon without any work is told to stop. Callers hold its address for ten more seconds, and
/// other daemons give it out until they know; an exit at once would leave them a closed port.
#[test]
fn an_idle_daemon_serves_as_long_as_its_address_is_held() {
    let mut stopper = Stopper::new();
    stopper.step(StopEvent::Requested, 0);
    assert_eq!(
        stopper.verdicts,
        [StopAction::AnnounceLeaving, StopAction::ReleaseLeases]
    );
    stopper.wait(12, 0);
    assert!(!stopper.exited);
    stopper.wait(3, 0);
    assert!(stopper.exited);
    assert_eq!(
        stopper.verdicts[2..],
        [StopAction::ReleaseCredits, StopAction::AnnounceLeft]
    );
}

/// A long stream runs when the daemon is told to stop. It must end whole, however long it takes.
#[test]
fn a_long_stream_is_finished() {
    let mut stopper = Stopper::new();
    stopper.step(StopEvent::Requested, 1);
    stopper.wait(3_600, 1);
    assert!(!stopper.exited);
    stopper.step(StopEvent::WorkChanged, 0);
    assert!(
        !stopper.exited,
        "a caller that just connected would be cut off"
    );
    stopper.wait(2, 0);
    assert!(stopper.exited);
}

/// The operator's tool sends the signal twice. The second must not cut the first one short.
#[test]
fn a_second_signal_changes_nothing() {
    let mut stopper = Stopper::new();
    stopper.step(StopEvent::Requested, 1);
    stopper.wait(1, 1);
    stopper.step(StopEvent::Requested, 1);
    assert_eq!(stopper.verdicts.len(), 2);
    stopper.wait(30, 1);
    assert!(!stopper.exited);
}

quickcheck! {
    /// Requests come and go in any order while the daemon stops.
    fn no_schedule_cuts_a_request_off(opens: Vec<u8>) -> bool {
        let mut stopper = Stopper::new();
        stopper.step(StopEvent::Requested, 0);
        for open in opens {
            stopper.wait(1, usize::from(open % 3));
        }
        stopper.wait(20, 0);
        stopper.exited
    }
}
