//! Prometheus metrics of a front daemon.

use crate::{held::HeldMetrics, logging::OmittedLines};
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};
use savorywood_gateway::{DispatchOrder, PaceReport};
use std::{sync::atomic::Ordering, time::Duration};

/// Upper bounds of the latency buckets in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0,
];

#[derive(Debug)]
pub struct FrontMetrics {
    registry: Registry,
    /// Requests received completely.
    pub arrived: IntCounter,
    /// Final responses, by how the request ended.
    pub ended: IntCounterVec,
    /// Connections that were closed without a complete response to a request, by cause.
    pub cut: IntCounterVec,
    /// Attempts at upstreams, by outcome.
    pub attempts: IntCounterVec,
    /// Calls to the store, by outcome.
    pub store_calls: IntCounterVec,
    /// Time from arrival to the first dispatch, by service and priority.
    pub waiting_duration: HistogramVec,
    /// Time from arrival to the first event of a stream, by service and priority.
    pub first_event: HistogramVec,
    /// Time from arrival to the end of a complete response, by service and priority.
    pub complete_response: HistogramVec,
    pub connecting: Histogram,
    /// Connections to upstreams that could not be opened, by cause.
    pub connect_failures: IntCounterVec,
    /// Searches for a pooled connection to an upstream, by result.
    pub pool_lookups: IntCounterVec,
    /// Requests sent through peers, by outcome.
    pub relays: IntCounterVec,
    /// Paces that upstreams reported, by validity.
    pub reported_paces: IntCounterVec,
    /// Requests that wait for a free slot.
    pub waiting: IntGauge,
    /// Requests that are executing at upstreams.
    pub running: IntGauge,
    /// Seconds since the configuration was last confirmed as current.
    pub confirmation_age: Gauge,
    pub config_version: IntGauge,
    /// Peers that are live.
    pub peers: IntGauge,
    /// 1 when the daemon is ready for callers, otherwise 0.
    pub ready: IntGauge,
    pub connections: IntGauge,
    /// 1 when the daemon is a member of its zone's entry set, otherwise 0.
    pub entry_member: IntGauge,
    /// Members of the entry set of this zone.
    pub entry_members: IntGauge,
    /// Availability zones that operators ordered to evacuate.
    pub evacuated_zones: IntGauge,
    pub store_era: IntGauge,
    /// Upstreams that report a rate limit.
    pub limited_upstreams: IntGauge,
    /// Refusals with a scheduled retry-after delay by cause, and returns that were recognised.
    pub scheduled_returns: IntCounterVec,
    /// Decisions of the deadline queue, by cause.
    pub queue_decisions: IntCounterVec,
    /// Decisions on retries, by the decision.
    pub retry_decisions: IntCounterVec,
    /// Rejections by upstreams that announce how few they can bear.
    pub limited_rejections: IntCounter,
    pub quarantined: IntGauge,
    /// Upstreams that are warming up.
    pub cold_upstreams: IntGauge,
    /// Datagrams that could not be decoded.
    pub unreadable_datagrams: IntCounter,
    /// Selections that a slot reservation held back, by cause.
    pub reservation_holds: IntCounterVec,
    /// Memory held for slow readers, and unbounded input.
    pub held: HeldMetrics,
    log_omitted: IntCounterVec,
}

impl Default for FrontMetrics {
    fn default() -> Self {
        let registry = Registry::new();
        let metrics = Self {
            arrived: counter("requests_arrived_total", "Requests received completely"),
            ended: counter_vec(
                "requests_ended_total",
                "Final responses by how the request ended",
                "end",
            ),
            cut: counter_vec(
                "responses_cut_total",
                "Connections closed without a complete response to a request by cause",
                "cause",
            ),
            attempts: counter_vec(
                "attempts_total",
                "Attempts at upstreams by outcome",
                "outcome",
            ),
            store_calls: counter_vec("store_calls_total", "Calls to the store", "outcome"),
            waiting_duration: histogram_vec(
                "waiting_seconds",
                "Time from a request's arrival to its first dispatch",
            ),
            first_event: histogram_vec(
                "first_event_seconds",
                "Time from a request's arrival to the first event of its stream",
            ),
            complete_response: histogram_vec(
                "whole_answer_seconds",
                "Time from a request's arrival to the end of its complete response",
            ),
            connecting: histogram("connecting_seconds", "Time to connect to an upstream"),
            connect_failures: counter_vec(
                "connect_failures_total",
                "Connections to upstreams that could not be opened",
                "cause",
            ),
            pool_lookups: counter_vec(
                "pool_lookups_total",
                "Searches for a pooled connection to an upstream by result",
                "result",
            ),
            relays: counter_vec(
                "relays_total",
                "Requests sent through other daemons by outcome",
                "outcome",
            ),
            reported_paces: counter_vec(
                "reported_paces_total",
                "Paces that upstreams reported by validity",
                "validity",
            ),
            waiting: gauge("requests_waiting", "Requests that wait for a free slot"),
            running: gauge("requests_running", "Requests that upstreams are executing"),
            confirmation_age: float_gauge(
                "config_proof_age_seconds",
                "Time since the configuration was confirmed",
            ),
            config_version: gauge("config_version", "Configuration version in force"),
            peers: gauge("peers_alive", "Live peers"),
            ready: gauge("ready", "1 when ready for callers"),
            connections: gauge("caller_connections", "Open connections of callers"),
            entry_member: gauge(
                "entry_member",
                "1 when this daemon is a member of the entry set",
            ),
            evacuated_zones: gauge(
                "evacuated_zones",
                "Availability zones that operators ordered to evacuate",
            ),
            store_era: gauge(
                "store_era",
                "Era of the store; it increases when the store is restored",
            ),
            limited_upstreams: gauge(
                "limited_upstreams",
                "Upstreams that report a rate limit for all daemons together",
            ),
            scheduled_returns: counter_vec(
                "scheduled_returns_total",
                "Refusals whose retry-after delay was scheduled by cause, and recognised returns",
                "cause",
            ),
            queue_decisions: counter_vec(
                "queue_decisions_total",
                "Decisions of the deadline queue by cause",
                "cause",
            ),
            retry_decisions: counter_vec(
                "retry_decisions_total",
                "Decisions on retries by the budget of their service",
                "decision",
            ),
            limited_rejections: counter(
                "limited_rejections_total",
                "Rejections by upstreams that announce how few they can bear",
            ),
            quarantined: gauge(
                "quarantined_requests",
                "Request fingerprints that are refused because upstreams crashed while executing them",
            ),
            cold_upstreams: gauge(
                "cold_upstreams",
                "Upstreams that are warming up and receive requests at a limited rate",
            ),
            unreadable_datagrams: counter(
                "unread_datagrams_total",
                "Datagrams that could not be decoded",
            ),
            entry_members: gauge(
                "entry_members",
                "Members of the entry set of this availability zone",
            ),
            reservation_holds: counter_vec(
                "reservation_holds_total",
                "Selections that a slot reservation held back by cause",
                "cause",
            ),
            held: HeldMetrics::default(),
            log_omitted: counter_vec("log_lines_omitted_total", "Log lines dropped", "cause"),
            registry,
        };
        metrics.register();
        metrics
    }
}

fn metric_name(name: &str) -> String {
    format!("savorywood_{name}")
}

fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(metric_name(name), help).expect("the name is a constant and valid")
}

pub fn counter_vec(name: &str, help: &str, label: &str) -> IntCounterVec {
    let opts = Opts::new(metric_name(name), help);
    IntCounterVec::new(opts, &[label]).expect("the name is a constant and valid")
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(metric_name(name), help).expect("the name is a constant and valid")
}

pub fn gauge_vec(name: &str, help: &str, label: &str) -> IntGaugeVec {
    let opts = Opts::new(metric_name(name), help);
    IntGaugeVec::new(opts, &[label]).expect("the name is a constant and valid")
}

fn float_gauge(name: &str, help: &str) -> Gauge {
    Gauge::new(metric_name(name), help).expect("the name is a constant and valid")
}

fn histogram(name: &str, help: &str) -> Histogram {
    let opts = HistogramOpts::new(metric_name(name), help).buckets(LATENCY_BUCKETS.to_vec());
    Histogram::with_opts(opts).expect("the name is a constant and valid")
}

/// Creates a histogram with labels for service and priority.
fn histogram_vec(name: &str, help: &str) -> HistogramVec {
    let opts = HistogramOpts::new(metric_name(name), help).buckets(LATENCY_BUCKETS.to_vec());
    HistogramVec::new(opts, &["service", "priority"]).expect("the name is a constant and valid")
}

/// Records a duration in the histogram for the order's service and priority.
pub fn observe(histogram_vec: &HistogramVec, order: &DispatchOrder, elapsed: Duration) {
    let labels = [order.service.as_str(), &order.priority.to_string()];
    histogram_vec
        .with_label_values(&labels)
        .observe(elapsed.as_secs_f64());
}

impl FrontMetrics {
    /// Counts the pace that a response reports, if it reports one.
    pub fn record_reported_pace(&self, report: PaceReport) {
        let validity = match report {
            PaceReport::Absent => return,
            PaceReport::Invalid => "invalid",
            PaceReport::Reading(_) => "valid",
        };
        self.reported_paces.with_label_values(&[validity]).inc();
    }

    fn register(&self) {
        let collectors: Vec<Box<dyn prometheus::core::Collector>> = vec![
            Box::new(self.arrived.clone()),
            Box::new(self.ended.clone()),
            Box::new(self.cut.clone()),
            Box::new(self.attempts.clone()),
            Box::new(self.store_calls.clone()),
            Box::new(self.waiting_duration.clone()),
            Box::new(self.first_event.clone()),
            Box::new(self.complete_response.clone()),
            Box::new(self.connecting.clone()),
            Box::new(self.connect_failures.clone()),
            Box::new(self.pool_lookups.clone()),
            Box::new(self.relays.clone()),
            Box::new(self.waiting.clone()),
            Box::new(self.running.clone()),
            Box::new(self.confirmation_age.clone()),
            Box::new(self.config_version.clone()),
            Box::new(self.peers.clone()),
            Box::new(self.ready.clone()),
            Box::new(self.connections.clone()),
            Box::new(self.entry_member.clone()),
            Box::new(self.entry_members.clone()),
            Box::new(self.evacuated_zones.clone()),
            Box::new(self.store_era.clone()),
            Box::new(self.limited_upstreams.clone()),
            Box::new(self.reported_paces.clone()),
            Box::new(self.scheduled_returns.clone()),
            Box::new(self.queue_decisions.clone()),
            Box::new(self.retry_decisions.clone()),
            Box::new(self.limited_rejections.clone()),
            Box::new(self.quarantined.clone()),
            Box::new(self.cold_upstreams.clone()),
            Box::new(self.unreadable_datagrams.clone()),
            Box::new(self.reservation_holds.clone()),
            Box::new(self.log_omitted.clone()),
        ];
        for collector in collectors {
            self.registry
                .register(collector)
                .expect("each metric is registered once");
        }
        self.held.register(&self.registry);
    }

    /// Returns all metrics in the Prometheus text format, including the numbers of dropped log
    /// lines.
    pub fn text(&self, omitted: &OmittedLines) -> Vec<u8> {
        for (cause, count) in [
            ("budget", &omitted.over_budget),
            ("unread", &omitted.buffer_full),
        ] {
            let metric = self.log_omitted.with_label_values(&[cause]);
            let reported = metric.get();
            metric.inc_by(count.load(Ordering::Relaxed).saturating_sub(reported));
        }
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        debug_assert!(encoded.is_ok());
        text
    }
}

#[cfg(test)]
mod tests;
