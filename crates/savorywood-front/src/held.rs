//! Bounds of the memory that slow or endless input and output takes.
//!
//! One budget covers request bodies, responses that are held whole and events that are not written
//! yet. Near its bound, senders are not read from; at the bound, callers that make no progress are
//! disconnected.

mod body;
mod memory;
mod metrics;
mod report;
mod settings;
mod table;
mod verdict;

pub use body::{HeldBodyError, ReadEnd, RequestBody, ResponseBody, ResponseReader};
pub use memory::{HeldCharge, HeldMemory};
pub use metrics::HeldMetrics;
pub use settings::check_share;
pub use table::{MAX_PAUSE, MAX_RESPONSE_BYTES};
pub use verdict::{HeldKind, HeldVerdict};
