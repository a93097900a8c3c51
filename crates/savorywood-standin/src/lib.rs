//! Stand-ins for the platform, model engines and plain services, and a fault-injecting proxy.
//!
//! All run in memory and on loopback, as processes of their own (`savorywood-standin`) or
//! embedded in another. What they promise is written in `docs/UPSTREAM.md` and
//! `docs/PLATFORM.md`; their faults are set over HTTP under `/standin/`.

mod body;
pub mod command;
pub mod engine;
mod http;
pub mod plain;
pub mod platform;
pub mod proxy;
pub mod runs;
mod tasks;

pub use engine::{
    BatchSettings, EngineFaults, EngineOptions, EngineServer, chat_prompt, output_text,
};
pub use plain::{PlainFaults, PlainOptions, PlainServer};
pub use platform::{OutageKind, PlatformFaults, PlatformOptions, PlatformServer, TableStore};
pub use proxy::{FaultProxy, LinkDirection, LinkMode, ProxyFaults, ProxyLink, ProxyOptions};
pub use runs::{RunRecord, RunReport, RunState};
