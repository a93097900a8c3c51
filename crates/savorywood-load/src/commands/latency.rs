//! `latency`: what a daemon adds to a streamed completion.

use crate::{
    measured_call::{CallRecord, MeasuredCall},
    runtime,
    statistics::LatencyRecord,
};
use async_executor::Executor;
use bpaf::Bpaf;
use savorywood_http::{ClientLimits, HttpClient};
use serde_json::json;
use std::{net::SocketAddr, process::ExitCode, sync::Arc, time::Duration};

/// Options of `latency`.
#[derive(Debug, Clone, Bpaf)]
pub struct LatencyOptions {
    /// Address of the engine itself
    #[bpaf(argument("ADDR"))]
    direct: SocketAddr,
    /// Address of the daemon before it
    #[bpaf(argument("ADDR"))]
    daemon: SocketAddr,
    /// Name of the model service
    #[bpaf(argument("NAME"), fallback("notes".to_owned()))]
    service: String,
    /// Team token
    #[bpaf(argument("TOKEN"), fallback("dev-team".to_owned()))]
    token: String,
    /// Streams at once; may be given several times (1, 32 and 256 by default)
    #[bpaf(argument("COUNT"))]
    streams: Vec<usize>,
    /// Calls for each row
    #[bpaf(argument("COUNT"), fallback(2_000))]
    calls: usize,
    /// Tokens of each answer
    #[bpaf(argument("COUNT"), fallback(16))]
    tokens: u32,
}

/// Latencies of one row.
#[derive(Debug, Default)]
struct RowRecord {
    first: LatencyRecord,
    whole: LatencyRecord,
    failed: u64,
}

/// Streams at once when none are given.
const DEFAULT_STREAMS: [usize; 3] = [1, 32, 256];

/// Rounds into which a row is cut; direct calls and calls through the daemon take turns, so that
/// both see the same state of a busy machine.
const ROUNDS: usize = 10;

/// Runs the command.
pub fn run(options: &LatencyOptions) -> ExitCode {
    let streams = match options.streams.as_slice() {
        [] => &DEFAULT_STREAMS,
        given => given,
    };
    println!(
        "streams  way     calls  failed  first p50 ms  first p99 ms  whole p50 ms  whole p99 ms"
    );
    let mut failed = 0;
    for count in streams {
        let (direct, daemon) = runtime::run(async |executor| row(options, *count, &executor).await);
        print_row(*count, "direct", &direct);
        print_row(*count, "daemon", &daemon);
        print_added(*count, &direct, &daemon);
        failed += direct.failed + daemon.failed;
    }
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

async fn row(
    options: &LatencyOptions,
    streams: usize,
    executor: &Arc<Executor<'static>>,
) -> (RowRecord, RowRecord) {
    let client = HttpClient::new(ClientLimits {
        idle_connections: streams,
        ..ClientLimits::default()
    });
    let mut direct = RowRecord::default();
    let mut daemon = RowRecord::default();
    let calls = options.calls.div_ceil(ROUNDS);
    for round in 0..=ROUNDS {
        // The first round warms connections and caches and is not counted.
        let (mut warm_direct, mut warm_daemon) = (RowRecord::default(), RowRecord::default());
        let (direct, daemon) = match round {
            0 => (&mut warm_direct, &mut warm_daemon),
            _ => (&mut direct, &mut daemon),
        };
        let batch = CallBatch {
            client: &client,
            executor,
            streams,
            calls,
        };
        batch.run(&chat(options, options.direct), direct).await;
        batch.run(&chat(options, options.daemon), daemon).await;
    }
    (direct, daemon)
}

fn chat(options: &LatencyOptions, address: SocketAddr) -> MeasuredCall {
    let body = json!({
        "model": options.service,
        "stream": true,
        "max_tokens": options.tokens,
        "messages": [{"role": "user", "content": "How large is the delay over Ghent?"}],
    });
    MeasuredCall::chat(address, &options.token, &body, Duration::from_secs(30))
}

/// Calls that are made with the same number at once.
struct CallBatch<'a> {
    client: &'a HttpClient,
    executor: &'a Arc<Executor<'static>>,
    streams: usize,
    calls: usize,
}

impl CallBatch<'_> {
    async fn run(&self, call: &MeasuredCall, row: &mut RowRecord) {
        let each = self.calls.div_ceil(self.streams);
        let workers: Vec<_> = (0..self.streams)
            .map(|_| {
                let client = self.client.clone();
                let call = call.clone();
                self.executor.spawn(async move {
                    let mut records = Vec::new();
                    for _ in 0..each {
                        records.push(call.run(&client).await);
                    }
                    records
                })
            })
            .collect();
        for worker in workers {
            for record in worker.await {
                row.add(record.ok());
            }
        }
    }
}

impl RowRecord {
    fn add(&mut self, record: Option<CallRecord>) {
        let whole = record.filter(|record| record.status == 200 && record.is_whole);
        match whole {
            Some(record) => {
                self.first.add(record.first_byte.unwrap_or_default());
                self.whole.add(record.whole);
            }
            None => self.failed += 1,
        }
    }
}

fn print_row(streams: usize, way: &str, row: &RowRecord) {
    println!(
        "{streams:>7}  {way:<6}  {:>5}  {:>6}  {:>12.3}  {:>12.3}  {:>12.3}  {:>12.3}",
        row.first.count(),
        row.failed,
        row.first.quantile_ms(0.5),
        row.first.quantile_ms(0.99),
        row.whole.quantile_ms(0.5),
        row.whole.quantile_ms(0.99),
    );
}

fn print_added(streams: usize, direct: &RowRecord, daemon: &RowRecord) {
    let added = |record: fn(&RowRecord) -> &LatencyRecord, share: f64| {
        record(daemon).quantile_ms(share) - record(direct).quantile_ms(share)
    };
    println!(
        "{streams:>7}  added                  {:>12.3}  {:>12.3}  {:>12.3}  {:>12.3}",
        added(|row| &row.first, 0.5),
        added(|row| &row.first, 0.99),
        added(|row| &row.whole, 0.5),
        added(|row| &row.whole, 0.99),
    );
}
