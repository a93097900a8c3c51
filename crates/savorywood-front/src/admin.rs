//! HTTP servers for directory queries, readiness checks and metrics.

use crate::{
    attempt::configure_socket,
    clock::with_timeout,
    shared::FrontShared,
    sink::ResponseSink,
    wire::{ByteReader, HeadSearch, HeaderLine, RequestHead},
};
use async_net::{TcpListener, TcpStream};
use savorywood_gateway::CallerLocation;
use std::{io, net::SocketAddr, rc::Rc, time::Duration};

/// Maximum time to wait for the next request of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 16_384;
/// Maximum number of addresses in a directory response.
const MAX_ADDRESSES: usize = 64;
/// Time for which callers may cache addresses. Short, so that callers soon stop using a daemon that
/// is stopping or not ready.
const ADDRESS_TTL: Duration = Duration::from_secs(1);

/// Response of one of these servers.
struct AdminResponse {
    status: u16,
    reason: &'static str,
    kind: &'static str,
    body: Vec<u8>,
}

impl AdminResponse {
    fn plain(status: u16, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            kind: "text/plain; charset=utf-8",
            body: Vec::new(),
        }
    }
}

/// Listens on an address and serves directory queries, readiness checks and metrics there.
///
/// # Errors
///
/// Returns an error when the address can't be used.
pub async fn listen(shared: &Rc<FrontShared>, address: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let server = Rc::clone(shared);
    shared.spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let task = serve(Rc::clone(&server), stream);
                    server.spawn(task);
                }
                Err(error) => {
                    log::warn!("event=accept-failed error={error:?}");
                    async_io::Timer::after(Duration::from_millis(50)).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve(shared: Rc<FrontShared>, stream: TcpStream) {
    configure_socket(&stream);
    let mut reader = ByteReader::new(stream);
    while let Some(Some(head)) = with_timeout(IDLE_TIMEOUT, read_head(&mut reader)).await {
        let response = respond(&shared, &head);
        let mut sink = ResponseSink::new(reader.stream().clone(), head.closes_connection);
        let lines = [HeaderLine::new("Content-Type", response.kind)];
        let written = sink.write_response(response.status, response.reason, &lines, &response.body);
        if written.await.is_err() || head.closes_connection {
            return;
        }
    }
}

async fn read_head(reader: &mut ByteReader) -> Option<RequestHead> {
    let mut search = HeadSearch::default();
    loop {
        if let Some(end) = search.end(reader.bytes()) {
            return RequestHead::parse(&reader.take(end)).ok();
        }
        if reader.bytes().len() > MAX_HEAD_BYTES || !matches!(reader.fill().await, Ok(1..)) {
            return None;
        }
    }
}

fn respond(shared: &FrontShared, head: &RequestHead) -> AdminResponse {
    let now = shared.clock.now();
    let gateway = shared.gateway.borrow();
    if shared.adapter.is_readiness_check(head) {
        return if gateway.is_ready(now) {
            AdminResponse::plain(200, "OK")
        } else {
            AdminResponse::plain(503, "Service Unavailable")
        };
    }
    if let Some(query) = shared.adapter.directory_query(head) {
        let caller = CallerLocation {
            zone: query.zone.as_deref(),
            region: query.region.as_deref(),
            host: query.host.as_deref(),
        };
        let addresses = gateway.caller_addresses(now, caller, MAX_ADDRESSES);
        if addresses.is_empty() {
            return AdminResponse::plain(503, "Service Unavailable");
        }
        return AdminResponse {
            status: 200,
            reason: "OK",
            kind: "application/json",
            body: shared.adapter.directory_response(&addresses, ADDRESS_TTL),
        };
    }
    if head.path() == "/metrics" {
        let view = gateway.status(now);
        let metrics = &shared.metrics;
        metrics.held.update(&shared.held);
        metrics.waiting.set(count(gateway.waiting_requests()));
        metrics.running.set(count(gateway.running_requests()));
        metrics
            .confirmation_age
            .set(view.time_since_confirmed.as_secs_f64());
        metrics.config_version.set(count(view.config_version));
        metrics
            .peers
            .set(count(gateway.peers().live_peers(now).count()));
        metrics.ready.set(i64::from(view.ready));
        metrics.connections.set(count(shared.connections.get()));
        metrics
            .entry_member
            .set(i64::from(gateway.is_entry_member()));
        metrics
            .entry_members
            .set(count(gateway.entry_member_count()));
        metrics
            .evacuated_zones
            .set(count(gateway.evacuated_zones().count()));
        let era = i64::try_from(gateway.store_era()).unwrap_or(i64::MAX);
        metrics.store_era.set(era);
        let upstreams = gateway.fleet().iter();
        let limited = upstreams.filter(|upstream| upstream.limit.limit().is_some());
        metrics.limited_upstreams.set(count(limited.count()));
        for (cause, count) in gateway.return_counters().iter() {
            let metric = metrics.scheduled_returns.with_label_values(&[cause]);
            metric.inc_by(count.saturating_sub(metric.get()));
        }
        for (cause, count) in gateway.queue_counters().iter() {
            let metric = metrics.queue_decisions.with_label_values(&[cause]);
            metric.inc_by(count.saturating_sub(metric.get()));
        }
        for (decision, count) in gateway.retry_counters().iter() {
            let decision: &str = decision.into();
            let metric = metrics.retry_decisions.with_label_values(&[decision]);
            metric.inc_by(count.saturating_sub(metric.get()));
        }
        let rejections = &metrics.limited_rejections;
        rejections.inc_by(
            gateway
                .limited_rejections()
                .saturating_sub(rejections.get()),
        );
        metrics
            .quarantined
            .set(count(gateway.quarantined_requests()));
        let upstreams = gateway.fleet().iter();
        let cold = upstreams.filter(|upstream| upstream.is_cold(now));
        metrics.cold_upstreams.set(count(cold.count()));
        for (cause, held) in gateway.reservation_holds() {
            let metric = metrics
                .reservation_holds
                .with_label_values(&[cause.to_string().as_str()]);
            metric.inc_by(held.saturating_sub(metric.get()));
        }
        return AdminResponse {
            status: 200,
            reason: "OK",
            kind: "text/plain; version=0.0.4",
            body: metrics.text(shared.log.omitted()),
        };
    }
    AdminResponse::plain(404, "Not Found")
}

fn count(number: impl TryInto<i64>) -> i64 {
    number.try_into().unwrap_or(i64::MAX)
}
