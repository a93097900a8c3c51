//! Types shared by all crates: names, times, resources, messages between daemons and outcomes of
//! requests.
//!
//! This crate does no I/O and reads no clock. Its types are values that cross a process boundary
//! (JSON documents, `postcard` messages, HTTP headers) and the parts that they are made of.

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
