//! Gives orders to engines and reads back what they run (`docs/UPSTREAM.md`).

use crate::daemon::DaemonShared;
use http_types::Method;
use savorywood_core::{DaemonEvent, OrderCallId, OrderResponse, UpstreamOrder};
use savorywood_http::{CallAnswer, CallRequest};
use savorywood_protocol::{
    VersionName,
    extension::{FencingConflictDocument, ORDERS_PATH, OrderDocument, OrderStateDocument},
};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Time for one order.
const ORDER_TIME: Duration = Duration::from_secs(2);

/// Gives an order, or reads back when it names no version.
pub fn give(
    shared: &Arc<DaemonShared>,
    call: OrderCallId,
    address: SocketAddr,
    order: UpstreamOrder,
) {
    let owner = Arc::clone(shared);
    let run = async move {
        let request = build(&owner, address, &order);
        // A process that was frozen since the order was decided may no longer hold the lease.
        if owner.driver.clock().now().monotonic >= order.act_by {
            log::warn!("event=order-too-late peer={address}");
            let response = OrderResponse::Lost;
            owner
                .driver
                .step(DaemonEvent::OrderCompleted { call, response });
            return;
        }
        let response = match owner.client.call(&request).await {
            Ok(response) => read_answer(&response),
            Err(error) => {
                log::info!(
                    "event=order-unanswered peer={address} error={:?}",
                    error.to_string()
                );
                OrderResponse::Lost
            }
        };
        owner
            .driver
            .step(DaemonEvent::OrderCompleted { call, response });
    };
    shared.executor.spawn(run).detach();
}

fn build(shared: &DaemonShared, address: SocketAddr, order: &UpstreamOrder) -> CallRequest {
    let mut request = match &order.version {
        None => CallRequest::new(address, Method::Get, ORDERS_PATH),
        Some(version) => {
            let config = shared.driver.config();
            let spec = config.versions.get(version);
            let document = OrderDocument {
                fencing: order.fencing,
                version: Some(version.to_string()),
                weights: spec.and_then(|spec| spec.weights.clone()),
                ..OrderDocument::default()
            };
            let body = serde_json::to_vec(&document).unwrap_or_default();
            CallRequest::new(address, Method::Put, ORDERS_PATH).with_body(body)
        }
    };
    request.timeout = ORDER_TIME;
    request
}

fn read_answer(answer: &CallAnswer) -> OrderResponse {
    if answer.status == 409 {
        let fenced: Option<FencingConflictDocument> = serde_json::from_slice(&answer.body).ok();
        return fenced.map_or(OrderResponse::Lost, |fenced| OrderResponse::Fenced {
            newest: fenced.newest,
        });
    }
    let state: Option<OrderStateDocument> = serde_json::from_slice(&answer.body).ok();
    let state = state.filter(|_| answer.status < 300);
    let version = state
        .as_ref()
        .and_then(|state| VersionName::new(&state.version).ok());
    match (state, version) {
        (Some(state), Some(version)) => OrderResponse::Running {
            version,
            ready: state.ready,
            fencing: state.fencing,
        },
        _ => OrderResponse::Lost,
    }
}
