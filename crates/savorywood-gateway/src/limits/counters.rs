//! Counters of refusals and their retry-after delays.

use strum::{Display, IntoStaticStr};

/// Cause of a refusal whose retry-after delay was scheduled. The text form is part of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ReturnCause {
    /// The team has exceeded its limit.
    TeamLimit,
    /// The response would come too late.
    Overload,
    /// No daemon can confirm API keys.
    StoreOutage,
    /// Other daemons confirm API keys, this one does not.
    CutOff,
}

/// Number of refusals since the start, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReturnCounters {
    /// Times promised to callers of teams over their limit.
    pub team_limit: u64,
    /// Times promised after load shedding.
    pub overload: u64,
    /// Times promised during an outage of the store.
    pub store_outage: u64,
    /// Callers sent to other daemons.
    pub cut_off: u64,
    /// Refusals without a time, as no time had capacity.
    pub untimed: u64,
    /// Arrivals recognised as returns of refused requests.
    pub returned: u64,
    /// Refusals of recognised returns.
    pub refused_again: u64,
}

impl ReturnCounters {
    /// Iterates over the counters with their names in metrics.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let named = [
            (ReturnCause::TeamLimit.into(), self.team_limit),
            (ReturnCause::Overload.into(), self.overload),
            (ReturnCause::StoreOutage.into(), self.store_outage),
            (ReturnCause::CutOff.into(), self.cut_off),
            ("untimed", self.untimed),
            ("returned", self.returned),
            ("refused-again", self.refused_again),
        ];
        named.into_iter()
    }

    /// Records a refusal; `timed`: the caller was given a time.
    pub fn record(&mut self, cause: ReturnCause, timed: bool) {
        let count = match cause {
            _ if !timed => &mut self.untimed,
            ReturnCause::TeamLimit => &mut self.team_limit,
            ReturnCause::Overload => &mut self.overload,
            ReturnCause::StoreOutage => &mut self.store_outage,
            ReturnCause::CutOff => &mut self.cut_off,
        };
        *count += 1;
    }
}
