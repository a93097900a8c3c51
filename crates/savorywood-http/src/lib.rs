//! HTTP edges over `async-h1`: a server with limits and an upstream client with a bounded pool.
//!
//! The library decodes and encodes; this crate adds what it leaves open: limits, clear refusals of
//! malformed heads, bodies that end cleanly only when they are whole, and reuse of connections.

pub mod body;
pub mod client;
pub mod server;
mod waiting;

pub use body::{BodyReceiver, BodySender, body_channel};
pub use client::{
    AnswerBody, CallAnswer, CallRequest, ClientLimits, HttpClient, SendError, UpstreamAnswer,
};
pub use server::{
    BodyFault, HttpHandler, HttpServer, IncomingRequest, ServerControl, ServerLimits,
};
