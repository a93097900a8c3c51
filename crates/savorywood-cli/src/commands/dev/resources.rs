//! The resources that a first try begins with.

use super::standins::DevStandins;
use crate::error::CommandError;
use savorywood_protocol::resource::ResourceDocument;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

/// Availability zone of everything.
pub const ZONE: &str = "zone-a";

/// Region of everything.
pub const REGION: &str = "dev";

/// The resources in an order in which each names only earlier ones.
///
/// # Errors
///
/// When one of them is not a resource, which is a defect.
pub fn documents(
    standins: &DevStandins,
    team_token: &str,
) -> Result<Vec<ResourceDocument>, CommandError> {
    let digest = hex::encode(Sha256::digest(team_token.as_bytes()));
    let mut documents = vec![
        json!({"kind": "tier", "name": "urgent", "spec": {"rank": 0}}),
        json!({"kind": "tier", "name": "usual", "spec": {"rank": 1}}),
        json!({"kind": "team", "name": "dev", "spec": {
            "token_sha256": digest, "tiers": ["usual", "urgent"]}}),
        json!({"kind": "service", "name": "notes", "spec": {"protocol": "model"}}),
        json!({"kind": "service", "name": "wire", "spec": {"protocol": "plain"}}),
        json!({"kind": "version", "name": "notes-v1", "spec": {"service": "notes"}}),
        json!({"kind": "version", "name": "wire-v1", "spec": {"service": "wire"}}),
    ];
    documents.push(engine(
        "engine-fast",
        &standins.fast_engine.address().to_string(),
        "g5",
        16,
    ));
    documents.push(engine(
        "engine-slow",
        &standins.slow_engine.address().to_string(),
        "g2",
        8,
    ));
    documents.push(json!({"kind": "upstream", "name": "wire-1", "spec": {
        "address": standins.plain.address().to_string(), "service": "wire",
        "version": "wire-v1", "zone": ZONE, "seats": 64}}));
    let documents = serde_json::from_value(Value::Array(documents));
    documents.map_err(|error| CommandError::Failed {
        step: "making resources".to_owned(),
        reason: error.to_string(),
        remedy: "report this as a defect".to_owned(),
    })
}

fn engine(name: &str, address: &str, generation: &str, seats: u32) -> Value {
    json!({"kind": "upstream", "name": name, "spec": {
        "address": address, "service": "notes", "version": "notes-v1", "zone": ZONE,
        "generation": generation, "seats": seats, "checks_fencing": true,
        "extensions": ["resume", "cancel", "load", "cache-events", "orders"]}})
}
