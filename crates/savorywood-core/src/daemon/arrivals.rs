//! Arrivals: what is checked before a request is scheduled.

use super::DaemonCore;
use crate::{
    claims::{ClaimEvent, ClaimWish},
    effect::EffectQueue,
    intake,
    request::RequestArrival,
};
use savorywood_protocol::{CoreTime, RefusalCode, RequestRefusal};
use std::time::Duration;

/// When to come back to a daemon that can't confirm its configuration.
const STALE_CONFIG_RETRY_AFTER: Duration = Duration::from_secs(2);

impl DaemonCore {
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
        let request = match intake::resolve(now.monotonic, arrival, config) {
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
        let wish = ClaimWish {
            request,
            key: arrival.idempotency_key.clone().unwrap_or_default(),
            fingerprint: arrival.fingerprint,
            retention,
        };
        self.step_claims(now, ClaimEvent::Wanted(Box::new(wish)), effects);
    }

    /// A daemon that is cut off from table and peers may not know that a team was shut out or an
    /// upstream taken away. Callers would see work go where it was stopped long ago; so it turns
    /// them away to a daemon that knows.
    fn check_config_freshness(&self, now: CoreTime) -> Result<(), RequestRefusal> {
        if !self.config.is_ready() {
            let detail = "this daemon has not read the configuration yet; use another address";
            let refusal = RequestRefusal::not_run(RefusalCode::NotReady, detail);
            return Err(refusal.with_retry_after(STALE_CONFIG_RETRY_AFTER));
        }
        if !self.config.is_current(now) {
            let detail = "this daemon can't confirm its configuration; use another address";
            let refusal = RequestRefusal::not_run(RefusalCode::ConfigStale, detail);
            return Err(refusal.with_retry_after(STALE_CONFIG_RETRY_AFTER));
        }
        Ok(())
    }
}
