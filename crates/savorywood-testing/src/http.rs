//! Blocking HTTP/1.1 calls that tell a whole answer from a broken one.

mod call;
mod stream;

pub use call::TestCall;
pub use stream::{PartialBody, TestReply, TestStream};
