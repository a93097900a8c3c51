//! What a schedule does to the daemons.

use crate::{
    links::TABLE_TIMEOUT,
    sabotage::WorldSabotage,
    schedule::{NODES, WorldAction, WorldFault},
    world::{FaultWindows, Pending, World},
};
use savorywood_core::{DaemonEffect, DaemonEvent};

impl World {
    pub(crate) fn act(&mut self, action: WorldAction) {
        match action {
            WorldAction::Burst { node, count, tier } => self.burst(node, count, tier),
            WorldAction::Charge { node } => self.charge(node),
            WorldAction::Repeat { node } => self.repeat(node),
            WorldAction::Leave => self.leave(),
            WorldAction::Resume { node } => self.resume(node),
            WorldAction::Edit { node } => self.edit(node),
            WorldAction::Race { first, second } => self.race(first, second),
            WorldAction::Drain { node, plain } => self.drain(node, plain),
            WorldAction::Fault(fault) => {
                self.figures.faults += 1;
                self.fail(fault);
            }
        }
    }

    fn fail(&mut self, fault: WorldFault) {
        let now = self.now;
        match fault {
            WorldFault::Pause { node, micros } => {
                self.nodes[node].paused_until = now + micros;
                if self.sabotage == Some(WorldSabotage::SwapCores) {
                    self.nodes[node].core = Some(self.nodes[node].new_core(1));
                }
                self.disturb(node, micros);
            }
            WorldFault::Crash { node, micros } => self.crash(node, micros),
            WorldFault::Stop { node, micros } => self.stop(node, micros),
            WorldFault::Outage { micros } => {
                self.windows.outage = now + micros;
                self.disturb_all(micros);
            }
            WorldFault::LossyTable { micros } => {
                self.windows.lossy_table = now + micros;
                self.disturb_all(micros + TABLE_TIMEOUT);
            }
            WorldFault::SlowTable { micros } => {
                self.windows.slow_table = now + micros;
                self.disturb_all(micros + TABLE_TIMEOUT);
            }
            WorldFault::CutTable { node, micros } => {
                self.windows.cut_table[node] = now + micros;
                self.disturb(node, micros);
            }
            WorldFault::LossyNetwork { micros } => {
                self.windows.lossy_network = now + micros;
                self.disturb_all(micros);
            }
            WorldFault::Cut {
                from,
                to,
                both,
                micros,
            } => {
                self.windows.cuts.insert((from, to), now + micros);
                if both {
                    self.windows.cuts.insert((to, from), now + micros);
                }
                self.disturb(from, micros);
                self.disturb(to, micros);
            }
            WorldFault::WallJump { node, millis } => self.nodes[node].wall_offset_millis = millis,
            WorldFault::UpstreamDown { upstream, micros } => {
                let name = Self::upstream_name(upstream);
                self.windows.down.insert(name, now + micros);
            }
            WorldFault::UpstreamSlow { upstream, micros } => {
                let name = Self::upstream_name(upstream);
                self.windows.slow.insert(name, now + micros);
            }
            WorldFault::WrongHosts { micros } => self.windows.wrong_hosts = now + micros,
        }
    }

    fn disturb(&mut self, node: usize, micros: u64) {
        let until = &mut self.nodes[node].disturbed_until;
        *until = (*until).max(self.now + micros);
    }

    fn disturb_all(&mut self, micros: u64) {
        for node in 0..NODES {
            self.disturb(node, micros);
        }
    }

    fn crash(&mut self, node: usize, micros: u64) {
        self.nodes[node].end();
        self.disturb(node, micros);
        self.later(micros, Pending::Begin { node });
    }

    /// The next daemon begins once the old one has ended by itself.
    fn stop(&mut self, node: usize, micros: u64) {
        let to = self.nodes[node].at;
        if self.nodes[node].stopping || !self.is_alive(to) {
            return;
        }
        self.nodes[node].stopping = true;
        self.disturb(node, micros);
        let event = DaemonEvent::StopRequested;
        self.later(0, Pending::Deliver { to, event });
        if self.sabotage == Some(WorldSabotage::ExitEarly) {
            self.execute(node, DaemonEffect::Exit);
        }
    }

    /// Ends all faults. Hosts without a daemon get one. Gives the time after which the last
    /// daemon that stands still has gone on and the last call of the table has been given up.
    pub(crate) fn heal(&mut self) -> u64 {
        self.windows = FaultWindows::default();
        let paused = self.nodes.iter().map(|node| node.paused_until).max();
        let paused = paused.unwrap_or_default().saturating_sub(self.now);
        let tail = paused.max(TABLE_TIMEOUT);
        for node in 0..NODES {
            self.nodes[node].disturbed_until = self.now + tail;
            if self.nodes[node].core.is_none() {
                self.later(0, Pending::Begin { node });
            }
        }
        tail
    }
}
