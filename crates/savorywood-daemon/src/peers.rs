//! Messages between daemons: datagrams for everything small, TCP for whole configurations.

mod datagrams;
mod snapshots;

pub use datagrams::DatagramLink;
pub use snapshots::SnapshotLink;
