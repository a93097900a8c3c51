//! Stops of moves: applied at once on this daemon and gossiped to peers, independent of the table.

use super::{MoveView, MovesState, local_statistics::StatisticsBatch};
use crate::{
    effect::{DaemonEffect, EffectQueue, LogLevel, LogLine},
    view::MemberView,
};
use rand::seq::IteratorRandom;
use savorywood_protocol::{
    ConfigRevision, CoreTime, HostName, MoveName, WallTime,
    peer::{MoveMessage, PeerMessage},
};

/// Peers that a stop is sent to in each gossip round.
const GOSSIP_FANOUT: usize = 6;

/// Gossip rounds after the first. Each daemon that receives a stop gossips it as well, so a stop
/// reaches all of 350 daemons within a few rounds even with half of the datagrams lost.
const GOSSIP_REPEATS: u32 = 3;

/// Why and when a move was stopped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopRecord {
    /// Configuration revision of the stopped spec. A later revision is a new attempt and is not
    /// affected.
    pub revision: ConfigRevision,
    /// Human-readable reason, from the daemon that issued the stop.
    pub reason: String,
    /// Time of the stop by the clock of the daemon that issued it.
    pub at: WallTime,
    /// Gossip rounds that remain.
    rounds_left: u32,
}

impl MovesState {
    /// Whether that revision of a move was stopped.
    #[must_use]
    pub fn is_stopped(&self, name: &MoveName, revision: ConfigRevision) -> bool {
        self.stop_of(name, revision).is_some()
    }

    pub(super) fn stop_of(&self, name: &MoveName, revision: ConfigRevision) -> Option<&StopRecord> {
        self.stops
            .get(name)
            .filter(|stop| stop.revision == revision)
    }

    /// Records a stop, which ends the share of the new version on this daemon, and gossips it. Does
    /// nothing if a stop of this or a later revision is already recorded.
    pub(super) fn stop(
        &mut self,
        name: &MoveName,
        stop: StopRecord,
        members: &MemberView,
        effects: &mut EffectQueue,
    ) {
        let recorded = self.stops.get(name);
        if recorded.is_some_and(|recorded| recorded.revision >= stop.revision) {
            return;
        }
        let line = LogLine::new(LogLevel::Warn, "move-stopped")
            .with("move", name)
            .with("reason", &stop.reason);
        effects.log(line);
        self.gossip_stop(name, &stop, members, effects);
        self.stops.insert(name.clone(), stop);
    }

    pub(super) fn new_stop(now: CoreTime, revision: ConfigRevision, reason: String) -> StopRecord {
        StopRecord {
            revision,
            reason,
            at: now.wall,
            rounds_left: GOSSIP_REPEATS,
        }
    }

    /// Sends a stop to randomly chosen serving peers.
    fn gossip_stop(
        &mut self,
        name: &MoveName,
        stop: &StopRecord,
        members: &MemberView,
        effects: &mut EffectQueue,
    ) {
        let own = &self.options.host;
        let others = members.serving().filter(|(host, _)| *host != own);
        for (host, member) in others.choose_multiple(&mut self.rng, GOSSIP_FANOUT) {
            let message = MoveMessage::Stop {
                name: name.clone(),
                revision: stop.revision,
                reason: stop.reason.clone(),
                at: stop.at,
            };
            effects.push(DaemonEffect::SendPeer {
                to: host.clone(),
                address: member.peer_address,
                message: PeerMessage::Moves(message),
            });
        }
    }

    pub(super) fn has_stops_to_resend(&self) -> bool {
        self.stops.values().any(|stop| stop.rounds_left > 0)
    }

    /// Sends each stop that has gossip rounds left once more.
    pub(super) fn resend_stops(&mut self, members: &MemberView, effects: &mut EffectQueue) {
        let mut stops = std::mem::take(&mut self.stops);
        for (name, stop) in &mut stops {
            if stop.rounds_left > 0 {
                stop.rounds_left -= 1;
                self.gossip_stop(name, stop, members, effects);
            }
        }
        self.stops = stops;
    }

    pub(super) fn receive(
        &mut self,
        now: CoreTime,
        from: &HostName,
        message: MoveMessage,
        view: MoveView<'_>,
        effects: &mut EffectQueue,
    ) {
        match message {
            MoveMessage::Stop {
                name,
                revision,
                reason,
                at,
            } => {
                let stop = StopRecord {
                    at,
                    ..Self::new_stop(now, revision, reason)
                };
                self.stop(&name, stop, view.members, effects);
                self.drive(now, view, effects);
            }
            MoveMessage::Statistics {
                name,
                revision,
                sequence,
                routes,
            } => {
                let batch = StatisticsBatch {
                    name,
                    revision,
                    sequence,
                    routes,
                };
                self.record_statistics(now, from, &batch);
            }
        }
    }
}
