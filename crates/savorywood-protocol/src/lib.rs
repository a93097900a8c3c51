//! Names, times, resources, peer messages and outcomes shared by every crate.
//!
//! This crate does no I/O and reads no clock. Everything here is either a value that crosses a
//! process boundary or the vocabulary used to talk about one.

pub mod api;
pub mod burn;
pub mod extension;
pub mod host_list;
pub mod name;
pub mod number;
pub mod outcome;
pub mod peer;
pub mod prefix;
pub mod resource;
pub mod resume_token;
pub mod table;
pub mod time;

pub use name::{
    HostName, MoveName, NameError, RegionName, ServiceName, TeamName, TierName, UpstreamName,
    VersionName, ZoneName,
};
pub use number::{
    AttemptNumber, ConfigRevision, FencingNumber, HostIncarnation, RequestId, TierRank,
};
pub use outcome::{OutcomeKind, RefusalCode, RequestRefusal};
pub use time::{CoreTime, MonotonicTime, WallTime};
