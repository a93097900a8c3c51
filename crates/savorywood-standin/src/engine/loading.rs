//! Loads a version that an order asks for.

use super::server::EngineShared;
use crate::tasks::lock;
use async_io::Timer;
use http_types::Method;
use savorywood_http::{AnswerBody, CallRequest, ClientLimits, HttpClient};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};

/// Bytes read at once.
const READ_BYTES: usize = 64 * 1024;

/// Wait before the weight store is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Fetches the weights, loads them and says that the version is ready, unless a later order
/// wants another one by then.
pub(crate) async fn load_version(engine: Arc<EngineShared>, number: u64, weights: Option<String>) {
    if let (Some(store), Some(key)) = (engine.options.weight_store, weights) {
        fetch_weights(store, &key).await;
    }
    Timer::after(engine.options.load_time).await;
    let mut state = lock(&engine.state);
    if state.orders.loaded(number) {
        state.clear_cache();
        log::info!(
            "event=version-loaded version={}",
            state.orders.state().version
        );
    }
}

async fn fetch_weights(store: SocketAddr, key: &str) {
    let client = HttpClient::new(ClientLimits::default());
    let call = CallRequest::new(store, Method::Get, format!("/v1/weights/{key}"));
    loop {
        match fetch_once(&client, &call).await {
            Ok(bytes) => {
                log::info!("event=weights-fetched key={key} bytes={bytes}");
                return;
            }
            Err(reason) => {
                log::warn!("event=weights-failed key={key} peer={store} reason={reason:?}");
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

/// Reads the weights and throws them away; returns how many bytes they have.
async fn fetch_once(client: &HttpClient, call: &CallRequest) -> Result<usize, String> {
    let request = call.build().map_err(|error| error.to_string())?;
    let answer = client.send(call.address, request).await;
    let answer = answer.map_err(|error| error.to_string())?;
    match answer.status() {
        200 => count_bytes(answer.body)
            .await
            .map_err(|error| error.to_string()),
        status => Err(format!("status {status}")),
    }
}

async fn count_bytes(mut body: AnswerBody) -> io::Result<usize> {
    let mut piece = vec![0; READ_BYTES];
    let mut total = 0;
    loop {
        match body.read(&mut piece).await? {
            0 => return Ok(total),
            count => total += count,
        }
    }
}
