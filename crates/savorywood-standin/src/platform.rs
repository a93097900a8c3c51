//! Stand-in for the platform: table service, object store, host list and weight store.

pub mod faults;
pub(crate) mod hosts;
pub mod options;
pub(crate) mod pace;
pub(crate) mod routes;
pub mod server;
pub mod table;

pub use faults::{OutageKind, PlatformFaults};
pub use options::PlatformOptions;
pub use server::PlatformServer;
pub use table::TableStore;
