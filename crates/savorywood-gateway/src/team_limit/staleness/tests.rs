//! Compares the sums of the index with an iteration over all peers.

use super::{StalenessIndex, StalenessThresholds, TrackedPeer};
use quickcheck::quickcheck;
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};

const PEERS: u8 = 9;
const INTERVAL: Duration = Duration::from_millis(250);

/// Returns the time for which all peers have been late, in daemon seconds, by iteration.
fn iterated_s(peers: &BTreeMap<u64, TrackedPeer>, now: MonotonicTime, near: bool) -> f64 {
    let peers = peers.values().filter(|peer| peer.same_zone || !near);
    let late = peers.map(|peer| {
        let late_after = StalenessThresholds::for_interval(INTERVAL).late_after;
        let lateness = now.since(peer.received_at).saturating_sub(late_after);
        lateness.as_secs_f64() * f64::from(peer.daemons)
    });
    late.sum()
}

fn iterated_reachable(peers: &BTreeMap<u64, TrackedPeer>, now: MonotonicTime) -> u32 {
    let peers = peers.values();
    let reachable = peers.filter(|peer| {
        now.since(peer.received_at) < StalenessThresholds::for_interval(INTERVAL).unreachable_after
    });
    reachable.map(|peer| peer.daemons).sum()
}

quickcheck! {
    /// Guards against requests that are wrongly refused or admitted because a sum has drifted from
    /// the state of its peers.
    fn sums_match_an_iteration_over_all_peers(steps: Vec<(u8, u16, bool)>) -> bool {
        let mut index = StalenessIndex::new(StalenessThresholds::for_interval(INTERVAL));
        let mut peers: BTreeMap<u64, TrackedPeer> = BTreeMap::new();
        let mut now = MonotonicTime(1_000_000);
        for (number, step_ms, ends) in steps {
            now = now + Duration::from_millis(u64::from(step_ms % 700));
            index.advance(now, |peer| peers.get(&peer).copied());
            let peer = u64::from(number % PEERS);
            if let Some(known) = peers.remove(&peer) {
                index.remove(known);
            }
            if !ends {
                let known = TrackedPeer {
                    peer,
                    received_at: now,
                    daemons: u32::from(number / PEERS) + 1,
                    same_zone: peer.is_multiple_of(2),
                };
                index.insert(known);
                peers.insert(peer, known);
            }
            let later = now + Duration::from_millis(u64::from(step_ms % 311));
            let mut ahead = index.clone();
            ahead.advance(later, |peer| peers.get(&peer).copied());
            let late = ahead.stale_time(later);
            let same = (late.total_s - iterated_s(&peers, later, false)).abs() < 1e-6
                && (late.same_zone_s - iterated_s(&peers, later, true)).abs() < 1e-6
                && ahead.reachable_daemons() == iterated_reachable(&peers, later)
                && ahead.daemons() == peers.values().map(|peer| peer.daemons).sum::<u32>();
            if !same {
                return false;
            }
        }
        true
    }
}
