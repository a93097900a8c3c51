//! Messages between daemons: datagrams for everything small, TCP for whole configurations.

mod datagrams;
mod snapshots;
mod sockets;

pub use datagrams::DatagramLink;
pub use snapshots::SnapshotLink;
pub use sockets::PeerSockets;
