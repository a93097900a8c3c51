//! Proxy for TCP connections and relay for datagrams that break them on purpose.

pub(crate) mod datagrams;
pub mod faults;
pub mod options;
pub mod server;
pub(crate) mod streams;
pub(crate) mod switch;

pub use faults::{LinkDirection, LinkMode, ProxyFaults};
pub use options::{ProxyLink, ProxyOptions};
pub use server::FaultProxy;
