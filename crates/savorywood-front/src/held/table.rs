//! The decision who may hold memory of the budget, and who is disconnected when it is exhausted.

use super::verdict::{CutOutcome, HeldKind, HeldVerdict, HolderCut, HolderId};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, time::Duration};

/// Maximum size of a response that is not streamed, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Time for which a reader is paused before another holder is disconnected for it. Upstreams abort
/// responses that stay unread for several seconds, and none of them is lost within this time.
pub const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Time without progress after which a holder may be disconnected.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Bytes that a holder has to deliver or receive within `STALL_TIME`. Without a minimum, a caller that
/// reads one byte per second would count as reading.
const MIN_PROGRESS: usize = 4_096;
/// Bytes that any holder may have of the reserve, so that small requests and responses are served while
/// large ones wait.
const SMALL_HOLDER: usize = 65_536;

/// What a holder waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HolderStage {
    /// The rest of its input.
    Receiving,
    /// An upstream, or another attempt: it can neither be delivered nor cut.
    Kept,
    /// A caller who reads it.
    Delivering,
}

#[derive(Debug, Clone)]
struct Holder {
    kind: HeldKind,
    stage: HolderStage,
    bytes: usize,
    last_progress: MonotonicTime,
    /// Bytes delivered or received since `last_progress`.
    progress: usize,
    paused_since: Option<MonotonicTime>,
    is_cut: bool,
}

impl Holder {
    fn record_progress(&mut self, now: MonotonicTime, bytes: usize) {
        self.progress = self.progress.saturating_add(bytes);
        if self.progress >= MIN_PROGRESS || self.bytes == 0 {
            self.last_progress = now;
            self.progress = 0;
        }
    }

    /// Returns how the holder would be disconnected; `None` if it waits for no caller.
    fn cut_outcome(&self) -> Option<CutOutcome> {
        match (self.kind, self.stage) {
            (_, HolderStage::Delivering) => Some(CutOutcome::ResponseUnread),
            (HeldKind::RequestBody, HolderStage::Receiving) if self.paused_since.is_none() => {
                Some(CutOutcome::RequestIncomplete)
            }
            _ => None,
        }
    }
}

/// All holders of the process.
///
/// The budget has a mark below which everyone may hold more. The reserve above it is as large as the
/// largest response: it is used by the response that has received the most, so that always one of
/// them becomes complete, and by small holders.
#[derive(Debug)]
pub struct HolderTable {
    budget: usize,
    total: usize,
    next: u64,
    holders: BTreeMap<HolderId, Holder>,
}

impl HolderTable {
    /// Creates a table for a budget in bytes.
    pub fn new(budget: usize) -> Self {
        Self {
            budget,
            total: 0,
            next: 0,
            holders: BTreeMap::new(),
        }
    }

    /// Returns the budget in bytes.
    pub fn budget(&self) -> usize {
        self.budget
    }

    /// Returns the bytes held.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Returns the bytes held of one kind.
    pub fn held(&self, kind: HeldKind) -> usize {
        let holders = self.holders.values().filter(|holder| holder.kind == kind);
        holders.map(|holder| holder.bytes).sum()
    }

    /// Returns the maximum size of one response.
    pub fn max_response(&self) -> usize {
        MAX_RESPONSE_BYTES.min(self.budget / 2)
    }

    fn mark(&self) -> usize {
        self.budget - self.max_response()
    }

    /// Adds a holder without bytes.
    pub fn open(&mut self, now: MonotonicTime, kind: HeldKind) -> HolderId {
        self.next += 1;
        let id = HolderId(self.next);
        let holder = Holder {
            kind,
            stage: HolderStage::Receiving,
            bytes: 0,
            last_progress: now,
            progress: 0,
            paused_since: None,
            is_cut: false,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Removes a holder with all of its bytes.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.total -= holder.bytes;
        }
    }

    /// Decides on a request with a body of the given size, before the body is read.
    pub fn admit_body(&mut self, now: MonotonicTime, bytes: usize) -> HeldVerdict {
        let limit = if bytes <= SMALL_HOLDER {
            self.budget
        } else {
            self.mark()
        };
        if self.total.saturating_add(bytes) <= limit {
            HeldVerdict::Allow
        } else if let Some(cut) = self.cut_longest_stalled(now) {
            HeldVerdict::Cut(cut)
        } else {
            HeldVerdict::Refuse
        }
    }

    /// Decides on further bytes of a holder, and charges them if they are allowed.
    pub fn grow(&mut self, now: MonotonicTime, id: HolderId, bytes: usize) -> HeldVerdict {
        let total = self.total.saturating_add(bytes);
        let is_allowed =
            total <= self.mark() || (total <= self.budget && self.may_use_reserve(id, bytes));
        let Some(holder) = self.holders.get_mut(&id) else {
            return HeldVerdict::Pause;
        };
        if is_allowed {
            holder.bytes += bytes;
            holder.paused_since = None;
            if holder.stage == HolderStage::Receiving {
                holder.record_progress(now, bytes);
            }
            self.total = total;
            return HeldVerdict::Allow;
        }
        let paused_since = *holder.paused_since.get_or_insert(now);
        let is_request = holder.kind == HeldKind::RequestBody;
        if now.since(paused_since) < MAX_PAUSE {
            return HeldVerdict::Pause;
        }
        match self.cut_longest_stalled(now) {
            Some(cut) => HeldVerdict::Cut(cut),
            None if is_request => HeldVerdict::Refuse,
            None => HeldVerdict::Pause,
        }
    }

    /// Records that bytes of a holder were delivered and are no longer held.
    pub fn shrink(&mut self, now: MonotonicTime, id: HolderId, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let freed = bytes.min(holder.bytes);
            holder.bytes -= freed;
            holder.record_progress(now, bytes);
            if holder.bytes == 0 {
                holder.paused_since = None;
            }
            self.total -= freed;
        }
    }

    /// Records that the holder waits for an upstream or another attempt.
    pub fn keep(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.stage = HolderStage::Kept;
        }
    }

    /// Records that the holder waits for the caller who reads it.
    pub fn begin_delivery(&mut self, now: MonotonicTime, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id)
            && holder.stage != HolderStage::Delivering
        {
            holder.stage = HolderStage::Delivering;
            holder.last_progress = now;
            holder.progress = 0;
        }
    }

    /// Returns whether a holder may use the reserve. One that held it until its caller has read all
    /// would block the others, so only those that receive are compared.
    fn may_use_reserve(&self, id: HolderId, bytes: usize) -> bool {
        let Some(holder) = self.holders.get(&id) else {
            return false;
        };
        let is_small = holder.bytes.saturating_add(bytes) <= SMALL_HOLDER;
        if is_small || holder.kind != HeldKind::Response {
            return is_small;
        }
        let receiving = self.holders.iter().filter(|(_, other)| {
            other.kind == HeldKind::Response && other.stage == HolderStage::Receiving
        });
        let first =
            receiving.max_by_key(|(other, holder)| (holder.bytes, std::cmp::Reverse(**other)));
        first.is_some_and(|(first, _)| *first == id)
    }

    /// Chooses the holder to be disconnected: the caller that has read nothing for the longest time, or
    /// else the one that has sent nothing of its request for the longest time. Callers that make
    /// progress are never chosen. Returns `None` as well while a holder that was chosen before has not
    /// been closed, because its bytes may suffice.
    fn cut_longest_stalled(&mut self, now: MonotonicTime) -> Option<HolderCut> {
        if self.holders.values().any(|holder| holder.is_cut) {
            return None;
        }
        let stalled = self.holders.iter().filter_map(|(id, holder)| {
            let outcome = holder.cut_outcome()?;
            let stalled = now.since(holder.last_progress);
            let is_stalled = holder.bytes > 0 && stalled >= STALL_TIME;
            is_stalled.then_some(HolderCut {
                holder: *id,
                outcome,
                bytes: holder.bytes,
                stalled,
            })
        });
        let cut = stalled.max_by_key(|cut| {
            let is_response = cut.outcome == CutOutcome::ResponseUnread;
            (is_response, cut.stalled, cut.bytes)
        })?;
        if let Some(holder) = self.holders.get_mut(&cut.holder) {
            holder.is_cut = true;
        }
        Some(cut)
    }
}

#[cfg(test)]
mod tests;
