//! Who reads the store in a zone, and what an attestation proves.

#[path = "common/callers.rs"]
mod callers;
#[path = "common/cluster.rs"]
mod cluster;
#[path = "common/harness.rs"]
mod harness;

use cluster::{DAEMONS, DaemonCluster, ZONES};
use savorywood_gateway::{GatewayEvent, ReadPlan, SharedTable, StorePosition, TableKnowledge};
use std::{collections::BTreeSet, time::Duration};

impl DaemonCluster {
    /// A daemon reads a table of the store itself, or is handed on what changed there.
    fn read(&mut self, number: usize, table: SharedTable, changed: u64, confirmed: bool) {
        let proof_at = confirmed.then_some(self.now);
        let knowledge = TableKnowledge {
            through: StorePosition::new(1, changed),
            changed: StorePosition::new(1, changed),
        };
        self.daemons[number].step(GatewayEvent::TableRead {
            table,
            knowledge,
            proof_at,
        });
    }

    /// Daemons that must read the store do so, if they reach it.
    fn read_all(&mut self, changed: u64, reaches_store: impl Fn(usize) -> bool) {
        for number in 0..self.daemons.len() {
            for table in [SharedTable::Declared, SharedTable::Upstreams] {
                let plan = self.plan(number, table);
                if plan != ReadPlan::Rest && reaches_store(number) {
                    self.read(number, table, changed, true);
                    self.daemons[number].confirm();
                }
            }
        }
    }

    fn plan(&self, number: usize, table: SharedTable) -> ReadPlan {
        self.daemons[number].gateway.read_plan(self.now, table)
    }

    fn readers(&self) -> Vec<usize> {
        let all = 0..self.daemons.len();
        all.filter(|number| self.plan(*number, SharedTable::Declared) == ReadPlan::Direct)
            .collect()
    }

    /// Time passes in steps; daemons read where they must, and gossip.
    fn run_rounds(
        &mut self,
        rounds: usize,
        changed: u64,
        reaches_store: impl Fn(usize) -> bool + Copy,
    ) {
        for _ in 0..rounds {
            self.now = self.now + Duration::from_millis(250);
            for daemon in &mut self.daemons {
                daemon.now = self.now;
                daemon.step(GatewayEvent::Tick);
            }
            self.read_all(changed, reaches_store);
            self.exchange_gossip();
        }
    }

    fn is_ready(&self, number: usize) -> bool {
        self.daemons[number].gateway.is_ready(self.now)
    }
}

/// Read by all, the store would be asked as often as there are daemons. One of each zone reads,
/// and all stay ready.
#[test]
fn one_daemon_of_a_zone_reads_the_store() {
    let mut cluster = DaemonCluster::new(DAEMONS);
    cluster.run_rounds(20, 7, |_| true);
    assert_eq!(cluster.readers(), (0..ZONES).collect::<Vec<_>>());
    assert!((0..DAEMONS).all(|number| cluster.is_ready(number)));
}

/// The daemon that reads for its zone learns of a change; the others must get no proof before
/// they hold it as well, or a key that was taken away would work on at them.
#[test]
fn a_daemon_that_lacks_a_change_is_not_confirmed() {
    let mut cluster = DaemonCluster::new(DAEMONS);
    cluster.run_rounds(20, 7, |_| true);
    for number in 0..ZONES {
        cluster.read(number, SharedTable::Declared, 8, true);
    }
    cluster.exchange_gossip();
    let plan = cluster.plan(ZONES, SharedTable::Declared);
    assert_eq!(plan, ReadPlan::CatchUp);
    // It can't read the store, and nobody hands on the change.
    cluster.run_rounds(12, 8, |number| number < ZONES);
    assert!(!cluster.is_ready(ZONES));
    assert!(cluster.is_ready(0));
    cluster.read(ZONES, SharedTable::Declared, 8, false);
    cluster.run_rounds(4, 8, |number| number < ZONES);
    assert!(cluster.is_ready(ZONES));
}

/// The daemon that reads for its zone dies, or the store turns it away. Another one reads, and
/// nobody becomes unready meanwhile.
#[test]
fn another_daemon_takes_over_reading_the_store() {
    let mut cluster = DaemonCluster::new(DAEMONS);
    cluster.run_rounds(20, 7, |_| true);
    for _ in 0..24 {
        cluster.run_rounds(1, 7, |number| number >= ZONES);
        let unready: Vec<usize> = (ZONES..DAEMONS).filter(|n| !cluster.is_ready(*n)).collect();
        assert!(unready.is_empty(), "{unready:?}");
    }
    let readers = cluster.readers();
    assert!(readers.contains(&ZONES), "{readers:?}");
    assert!(readers.len() <= 2 * ZONES, "{readers:?}");
}

/// An attestation is held up on its way for seconds, by a freeze, say. It proves what was true when the
/// message that it echoes was sent, and not a moment of its coming.
#[test]
fn a_delayed_attestation_does_not_extend_freshness() {
    let mut cluster = DaemonCluster::new(DAEMONS);
    cluster.run_rounds(20, 7, |_| true);
    let now = cluster.now;
    let attestation = cluster.daemons[0].gateway.summary(now);
    cluster.cut_off = BTreeSet::from([ZONES]);
    cluster.run_rounds(16, 7, |number| number != ZONES);
    assert!(!cluster.is_ready(ZONES));
    cluster.daemons[ZONES].step(GatewayEvent::SummaryReceived(Box::new(attestation)));
    assert!(!cluster.is_ready(ZONES));
}
