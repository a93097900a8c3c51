//! `plain`: short plain calls a second.

use crate::{measured_call::MeasuredCall, runtime, statistics::LatencyRecord};
use async_executor::Executor;
use bpaf::Bpaf;
use http_types::Method;
use savorywood_http::{CallRequest, ClientLimits, HttpClient};
use std::{
    net::SocketAddr,
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant},
};

/// Options of `plain`.
#[derive(Debug, Clone, Bpaf)]
pub struct PlainOptions {
    /// Address to call
    #[bpaf(argument("ADDR"))]
    target: SocketAddr,
    /// Path to call
    #[bpaf(argument("PATH"), fallback("/services/wire/stories".to_owned()))]
    path: String,
    /// Team token
    #[bpaf(argument("TOKEN"), fallback("dev-team".to_owned()))]
    token: String,
    /// Calls at once
    #[bpaf(argument("COUNT"), fallback(64))]
    callers: usize,
    /// Length of the run in seconds, 60 at most
    #[bpaf(argument("SECONDS"), fallback(5))]
    seconds: u64,
}

/// Longest run.
const MAX_SECONDS: u64 = 60;

#[derive(Debug, Default)]
struct PlainRecord {
    latency: LatencyRecord,
    failed: u64,
}

/// Runs the command.
pub fn run(options: &PlainOptions) -> ExitCode {
    let time = Duration::from_secs(options.seconds.min(MAX_SECONDS));
    let record = runtime::run(async |executor| call_for(options, time, &executor).await);
    let rate = record.latency.count() as f64 / time.as_secs_f64();
    println!("callers  calls/s  p50 ms  p99 ms  failed");
    println!(
        "{:>7}  {rate:>7.0}  {:>6.3}  {:>6.3}  {:>6}",
        options.callers,
        record.latency.quantile_ms(0.5),
        record.latency.quantile_ms(0.99),
        record.failed
    );
    if record.failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

async fn call_for(
    options: &PlainOptions,
    time: Duration,
    executor: &Arc<Executor<'static>>,
) -> PlainRecord {
    let client = HttpClient::new(ClientLimits {
        idle_connections: options.callers,
        ..ClientLimits::default()
    });
    let call = CallRequest::new(options.target, Method::Get, options.path.as_str());
    let call = MeasuredCall {
        address: options.target,
        call: call.with_token(options.token.as_str()),
        streams: false,
        timeout: Duration::from_secs(10),
    };
    let until = Instant::now() + time;
    let workers: Vec<_> = (0..options.callers)
        .map(|_| {
            let client = client.clone();
            let call = call.clone();
            executor.spawn(async move { call_until(&client, &call, until).await })
        })
        .collect();
    let mut all = PlainRecord::default();
    for worker in workers {
        let record = worker.await;
        all.latency.merge(&record.latency);
        all.failed += record.failed;
    }
    all
}

async fn call_until(client: &HttpClient, call: &MeasuredCall, until: Instant) -> PlainRecord {
    let mut record = PlainRecord::default();
    while Instant::now() < until {
        match call.run(client).await {
            Ok(answer) if answer.status == 200 && answer.is_whole => {
                record.latency.add(answer.whole);
            }
            _ => record.failed += 1,
        }
    }
    record
}
