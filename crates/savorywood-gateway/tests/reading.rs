//! Who reads the store in a zone, and what an attestation proves.

#[path = "common/callers.rs"]
mod callers;
#[path = "common/field.rs"]
mod field;
#[path = "common/scene.rs"]
mod scene;

use field::{DAEMONS, DaemonField, ZONES};
use savorywood_gateway::{GatewayEvent, ReadPlan, SharedTable, StorePosition, TablePosition};
use std::{collections::BTreeSet, time::Duration};

impl DaemonField {
    /// A daemon reads a table of the store itself, or is handed on what changed there.
    fn read(&mut self, number: usize, table: SharedTable, changed: u64, proved: bool) {
        let confirmed_at = proved.then_some(self.now);
        let position = TablePosition {
            read_through: StorePosition::new(1, changed),
            last_change: StorePosition::new(1, changed),
        };
        self.daemons[number].step(GatewayEvent::TableRead {
            table,
            position,
            confirmed_at,
        });
    }

    /// Daemons that must read the store do so, if they reach it.
    fn read_all(&mut self, changed: u64, reaches_store: impl Fn(usize) -> bool) {
        for number in 0..self.daemons.len() {
            for table in [SharedTable::Declared, SharedTable::Upstreams] {
                let plan = self.plan(number, table);
                if plan != ReadPlan::FollowAttestation && reaches_store(number) {
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
    fn live(&mut self, rounds: usize, changed: u64, reaches_store: impl Fn(usize) -> bool + Copy) {
        for _ in 0..rounds {
            self.now = self.now + Duration::from_millis(250);
            for daemon in &mut self.daemons {
                daemon.now = self.now;
                daemon.step(GatewayEvent::Tick);
            }
            self.read_all(changed, reaches_store);
            self.talk();
        }
    }

    fn ready(&self, number: usize) -> bool {
        self.daemons[number].gateway.is_ready(self.now)
    }
}

/// Read by all, the store would be asked as often as there are daemons. One of each zone reads,
/// and all stay ready.
#[test]
fn one_daemon_of_a_zone_reads_the_store() {
    let mut field = DaemonField::new(DAEMONS);
    field.live(20, 7, |_| true);
    assert_eq!(field.readers(), (0..ZONES).collect::<Vec<_>>());
    assert!((0..DAEMONS).all(|number| field.ready(number)));
}

/// The daemon that reads for its zone learns of a change; the others must get no proof before
/// they hold it as well, or a key that was taken away would work on at them.
#[test]
fn a_daemon_that_lacks_a_change_gets_no_proof() {
    let mut field = DaemonField::new(DAEMONS);
    field.live(20, 7, |_| true);
    for number in 0..ZONES {
        field.read(number, SharedTable::Declared, 8, true);
    }
    field.talk();
    let plan = field.plan(ZONES, SharedTable::Declared);
    assert_eq!(plan, ReadPlan::CatchUp);
    // It can't read the store, and nobody hands on the change.
    field.live(12, 8, |number| number < ZONES);
    assert!(!field.ready(ZONES));
    assert!(field.ready(0));
    field.read(ZONES, SharedTable::Declared, 8, false);
    field.live(4, 8, |number| number < ZONES);
    assert!(field.ready(ZONES));
}

/// The daemon that reads for its zone dies, or the store turns it away. Another one reads, and
/// nobody becomes unready meanwhile.
#[test]
fn another_daemon_reads_when_the_first_can_not() {
    let mut field = DaemonField::new(DAEMONS);
    field.live(20, 7, |_| true);
    for _ in 0..24 {
        field.live(1, 7, |number| number >= ZONES);
        let unready: Vec<usize> = (ZONES..DAEMONS).filter(|n| !field.ready(*n)).collect();
        assert!(unready.is_empty(), "{unready:?}");
    }
    let readers = field.readers();
    assert!(readers.contains(&ZONES), "{readers:?}");
    assert!(readers.len() <= 2 * ZONES, "{readers:?}");
}

/// An attestation is held up on its way for seconds, by a freeze, say. It proves what was true when the
/// message that it echoes was sent, and not a moment of its coming.
#[test]
fn an_attestation_that_was_held_up_proves_nothing_new() {
    let mut field = DaemonField::new(DAEMONS);
    field.live(20, 7, |_| true);
    let now = field.now;
    let attestation = field.daemons[0].gateway.summary(now);
    field.cut_off = BTreeSet::from([ZONES]);
    field.live(16, 7, |number| number != ZONES);
    assert!(!field.ready(ZONES));
    field.daemons[ZONES].step(GatewayEvent::SummaryReceived(Box::new(attestation)));
    assert!(!field.ready(ZONES));
}
