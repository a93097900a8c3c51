//! Stand-in for a plain service: echoes what it gets and counts what it ran.

pub mod faults;
pub mod options;
pub(crate) mod routes;
pub mod server;

pub use faults::PlainFaults;
pub use options::PlainOptions;
pub use server::PlainServer;
