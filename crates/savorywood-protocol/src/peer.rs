//! Messages between daemons, encoded with `postcard`.

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

/// One message between two daemons, by the duty that reads it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Who is alive.
    Membership(MembershipMessage),
    /// Who may send how much to an upstream.
    Credits(CreditMessage),
    /// Which configuration is in force.
    Config(ConfigMessage),
    /// Which moves were stopped.
    Moves(MoveMessage),
}
