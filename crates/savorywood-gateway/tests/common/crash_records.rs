//! What is recorded about requests while parts of prompts crash upstreams.
#![allow(dead_code, reason = "each test file uses a part of the records")]

use savorywood_gateway::{CrashGossip, RefusalReason};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};

/// Time within which connected daemons must have received a crash record.
pub const PROPAGATION_BOUND: Duration = Duration::from_secs(3);
/// Crashes under one part after which requests with it are to be held back.
pub const CRASHES_BEFORE_BOUND: usize = 5;
/// Most dispatches of requests with a crashing part after `PROPAGATION_BOUND` has passed since the
/// last of these crashes.
pub const MAX_LATE_DISPATCHES: usize = 3;
/// Crashes and dispatches under one part.
#[derive(Debug, Clone, Default)]
pub struct PartRecord {
    /// Times at which upstreams crashed under requests with the part.
    pub crashes: Vec<MonotonicTime>,
    /// Times at which daemons in touch with the others dispatched such requests to a live upstream.
    pub dispatches: Vec<MonotonicTime>,
}

impl PartRecord {
    /// Returns the time of the crash after which `PROPAGATION_BOUND` begins.
    pub fn bound_start(&self) -> Option<MonotonicTime> {
        self.crashes.get(CRASHES_BEFORE_BOUND - 1).copied()
    }

    /// Returns the dispatches later than `PROPAGATION_BOUND` after the fifth crash.
    pub fn late_dispatches(&self) -> usize {
        let Some(fifth) = self.bound_start() else {
            return 0;
        };
        let dispatches = self.dispatches.iter();
        dispatches
            .filter(|at| **at > fifth + PROPAGATION_BOUND)
            .count()
    }
}

/// What a sound request met when it was sent for the first time.
#[derive(Debug, Clone)]
pub struct FirstAttempt {
    pub at: MonotonicTime,
    pub parts: Vec<u64>,
    /// Absent while the request waits at its daemon.
    pub outcome: Option<FirstOutcome>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FirstOutcome {
    Dispatched,
    Refused(RefusalReason),
}

/// Share of requests that were dispatched at the first attempt.
#[derive(Debug, Clone, Copy, Default)]
pub struct AttemptShare {
    pub sent: usize,
    pub dispatched: usize,
}

impl AttemptShare {
    pub fn as_fraction(self) -> f64 {
        self.dispatched as f64 / self.sent.max(1) as f64
    }
}

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    Served,
    Refused(RefusalReason),
}

/// Ends of sound requests for their callers, retries included.
#[derive(Debug, Clone, Copy, Default)]
pub struct SoundEnds {
    pub served: usize,
    pub quarantined: usize,
    pub failed: usize,
}

/// Crash reports that one daemon sent in one gossip round, over all receivers.
#[derive(Debug, Clone, Copy, Default)]
pub struct CrashTraffic {
    pub messages: usize,
    pub reports: usize,
    pub bytes: usize,
    /// Size of the largest message.
    pub largest: usize,
}

impl CrashTraffic {
    /// Sums up the messages of one round by sender.
    pub fn by_sender(gossip: &[(usize, usize, CrashGossip)]) -> BTreeMap<usize, Self> {
        let mut traffic: BTreeMap<usize, Self> = BTreeMap::new();
        for (sender, receivers, message) in gossip {
            let size = postcard::to_stdvec(message).expect("serializable").len();
            let sent = traffic.entry(*sender).or_default();
            sent.messages += receivers;
            sent.reports += receivers * message.reports.len();
            sent.bytes += receivers * size;
            sent.largest = sent.largest.max(size);
        }
        traffic
    }
    /// Sums up the messages of some rounds.
    pub fn total<'a>(rounds: impl Iterator<Item = &'a BTreeMap<usize, Self>>) -> Self {
        let mut total = Self::default();
        for sent in rounds.flat_map(BTreeMap::values) {
            total.messages += sent.messages;
            total.reports += sent.reports;
            total.bytes += sent.bytes;
            total.largest = total.largest.max(sent.largest);
        }
        total
    }
}
