//! Resources as they are before the writes.

use super::plan::ApplyStep;
use crate::{client::OperatorClient, error::CommandError};
use savorywood_protocol::resource::{ResourceDocument, ResourceKey, ResourceKind, ResourceSet};
use std::collections::{BTreeMap, BTreeSet};

/// Resources of one kind that are read one by one; of more, the whole kind is read at once.
/// Thousands of teams would otherwise cost a call each before the first write.
const SINGLE_READS: usize = 20;

/// Resources as they are on the daemon, as far as they matter.
#[derive(Debug)]
pub(super) struct PresentResources {
    set: ResourceSet,
}

impl PresentResources {
    /// Reads what the steps are going to write.
    pub(super) async fn read(
        client: &OperatorClient,
        steps: &[ApplyStep],
    ) -> Result<Self, CommandError> {
        let mut wanted: BTreeMap<ResourceKind, BTreeSet<ResourceKey>> = BTreeMap::new();
        for step in steps {
            let key = step.document.key();
            wanted.entry(key.kind).or_default().insert(key);
        }
        let mut present = Self {
            set: ResourceSet::new(),
        };
        for (kind, keys) in wanted {
            if keys.len() > SINGLE_READS {
                let documents = client.list(kind).await?.items;
                documents
                    .into_iter()
                    .for_each(|document| present.put(document));
                continue;
            }
            for key in keys {
                if let Some(document) = client.get(&key).await? {
                    present.put(document);
                }
            }
        }
        Ok(present)
    }

    /// A resource, if it exists.
    pub(super) fn get(&self, key: &ResourceKey) -> Option<&ResourceDocument> {
        self.set.get(key)
    }

    /// Remembers a resource that was written.
    pub(super) fn put(&mut self, document: ResourceDocument) {
        self.set.insert(document.key(), document);
    }
}
