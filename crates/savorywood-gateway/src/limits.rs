//! Limits of teams and services, and the times at which refused callers may return.

mod counters;
mod policy;
mod return_schedule;
mod returning;
mod usual_load;

pub use counters::{ReturnCause, ReturnCounters};
pub use policy::{OutageOrder, ReturnPolicy, WhenFull};
pub use return_schedule::{
    ReturnKey, ReturnPreference, ReturnPromise, ReturnQuery, ReturnSchedule,
};
pub use returning::ReturningCallers;
pub use usual_load::UsualLoad;
