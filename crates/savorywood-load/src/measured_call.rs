//! One call, measured as its caller sees it.

use async_io::Timer;
use futures_lite::future;
use http_types::Method;
use savorywood_http::{CallRequest, HttpClient, SendError, UpstreamAnswer};
use serde_json::Value;
use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Bytes read at a time.
const READ_BYTES: usize = 16_384;

/// End mark of a token stream.
const END_MARK: &[u8] = b"data: [DONE]";

/// What a caller got.
#[derive(Debug, Clone, Default)]
pub struct CallRecord {
    /// HTTP status; zero when no head came.
    pub status: u16,
    /// Value of the outcome header, or of the problem's member.
    pub outcome: String,
    /// Stable code of a refusal.
    pub code: String,
    /// To the first byte of the body.
    pub first_byte: Option<Duration>,
    /// Longest time between two pieces of the body.
    pub longest_gap: Duration,
    /// To the end of the body.
    pub whole: Duration,
    /// The body ended as it should.
    pub is_whole: bool,
    /// Bytes of the body.
    pub bytes: usize,
    /// When a refusal says to come back.
    pub retry_after: Option<Duration>,
    /// Identity that the daemon gave the request.
    pub request_id: String,
}

/// A call to make.
#[derive(Debug, Clone)]
pub struct MeasuredCall {
    /// Whom.
    pub address: SocketAddr,
    /// What.
    pub call: CallRequest,
    /// The answer is a token stream.
    pub streams: bool,
    /// Given up after this.
    pub timeout: Duration,
}

impl MeasuredCall {
    /// A chat whose answer streams.
    pub fn chat(address: SocketAddr, token: &str, body: &Value, timeout: Duration) -> Self {
        let call = CallRequest::new(address, Method::Post, "/v1/chat/completions")
            .with_token(token)
            .with_body(body.to_string().into_bytes());
        Self {
            address,
            call,
            streams: true,
            timeout,
        }
    }

    /// Makes the call.
    ///
    /// # Errors
    ///
    /// When no head of an answer came.
    pub async fn run(&self, client: &HttpClient) -> Result<CallRecord, SendError> {
        let started = Instant::now();
        let request = self.call.build()?;
        let answer = client.send(self.address, request).await?;
        let mut record = CallRecord {
            status: answer.status(),
            outcome: header(&answer, "x-savorywood-outcome"),
            request_id: header(&answer, "x-request-id"),
            ..CallRecord::default()
        };
        let expire = async {
            Timer::after(self.timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let read = self.read_body(answer, started, &mut record);
        let whole = future::or(read, expire).await;
        record.whole = started.elapsed();
        record.is_whole = whole.unwrap_or(false);
        Ok(record)
    }

    async fn read_body(
        &self,
        mut answer: UpstreamAnswer,
        started: Instant,
        record: &mut CallRecord,
    ) -> io::Result<bool> {
        let refused = record.status >= 400;
        let mut kept = Vec::new();
        let mut piece = vec![0; READ_BYTES];
        let mut last = started;
        loop {
            let count = answer.body.read(&mut piece).await?;
            if count == 0 {
                break;
            }
            let now = Instant::now();
            match record.first_byte {
                None => record.first_byte = Some(now - started),
                Some(_) => record.longest_gap = record.longest_gap.max(now - last),
            }
            last = now;
            record.bytes += count;
            keep_tail(&mut kept, &piece[..count], refused);
        }
        if refused {
            read_problem(&kept, record);
        }
        let ended = kept.trim_ascii_end().ends_with(END_MARK);
        Ok(refused || !self.streams || ended)
    }
}

fn header(answer: &UpstreamAnswer, name: &str) -> String {
    answer.header(name).unwrap_or_default().to_owned()
}

/// Keeps a whole problem, but of a long answer only its end.
fn keep_tail(kept: &mut Vec<u8>, bytes: &[u8], whole: bool) {
    if !whole {
        kept.clear();
    }
    kept.extend_from_slice(bytes);
}

fn read_problem(body: &[u8], record: &mut CallRecord) {
    let problem: Value = serde_json::from_slice(body).unwrap_or_default();
    let text = |name: &str| problem[name].as_str().unwrap_or_default().to_owned();
    record.code = text("code");
    record.outcome = text("outcome");
    record.retry_after = problem["retry_after_ms"]
        .as_u64()
        .map(Duration::from_millis);
}
