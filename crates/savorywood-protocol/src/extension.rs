//! JSON bodies and headers of the extension paths of upstreams (`docs/UPSTREAM.md`).

use crate::FencingNumber;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};

/// Request header by which the sender of a request names the stream of its answer.
pub const STREAM_HEADER: &str = "x-savorywood-stream";

/// Header that carries the identity of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header that carries the key of a call that may not run twice.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Prefix of the path of a stream; its name follows.
pub const STREAM_PATH_PREFIX: &str = "/savorywood/streams/";

/// Path of the load report.
pub const LOAD_PATH: &str = "/savorywood/load";

/// Path of the events of the prefix cache.
pub const CACHE_EVENTS_PATH: &str = "/savorywood/cache-events";

/// Path of orders.
pub const ORDERS_PATH: &str = "/savorywood/orders";

/// Path of the export of KV blocks.
pub const KV_EXPORT_PATH: &str = "/savorywood/kv/export";

/// Path of the import of KV blocks.
pub const KV_IMPORT_PATH: &str = "/savorywood/kv/import";

/// Load as an upstream reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDocument {
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait for a place in the batch.
    pub waiting: u32,
    /// KV memory in use, in thousandths.
    pub kv_used_per_mille: u16,
    /// Age of the figures when they were given out, in milliseconds.
    pub age_ms: u64,
}

/// Chained hash of a block, written as 16 hexadecimal digits: JSON numbers lose 64-bit values.
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

/// One change of a prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum CacheEventDocument {
    /// The block is cached.
    Stored {
        /// Which.
        block: BlockHash,
    },
    /// The block was evicted.
    Removed {
        /// Which.
        block: BlockHash,
    },
    /// The whole cache was emptied.
    Cleared,
}

/// Consecutive events of a prefix cache.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventsDocument {
    /// Number of the first event. More than one above the number asked for: events were lost.
    pub first_sequence: u64,
    /// The events, numbered without gaps.
    pub events: Vec<CacheEventDocument>,
}

/// What an engine is to be. Giving an order twice does what giving it once does.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OrderDocument {
    /// Term of the lease under which the order is given.
    pub fencing: FencingNumber,
    /// Version that it is to run; absent to keep the one it runs.
    pub version: Option<String>,
    /// Key of the version's weights in the weight store.
    pub weights: Option<String>,
    /// Adapters that it is to hold; absent to keep those it holds.
    pub adapters: Option<Vec<String>>,
    /// Role that it is to have; absent to keep the one it has.
    pub role: Option<String>,
}

/// What an engine is, read back or in answer to an order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct OrderStateDocument {
    /// Version that it runs.
    pub version: String,
    /// Version that it was last told to run.
    pub wanted: String,
    /// Whether the wanted version is loaded whole and takes requests.
    pub ready: bool,
    /// Newest fencing number seen; absent at engines that keep none.
    pub fencing: Option<FencingNumber>,
    /// Adapters that it holds.
    pub adapters: Vec<String>,
    /// Its role.
    pub role: String,
}

/// Answer with status 409 to an order that carries an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencingConflictDocument {
    /// Newest fencing number seen.
    pub newest: FencingNumber,
}

/// State of a stream, in answer to a cancel.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamStateDocument {
    /// `running`, `finished` or `cancelled`.
    pub state: String,
    /// Bytes of the answer that there are.
    pub bytes: u64,
}

/// Blocks of KV cache, in the request and the answer of an export and in an import.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct KvDocument {
    /// Version whose cache it is; another version can't use it.
    pub version: String,
    /// Blocks in the order of their chain.
    pub blocks: Vec<BlockHash>,
}
