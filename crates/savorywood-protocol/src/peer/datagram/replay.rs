//! Drops datagrams that come a second time.
//!
//! A datagram that is copied off the wire and sent again carries a right tag. Played back later,
//! an old demand or grant would count anew; one would notice it as seats that nobody uses. The
//! receiver therefore keeps, for each sender, which of its latest sequence numbers it has seen.

use crate::{HostIncarnation, HostName};
use std::collections::BTreeMap;

/// Sequence numbers below the newest that may still come out of order.
const WINDOW_BITS: u64 = 128;

/// What the guard says of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplayDecision {
    /// Not seen before.
    Fresh,
    /// Seen before, or too old to tell.
    Replayed,
    /// From a life of the sender that has ended.
    OldIncarnation,
}

/// Which of one sender's latest sequence numbers have been seen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    newest: u64,
    seen: u128,
}

impl ReplayWindow {
    /// Notes a sequence number; says whether it is seen for the first time.
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

/// Replay windows of all senders, each bound to one life of its sender.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    senders: BTreeMap<HostName, SenderWindow>,
}

impl ReplayGuard {
    /// Judges an authenticated datagram and notes its sequence number.
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

    /// Forgets senders that `keep` does not name, so that replaced hosts take no memory for good.
    pub fn retain(&mut self, keep: impl Fn(&HostName) -> bool) {
        self.senders.retain(|host, _| keep(host));
    }
}
