//! Holders of the memory budget, and the decisions on them.

use std::time::Duration;
use strum::{EnumIter, IntoStaticStr};

/// Identifier of a holder, unique in the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(pub(super) u64);

/// What the bytes of a holder are. The text form is part of the log and the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum HeldKind {
    /// Body of a caller's request.
    RequestBody,
    /// Response that is not streamed, held until it is complete and delivered.
    Response,
    /// Events that are incomplete or not written yet.
    Events,
}

/// How a holder is disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CutOutcome {
    /// The caller has not read its response, and its connection is closed. The request was executed.
    ResponseUnread,
    /// The caller has not sent the rest of its request, and is told that the request was not executed.
    RequestIncomplete,
}

/// A holder to be disconnected, with the inputs of the decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderCut {
    pub holder: HolderId,
    pub outcome: CutOutcome,
    /// Bytes that the holder has.
    pub bytes: usize,
    /// Time since its last progress.
    pub stalled: Duration,
}

/// Decision on further bytes of a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldVerdict {
    /// The bytes are charged, and reading continues.
    Allow,
    /// Nothing is charged; the sender is not read from for now.
    Pause,
    /// The same, and another holder is disconnected.
    Cut(HolderCut),
    /// The request is refused as not executed.
    Refuse,
}
