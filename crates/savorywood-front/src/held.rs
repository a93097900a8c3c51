//! Bounds of the memory that slow or endless input and output takes.

mod metrics;
mod report;

pub use metrics::HeldMetrics;
