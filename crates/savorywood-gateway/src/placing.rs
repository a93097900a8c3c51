//! Placement of requests on the slots of upstreams.
//!
//! Daemons see each other's use of slots with a delay. While slots are scarce, several of them would
//! take the same free slot. Slot reservations decide without further messages which daemon may take
//! it: all daemons rank the members of the entry sets in the same way for each upstream, and a free
//! slot is open to more of them the longer it has been free.

mod claim;
mod decision;
mod members;
mod report;
mod vacancy;

pub use claim::{SlotClaim, rank_claim, rank_owners};
pub use decision::{
    HoldCause, HoldCounters, ReservationPolicy, ReservationView, ServiceUse, SlotReservation,
};
pub use members::{LossRetention, MemberHistory, is_group};
pub use report::LoadRecord;
pub use vacancy::Vacancies;
