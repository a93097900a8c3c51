//! Seeded experiments that compare scheduling policies over the real cores.

pub mod agenda;
pub mod arbiter;
pub mod central;
pub mod cli;
pub mod compare;
pub mod daemon_host;
pub mod deployment;
pub mod direct;
pub mod engine;
pub mod names;
pub mod policy;
pub mod report;
pub mod run;
pub mod scenario;
pub mod slopes;
pub mod tally;
pub mod task;
pub mod workload;
pub mod world;
