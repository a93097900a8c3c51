//! Decision whether this daemon may send a request to an upstream that can bear few rejections.

use super::{
    history::{PendingDispatch, RejectionHistory},
    owner_relay::OwnerRelay,
    room::RoomEstimate,
    share::{OwnedPart, OwnedShare, RejectionQuota},
};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Use of the slots of one upstream, by this daemon and by all.
#[derive(Debug, Clone, Copy)]
pub struct SlotUsage {
    /// Slots of the upstream.
    pub slots: u32,
    /// Slots in use by this daemon.
    pub own: u32,
    /// Slots in use by all daemons, as last reported.
    pub all: u32,
}

/// What this daemon may cause of the rejections that one upstream can bear.
///
/// What may yet be rejected and what was rejected within the last window never exceed the part that
/// the daemon owns, however little room the upstream has. The parts of all daemons together are what
/// the upstream announced.
#[derive(Debug, Clone, Default)]
pub struct RejectionBudget {
    share: OwnedShare,
    room: RoomEstimate,
    history: RejectionHistory,
    /// Requests of other daemons in progress that this one relays.
    relayed: u32,
    /// Owners through which this daemon reaches the upstream if it is not one of them.
    pub owner_relay: OwnerRelay,
    /// Other daemons may use the share as well: this one has not seen most of them for long.
    is_contested: bool,
}

impl RejectionBudget {
    /// Sets the part of the upstream that this daemon owns. `first_at`: time from which on the first
    /// division since the limit is in force is effective; `is_contested`: other daemons may have taken
    /// over the share.
    pub fn set_part(
        &mut self,
        now: MonotonicTime,
        part: Option<OwnedPart>,
        first_at: Option<MonotonicTime>,
        is_contested: bool,
    ) {
        self.share.update(now, part, first_at);
        self.is_contested = is_contested;
    }

    /// Returns the part of the upstream that this daemon owns; `None` while it is not known.
    #[must_use]
    pub fn part(&self) -> Option<OwnedPart> {
        self.share.part()
    }

    /// Returns the requests of this daemon that the upstream has room for; `None` before its first
    /// rejection.
    #[must_use]
    pub fn room(&self) -> Option<u32> {
        self.room.room()
    }

    /// Returns the number of dispatches that the upstream may yet reject.
    #[must_use]
    pub fn pending(&self, now: MonotonicTime) -> u32 {
        self.history.pending(now)
    }

    /// Returns the number of rejections within a window of at most ten seconds.
    #[must_use]
    pub fn rejections(&self, now: MonotonicTime, window: Duration) -> u32 {
        self.history.rejections(now, window)
    }

    /// Returns whether this daemon may send another request, of its own or of another daemon.
    #[must_use]
    pub fn allows_dispatch(
        &self,
        now: MonotonicTime,
        quota: RejectionQuota,
        usage: SlotUsage,
    ) -> bool {
        let owned_slots = self.part().map_or(0, |part| part.slots);
        let in_progress = usage.own + self.relayed;
        let outstanding = self.history.pending(now) + self.history.rejections(now, quota.window);
        usage.all < usage.slots
            && in_progress < owned_slots
            && outstanding < self.share.rejections(now)
            && self.room.allows(now, in_progress)
            && !(self.is_contested && self.room.is_paused(now))
    }

    /// Records that a request of another daemon is relayed, with a number that is unique within the
    /// process. `own` requests of this daemon are in progress.
    pub fn record_relay(&mut self, now: MonotonicTime, number: u64, own: u32) {
        self.relayed += 1;
        self.record_dispatch(now, number, own);
    }

    /// Records that a request of another daemon has ended.
    pub fn record_relay_end(&mut self) {
        self.relayed = self.relayed.saturating_sub(1);
    }

    /// Records a dispatch with a number that is unique within the process, one of `own` of this
    /// daemon.
    pub fn record_dispatch(&mut self, now: MonotonicTime, number: u64, own: u32) {
        self.settle(now);
        let concurrent = own + self.relayed;
        self.history.record_dispatch(PendingDispatch {
            number,
            at: now,
            concurrent,
        });
    }

    /// Records that the upstream accepted a dispatch.
    pub fn record_accepted(&mut self, number: u64) {
        if let Some(dispatch) = self.history.take_pending(number) {
            self.room.record_accepted(dispatch.concurrent);
        }
    }

    /// Records that the upstream never received a dispatch.
    pub fn record_unsent(&mut self, number: u64) {
        self.history.take_pending(number);
    }

    /// Records that a dispatch was abandoned; the upstream may still reject it.
    pub fn record_abandoned(&mut self, number: u64) {
        self.history.record_abandoned(number);
    }

    /// Records that the upstream rejected a dispatch; `own` requests of this daemon are in progress,
    /// this one included if it is one of them. `sample` is a random number from 0 up to 1.
    pub fn record_rejection(&mut self, now: MonotonicTime, number: u64, own: u32, sample: f64) {
        let dispatch = self.history.take_pending(number);
        let concurrent = dispatch.map_or(own + self.relayed, |dispatch| dispatch.concurrent);
        self.history.record_rejection(now);
        self.room
            .record_rejection(now, concurrent.saturating_sub(1), sample);
    }

    /// Takes dispatches as accepted that have been pending for long enough.
    pub fn settle(&mut self, now: MonotonicTime) {
        while let Some(dispatch) = self.history.take_accepted(now) {
            self.room.record_accepted(dispatch.concurrent);
        }
    }
}
