//! Metrics in the prometheus format.

mod core;

use self::core::CoreMetrics;
use prometheus::{
    Encoder, Gauge, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};
use savorywood_core::{DaemonCore, InvariantName};
use savorywood_protocol::{RefusalCode, ServiceName};
use std::time::Duration;
use strum::IntoEnumIterator;

/// Bounds of latency histograms, in seconds. 79 ms and 1.6 s are the users' targets.
const LATENCY_BOUNDS: &[f64] = &[
    0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.04, 0.079, 0.15, 0.3, 0.6, 1.0, 1.6, 3.0, 6.0,
    12.0, 30.0, 60.0,
];

/// All metrics of a daemon.
#[derive(Debug)]
pub struct DaemonMetrics {
    registry: Registry,
    answers: IntCounterVec,
    refusals: IntCounterVec,
    breaches: IntCounterVec,
    first_token: HistogramVec,
    whole_answer: HistogramVec,
    open_requests: IntGauge,
    timer_lag: Gauge,
    peer_bytes: IntCounter,
    dropped_datagrams: IntCounter,
    unsent_datagrams: IntCounter,
    core: CoreMetrics,
}

impl DaemonMetrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// When two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let answers = IntCounterVec::new(
            Opts::new(
                "savorywood_answers_total",
                "Answers of upstreams by service and status class",
            ),
            &["service", "class"],
        )?;
        let refusals = IntCounterVec::new(
            Opts::new("savorywood_refusals_total", "Refusals by code"),
            &["code"],
        )?;
        let breaches = IntCounterVec::new(
            Opts::new(
                "savorywood_invariant_breaches_total",
                "Breaches of invariants by name; any is a fault of the program",
            ),
            &["name"],
        )?;
        let first_token = HistogramVec::new(
            HistogramOpts::new(
                "savorywood_first_token_seconds",
                "From arrival to the first token or byte",
            )
            .buckets(LATENCY_BOUNDS.to_vec()),
            &["service"],
        )?;
        let whole_answer = HistogramVec::new(
            HistogramOpts::new(
                "savorywood_whole_answer_seconds",
                "From arrival to the end of the whole answer",
            )
            .buckets(LATENCY_BOUNDS.to_vec()),
            &["service"],
        )?;
        let open_requests = IntGauge::new("savorywood_open_requests", "Requests that wait or run")?;
        let timer_lag = Gauge::new(
            "savorywood_timer_lag_seconds",
            "Lateness of the last timer; grows when the executor is starved",
        )?;
        let peer_bytes = IntCounter::new(
            "savorywood_peer_bytes_total",
            "Bytes of datagrams sent to other daemons",
        )?;
        let dropped_datagrams = IntCounter::new(
            "savorywood_dropped_datagrams_total",
            "Datagrams dropped for a wrong tag, a replay or an old life",
        )?;
        let unsent_datagrams = IntCounter::new(
            "savorywood_unsent_datagrams_total",
            "Datagrams to other daemons that the byte budget held back",
        )?;
        let registry = Registry::new();
        let metrics = Self {
            core: CoreMetrics::register(&registry)?,
            registry,
            answers,
            refusals,
            breaches,
            first_token,
            whole_answer,
            open_requests,
            timer_lag,
            peer_bytes,
            dropped_datagrams,
            unsent_datagrams,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        let registry = &self.registry;
        registry.register(Box::new(self.answers.clone()))?;
        registry.register(Box::new(self.refusals.clone()))?;
        registry.register(Box::new(self.breaches.clone()))?;
        registry.register(Box::new(self.first_token.clone()))?;
        registry.register(Box::new(self.whole_answer.clone()))?;
        registry.register(Box::new(self.open_requests.clone()))?;
        registry.register(Box::new(self.timer_lag.clone()))?;
        registry.register(Box::new(self.peer_bytes.clone()))?;
        registry.register(Box::new(self.dropped_datagrams.clone()))?;
        registry.register(Box::new(self.unsent_datagrams.clone()))?;
        // A counter that is absent until its first breach can't be alerted on.
        for name in InvariantName::iter() {
            self.breaches
                .with_label_values(&[<&str>::from(name)])
                .reset();
        }
        Ok(())
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, code: RefusalCode) {
        self.refusals.with_label_values(&[<&str>::from(code)]).inc();
    }

    /// Counts a breach of an invariant.
    pub fn count_breach(&self, name: InvariantName) {
        self.breaches.with_label_values(&[<&str>::from(name)]).inc();
    }

    /// Counts an answer by the class of its status.
    pub fn count_answer(&self, service: &ServiceName, status: u16) {
        let class = match status {
            200..=299 => "2xx",
            300..=399 => "3xx",
            400..=499 => "4xx",
            _ => "5xx",
        };
        self.answers
            .with_label_values(&[service.as_str(), class])
            .inc();
    }

    /// Notes the time to a first token.
    pub fn observe_first_token(&self, service: &ServiceName, elapsed: Duration) {
        let histogram = self.first_token.with_label_values(&[service.as_str()]);
        histogram.observe(elapsed.as_secs_f64());
    }

    /// Notes the time to a whole answer.
    pub fn observe_whole_answer(&self, service: &ServiceName, elapsed: Duration) {
        let histogram = self.whole_answer.with_label_values(&[service.as_str()]);
        histogram.observe(elapsed.as_secs_f64());
    }

    /// Counts the bytes of a datagram that was sent.
    pub fn count_peer_bytes(&self, bytes: usize) {
        self.peer_bytes.inc_by(bytes as u64);
    }

    /// Counts a datagram that was dropped.
    pub fn count_dropped_datagram(&self) {
        self.dropped_datagrams.inc();
    }

    /// Counts a datagram that the byte budget held back.
    pub fn count_unsent_datagram(&self) {
        self.unsent_datagrams.inc();
    }

    /// Notes how late a timer was.
    pub fn observe_timer_lag(&self, lag: Duration) {
        self.timer_lag.set(lag.as_secs_f64());
    }

    /// Takes over what the core's duties counted.
    pub fn take_core(&self, core: &DaemonCore) {
        self.core.take_scheduler(core.scheduler_counters());
        self.core.take_claims(&core.claim_counters());
    }

    /// The text that a scrape gets.
    pub fn render(&self, open_requests: usize) -> Vec<u8> {
        self.open_requests
            .set(i64::try_from(open_requests).unwrap_or(i64::MAX));
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("event=metrics-failed error={error:?}");
        }
        text
    }
}
