//! One client for all that the platform gives.

mod calls;

use crate::{
    breaker::{BreakerState, CallBreaker},
    budget::{DutyBudgets, TakeVerdict},
    duty::{CallKind, PlatformDuty, PlatformService},
    error::{BreakerOpenSnafu, OverBudgetSnafu, PlatformError, PlatformStep},
    options::PlatformOptions,
};
use async_io::Timer;
use savorywood_http::{CallAnswer, CallRequest, HttpClient};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Tries of a read. A write is never tried twice by the client: its answer may be lost after it
/// took effect, and only the duty that wrote can tell its own write when it reads back.
const READ_TRIES: u32 = 2;

/// Longest pause between two tries of a read.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// A client of the platform. Clones share budgets, breaker and connections.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    http: HttpClient,
    options: Arc<PlatformOptions>,
    gate: Arc<CallGate>,
}

/// What decides whether a call is made.
#[derive(Debug)]
struct CallGate {
    budgets: Mutex<DutyBudgets>,
    breakers: Mutex<BTreeMap<SocketAddr, CallBreaker>>,
}

impl CallGate {
    /// One breaker an address: an outage of the host list must not hold up the table.
    fn with_breaker<T>(&self, address: SocketAddr, work: impl FnOnce(&mut CallBreaker) -> T) -> T {
        work(lock(&self.breakers).entry(address).or_default())
    }
}

fn own_budgets(options: &PlatformOptions) -> DutyBudgets {
    let budgets = DutyBudgets::new(options.members);
    match options.writes_per_second {
        Some(writes) => budgets.with_write_bound(writes, Instant::now()),
        None => budgets,
    }
}

/// One call with what decides whether it is made.
struct GatedCall<'a> {
    duty: PlatformDuty,
    kind: CallKind,
    step: PlatformStep,
    request: &'a CallRequest,
}

/// Tells the breaker that an admitted call was dropped before it ended. Without it a dropped try
/// would keep the breaker open for good, and the daemon would never notice the end of an outage.
struct AdmittedCall<'a> {
    gate: &'a CallGate,
    address: SocketAddr,
    ended: bool,
}

impl Drop for AdmittedCall<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.gate.with_breaker(self.address, CallBreaker::abandon);
        }
    }
}

impl PlatformClient {
    /// A client that uses the connections of `http`.
    #[must_use]
    pub fn new(http: HttpClient, options: PlatformOptions) -> Self {
        let gate = CallGate {
            budgets: Mutex::new(own_budgets(&options)),
            breakers: Mutex::default(),
        };
        Self {
            http,
            options: Arc::new(options),
            gate: Arc::new(gate),
        }
    }

    /// Tells how many daemons share the platform's rates.
    pub fn set_members(&self, members: u32) {
        lock(&self.gate.budgets).set_members(members, Instant::now());
    }

    /// What the breaker of a service does with calls now.
    #[must_use]
    pub fn breaker_state(&self, service: PlatformService) -> BreakerState {
        let address = self.address_of(service);
        self.gate
            .with_breaker(address, |breaker| breaker.state(Instant::now()))
    }

    fn address_of(&self, service: PlatformService) -> SocketAddr {
        match service {
            PlatformService::Table => self.options.address,
            PlatformService::Objects => self.options.object_address,
            PlatformService::HostList => self.options.host_list_address,
        }
    }

    /// Makes a call within its budget, reads with one more try.
    async fn call(&self, call: GatedCall<'_>) -> Result<CallAnswer, PlatformError> {
        let tries = match call.kind {
            CallKind::Read => READ_TRIES,
            CallKind::Write => 1,
        };
        let mut tried = 1;
        let started_at = Instant::now();
        loop {
            match self.try_call(&call).await {
                Err(error) if tried < tries && error.is_outage() => {
                    log::info!(
                        "event=platform-retry duty={} took_ms={} error={:?}",
                        call.duty,
                        started_at.elapsed().as_millis(),
                        error.to_string()
                    );
                    Timer::after(RETRY_PAUSE.mul_f64(0.3 + 0.7 * fastrand::f64())).await;
                    tried += 1;
                }
                result => return result,
            }
        }
    }

    async fn try_call(&self, call: &GatedCall<'_>) -> Result<CallAnswer, PlatformError> {
        let step = call.step;
        let peer = call.request.address;
        self.wait_for_budget(call).await?;
        let admits = |breaker: &mut CallBreaker| breaker.admit(Instant::now());
        if !self.gate.with_breaker(peer, admits) {
            return BreakerOpenSnafu { step, peer }.fail();
        }
        let mut admitted = AdmittedCall {
            gate: &self.gate,
            address: peer,
            ended: false,
        };
        let result = self.http.call(call.request).await;
        let result = calls::check_status(step, peer, result);
        let success = result.as_ref().err().is_none_or(|error| !error.is_outage());
        admitted.ended = true;
        self.gate.with_breaker(peer, |breaker| {
            breaker.record(Instant::now(), success, fastrand::f64());
        });
        result
    }

    async fn wait_for_budget(&self, call: &GatedCall<'_>) -> Result<(), PlatformError> {
        let step = call.step;
        let peer = call.request.address;
        let give_up_at = Instant::now() + self.options.budget_wait;
        loop {
            let now = Instant::now();
            let verdict = lock(&self.gate.budgets).take(call.duty, call.kind, now);
            match verdict {
                TakeVerdict::Taken => return Ok(()),
                TakeVerdict::Wait(wait) if now + wait <= give_up_at => {
                    Timer::after(wait).await;
                }
                TakeVerdict::Wait(_) | TakeVerdict::Never => {
                    log::warn!("event=platform-over-budget duty={} step={step}", call.duty);
                    return OverBudgetSnafu { step, peer }.fail();
                }
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
