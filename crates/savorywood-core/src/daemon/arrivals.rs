//! Admission checks for arriving requests, before they reach the scheduler.

use super::DaemonCore;
use crate::{
    claims::{ClaimEvent, ClaimRequest},
    effect::EffectQueue,
    intake,
    request::RequestArrival,
};
use savorywood_protocol::{CoreTime, RefusalCode, RequestRefusal};
use std::time::Duration;

/// Retry-after delay of refusals from a daemon that can't confirm its configuration.
const STALE_CONFIG_RETRY_AFTER: Duration = Duration::from_secs(2);

impl DaemonCore {
    /// Checks a request and submits it to the scheduler. Non-idempotent calls need a claim first.
    pub(super) fn handle_arrival(
        &mut self,
        now: CoreTime,
        arrival: &RequestArrival,
        effects: &mut EffectQueue,
    ) {
        if let Err(refusal) = self.check_config_freshness(now) {
            effects.refuse(arrival.request, refusal);
            return;
        }
        let config = self.config.view();
        let request = match intake::resolve_request(now.monotonic, arrival, config) {
            Ok(request) => request,
            Err(refusal) => return effects.refuse(arrival.request, refusal),
        };
        let spec = config.services.get(&request.service);
        let objectives = spec.map(|spec| spec.objectives).unwrap_or_default();
        let retention = spec.map(|spec| spec.claims).unwrap_or_default();
        self.objectives.start(&request, objectives);
        self.guard.open(request.clone());
        if request.idempotent {
            return self.submit(now, request, effects);
        }
        let wish = ClaimRequest {
            request,
            key: arrival.idempotency_key.clone().unwrap_or_default(),
            fingerprint: arrival.fingerprint,
            retention,
        };
        self.step_claims(now, ClaimEvent::Requested(Box::new(wish)), effects);
    }

    /// Refuses requests while the configuration is not confirmed to be current. A daemon that can reach
    /// neither the table service nor its peers may have missed that a team was removed or an
    /// upstream was drained, and would still dispatch work for them. The refusal refers callers to
    /// another daemon.
    fn check_config_freshness(&self, now: CoreTime) -> Result<(), RequestRefusal> {
        if !self.config.is_ready() {
            let detail = "this daemon has not read the configuration yet; use another address";
            let refusal = RequestRefusal::not_run(RefusalCode::NotReady, detail);
            return Err(refusal.with_retry_after(STALE_CONFIG_RETRY_AFTER));
        }
        if !self.config.is_current(now) {
            let detail =
                "this daemon can't confirm that its configuration is current; use another address";
            let refusal = RequestRefusal::not_run(RefusalCode::ConfigStale, detail);
            return Err(refusal.with_retry_after(STALE_CONFIG_RETRY_AFTER));
        }
        Ok(())
    }
}
