//! Table, datagrams, configurations between daemons and the host list, with their faults.

use crate::{
    ledger::{NodeLife, host_name},
    node::peer_address,
    sabotage::WorldSabotage,
    schedule::NODES,
    world::{Pending, World},
};
use rand::Rng;
use savorywood_core::{DaemonCore, DaemonEvent, DutyKind, HostEntry, TableCallId};
use savorywood_protocol::{
    HostName,
    peer::{
        PeerMessage,
        datagram::{PeerDatagram, ReplayDecision},
    },
    table::{TableRequest, TableResponse},
};
use std::net::SocketAddr;

/// Time of one way to the table or to a peer, in microseconds.
const WAY_MICROS: std::ops::Range<u64> = 300..3_000;
/// Answers of a slow table take this long.
const SLOW_MICROS: std::ops::Range<u64> = 200_000..2_500_000;
/// After this long the client of the table gives an answer up.
pub const TABLE_TIMEOUT: u64 = 2_000_000;
/// A write whose answer was given up may still take effect within this time.
const LAND_MICROS: u64 = 3_000_000;
/// Delay of datagrams on a bad network.
const LATE_MICROS: u64 = 400_000;
/// The host list is read this often.
const HOSTS_PERIOD: u64 = 2_000_000;

impl World {
    pub(crate) fn call_table(&mut self, node: usize, call: TableCallId, request: TableRequest) {
        let from = self.nodes[node].at;
        let delay = self.rng.random_range(WAY_MICROS);
        self.later(
            delay,
            Pending::Table {
                from,
                call,
                request,
            },
        );
    }

    pub(crate) fn table_call(&mut self, from: NodeLife, call: TableCallId, request: TableRequest) {
        let mut delay = self.rng.random_range(WAY_MICROS);
        let windows = &self.windows;
        let cut = windows.cut_table[from.node] > self.now;
        let response = if windows.outage > self.now || cut {
            TableResponse::Unavailable
        } else if windows.lossy_table > self.now && self.rng.random_bool(0.4) {
            delay = TABLE_TIMEOUT;
            self.lose_answer(request)
        } else if windows.slow_table > self.now {
            delay = self.rng.random_range(SLOW_MICROS);
            let response = self.sabotaged_table(from.life, call, &request);
            if delay > TABLE_TIMEOUT {
                delay = TABLE_TIMEOUT;
                TableResponse::Lost
            } else {
                response
            }
        } else {
            self.sabotaged_table(from.life, call, &request)
        };
        let event = DaemonEvent::Table { call, response };
        self.later(delay, Pending::Deliver { to: from, event });
    }

    fn lose_answer(&mut self, request: TableRequest) -> TableResponse {
        match self.rng.random_range(0..3) {
            0 => {
                self.table.execute(&request);
            }
            1 => {
                let landing = self.rng.random_range(0..LAND_MICROS);
                self.later(landing, Pending::Land(request));
            }
            _ => {}
        }
        TableResponse::Lost
    }

    fn sabotaged_table(
        &mut self,
        life: u64,
        call: TableCallId,
        request: &TableRequest,
    ) -> TableResponse {
        let is_commit = matches!(request, TableRequest::Commit(_));
        let pretend = match self.sabotage {
            Some(WorldSabotage::ForgetClaims) => call.duty == DutyKind::Claims && is_commit,
            Some(WorldSabotage::CommitNothing) => {
                self.now > crate::world::SETUP_MICROS && call.duty == DutyKind::Config && is_commit
            }
            _ => false,
        };
        if pretend {
            return TableResponse::Committed { revision: 1 << 40 };
        }
        let empty = self.sabotage == Some(WorldSabotage::EmptyTable) && life > 1;
        if (empty || self.hides_config()) && call.duty == DutyKind::Config && !is_commit {
            let revision = 0;
            let (rows, more) = (Vec::new(), false);
            return TableResponse::Rows {
                rows,
                revision,
                more,
            };
        }
        self.table.execute(request)
    }

    fn hides_config(&self) -> bool {
        let late = self.now > crate::world::SETUP_MICROS;
        late && self.sabotage == Some(WorldSabotage::HideConfig)
    }

    pub(crate) fn send_peer(
        &mut self,
        node: usize,
        to: &HostName,
        address: SocketAddr,
        message: PeerMessage,
    ) {
        if self.hides_config() {
            return;
        }
        let place = &mut self.nodes[node];
        place.sequence += 1;
        let datagram = PeerDatagram {
            from: host_name(node),
            incarnation: place.core.as_ref().unwrap().incarnation(),
            sequence: place.sequence,
            message,
        };
        let bytes = datagram.seal(to, &self.key).expect("a datagram that fits");
        let Some(target) = (0..NODES).find(|other| peer_address(*other) == address) else {
            return;
        };
        if self.is_cut(node, target) {
            return;
        }
        let bad = self.windows.lossy_network > self.now;
        if bad && self.rng.random_bool(0.25) {
            return;
        }
        let copies = if bad && self.rng.random_bool(0.1) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let mut delay = self.rng.random_range(WAY_MICROS);
            if bad {
                delay += self.rng.random_range(0..LATE_MICROS);
            }
            let bytes = bytes.clone();
            self.later(delay, Pending::Datagram { to: target, bytes });
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let until = self.windows.cuts.get(&(from, to));
        until.is_some_and(|until| *until > self.now)
    }

    pub(crate) fn receive(&mut self, to: usize, bytes: Vec<u8>) {
        let place = &mut self.nodes[to];
        if place.core.is_none() {
            return;
        }
        if place.paused_until > self.now {
            let delay = place.paused_until - self.now;
            return self.later(delay, Pending::Datagram { to, bytes });
        }
        let Ok(datagram) = PeerDatagram::open(&bytes, &host_name(to), &self.key) else {
            return;
        };
        let (from, sequence) = (datagram.from, datagram.sequence);
        let verdict = place
            .guard
            .check_and_record(&from, datagram.incarnation, sequence);
        if verdict == ReplayDecision::Fresh {
            let message = datagram.message;
            self.step(to, DaemonEvent::Peer { from, message });
        }
    }

    pub(crate) fn fetch_snapshot(&mut self, node: usize, from: HostName, address: SocketAddr) {
        let to = self.nodes[node].at;
        let source = (0..NODES).find(|other| peer_address(*other) == address);
        let delay = self.rng.random_range(WAY_MICROS);
        let reached = source.filter(|source| {
            let cut = self.is_cut(node, *source) || self.is_cut(*source, node);
            !cut && self.nodes[*source].paused_until <= self.now && host_name(*source) == from
        });
        let core = reached.and_then(|source| self.nodes[source].core.as_ref());
        let snapshot = core.and_then(DaemonCore::snapshot).map(Box::new);
        let event = DaemonEvent::SnapshotFetched { from, snapshot };
        self.later(2 * delay, Pending::Deliver { to, event });
    }

    /// The list that a daemon reads is the one of some seconds ago, and sometimes wrong.
    pub(crate) fn read_hosts(&mut self, to: NodeLife) {
        if !self.is_alive(to) {
            return;
        }
        let mut list = self.old_hosts.clone();
        self.old_hosts = self.host_list();
        if list.is_empty() {
            list.clone_from(&self.old_hosts);
        }
        if self.windows.wrong_hosts > self.now {
            let kept = self.rng.random_range(0..3);
            list.truncate(kept);
            for entry in &mut list {
                entry.leaving = self.rng.random_bool(0.3);
            }
        }
        let event = DaemonEvent::HostsListed(list);
        self.later(0, Pending::Deliver { to, event });
        self.later(HOSTS_PERIOD, Pending::ReadHosts { to });
    }

    fn host_list(&self) -> Vec<HostEntry> {
        let entry = |node: usize| HostEntry {
            host: host_name(node),
            peer_address: peer_address(node),
            caller_address: format!("10.0.0.{}:8080", node + 1).parse().unwrap(),
            zone: ["a", "b"][node % 2].parse().unwrap(),
            region: "r".parse().unwrap(),
            leaving: false,
        };
        let live = (0..NODES).filter(|node| self.nodes[*node].core.is_some());
        live.map(entry).collect()
    }
}
