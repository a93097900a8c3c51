//! Protection against replayed datagrams.
//!
//! A captured datagram that is sent again has a valid tag. An old demand or grant would take effect
//! again and leave slots unused. The receiver therefore records, for each sender, which of the
//! latest sequence numbers it has received.

use crate::{HostIncarnation, HostName};
use std::collections::BTreeMap;

/// Size of the replay window: datagrams older than this many sequence numbers are dropped, newer
/// ones may arrive out of order.
const WINDOW_BITS: u64 = 128;

/// Result of a replay check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplayDecision {
    /// The datagram is received for the first time.
    Fresh,
    /// The datagram was received before, or is older than the replay window.
    Replayed,
    /// The datagram is from an earlier incarnation of the sender.
    OldIncarnation,
}

/// Sliding window over the sequence numbers received from one sender.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    newest: u64,
    seen: u128,
}

impl ReplayWindow {
    /// Records a sequence number and returns whether it is new. Numbers older than the window
    /// are not.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if self.seen == 0 || sequence > self.newest {
            let shift = sequence.saturating_sub(self.newest);
            let kept = if shift < WINDOW_BITS {
                self.seen << shift
            } else {
                0
            };
            self.seen = kept | 1;
            self.newest = sequence;
            return true;
        }
        let age = self.newest - sequence;
        if age >= WINDOW_BITS {
            return false;
        }
        let bit = 1 << age;
        let fresh = self.seen & bit == 0;
        self.seen |= bit;
        fresh
    }
}

#[derive(Debug)]
struct SenderWindow {
    incarnation: HostIncarnation,
    window: ReplayWindow,
}

/// Replay windows of all senders, each for the newest incarnation of its sender.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    senders: BTreeMap<HostName, SenderWindow>,
}

impl ReplayGuard {
    /// Checks an authenticated datagram for replay and records its sequence number.
    pub fn check_and_record(
        &mut self,
        from: &HostName,
        incarnation: HostIncarnation,
        sequence: u64,
    ) -> ReplayDecision {
        let Some(sender) = self.senders.get_mut(from) else {
            let mut window = ReplayWindow::default();
            window.accept(sequence);
            let sender = SenderWindow {
                incarnation,
                window,
            };
            self.senders.insert(from.clone(), sender);
            return ReplayDecision::Fresh;
        };
        if incarnation < sender.incarnation {
            return ReplayDecision::OldIncarnation;
        }
        if incarnation > sender.incarnation {
            sender.incarnation = incarnation;
            sender.window = ReplayWindow::default();
        }
        match sender.window.accept(sequence) {
            true => ReplayDecision::Fresh,
            false => ReplayDecision::Replayed,
        }
    }

    /// Removes the senders for which `keep` returns false, so that removed hosts don't use memory
    /// forever.
    pub fn retain(&mut self, keep: impl Fn(&HostName) -> bool) {
        self.senders.retain(|host, _| keep(host));
    }
}
