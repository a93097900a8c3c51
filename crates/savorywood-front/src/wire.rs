//! HTTP/1.1 messages, read strictly and written as they came.
//!
//! `async-h1` normalises targets, knows a closed set of methods and gives an answer that ends
//! with its connection an empty body. Between a caller and an upstream each of these would change
//! what one of them said, so heads are parsed by `httparse`, on which `async-h1` itself rests,
//! and bodies are framed here.

mod body;
mod head;
mod reader;

pub use body::{BodyDecoder, BodyError, read_body};
pub use head::{
    BodyFraming, HeadError, HeaderLine, HeaderList, RequestHead, ResponseHead, is_hop_by_hop_header,
};
pub use reader::{
    bytes_read, {ByteReader, read_response_head},
};

/// One call to the store, ready to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreCall {
    /// Method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Body, and the type that names it.
    pub body: Vec<u8>,
    /// Type of the body; empty if there is none.
    pub content_type: &'static str,
}
