//! Options of the decisions under overload.

/// Decisions under overload that a deployment's settings enable. All are off by default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OverloadOptions {
    /// Daemons divide the slots of upstreams among themselves while slots are scarce.
    pub slot_reservations: bool,
    /// Requests of a rank are ordered by the time by which they must start, and refused early if they
    /// can't be completed by their deadline.
    pub deadline_queue: bool,
    /// Retry-after delays spread returning requests over the available capacity.
    pub return_schedule: bool,
    /// Upstreams are selected by the pace that they report.
    pub upstream_pace: bool,
}
