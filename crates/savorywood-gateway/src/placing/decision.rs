//! Decision whether this daemon may use another slot of an upstream.

use super::{claim::SlotClaim, report::LoadRecord, vacancy::Vacancies};
use crate::rejection_limit::SlotUsage;
use savorywood_protocol::MonotonicTime;
use std::{cell::Cell, time::Duration};
use strum::{Display, EnumCount, FromRepr};

/// Time for which a daemon may take a slot again that it has released. Its peers see the slot free
/// after 80 ms at the earliest, so that none of them takes it before.
const REUSE_PERIOD: Duration = Duration::from_millis(80);

/// Rule by which daemons divide free slots. All but the default serve for comparison.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ReservationPolicy {
    /// Own slots first; a free slot of others is open to more daemons the longer it has been free.
    #[default]
    Widening,
    /// Only own slots.
    FixedShares,
    /// Own slots first; those of others while more than this many are free.
    Margin(u32),
    /// No division; only the load that upstreams report is taken into account.
    ReportedLoadOnly,
}

/// Reason why a reservation holds a request back although a slot seems to be free.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumCount, FromRepr)]
#[strum(serialize_all = "kebab-case")]
#[repr(usize)]
pub enum HoldCause {
    /// Other daemons take precedence.
    OthersFirst,
    /// The upstream reports more load than the known daemons cause.
    Unaccounted,
    /// The free slots belong to daemons that were lost recently.
    LostMembers,
    /// The daemons that share the slots are not known yet.
    MembersUnknown,
}

/// Use of a service's slots by this daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceUse {
    /// Slots that this daemon uses.
    pub own: u32,
    /// Slots of the eligible upstreams.
    pub slots: u32,
    /// Slots of them that the members in contact with this daemon own.
    pub group_slots: u32,
}

impl ServiceUse {
    /// Returns the use relative to an equal share of the slots among some members.
    fn relative_to_share(self, members: u32) -> f64 {
        f64::from(self.own) * f64::from(members) / f64::from(self.slots.max(1))
    }
}

/// State of the reservation of one upstream's slots.
#[derive(Debug, Clone, Default)]
pub struct SlotReservation {
    /// Claim of this daemon; `None` while the members are not known or it is not one of them.
    pub claim: Option<SlotClaim>,
    /// Free slots as seen by this daemon.
    pub vacancies: Vacancies,
    /// Load that the upstream reported.
    pub report: LoadRecord,
    /// Time at which this daemon released a slot that it has not taken again.
    pub released_at: Option<MonotonicTime>,
}

/// Inputs of a decision, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReservationView {
    /// Slots that this daemon owns.
    pub share: u32,
    /// Slots that it uses.
    pub own: u32,
    /// Slots in use by all daemons, as last reported.
    pub seen: u32,
    /// Further slots in use according to the upstream.
    pub unaccounted: u32,
}

impl SlotReservation {
    /// Returns the inputs of a decision.
    #[must_use]
    pub fn view(&self, now: MonotonicTime, own: u32, seen: u32) -> ReservationView {
        ReservationView {
            share: self.claim.map_or(0, |claim| claim.owned),
            own,
            seen,
            unaccounted: self.report.unaccounted(now, seen.saturating_sub(own)),
        }
    }

    /// Decides whether this daemon may use another slot of an upstream that has a free slot by the
    /// reports of its peers.
    ///
    /// # Errors
    ///
    /// Returns the cause if the slot is to be left to others.
    pub fn check(
        &self,
        now: MonotonicTime,
        usage: SlotUsage,
        service: ServiceUse,
        policy: ReservationPolicy,
    ) -> Result<(), HoldCause> {
        let others = usage.all.saturating_sub(usage.own);
        let used = usage.all + self.report.unaccounted(now, others);
        if used >= usage.slots {
            return Err(HoldCause::Unaccounted);
        }
        if policy == ReservationPolicy::ReportedLoadOnly {
            return Ok(());
        }
        let Some(claim) = self.claim else {
            // One slot stays free for dispatches that other daemons make at the same time.
            let is_free = usage.own == 0 && used < usage.slots.saturating_sub(1).max(1);
            return is_free.then_some(()).ok_or(HoldCause::MembersUnknown);
        };
        if service.group_slots == 0 {
            // A small service has fewer slots than daemons. Without this slot, a partitioned daemon
            // could not serve it at all.
            let is_first = service.own == 0;
            return is_first.then_some(()).ok_or(HoldCause::LostMembers);
        }
        if used >= claim.group_slots {
            return Err(HoldCause::LostMembers);
        }
        let free = claim.group_slots - used;
        let may_borrow = match policy {
            ReservationPolicy::Widening => {
                let demand = service.relative_to_share(claim.members);
                let is_unseen = |at| now.since(at) < REUSE_PERIOD;
                self.released_at.is_some_and(is_unseen)
                    || claim.rank < self.vacancies.reach(now, free, demand)
            }
            ReservationPolicy::Margin(margin) => free > margin,
            ReservationPolicy::FixedShares | ReservationPolicy::ReportedLoadOnly => false,
        };
        if usage.own < claim.owned || may_borrow {
            Ok(())
        } else {
            Err(HoldCause::OthersFirst)
        }
    }
}

/// Numbers of selections that found no slot because a reservation held one back, by cause. A
/// selection reads the state of the daemon, so that they are cells.
#[derive(Debug, Default)]
pub struct HoldCounters([Cell<u64>; HoldCause::COUNT]);

impl HoldCounters {
    /// Counts a selection that was held back.
    pub fn record(&self, cause: HoldCause) {
        let count = &self.0[cause as usize];
        count.set(count.get() + 1);
    }

    /// Iterates over the causes and their counts.
    pub fn iter(&self) -> impl Iterator<Item = (HoldCause, u64)> + '_ {
        let counts = self.0.iter().map(Cell::get).enumerate();
        counts.filter_map(|(cause, count)| Some((HoldCause::from_repr(cause)?, count)))
    }
}
