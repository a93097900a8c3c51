//! Drives the mix: Poisson arrivals, each a caller that comes back when it is told to.

use super::{
    AddressBook, DeploymentMix, TrafficLedger,
    deployment::{ClassKind, RequestDraw},
    ledger::RequestEnd,
};
use crate::measured_call::{CallRecord, MeasuredCall};
use async_executor::Executor;
use async_io::Timer;
use http_types::Method;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use savorywood_http::{CallRequest, ClientLimits, HttpClient, SendError};
use serde_json::json;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Connections kept open to each daemon.
const IDLE_CONNECTIONS: usize = 256;

/// Returns after a refusal at most.
const MAX_RETURNS: u32 = 3;

/// Bytes of prompt text for each token.
const BYTES_PER_TOKEN: usize = 4;

/// Tokens of a prompt that many requests share.
const SHARED_TOKENS: usize = 512;

/// Time after the deadline for which an answer is still awaited.
const PATIENCE: Duration = Duration::from_secs(5);

/// One run of a mix.
#[derive(Debug, Clone)]
pub struct TrafficRun {
    /// Where callers find daemons.
    pub book: AddressBook,
    /// Shape of the mix.
    pub mix: DeploymentMix,
    /// Model service.
    pub model: String,
    /// Plain service.
    pub plain: String,
    /// Token of a team that may use all tiers.
    pub token: String,
    /// Arrivals a second.
    pub rate: f64,
    /// Time during which requests arrive.
    pub time: Duration,
    /// Seed of arrivals and lengths.
    pub seed: u64,
}

impl TrafficRun {
    /// Makes all requests and waits for their ends.
    pub async fn drive(&self, executor: &Arc<Executor<'static>>) -> TrafficLedger {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let client = HttpClient::new(ClientLimits {
            idle_connections: IDLE_CONNECTIONS,
            ..ClientLimits::default()
        });
        let started = Instant::now();
        let mut next = started;
        let mut callers = Vec::new();
        while next < started + self.time {
            Timer::at(next).await;
            let caller = TrafficCaller {
                run: self.clone(),
                client: client.clone(),
                draw: self.mix.draw(&mut random),
                key: uuid::Uuid::now_v7().to_string(),
                salt: random.random(),
            };
            callers.push(executor.spawn(caller.serve()));
            next += self.pause(&mut random);
        }
        let mut ledger = TrafficLedger::default();
        for caller in callers {
            ledger.merge(caller.await);
        }
        ledger
    }

    fn pause(&self, random: &mut impl Rng) -> Duration {
        // The rate is clamped to positive numbers, which the distribution accepts.
        let seconds = Exp::new(self.rate).map_or(1.0, |pauses| pauses.sample(random));
        Duration::from_secs_f64(seconds)
    }
}

/// One caller with one request.
#[derive(Debug)]
struct TrafficCaller {
    run: TrafficRun,
    client: HttpClient,
    draw: RequestDraw,
    key: String,
    salt: u64,
}

impl TrafficCaller {
    async fn serve(self) -> TrafficLedger {
        let mut ledger = TrafficLedger::default();
        let end = self.call_until_over(&mut ledger).await;
        ledger.end(&self.draw, &end);
        ledger
    }

    async fn call_until_over(&self, ledger: &mut TrafficLedger) -> RequestEnd {
        let started = Instant::now();
        let mut returns = 0;
        loop {
            let Some(record) = self.call_some_address().await else {
                return RequestEnd::Broken;
            };
            if record.status >= 400 {
                ledger.refusal(&record);
            }
            if record.status == 200 && record.is_whole && !self.is_long_enough(&record) {
                ledger.cut_off += 1;
            }
            let left = self.draw.class.deadline.saturating_sub(started.elapsed());
            match record.retry_after {
                Some(pause) if returns < MAX_RETURNS && pause < left => {
                    returns += 1;
                    Timer::after(pause).await;
                }
                _ => return RequestEnd::Answered(record, started.elapsed()),
            }
        }
    }

    /// Tries the addresses in their order. Only a daemon that could not be connected to is passed
    /// over: what was sent once is not sent again.
    async fn call_some_address(&self) -> Option<CallRecord> {
        let service = match self.draw.class.kind {
            ClassKind::Completion => &self.run.model,
            ClassKind::Read | ClassKind::Order => &self.run.plain,
        };
        for address in self.run.book.addresses(service).await {
            match self.prepare(address).run(&self.client).await {
                Ok(record) => return Some(record),
                Err(SendError::NotSent { .. }) => {}
                Err(SendError::Broken { .. }) => return None,
            }
        }
        None
    }

    fn prepare(&self, address: SocketAddr) -> MeasuredCall {
        let timeout = self.draw.class.deadline + PATIENCE;
        let mut measured = match self.draw.class.kind {
            ClassKind::Completion => self.completion(address, timeout),
            ClassKind::Read => self.plain(address, Method::Get, "stories", timeout),
            ClassKind::Order => self.plain(address, Method::Post, "charges", timeout),
        };
        let deadline = self.draw.class.deadline.as_millis().to_string();
        measured.call = measured
            .call
            .with_header("x-savorywood-tier", self.draw.class.tier)
            .with_header("x-savorywood-deadline-ms", deadline);
        if self.draw.class.kind == ClassKind::Order {
            measured.call = measured
                .call
                .with_header("idempotency-key", self.key.as_str());
        }
        measured
    }

    fn completion(&self, address: SocketAddr, timeout: Duration) -> MeasuredCall {
        let body = json!({
            "model": self.run.model,
            "stream": true,
            "max_tokens": self.draw.output,
            "messages": [{"role": "user", "content": self.prompt()}],
        });
        MeasuredCall::chat(address, &self.run.token, &body, timeout)
    }

    fn plain(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        timeout: Duration,
    ) -> MeasuredCall {
        let target = format!("/services/{}/{path}", self.run.plain);
        let mut call = CallRequest::new(address, method, target).with_token(&*self.run.token);
        if method == Method::Post {
            call = call.with_body(format!("{{\"order\":\"{}\"}}", self.key).into_bytes());
        }
        MeasuredCall {
            address,
            call,
            streams: false,
            timeout,
        }
    }

    /// A shared beginning, then text of this request alone.
    fn prompt(&self) -> String {
        let tokens = self.draw.prompt as usize;
        let shared = tokens.min(SHARED_TOKENS) * BYTES_PER_TOKEN / 2;
        let own = (tokens * BYTES_PER_TOKEN).saturating_sub(shared);
        let mut text = format!("template {:>3} ", self.draw.prefix).repeat(shared / 13 + 1);
        text.truncate(shared);
        let unique = format!("{:016x} ", self.salt);
        text.push_str(&unique.repeat(own / unique.len() + 1));
        text
    }

    /// A whole answer of a stream has at least a few bytes for each token asked for.
    fn is_long_enough(&self, record: &CallRecord) -> bool {
        self.draw.class.kind != ClassKind::Completion || record.bytes >= self.draw.output as usize
    }
}
