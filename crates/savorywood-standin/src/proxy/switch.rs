//! Faults of a link as its connections see them.

use super::faults::{LinkDirection, LinkMode, ProxyFaults};
use crate::tasks::lock;
use async_io::Timer;
use std::{sync::Mutex, time::Duration};

/// How often a connection looks for a change of its link.
const LOOK_PERIOD: Duration = Duration::from_millis(5);

/// Faults and random numbers of one link.
#[derive(Debug)]
pub(crate) struct LinkSwitch {
    faults: Mutex<ProxyFaults>,
    dice: Mutex<fastrand::Rng>,
}

impl LinkSwitch {
    pub(crate) fn new(faults: ProxyFaults, seed: u64) -> Self {
        Self {
            faults: Mutex::new(faults),
            dice: Mutex::new(fastrand::Rng::with_seed(seed)),
        }
    }

    pub(crate) fn faults(&self) -> ProxyFaults {
        lock(&self.faults).clone()
    }

    pub(crate) fn set(&self, faults: ProxyFaults) {
        *lock(&self.faults) = faults;
    }

    pub(crate) fn drops_datagram(&self) -> bool {
        let share = lock(&self.faults).drop_per_mille;
        lock(&self.dice).u16(0..1_000) < share
    }

    pub(crate) fn delay(&self) -> Duration {
        Duration::from_millis(lock(&self.faults).delay_ms)
    }

    /// Waits until the link is cut.
    pub(crate) async fn cut(&self) {
        while lock(&self.faults).mode != LinkMode::Cut {
            Timer::after(LOOK_PERIOD).await;
        }
    }

    /// Waits until bytes pass in a direction.
    pub(crate) async fn open(&self, direction: LinkDirection) {
        while !lock(&self.faults).passes(direction) {
            Timer::after(LOOK_PERIOD).await;
        }
    }

    /// Waits until the link has a mode other than this one.
    pub(crate) async fn left(&self, mode: LinkMode) {
        while lock(&self.faults).mode == mode {
            Timer::after(LOOK_PERIOD).await;
        }
    }
}
