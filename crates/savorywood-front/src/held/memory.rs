//! The memory budget of the process, and the charges that tasks hold of it.

use super::{
    table::{HolderTable, MAX_PAUSE},
    verdict::{CutOutcome, HeldKind, HeldVerdict, HolderCut, HolderId},
};
use crate::{clock::BootClock, settings::FrontSettings, shared::FrontShared};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use savorywood_core::{LogLevel, LogLine};
use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

/// Interval at which a paused reader asks again.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Bytes in a megabyte of `limits.memory_mb`.
const MEGABYTE: f64 = 1_048_576.0;
/// Budget of a process without a memory limit.
const UNLIMITED_BYTES: usize = usize::MAX / 4;

/// No memory for the rest of a request: it is refused as not executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetExhausted;

/// The memory budget of the process.
#[derive(Debug)]
pub struct HeldMemory {
    table: RefCell<HolderTable>,
    /// Queues that end the tasks of holders.
    cuts: RefCell<HashMap<HolderId, Sender<CutOutcome>>>,
    clock: BootClock,
}

impl HeldMemory {
    /// Creates the budget that the settings define.
    #[must_use]
    pub fn from_settings(settings: &FrontSettings) -> Rc<Self> {
        let memory = settings.limits.memory_mb as f64 * MEGABYTE;
        let budget = match settings.limits.memory_mb {
            0 => UNLIMITED_BYTES,
            _ => (memory * settings.overload.held_memory_share) as usize,
        };
        Rc::new(Self {
            table: RefCell::new(HolderTable::new(budget)),
            cuts: RefCell::default(),
            clock: BootClock,
        })
    }

    /// Returns the bytes held of one kind.
    #[must_use]
    pub fn held(&self, kind: HeldKind) -> usize {
        self.table.borrow().held(kind)
    }

    /// Returns the budget in bytes.
    #[must_use]
    pub fn budget(&self) -> usize {
        self.table.borrow().budget()
    }

    /// Returns the maximum size of one response.
    #[must_use]
    pub fn max_response(&self) -> usize {
        self.table.borrow().max_response()
    }

    /// Decides whether the body of a request is read.
    pub fn admit_body(&self, shared: &FrontShared, bytes: usize) -> Result<(), BudgetExhausted> {
        let verdict = self.table.borrow_mut().admit_body(self.clock.now(), bytes);
        match verdict {
            HeldVerdict::Cut(cut) => self.cut(shared, cut),
            HeldVerdict::Refuse => return Err(BudgetExhausted),
            HeldVerdict::Allow | HeldVerdict::Pause => {}
        }
        Ok(())
    }

    fn cut(&self, shared: &FrontShared, cut: HolderCut) {
        if let Some(sender) = self.cuts.borrow().get(&cut.holder) {
            // The queue holds one message and a holder is cut once, so the send can't fail.
            let _ = sender.try_send(cut.outcome);
        }
        let table = self.table.borrow();
        let outcome: &'static str = cut.outcome.into();
        let metric = &shared.metrics.held.cuts;
        metric.with_label_values(&[outcome]).inc();
        let line = LogLine::new(LogLevel::Warn, "holder-cut")
            .with("outcome", outcome)
            .with("bytes", cut.bytes)
            .with("stalled_ms", cut.stalled.as_millis())
            .with("held", table.total())
            .with("budget", table.budget());
        shared.log.write_line(&line);
    }
}

/// Bytes that one task holds of the budget; released when dropped.
#[derive(Debug)]
pub struct HeldCharge {
    memory: Rc<HeldMemory>,
    id: HolderId,
    kind: HeldKind,
    cut: Receiver<CutOutcome>,
}

impl Drop for HeldCharge {
    fn drop(&mut self) {
        self.memory.table.borrow_mut().close(self.id);
        self.memory.cuts.borrow_mut().remove(&self.id);
    }
}

impl HeldCharge {
    /// Opens a charge without bytes.
    #[must_use]
    pub fn open(memory: &Rc<HeldMemory>, kind: HeldKind) -> Self {
        let id = memory.table.borrow_mut().open(memory.clock.now(), kind);
        let (sender, cut) = async_channel::bounded(1);
        memory.cuts.borrow_mut().insert(id, sender);
        Self {
            memory: Rc::clone(memory),
            id,
            kind,
            cut,
        }
    }

    /// Asks once whether further bytes may be held.
    pub fn try_grow(&self, shared: &FrontShared, bytes: usize) -> HeldVerdict {
        let now = self.memory.clock.now();
        let verdict = self.memory.table.borrow_mut().grow(now, self.id, bytes);
        if let HeldVerdict::Cut(cut) = verdict {
            self.memory.cut(shared, cut);
        }
        verdict
    }

    /// Charges bytes that were received; waits while the budget is exhausted, so that the sender is
    /// not read from.
    ///
    /// # Errors
    ///
    /// Returns an error when a request is to be refused.
    pub async fn grow(&self, shared: &FrontShared, bytes: usize) -> Result<(), BudgetExhausted> {
        let started = self.memory.clock.now();
        loop {
            match self.try_grow(shared, bytes) {
                HeldVerdict::Allow => break,
                HeldVerdict::Refuse => return Err(BudgetExhausted),
                HeldVerdict::Pause | HeldVerdict::Cut(_) => {
                    Timer::after(PAUSE_POLL_INTERVAL).await;
                }
            }
        }
        self.report_pause(shared, self.memory.clock.now().since(started));
        Ok(())
    }

    /// Reports a pause if it was longer than `MAX_PAUSE`.
    pub fn report_pause(&self, shared: &FrontShared, pause: Duration) {
        if pause < MAX_PAUSE {
            return;
        }
        let table = self.memory.table.borrow();
        let kind: &'static str = self.kind.into();
        let metric = &shared.metrics.held.pauses;
        metric.with_label_values(&[kind]).inc();
        let line = LogLine::new(LogLevel::Info, "reader-paused")
            .with("kind", kind)
            .with("pause_ms", pause.as_millis())
            .with("held", table.total())
            .with("budget", table.budget());
        shared.log.write_line(&line);
    }

    /// Records that bytes were delivered.
    pub fn shrink(&self, bytes: usize) {
        let now = self.memory.clock.now();
        self.memory.table.borrow_mut().shrink(now, self.id, bytes);
    }

    /// Records that the bytes wait for an upstream or another attempt.
    pub fn keep(&self) {
        self.memory.table.borrow_mut().keep(self.id);
    }

    /// Records that the bytes wait for the caller who reads them.
    pub fn begin_delivery(&self) {
        let now = self.memory.clock.now();
        self.memory.table.borrow_mut().begin_delivery(now, self.id);
    }

    /// Returns the signal by which the holder is cut.
    #[must_use]
    pub fn cut_signal(&self) -> CutSignal {
        CutSignal(self.cut.clone())
    }

    /// Returns a handle that records deliveries while the holder itself is in use.
    #[must_use]
    pub fn delivery_record(&self) -> DeliveryRecord {
        DeliveryRecord {
            memory: Rc::clone(&self.memory),
            id: self.id,
        }
    }
}

/// Record of the bytes of a holder that were delivered.
#[derive(Debug)]
pub struct DeliveryRecord {
    memory: Rc<HeldMemory>,
    id: HolderId,
}

impl DeliveryRecord {
    /// Records that bytes were delivered.
    pub fn record(&self, bytes: usize) {
        let now = self.memory.clock.now();
        self.memory.table.borrow_mut().shrink(now, self.id, bytes);
    }
}

/// Signal by which a holder is cut.
#[derive(Debug)]
pub struct CutSignal(Receiver<CutOutcome>);

impl CutSignal {
    /// Waits until the holder is cut.
    pub async fn wait(&self) -> CutOutcome {
        match self.0.recv().await {
            Ok(outcome) => outcome,
            // The holder has been closed, so it can't be cut any more.
            Err(_) => futures_lite::future::pending().await,
        }
    }
}
