//! Choice of the peers that relay a request, and admission of requests to be relayed.

use super::Gateway;
use crate::{
    label::{UpstreamLabel, ZoneLabel},
    message::PeerPhase,
    rejection_limit::SlotUsage,
    relay::{RelayCandidate, RelayPreference, RelayRefusal, max_relayed},
    rendezvous::address_hash,
};
use savorywood_protocol::MonotonicTime;
use std::{collections::BTreeMap, net::SocketAddr};

/// Peers that are tried in turn for one attempt.
const RELAYS_PER_ATTEMPT: usize = 3;

impl Gateway {
    /// Returns the number of peers that may relay requests.
    pub(super) fn relay_count(&self, now: MonotonicTime) -> usize {
        self.relay_candidates(now).len()
    }

    /// Returns the peers through which to reach an upstream in `zone`; empty while it is reached
    /// directly, or if there is no peer.
    ///
    /// Only peers in the region of the upstream are chosen: a request must not pass through any
    /// region but its home regions and that of its caller. Those in the zone of the upstream come
    /// first, then those in the own zone, as either crosses zones once.
    pub(super) fn choose_relays(
        &mut self,
        now: MonotonicTime,
        zone: &ZoneLabel,
    ) -> Vec<SocketAddr> {
        if !self.is_partitioned() {
            return Vec::new();
        }
        let region = self.options.regions.region(zone.as_str()).cloned();
        let mut candidates = self.relay_candidates(now);
        candidates
            .retain(|candidate| self.options.regions.region(&candidate.zone) == region.as_ref());
        candidates.sort_by_cached_key(|_| (self.random.next() * f64::from(u32::MAX)) as u32);
        let own_zone = self.options.zone.as_str();
        candidates.sort_by_key(|candidate| RelayPreference::of(candidate, zone.as_str(), own_zone));
        let chosen = candidates.into_iter().take(RELAYS_PER_ATTEMPT);
        chosen.map(|candidate| candidate.address).collect()
    }

    /// Returns the peers that accept requests and reach upstreams, as far as they are known.
    fn relay_candidates(&self, now: MonotonicTime) -> Vec<RelayCandidate> {
        let ready = self.peers.ready_peers(now);
        let direct = ready.filter(|peer| !peer.summary.partitioned);
        let direct = direct.map(|peer| RelayCandidate {
            address: peer.summary.peer_address,
            zone: peer.summary.zone.clone(),
        });
        let mut candidates: Vec<RelayCandidate> = direct.collect();
        for digest in self.peers.zone_digests(now) {
            let members = digest.members.iter();
            let able =
                members.filter(|member| member.phase == PeerPhase::Ready && !member.partitioned);
            candidates.extend(able.map(|member| RelayCandidate {
                address: member.peer_address,
                zone: digest.zone.clone(),
            }));
        }
        let view = self.last_view().into_iter().flat_map(|view| &view.members);
        let able = view.filter(|member| member.phase == PeerPhase::Ready && !member.partitioned);
        candidates.extend(able.map(|member| RelayCandidate {
            address: member.peer_address,
            zone: self.options.zone.as_str().to_owned(),
        }));
        let own = self.options.peer_address;
        candidates.retain(|candidate| candidate.address != own);
        candidates.sort_by_key(|candidate| candidate.address);
        candidates.dedup_by_key(|candidate| candidate.address);
        candidates
    }

    /// Decides whether this daemon relays a request to an upstream while it relays `open` others.
    /// Returns the address of the upstream.
    ///
    /// # Errors
    ///
    /// Returns the reason when it does not.
    pub fn admit_relay(
        &self,
        now: MonotonicTime,
        upstream: &UpstreamLabel,
        open: usize,
    ) -> Result<SocketAddr, RelayRefusal> {
        if self.is_stopping() {
            return Err(RelayRefusal::Stopping);
        }
        if self.is_partitioned() {
            return Err(RelayRefusal::Partitioned);
        }
        let state = self.fleet.get(upstream);
        let state = state.filter(|state| state.accepts_requests(now));
        let state = state.ok_or(RelayRefusal::NoUpstream)?;
        if state.is_paused(now) {
            return Err(RelayRefusal::Paused);
        }
        if open >= max_relayed(self.options.capacity.descriptors) {
            return Err(RelayRefusal::Full);
        }
        if let Some(limit) = self
            .fleet
            .rejection_limits()
            .limit(now, &state.entry.service)
        {
            let usage = SlotUsage {
                slots: state.entry.slots,
                own: state.running,
                all: state.running + self.peers.slots_by_digest(state.digest).running,
            };
            if !state.rejections.allows_dispatch(now, limit.into(), usage) {
                return Err(RelayRefusal::NoRoom);
            }
        }
        Ok(state.entry.address)
    }

    /// Records that a request which was admitted is relayed to an upstream. Returns the number by
    /// which its events refer to it.
    pub fn begin_relay(&mut self, now: MonotonicTime, upstream: &UpstreamLabel) -> u64 {
        self.dispatches += 1;
        if let Some(state) = self.fleet.get_mut(upstream) {
            let own = state.running;
            state.rejections.record_relay(now, self.dispatches, own);
        }
        self.dispatches
    }

    /// Returns the peers that may relay requests, by the hashes of their addresses.
    pub(super) fn relays_by_hash(&self, now: MonotonicTime) -> BTreeMap<u64, RelayCandidate> {
        let candidates = self.relay_candidates(now).into_iter();
        candidates
            .map(|candidate| (address_hash(candidate.address), candidate))
            .collect()
    }
}
