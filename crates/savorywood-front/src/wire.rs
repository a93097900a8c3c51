//! HTTP/1.1 messages, parsed strictly and forwarded unchanged.
//!
//! The usual HTTP/1.1 servers for this async runtime normalise targets, accept only a fixed set of
//! methods and read a response that ends with its connection as an empty body. Each of these would
//! change a message between a caller and an upstream, so heads are parsed by `httparse` and body
//! framing is implemented here.

mod body;
mod frames;
mod head;
mod limit;
mod reader;

pub use body::{BodyDecoder, BodyError, discard_body, read_body};
pub use frames::{FRAME_HEADER_BYTES, MAX_FRAME_BYTES, frame_header};
pub use head::{
    BodyFraming, HeadError, HeaderLine, HeaderList, RequestHead, ResponseHead, is_hop_by_hop_header,
};
pub use limit::InputLimit;
pub use reader::{
    ByteReader, HeadSearch, MAX_RESPONSE_HEAD_BYTES, WriteFailure, bytes_read, read_final_head,
};

/// One call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreCall {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query of the request line.
    pub target: String,
    /// Request body, empty for reads.
    pub body: Vec<u8>,
    /// Value of `Content-Type`; empty when there is no body.
    pub content_type: &'static str,
}
