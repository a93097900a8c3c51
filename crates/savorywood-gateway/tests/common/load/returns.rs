//! Outages of the store, teams with limits, and what refused callers experience.

use super::{
    LoadEnvironment,
    calls::{OpenCall, RandomSource},
};
use savorywood_core::LogLine;
use savorywood_gateway::{
    DeclaredConfig, GatewayOptions, RequestArrival, ReturnPolicy, TeamLabel, TeamLimit, TeamSpec,
};
use savorywood_protocol::MonotonicTime;
use std::time::Duration;

/// Key of the team that has a limit.
const LIMITED_KEY: &str = "limited-key";
/// Length of the windows in which the value of responses is summed up.
pub const WINDOW: Duration = Duration::from_secs(2);

/// Settings of daemons and teams.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReturnSettings {
    pub return_schedule: bool,
    pub policy: ReturnPolicy,
    /// Maximum time for which a revoked key keeps working; `None` keeps that of the harness.
    pub revocation_delay: Option<Duration>,
    /// Limit of the team with the key `LIMITED_KEY`.
    pub limit: Option<TeamLimit>,
    /// Requests of kinds from this one on belong to that team.
    pub first_limited_kind: Option<usize>,
    /// Seed of arrivals and of the choice of daemons; `None` keeps the environment's.
    pub seed: Option<u64>,
}

impl ReturnSettings {
    pub fn apply(&self, options: &mut GatewayOptions) {
        options.overload.return_schedule = self.return_schedule;
        if let Some(delay) = self.revocation_delay {
            options.bounds.revocation_delay = Some(delay);
        }
        options.bounds.limit_tolerance.overage = 0.1;
    }

    pub fn add_teams(&self, config: &mut DeclaredConfig) {
        if let Some(limit) = self.limit {
            let team = TeamSpec {
                name: TeamLabel::from("limited"),
                priority: None,
                limit: Some(limit),
                home_regions: Vec::new(),
            };
            config.add_team(team, vec![LIMITED_KEY.to_owned()]);
        }
    }
}

/// An outage of the store for the first `daemons` daemons.
#[derive(Debug, Clone, Copy)]
pub struct StoreOutage {
    pub from: MonotonicTime,
    pub until: MonotonicTime,
    pub daemons: usize,
}

/// A complete response.
#[derive(Debug, Clone, Copy)]
pub struct ServedCall {
    pub at: MonotonicTime,
    pub arrived_at: MonotonicTime,
    pub kind: usize,
    pub late: bool,
    /// Units of a limit in tokens.
    pub units: u32,
    pub retried: bool,
}

/// A refusal.
#[derive(Debug, Clone, Copy)]
pub struct RefusedCall {
    pub at: MonotonicTime,
    pub kind: usize,
    /// The store was available to the daemon.
    pub store_available: bool,
    /// The caller had returned at the time that it was given.
    pub kept_time: bool,
    pub retry_after: Option<Duration>,
}

/// Settings, faults and results.
pub struct ReturnRecord {
    pub settings: ReturnSettings,
    pub outage: Option<StoreOutage>,
    pub served: Vec<ServedCall>,
    pub refused: Vec<RefusedCall>,
    /// Units charged to the team with a limit, and when.
    pub charges: Vec<(MonotonicTime, f64)>,
    /// Refused callers that were given a time and returned.
    pub returns: u32,
    random: RandomSource,
}

impl ReturnRecord {
    pub fn new(settings: ReturnSettings) -> Self {
        Self {
            settings,
            outage: None,
            served: Vec::new(),
            refused: Vec::new(),
            charges: Vec::new(),
            returns: 0,
            random: RandomSource(settings.seed.unwrap_or_default() ^ 0x5151),
        }
    }

    /// Returns the largest sum of units charged to the team with a limit within `window`.
    pub fn max_units(&self, window: Duration) -> f64 {
        let mut sum = 0.0;
        let mut first = 0;
        let mut max = 0.0_f64;
        for (at, units) in &self.charges {
            sum += units;
            while at.since(self.charges[first].0) > window {
                sum -= self.charges[first].1;
                first += 1;
            }
            max = max.max(sum);
        }
        max
    }

    /// Returns the value of the responses in each window from `from` on.
    pub fn values(&self, from: MonotonicTime, windows: usize, worth: &[(f64, f64)]) -> Vec<f64> {
        let mut values = vec![0.0; windows];
        for call in self.served.iter().filter(|call| call.at >= from) {
            let window = call.at.since(from).as_millis() / WINDOW.as_millis();
            if let Some(value) = values.get_mut(window as usize) {
                let (in_time, late) = worth[call.kind];
                *value += if call.late { late } else { in_time };
            }
        }
        values
    }

    /// Returns the refusals of callers that had returned at their time.
    pub fn refused_again(&self) -> usize {
        self.refused.iter().filter(|call| call.kept_time).count()
    }

    /// Returns those of them that the store was available to.
    pub fn refused_again_with_store(&self) -> usize {
        let again = self.refused.iter().filter(|call| call.kept_time);
        again.filter(|call| call.store_available).count()
    }

    /// Returns the value of the responses to first attempts in each window from `from` on.
    pub fn values_by_arrival(
        &self,
        from: MonotonicTime,
        windows: usize,
        worth: &[(f64, f64)],
    ) -> Vec<f64> {
        let mut values = vec![0.0; windows];
        for call in self.served.iter().filter(|call| call.arrived_at >= from) {
            let window = call.arrived_at.since(from).as_millis() / WINDOW.as_millis();
            if let Some(value) = values.get_mut(window as usize) {
                let (in_time, late) = worth[call.kind];
                *value += if call.late { late } else { in_time };
            }
        }
        values
    }
}

impl LoadEnvironment {
    pub fn seed_arrivals(&mut self, seed: u64) {
        self.random = RandomSource(seed);
    }

    pub(super) fn is_cut_off(&self, number: usize) -> bool {
        self.returns.outage.is_some_and(|outage| {
            number < outage.daemons && (outage.from..outage.until).contains(&self.now)
        })
    }

    /// Returns the daemon that a caller sends a request to: any of those that it has cached, or one
    /// that is ready if it was refused.
    pub(super) fn choose_daemon(&mut self, call: &OpenCall) -> usize {
        let all = self.daemons.len();
        if self.returns.settings.seed.is_none() {
            let retry_random = self.retry_random.as_mut().filter(|_| call.retried);
            let random = retry_random.unwrap_or(&mut self.random);
            return self.conditions.choose_daemon(random, all);
        }
        let sample = self.returns.random.next();
        let ready = (0..all).filter(|number| self.daemons[*number].gateway.is_ready(self.now));
        let ready: Vec<usize> = ready.filter(|_| call.retried).collect();
        if ready.is_empty() {
            (sample * all as f64) as usize
        } else {
            ready[(sample * ready.len() as f64) as usize]
        }
    }

    pub(super) fn record_admission(&mut self, line: &LogLine) {
        if self.returns.settings.limit.is_none() {
            return;
        }
        let line = line.to_string();
        if !line.starts_with("event=request-admitted ") || !line.contains(" team=limited ") {
            return;
        }
        let units = line
            .split(' ')
            .find_map(|field| field.strip_prefix("units="));
        let units = units.and_then(|units| units.parse().ok());
        self.returns
            .charges
            .push((self.now, units.expect("the units")));
    }

    pub(super) fn set_key(&self, call: &OpenCall, arrival: &mut RequestArrival) {
        let first = self.returns.settings.first_limited_kind;
        if first.is_some_and(|first| call.kind >= first) {
            arrival.api_key = Some(LIMITED_KEY.to_owned());
        }
    }

    pub(super) fn record_served(&mut self, call: &OpenCall) {
        self.returns.served.push(ServedCall {
            at: self.now,
            arrived_at: call.arrived_at,
            kind: call.kind,
            late: call.late,
            units: call.prompt + call.output_estimate,
            retried: call.retried,
        });
    }

    pub(super) fn record_refusal(
        &mut self,
        daemon: usize,
        call: &OpenCall,
        retry_after: Option<Duration>,
    ) {
        self.returns.returns += u32::from(retry_after.is_some() && !call.retried);
        self.returns.refused.push(RefusedCall {
            at: self.now,
            kind: call.kind,
            store_available: !self.is_cut_off(daemon),
            kept_time: call.retried,
            retry_after,
        });
    }
}
