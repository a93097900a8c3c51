//! Host list that lags.

use savorywood_protocol::host_list::HostDocument;
use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

/// Longest lag that can be told. Older states of the list are forgotten.
const MAX_LAG: Duration = Duration::from_secs(600);

#[derive(Debug, Clone)]
struct ListState {
    at: Instant,
    hosts: BTreeMap<String, HostDocument>,
}

/// The list over time.
#[derive(Debug, Default)]
pub(crate) struct HostList {
    states: VecDeque<ListState>,
}

impl HostList {
    pub(crate) fn put(&mut self, now: Instant, host: HostDocument) {
        let mut hosts = self.newest();
        hosts.insert(host.host.to_string(), host);
        self.push(now, hosts);
    }

    pub(crate) fn remove(&mut self, now: Instant, name: &str) {
        let mut hosts = self.newest();
        hosts.remove(name);
        self.push(now, hosts);
    }

    /// The list as it was `lag` ago.
    pub(crate) fn list(&self, now: Instant, lag: Duration) -> Vec<HostDocument> {
        let mut newest_first = self.states.iter().rev();
        let state = newest_first.find(|state| now.duration_since(state.at) >= lag);
        state.map_or_else(Vec::new, |state| state.hosts.values().cloned().collect())
    }

    fn newest(&self) -> BTreeMap<String, HostDocument> {
        self.states
            .back()
            .map(|state| state.hosts.clone())
            .unwrap_or_default()
    }

    fn push(&mut self, at: Instant, hosts: BTreeMap<String, HostDocument>) {
        self.states.push_back(ListState { at, hosts });
        // The newest state older than the longest lag is still the answer at that lag.
        while self
            .states
            .get(1)
            .is_some_and(|next| at.duration_since(next.at) > MAX_LAG)
        {
            self.states.pop_front();
        }
    }
}
