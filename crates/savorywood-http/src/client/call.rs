//! Short calls whose whole answer is wanted: the platform's service and operators' commands.

use super::{HttpClient, SendError, SendStep, answer::read_whole};
use crate::server::within;
use http_types::{Body, Method, Request, Url};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// One short call.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// Whom to call.
    pub address: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path and query, with a leading slash.
    pub target: String,
    /// Bearer token, if one is needed.
    pub token: Option<String>,
    /// Further headers.
    pub headers: Vec<CallHeader>,
    /// JSON body, if there is one.
    pub body: Option<Vec<u8>>,
    /// For the whole call, connecting included.
    pub timeout: Duration,
    /// Bytes of an answer at most.
    pub answer_bytes: usize,
}

/// One header of a call.
#[derive(Debug, Clone)]
pub struct CallHeader {
    /// Name.
    pub name: String,
    /// Value.
    pub value: String,
}

/// The whole answer of a call.
#[derive(Debug, Clone)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of `ETag`, if there was one.
    pub etag: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

impl CallRequest {
    /// A call without token, headers or body, with a five-second timeout.
    #[must_use]
    pub fn new(address: SocketAddr, method: Method, target: impl Into<String>) -> Self {
        Self {
            address,
            method,
            target: target.into(),
            token: None,
            headers: Vec::new(),
            body: None,
            timeout: Duration::from_secs(5),
            answer_bytes: 64 << 20,
        }
    }

    /// The same call with a JSON body.
    #[must_use]
    pub fn with_body(self, body: Vec<u8>) -> Self {
        Self {
            body: Some(body),
            ..self
        }
    }

    /// The same call with a bearer token.
    #[must_use]
    pub fn with_token(self, token: impl Into<String>) -> Self {
        Self {
            token: Some(token.into()),
            ..self
        }
    }

    /// The same call with one more header.
    #[must_use]
    pub fn with_header(mut self, name: impl Into<String>, value: impl Into<String>) -> Self {
        let header = CallHeader {
            name: name.into(),
            value: value.into(),
        };
        self.headers.push(header);
        self
    }

    /// The request to send.
    ///
    /// # Errors
    ///
    /// When the target is no path; nothing was sent.
    pub fn build(&self) -> Result<Request, SendError> {
        let url = Url::parse(&format!("http://{}{}", self.address, self.target));
        let url = url.map_err(|error| SendError::NotSent {
            address: self.address,
            source: std::io::Error::new(std::io::ErrorKind::InvalidInput, error.to_string()),
        })?;
        let mut request = Request::new(self.method, url);
        if let Some(token) = &self.token {
            request.insert_header("authorization", format!("Bearer {token}"));
        }
        if let Some(body) = &self.body {
            request.set_body(Body::from_bytes(body.clone()));
            request.insert_header("content-type", "application/json");
        }
        for header in &self.headers {
            request.insert_header(header.name.as_str(), header.value.as_str());
        }
        Ok(request)
    }
}

impl HttpClient {
    /// Makes a short call and reads its whole answer.
    ///
    /// # Errors
    ///
    /// Says whether a byte of the call may have left.
    pub async fn call(&self, call: &CallRequest) -> Result<CallAnswer, SendError> {
        let request = call.build()?;
        let started_at = Instant::now();
        let stream = self.connect_within(call.address, call.timeout).await?;
        let time_left = call.timeout.saturating_sub(started_at.elapsed());
        let exchange = async {
            let mut answer = self.exchange(call.address, stream, request).await?;
            let body = read_whole(&mut answer.body, call.answer_bytes).await;
            let body = body.map_err(|error| broken(call, error.to_string()))?;
            Ok(CallAnswer {
                status: answer.status(),
                etag: answer.header("etag").map(str::to_owned),
                body,
            })
        };
        let answered = within(time_left, Box::pin(exchange)).await;
        answered.unwrap_or_else(|| Err(broken(call, "timed out".to_owned())))
    }
}

fn broken(call: &CallRequest, reason: String) -> SendError {
    SendError::Broken {
        address: call.address,
        step: SendStep::ReadHead,
        reason,
    }
}
