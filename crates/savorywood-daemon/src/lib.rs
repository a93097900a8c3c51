//! The daemon shell: runs the effects of the core and turns their results into events.

mod api;
pub mod clock;
mod daemon;
mod driver;
mod logging;
mod metrics;
mod options;
mod outbound;
mod peers;
mod problem;
mod registry;
mod relay;
mod timers;

pub use clock::RuntimeClock;
pub use daemon::{DaemonError, RunningDaemon};
pub use options::{DaemonLinks, DaemonOptions, DaemonOptionsBuilder, ListenAddresses};
