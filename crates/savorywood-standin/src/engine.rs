//! Stand-in for a model engine: continuous batching, prefix cache, streams and orders.

pub(crate) mod answer;
pub mod batch;
pub mod cache;
pub(crate) mod events;
pub mod faults;
pub(crate) mod load;
pub(crate) mod loading;
pub mod options;
pub mod orders;
pub mod prompt;
pub(crate) mod routes;
pub mod server;
pub(crate) mod state;
pub mod text;

pub use batch::BatchSettings;
pub use faults::EngineFaults;
pub use options::EngineOptions;
pub use orders::OrderRecord;
pub use prompt::chat_prompt;
pub use server::EngineServer;
pub use text::output_text;
