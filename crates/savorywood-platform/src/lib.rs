//! Clients of the table and object service, the host list and the weight store.
//!
//! One [`PlatformClient`] serves all duties of a daemon. Each duty has budgets of its own, so
//! that none can starve another; a breaker keeps a daemon from piling calls on a service that is
//! down; reads are tried twice, writes never.

pub mod breaker;
pub mod budget;
pub mod client;
pub mod duty;
pub mod error;
pub mod options;

pub use breaker::{BreakerState, CallBreaker};
pub use budget::{DutyBudgets, TakeVerdict, TokenBucket};
pub use client::PlatformClient;
pub use duty::{CallKind, PlatformDuty, PlatformService};
pub use error::{PlatformError, PlatformStep};
pub use options::PlatformOptions;
