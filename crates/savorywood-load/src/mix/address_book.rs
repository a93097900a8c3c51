//! Addresses as callers keep them: asked for, ranked, held for a while.

use async_lock::Mutex;
use http_types::Method;
use savorywood_http::{CallRequest, ClientLimits, HttpClient};
use serde::Deserialize;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Time for one look-up.
const LOOKUP_TIME: Duration = Duration::from_millis(500);

#[derive(Debug, Deserialize)]
struct AddressAnswer {
    addresses: Vec<RankedAddress>,
    max_age_seconds: u64,
}

#[derive(Debug, Deserialize)]
struct RankedAddress {
    address: SocketAddr,
}

#[derive(Debug, Clone)]
struct HeldAddresses {
    addresses: Vec<SocketAddr>,
    until: Instant,
}

/// Addresses by service.
#[derive(Debug, Clone)]
pub struct AddressBook {
    seeds: Vec<SocketAddr>,
    client: HttpClient,
    held: Arc<Mutex<HashMap<String, HeldAddresses>>>,
}

impl AddressBook {
    /// A book that asks these daemons.
    pub fn new(seeds: &[SocketAddr]) -> Self {
        Self {
            seeds: seeds.to_vec(),
            client: HttpClient::new(ClientLimits::default()),
            held: Arc::default(),
        }
    }

    /// Addresses for a service, the best first. A held answer is used until it is too old; with
    /// no answer at all, the seeds are tried.
    pub async fn addresses(&self, service: &str) -> Vec<SocketAddr> {
        let mut held = self.held.lock().await;
        if let Some(entry) = held.get(service)
            && entry.until > Instant::now()
        {
            return entry.addresses.clone();
        }
        for seed in &self.seeds {
            if let Some(entry) = self.ask(*seed, service).await {
                held.insert(service.to_owned(), entry.clone());
                return entry.addresses;
            }
        }
        self.seeds.clone()
    }

    async fn ask(&self, seed: SocketAddr, service: &str) -> Option<HeldAddresses> {
        let target = format!("/v1/addresses?service={service}");
        let mut call = CallRequest::new(seed, Method::Get, target);
        call.timeout = LOOKUP_TIME;
        let answer = self.client.call(&call).await.ok()?;
        let answer: AddressAnswer = serde_json::from_slice(&answer.body).ok()?;
        if answer.addresses.is_empty() {
            return None;
        }
        Some(HeldAddresses {
            addresses: answer
                .addresses
                .iter()
                .map(|ranked| ranked.address)
                .collect(),
            until: Instant::now() + Duration::from_secs(answer.max_age_seconds),
        })
    }
}
