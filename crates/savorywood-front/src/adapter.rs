//! Where the platform's way of speaking comes in: names, formats and calls, no decisions.

use crate::wire::{HeaderLine, HeaderList, RequestHead, ResponseHead, StoreCall};
use savorywood_gateway::{
    DeclaredConfig, RequestArrival, ResponseMetadata, RolloutOrder, RolloutStatus, RolloutWrite,
    StorePosition, TeamLabel, UpstreamEntry, UpstreamLabel, ZoneLabel,
};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::{net::SocketAddr, time::Duration};
use strum::Display;

/// Tables of the store that a front daemon reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StoreTable {
    /// What operators declare.
    Declared,
    /// Registrations of upstreams.
    Upstreams,
    /// Where daemons find each other.
    Members,
    /// States of roll-outs.
    Status,
    /// Requests in quarantine.
    Quarantine,
}

/// One row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRow {
    /// Key.
    pub key: String,
    /// Value; `None` when the row was removed.
    pub value: Option<Vec<u8>>,
    /// Position of its last change.
    pub position: StorePosition,
}

/// An answer about rows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StorePage {
    /// Rows in order.
    pub rows: Vec<StoreRow>,
    /// There are more.
    pub truncated: bool,
    /// Position of the store.
    pub revision: StorePosition,
    /// Steady clock of the store in microseconds.
    pub store_micros: Option<u64>,
}

/// A row to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableWrite {
    /// Table.
    pub table: StoreTable,
    /// Key.
    pub key: String,
    /// Value; `None` removes the row.
    pub value: Option<Vec<u8>>,
    /// Version that the row must have; zero: it must not exist. `None`: any.
    pub expected_version: Option<u64>,
}

/// The status row of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutRow {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
}

/// What a declared row says.
#[derive(Debug, Clone)]
pub enum DeclaredRow {
    /// A configuration.
    Config(Box<DeclaredConfig>),
    /// A roll-out.
    Rollout(RolloutOrder),
    /// Nothing that this daemon knows.
    Unknown,
}

/// Why a request can't be taken.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{reason}"))]
pub struct ArrivalError {
    /// What is wrong.
    pub reason: &'static str,
}

/// What an upstream is sent beside the caller's own head.
#[derive(Debug, Clone, Copy)]
pub struct DispatchContext<'a> {
    /// Incarnation that is meant.
    pub upstream: &'a UpstreamLabel,
    /// Team of the caller's key.
    pub team: Option<&'a TeamLabel>,
    /// Time that is left.
    pub time_left: Duration,
    /// Last event that the caller has, for a stream that is read on.
    pub last_event_id: Option<&'a str>,
}

/// What an answer's head says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ParsedResponseHead {
    /// Identity of the request that it answers.
    pub request_id: Option<String>,
    /// The upstream says that it did not run the request.
    pub not_executed: bool,
    /// Another incarnation has that address.
    pub misdirected: bool,
    /// It bears the mark of the upstream's own answers.
    pub from_upstream: bool,
    /// Load and the like.
    pub metadata: ResponseMetadata,
}

/// A caller's question which addresses to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// Zone of the caller.
    pub zone: Option<String>,
    /// Region of the caller.
    pub region: Option<String>,
    /// Host that it wants to call, in lower case.
    pub host: Option<String>,
}

/// The platform's way of speaking.
pub trait FrontAdapter {
    /// What a request asks.
    ///
    /// # Errors
    ///
    /// When the head lacks what every request must have.
    fn parse_arrival(&self, head: &RequestHead) -> Result<RequestArrival, ArrivalError>;

    /// Header lines for the upstream, those of the caller that pass included.
    fn upstream_headers(&self, head: &RequestHead, facts: &DispatchContext<'_>) -> Vec<HeaderLine>;

    /// What an answer's head says.
    fn parse_response_head(&self, head: &ResponseHead) -> ParsedResponseHead;

    /// A header of an upstream's answer reaches the caller.
    fn forwards_response_header(&self, name: &str) -> bool;

    /// Header lines of answers that the daemon gives itself.
    fn local_response_headers(&self, head: &RequestHead) -> Vec<HeaderLine>;

    /// The question in a call to the directory.
    fn directory_query(&self, head: &RequestHead) -> Option<DirectoryQuery>;

    /// The answer to it.
    fn directory_response(&self, addresses: &[SocketAddr], keep: Duration) -> Vec<u8>;

    /// The call asks whether the daemon is ready.
    fn is_readiness_check(&self, head: &RequestHead) -> bool;

    /// Reads rows of a table, those after a key.
    fn read_rows_call(&self, table: StoreTable, after: Option<&str>) -> StoreCall;

    /// Waits for rows of a table that changed after a version.
    fn feed_rows_call(&self, table: StoreTable, after: u64, wait: Duration) -> StoreCall;

    /// Writes a row.
    fn write_row_call(&self, write: &TableWrite) -> StoreCall;

    /// Era that an answer of the store names, if it names one.
    fn store_era(&self, headers: &HeaderList) -> Option<u64>;

    /// Reads an answer about rows of an era; `None` when it can't be read.
    fn parse_page(&self, era: u64, body: &[u8]) -> Option<StorePage>;

    /// Reads a declared row.
    fn parse_declared(&self, row: &StoreRow) -> DeclaredRow;

    /// Zone whose evacuation a declared row orders while it exists; `None` for any other row.
    fn evacuated_zone(&self, row: &StoreRow) -> Option<ZoneLabel>;

    /// Reads a registration; `None` when it names no upstream to use.
    fn parse_upstream(&self, row: &StoreRow) -> Option<UpstreamEntry>;

    /// Reads a status row.
    fn parse_rollout_status(&self, row: &StoreRow) -> Option<RolloutStatus>;

    /// Writes a status row.
    fn encode_rollout_row(&self, write: &RolloutWrite) -> RolloutRow;
}
