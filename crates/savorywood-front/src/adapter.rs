//! The adapter trait through which a platform's protocol reaches the front daemon: header names,
//! row formats and store calls. Implementations convert formats; they make no routing or admission
//! decisions.

use crate::wire::{HeaderLine, HeaderList, RequestHead, ResponseHead, StoreCall};
use savorywood_gateway::{
    DeclaredConfig, RequestArrival, ResponseMetadata, RolloutOrder, RolloutStatus, RolloutWrite,
    StorePosition, TeamLabel, UpstreamAnnouncement, UpstreamEntry, UpstreamLabel, ZoneLabel,
};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::{net::SocketAddr, time::Duration};
use strum::Display;

/// Tables of the store that a front daemon reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StoreTable {
    /// Configurations, roll-out orders and evacuation orders that operators write.
    Declared,
    /// Registrations of upstreams, one row for each incarnation.
    Upstreams,
    /// Peer address and availability zone of each front daemon, for discovery at the start.
    Members,
    /// Roll-out states, written by the daemons.
    Status,
    /// Requests in quarantine because upstreams crashed while executing them.
    Quarantine,
}

/// One row of a store table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRow {
    /// Key, unique within its table.
    pub key: String,
    /// Content, or `None` when the row was removed.
    pub value: Option<Vec<u8>>,
    /// Store position of the last change of this row.
    pub position: StorePosition,
}

/// One page of a response to a read or a feed call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StorePage {
    /// Rows in the order of the response.
    pub rows: Vec<StoreRow>,
    /// The table has more rows after the last one of this page.
    pub truncated: bool,
    /// Position of the store when it produced the page.
    pub revision: StorePosition,
    /// Monotonic clock of the store in microseconds; `None` when the response does not report it.
    pub store_micros: Option<u64>,
}

/// Rows of a table that a call reads, in key order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RowRange<'a> {
    /// Only rows whose keys begin so; empty for all.
    pub prefix: &'a str,
    /// Only rows after this key; `None` to start with the first.
    pub after: Option<&'a str>,
}

impl<'a> RowRange<'a> {
    /// Returns the range of all rows after a key.
    #[must_use]
    pub fn after(after: Option<&'a str>) -> Self {
        Self { prefix: "", after }
    }
}

/// A conditional write of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableWrite {
    /// Table that holds the row.
    pub table: StoreTable,
    /// Key of the row to write or remove.
    pub key: String,
    /// New content; `None` removes the row.
    pub value: Option<Vec<u8>>,
    /// Version that the row must have for the write to succeed: zero requires that it does not
    /// exist, `None` writes unconditionally.
    pub expected_version: Option<u64>,
}

/// A roll-out state encoded as a row of the status table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutRow {
    /// Key of the row in the status table.
    pub key: String,
    /// Encoded state.
    pub value: Vec<u8>,
}

/// Content of a row of the declared table.
#[derive(Debug, Clone)]
pub enum DeclaredRow {
    /// A complete configuration.
    Config(Box<DeclaredConfig>),
    /// An order to roll out a version of a service.
    Rollout(RolloutOrder),
    /// A row that this daemon can't interpret; it is logged and ignored.
    Unknown,
}

/// The head of a request lacks what every request needs.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{reason}"))]
pub struct ArrivalError {
    /// What is missing or invalid, for the log.
    pub reason: &'static str,
}

/// What a dispatch adds to the caller's request head.
#[derive(Debug, Clone, Copy)]
pub struct DispatchContext<'a> {
    /// Incarnation that the request is addressed to; any other must reject it.
    pub upstream: &'a UpstreamLabel,
    /// Team of the caller's key; `None` when the request has none.
    pub team: Option<&'a TeamLabel>,
    /// Time until the daemon gives up on the request.
    pub time_left: Duration,
    /// Id of the last event delivered to the caller, when a broken stream is resumed.
    pub last_event_id: Option<&'a str>,
}

/// What an upstream's response head reports beside status and body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ParsedResponseHead {
    /// Id of the request that the response belongs to; `None` when the head has none.
    pub request_id: Option<String>,
    /// The upstream states that it did not execute the request.
    pub not_executed: bool,
    /// The request reached another incarnation than the one it was addressed to.
    pub misdirected: bool,
    /// The head carries the header that only the upstream itself sets, so the response was not
    /// produced by an intermediary.
    pub from_upstream: bool,
    /// Load, warm-up and limit reported by the upstream.
    pub metadata: ResponseMetadata,
    /// What the upstream announces of itself.
    pub announcement: UpstreamAnnouncement,
}

/// A caller's query for addresses of front daemons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// Availability zone of the caller; `None` when it did not report one.
    pub zone: Option<String>,
    /// Region of the caller; `None` when it did not report one.
    pub region: Option<String>,
    /// Host of the service that the caller addresses, in lower case; `None` when not reported.
    pub host: Option<String>,
}

/// Conversion between the platform's protocol and the types of the front daemon.
pub trait FrontAdapter {
    /// Parses the head of a caller's request. The content digest is set by the front daemon.
    ///
    /// # Errors
    ///
    /// Returns an error when the head lacks a header that every request needs.
    fn parse_arrival(&self, head: &RequestHead) -> Result<RequestArrival, ArrivalError>;

    /// Returns the complete header list for a dispatch, including those of the caller's headers
    /// that are forwarded.
    fn upstream_headers(&self, head: &RequestHead, facts: &DispatchContext<'_>) -> Vec<HeaderLine>;

    /// Extracts the metadata of an upstream's response head.
    fn parse_response_head(&self, head: &ResponseHead) -> ParsedResponseHead;

    /// Reports whether a header of an upstream's response is forwarded to the caller.
    fn forwards_response_header(&self, name: &str) -> bool;

    /// Returns the headers of responses that the daemon produces itself.
    fn local_response_headers(&self, head: &RequestHead) -> Vec<HeaderLine>;

    /// Parses a directory query; `None` when the request is not one.
    fn directory_query(&self, head: &RequestHead) -> Option<DirectoryQuery>;

    /// Encodes the response to a directory query. `keep` is the time for which callers may cache
    /// the addresses.
    fn directory_response(&self, addresses: &[SocketAddr], keep: Duration) -> Vec<u8>;

    /// Reports whether the request is a readiness check.
    fn is_readiness_check(&self, head: &RequestHead) -> bool;

    /// Builds the call that reads rows of a table.
    fn read_rows_call(&self, table: StoreTable, range: RowRange<'_>) -> StoreCall;

    /// Builds the call that waits up to `wait` for rows that changed after version `after`.
    fn feed_rows_call(&self, table: StoreTable, after: u64, wait: Duration) -> StoreCall;

    /// Builds the call that writes or removes rows, all of them or none.
    fn write_rows_call(&self, writes: &[TableWrite]) -> StoreCall;

    /// Returns the era that a response of the store names, if it names one.
    fn store_era(&self, headers: &HeaderList) -> Option<u64>;

    /// Parses a page of rows of an era; `None` when the body is malformed.
    fn parse_page(&self, era: u64, body: &[u8]) -> Option<StorePage>;

    /// Parses a row of the declared table.
    fn parse_declared(&self, row: &StoreRow) -> DeclaredRow;

    /// Returns the availability zone that a declared row orders to evacuate for as long as the row
    /// exists; `None` for any other row.
    fn evacuated_zone(&self, row: &StoreRow) -> Option<ZoneLabel>;

    /// Parses a registration; `None` when it does not name a usable upstream.
    fn parse_upstream(&self, row: &StoreRow) -> Option<UpstreamEntry>;

    /// Parses a row of the status table.
    fn parse_rollout_status(&self, row: &StoreRow) -> Option<RolloutStatus>;

    /// Encodes a roll-out state as a row of the status table.
    fn encode_rollout_row(&self, write: &RolloutWrite) -> RolloutRow;
}
