//! Bursts of crashes in clusters of different sizes, and their figures.
#![allow(dead_code, reason = "each test file uses a part of the module")]

use crate::{
    crash_records::{AttemptShare, CrashTraffic},
    crashing_parts::PartEnvironment,
    crashing_requests::{
        CRASHING_PART, CrashingRequests, OTHER_CRASHING_PART, period_after, period_before,
        run_rounds,
    },
};

/// Rounds that a sound request runs, on average.
const MEAN_ROUNDS: usize = 4;

/// Size of a cluster and its load in a burst of crashes.
#[derive(Debug, Clone, Copy)]
pub struct BurstSize {
    pub daemons: usize,
    /// Sound requests that run at an upstream at the same time, on average.
    pub concurrent: usize,
    pub crashing_parts: usize,
}

/// Dispatches after a burst of crashes.
pub struct BurstResult {
    pub size: BurstSize,
    /// Late dispatches of requests with each crashing part.
    pub late: Vec<usize>,
    pub sound: AttemptShare,
}

/// Runs a burst of crashes and prints its figures.
pub fn run_burst(size: BurstSize, seed: u64) -> BurstResult {
    let parts = [CRASHING_PART, OTHER_CRASHING_PART];
    let parts = &parts[..size.crashing_parts];
    let upstreams: u16 = if size.daemons > 8 { 24 } else { 8 };
    let mut environment = PartEnvironment::new(size.daemons, upstreams, seed);
    environment.crashing_parts.extend(parts);
    environment.only_members = true;
    let sound = (size.concurrent * usize::from(upstreams)).div_ceil(MEAN_ROUNDS);
    run_rounds(&mut environment, 24, sound, &[]);
    let burst_start = environment.crash_gossip.len();
    println!(
        "  {} daemons receive requests",
        environment.receivers().len()
    );
    let sources = parts.iter().map(|part| CrashingRequests::new(*part, 2));
    run_rounds(&mut environment, 60, sound, &sources.collect::<Vec<_>>());
    let records: Vec<_> = environment.parts.values().collect();
    let verdict = records.iter().filter_map(|record| {
        let first = record.crashes.first()?;
        Some(record.dispatches.last()?.since(*first).as_millis())
    });
    let verdict_ms: Vec<u128> = verdict.collect();
    let crashes = environment.crash_count;
    let late = records.iter().map(|record| record.late_dispatches());
    let late: Vec<usize> = late.collect();
    let burst = period_before(&environment).end..environment.cluster.now;
    let sent = environment.first_attempt_share(&burst, |_| true).sent;
    let refused = environment.quarantined_first_attempts(&burst);
    let after = environment.first_attempt_share(&period_after(&environment), |_| true);
    let daemons = environment.cluster.daemons.iter();
    let held = daemons.map(|daemon| daemon.gateway.quarantined_requests());
    let held = held.max().unwrap_or_default();
    let rounds = &environment.crash_gossip[burst_start..];
    for (name, rounds) in [("first 3 s", &rounds[..12]), ("last 3 s", &rounds[48..])] {
        let total = CrashTraffic::total(rounds.iter());
        let count = (size.daemons * rounds.len()) as f64;
        println!(
            "  {name}: {:.1} messages, {:.1} reports, {:.0} bytes a daemon and round, largest {}",
            total.messages as f64 / count,
            total.reports as f64 / count,
            total.bytes as f64 / count,
            total.largest
        );
    }
    println!(
        "{size:?} seed {seed}: crashes {crashes} late {late:?} verdict_ms {verdict_ms:?} \
         sound refused {refused} of {sent} after {after:?} {:?} held {held} writes {} rows {}",
        environment.sound_ends,
        environment.writes,
        environment.rows.len()
    );
    BurstResult {
        size,
        late,
        sound: after,
    }
}
