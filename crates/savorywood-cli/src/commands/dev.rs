//! `savorywood dev`: a daemon with stand-ins in one process.

use crate::error::CommandError;
use bpaf::Bpaf;
use std::net::SocketAddr;

/// Options of `dev`.
#[derive(Debug, Clone, Bpaf)]
pub struct DevOptions {
    /// Where to listen for callers and operators
    #[bpaf(argument("ADDR"), fallback(SocketAddr::from(([127, 0, 0, 1], 8080))), display_fallback)]
    pub listen: SocketAddr,
}

/// Runs a daemon and stand-ins until it is told to stop.
///
/// # Errors
///
/// When an address can't be bound.
pub fn run(options: &DevOptions) -> Result<(), CommandError> {
    Err(CommandError::Failed {
        step: format!("serving at {}", options.listen),
        reason: "this build holds no daemon".to_owned(),
        remedy: "use a release that does".to_owned(),
    })
}
