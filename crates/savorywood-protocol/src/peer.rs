//! Messages between daemons, encoded with `postcard`.
//!
//! The encoding has no names: the order of fields and variants is part of the format.

pub mod config;
pub mod credits;
pub mod datagram;
pub mod membership;
pub mod moves;
pub mod snapshot;

pub use config::ConfigMessage;
pub use credits::CreditMessage;
pub use datagram::{DatagramError, DatagramKey, PeerDatagram};
pub use membership::MembershipMessage;
pub use moves::MoveMessage;

use serde::{Deserialize, Serialize};

/// Message from one daemon to another, by the component that handles it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Liveness and addresses of members.
    Membership(MembershipMessage),
    /// Division of the slots of contended upstreams.
    Credits(CreditMessage),
    /// Configuration revision in force.
    Config(ConfigMessage),
    /// Stopped traffic moves, and statistics of the two versions of a move.
    Moves(MoveMessage),
}
