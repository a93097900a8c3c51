//! Readings that upstreams report of themselves.

mod pace;

pub use pace::{PaceReading, PaceReport, UpstreamPace};
