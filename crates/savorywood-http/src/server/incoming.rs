//! A decoded request and the bounded reading of its body.

use super::within;
use futures_lite::AsyncReadExt;
use http_types::Request;
use snafu::Snafu;
use std::{net::SocketAddr, time::Duration};

/// Bytes read at a time.
const READ_BYTES: usize = 16_384;

/// Why a body could not be read whole.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum BodyFault {
    /// Over the limit.
    #[snafu(display("the body has more than {limit} bytes"))]
    TooLarge {
        /// Limit in bytes.
        limit: usize,
    },
    /// Did not come in time.
    #[snafu(display("the body did not come within {millis} ms"))]
    TooSlow {
        /// Limit in milliseconds.
        millis: u128,
    },
    /// Ended before its announced end.
    #[snafu(display("the body was cut off after {bytes} bytes"))]
    CutOff {
        /// Bytes that came.
        bytes: usize,
    },
}

/// One request of a caller.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The request as decoded.
    pub request: Request,
    /// Address of the caller.
    pub peer: SocketAddr,
    pub(super) body_bytes: usize,
    pub(super) body_time: Duration,
}

impl IncomingRequest {
    /// Value of a header, the first when there are several.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let values = self.request.header(name)?;
        values.get(0).map(http_types::headers::HeaderValue::as_str)
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// When it is too large, too slow or cut off.
    pub async fn read_body(&mut self) -> Result<Vec<u8>, BodyFault> {
        let limit = self.body_bytes;
        if self.request.len().is_some_and(|length| length > limit) {
            return TooLargeSnafu { limit }.fail();
        }
        let time = self.body_time;
        match within(time, self.read_bounded(limit)).await {
            Some(read) => read,
            None => TooSlowSnafu {
                millis: time.as_millis(),
            }
            .fail(),
        }
    }

    async fn read_bounded(&mut self, limit: usize) -> Result<Vec<u8>, BodyFault> {
        let announced = self.request.len();
        let mut body = Vec::with_capacity(announced.unwrap_or_default());
        let mut piece = vec![0; READ_BYTES];
        loop {
            let Ok(count) = self.request.read(&mut piece).await else {
                return CutOffSnafu { bytes: body.len() }.fail();
            };
            if count == 0 {
                break;
            }
            body.extend_from_slice(&piece[..count]);
            if body.len() > limit {
                return TooLargeSnafu { limit }.fail();
            }
        }
        // The decoder reads a body that ends before its announced length as a clean end.
        if announced.is_some_and(|length| length != body.len()) {
            return CutOffSnafu { bytes: body.len() }.fail();
        }
        Ok(body)
    }
}
