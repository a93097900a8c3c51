//! Headers, paths and JSON bodies of the upstream extension protocol (`docs/UPSTREAM.md`).

use crate::FencingNumber;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};

/// Request header that gives the response stream a name, under which it can be resumed.
pub const STREAM_HEADER: &str = "x-savorywood-stream";

/// Header that carries the request id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header that carries the idempotency key of a call that must not be executed twice.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Path prefix of response streams, followed by the stream name.
pub const STREAM_PATH_PREFIX: &str = "/savorywood/streams/";

/// Path of the load report ([`LoadDocument`]).
pub const LOAD_PATH: &str = "/savorywood/load";

/// Path of the prefix cache events ([`CacheEventsDocument`]).
pub const CACHE_EVENTS_PATH: &str = "/savorywood/cache-events";

/// Path that accepts an [`OrderDocument`] and returns an [`OrderStateDocument`].
pub const ORDERS_PATH: &str = "/savorywood/orders";

/// Path that exports blocks of the KV cache ([`KvDocument`]).
pub const KV_EXPORT_PATH: &str = "/savorywood/kv/export";

/// Path that imports blocks of the KV cache ([`KvDocument`]).
pub const KV_IMPORT_PATH: &str = "/savorywood/kv/import";

/// Load report of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDocument {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests queued at the upstream, not yet in the batch.
    pub waiting: u32,
    /// Fraction of the KV cache memory in use, in thousandths.
    pub kv_used_per_mille: u16,
    /// Age of the figures when the upstream sent them, in milliseconds.
    pub age_ms: u64,
}

/// Chained hash of a prompt block. Written as 16 hexadecimal digits, since many JSON parsers round
/// 64-bit numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockHash(pub u64);

impl Serialize for BlockHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{:016x}", self.0))
    }
}

impl<'de> Deserialize<'de> for BlockHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let hash = u64::from_str_radix(&text, 16).map_err(D::Error::custom)?;
        Ok(Self(hash))
    }
}

/// One change of the prefix cache of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum CacheEventDocument {
    /// A block was added to the cache.
    Stored {
        /// Hash of the added block.
        block: BlockHash,
    },
    /// A block was evicted.
    Removed {
        /// Hash of the evicted block.
        block: BlockHash,
    },
    /// All blocks were evicted.
    Cleared,
}

/// Consecutive events of a prefix cache.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventsDocument {
    /// Sequence number of the first event. When it is more than one above the requested number,
    /// events were lost.
    pub first_sequence: u64,
    /// The events, with consecutive sequence numbers from `first_sequence` on.
    pub events: Vec<CacheEventDocument>,
}

/// Order to an engine: the state that it should have. Orders are idempotent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OrderDocument {
    /// Fencing number of the lease under which the order is given. An upstream that checks
    /// fencing refuses an order with an older number than it has seen.
    pub fencing: FencingNumber,
    /// Version to run; absent to keep the current one.
    pub version: Option<String>,
    /// Key of the version's weights in the weight store; absent when the version has none there.
    pub weights: Option<String>,
    /// Adapters to have loaded; absent to keep the current ones.
    pub adapters: Option<Vec<String>>,
    /// Role to take; absent to keep the current one.
    pub role: Option<String>,
}

/// Current state of an engine, in the response to an order or to a read.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct OrderStateDocument {
    /// Version that the engine runs.
    pub version: String,
    /// Version of the last order; equal to `version` once it is loaded.
    pub wanted: String,
    /// Whether the ordered version is completely loaded and accepts requests.
    pub ready: bool,
    /// Highest fencing number seen; absent for engines that don't check fencing.
    pub fencing: Option<FencingNumber>,
    /// Loaded adapters.
    pub adapters: Vec<String>,
    /// Role of the engine; empty when none is set.
    pub role: String,
}

/// Response with status 409 to an order whose fencing number is outdated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencingConflictDocument {
    /// Highest fencing number seen by the engine.
    pub newest: FencingNumber,
}

/// State of a stream, in the response to a cancellation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamStateDocument {
    /// `running`, `finished` or `cancelled`.
    pub state: String,
    /// Bytes of the response that exist so far.
    pub bytes: u64,
}

/// Blocks of the KV cache, in the request and the response of an export and in an import.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct KvDocument {
    /// Version that computed the blocks; no other version can use them.
    pub version: String,
    /// Hashes of the blocks, in prompt order.
    pub blocks: Vec<BlockHash>,
}
