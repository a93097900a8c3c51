//! Load for real daemons: added latency, plain calls and mixes shaped like deployments.
//!
//! The tool talks to daemons and upstreams as callers do, over HTTP, and measures what a caller
//! sees. Its loops are bounded in count and time.

mod commands;
mod measured_call;
mod mix;
mod runtime;
mod statistics;

pub use commands::run;
