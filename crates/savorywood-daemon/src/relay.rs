//! Carries one request from its arrival to the end of its answer.

mod attempt;
mod observer;
mod resume;
mod stream;
mod task;
mod usage_filter;

pub use attempt::is_hop_header;
pub use task::{OutgoingCall, OutgoingHeader, RequestTask};
