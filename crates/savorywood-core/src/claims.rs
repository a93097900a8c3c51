//! Claims: calls that may not be repeated run at most once.
//!
//! Before such a call is dispatched, a row named by its team and idempotency key is inserted on
//! condition that there is none, with a nonce of this attempt alone. Whoever finds another's row
//! does not run the call. A claim is never taken over, and never released once a byte may have
//! left, so a daemon's death leaves the outcome unknown, and the row says so.
//! `docs/design/claims.md` has the reasons and what else was weighed.

mod batch;
mod key;
mod options;
mod outcome;
mod record;
mod repeat;
mod settle;
mod sweep;

pub use key::{CLAIM_PREFIX, ClaimKey};
pub use options::ClaimOptions;
pub use record::{ClaimNonce, ClaimOutcome, ClaimRecord, RecordedAnswer};

use crate::{
    effect::EffectQueue,
    event::{DutyKind, TimerKey, UpstreamEvent},
    invariant::{self, InvariantName},
    request::{QueuedRequest, StoredResponse},
    view::MemberView,
};
use batch::{BatchItem, CommitPace, WriteKind};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use repeat::RepeatedCall;
use savorywood_protocol::{
    CoreTime, MonotonicTime, RefusalCode, RequestId, RequestRefusal,
    resource::ClaimRetention,
    table::{CommitRevision, RowKey, TableAnswer},
};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use sweep::SweepState;

/// Fires when the gathered rows are committed.
const BATCH_TIMER: TimerKey = TimerKey {
    duty: DutyKind::Claims,
    number: 0,
};

/// Fires when rows are read back and calls that waited too long are refused.
const RETRY_TIMER: TimerKey = TimerKey {
    duty: DutyKind::Claims,
    number: 1,
};

/// Fires when old claims are looked for.
const SWEEP_TIMER: TimerKey = TimerKey {
    duty: DutyKind::Claims,
    number: 2,
};

/// A call that must be claimed before it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimWish {
    /// The call.
    pub request: QueuedRequest,
    /// Value of `Idempotency-Key`.
    pub key: String,
    /// SHA-256 over method, path and body.
    pub fingerprint: [u8; 32],
    /// How long claims of its service are kept.
    pub retention: ClaimRetention,
}

/// What happens to the claim duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// The daemon begins.
    Started,
    /// A call that may not be repeated arrived.
    Wanted(Box<ClaimWish>),
    /// One of its timers fired.
    TimerFired {
        /// Number of the timer.
        number: u64,
    },
    /// The table answered one of its calls.
    Table {
        /// Number of the call.
        number: u64,
        /// The answer.
        answer: TableAnswer,
    },
    /// An upstream did something with a claimed call; handed in before the scheduler sees it.
    Upstream(UpstreamEvent),
    /// The whole answer of a claimed call came.
    AnswerKept {
        /// Call that was answered.
        request: RequestId,
        /// Its answer.
        answer: Box<StoredResponse>,
    },
    /// The scheduler is done with the call without an answer: refused, or its caller left.
    Closed {
        /// The call.
        request: RequestId,
    },
}

/// What the claim duty decided for other duties. Refusals and replays are effects already.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The claim is held: the call goes to the scheduler.
    Granted(Box<QueuedRequest>),
}

/// How far a claim has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimStage {
    /// The row is not yet known to be ours; the call waits.
    Wanted,
    /// The row is ours and no byte of the call can have left.
    Held,
    /// The row is ours and the call may have reached an upstream.
    Dispatched,
    /// The call is over; its outcome is being recorded.
    Recording,
    /// The call was refused as not run; the row, if there is one, is being deleted.
    Releasing,
}

/// One claim that this daemon works on.
#[derive(Debug)]
struct OpenClaim {
    request: QueuedRequest,
    row: RowKey,
    nonce: ClaimNonce,
    record: ClaimRecord,
    stage: ClaimStage,
    /// Revision of our row, once known.
    revision: Option<CommitRevision>,
    wanted_at: MonotonicTime,
    answer: Option<RecordedAnswer>,
    tries: u32,
}

/// Counters for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClaimCounters {
    /// Commits sent.
    pub commits: u64,
    /// Rows in them.
    pub rows: u64,
    /// Claims that were refused because the store did not answer.
    pub store_refusals: u64,
    /// Repeats that got the recorded answer.
    pub replays: u64,
    /// Repeats that were refused.
    pub repeats: u64,
    /// Outcomes that could not be recorded.
    pub lost_outcomes: u64,
    /// Old claims deleted.
    pub swept: u64,
}

/// State of the claim duty.
#[derive(Debug)]
pub struct ClaimState {
    options: ClaimOptions,
    rng: ChaCha8Rng,
    open: BTreeMap<RequestId, OpenClaim>,
    rows: BTreeMap<RowKey, RequestId>,
    waiting: VecDeque<BatchItem>,
    unsure: Vec<BatchItem>,
    calls: BTreeMap<u64, TableTask>,
    last_call: u64,
    pace: CommitPace,
    sweep: SweepState,
    counters: ClaimCounters,
    verdicts: Vec<ClaimVerdict>,
}

/// What a call of the table is for.
#[derive(Debug)]
enum TableTask {
    Commit(Vec<BatchItem>),
    ReadBack(Vec<BatchItem>),
    SweepScan,
    SweepDelete { rows: u64 },
}

/// What the claim duty reads of other duties in a step.
#[derive(Debug, Clone, Copy)]
pub struct ClaimView<'a> {
    /// Daemons known: they share the write budget, and a dead one's claim will never end.
    pub members: &'a MemberView,
}

impl ClaimState {
    /// A daemon without claims.
    #[must_use]
    pub fn new(options: ClaimOptions) -> Self {
        // The nonce decides who runs a call, so two lives must never draw the same one, even if
        // somebody gives both the same seed.
        let life = crate::rendezvous::hash_parts(&[options.host.as_str()]);
        let seed = options.seed ^ crate::rendezvous::mix_bits(life ^ options.incarnation.0);
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            options,
            open: BTreeMap::new(),
            rows: BTreeMap::new(),
            waiting: VecDeque::new(),
            unsure: Vec::new(),
            calls: BTreeMap::new(),
            last_call: 0,
            pace: CommitPace::default(),
            sweep: SweepState::default(),
            counters: ClaimCounters::default(),
            verdicts: Vec::new(),
        }
    }

    /// Counters since the start.
    #[must_use]
    pub fn counters(&self) -> ClaimCounters {
        self.counters
    }

    /// Claims whose call or record is not finished: a planned stop waits for them.
    #[must_use]
    pub fn open_claims(&self) -> usize {
        self.open.len()
    }

    /// Handles one event.
    pub fn step(
        &mut self,
        now: CoreTime,
        event: ClaimEvent,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) -> Vec<ClaimVerdict> {
        match event {
            ClaimEvent::Started => self.start_sweep(now.monotonic, effects),
            ClaimEvent::Wanted(wish) => self.want(now, *wish, view, effects),
            ClaimEvent::TimerFired { number } => self.timer_fired(now, number, view, effects),
            ClaimEvent::Table { number, answer } => {
                self.table_answered(now, number, answer, view, effects);
            }
            ClaimEvent::Upstream(event) => self.upstream(now, &event, view, effects),
            ClaimEvent::AnswerKept { request, answer } => self.answer_kept(request, &answer),
            ClaimEvent::Closed { request } => self.close(now, request, view, effects),
        }
        std::mem::take(&mut self.verdicts)
    }

    /// Notes that a call is about to be dispatched, and says whether it may be. Called for each
    /// dispatch, whatever the call.
    #[must_use]
    pub fn may_dispatch(
        &mut self,
        request: RequestId,
        idempotent: bool,
        effects: &mut EffectQueue,
    ) -> bool {
        if idempotent {
            return true;
        }
        let claim = self.open.get_mut(&request);
        let held = claim.filter(|claim| claim.stage == ClaimStage::Held);
        let may = held.is_some();
        if let Some(claim) = held {
            claim.stage = ClaimStage::Dispatched;
        }
        invariant::check(effects, InvariantName::ClaimBeforeDispatch, may, || {
            format!("request={request} holds no claim")
        });
        may
    }

    fn want(
        &mut self,
        now: CoreTime,
        wish: ClaimWish,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        let request = wish.request.request;
        let key = ClaimKey::parse(
            &wish.key,
            &wish.request.team,
            wish.retention,
            now.wall,
            self.options.clock_skew,
        );
        let key = match key {
            Ok(key) => key,
            Err(refusal) => return effects.refuse(request, refusal),
        };
        let nonce = ClaimNonce(self.rng.random());
        let record = self.record_of(now, &wish, &key, nonce);
        if let Some(first) = self.rows.get(&key.row).and_then(|id| self.open.get(id)) {
            let first = first.record.clone();
            let repeat = RepeatedCall {
                request,
                ours: &record,
                first: &first,
            };
            return self.answer_repeat(now, &repeat, view, effects);
        }
        if self.waiting.len() >= self.options.max_waiting {
            let detail = "too many calls wait for their claims; nothing has run";
            let refusal = RequestRefusal::not_run(RefusalCode::Overloaded, detail);
            return effects.refuse(request, refusal.with_retry_after(Duration::from_secs(1)));
        }
        let claim = OpenClaim {
            request: wish.request,
            row: key.row.clone(),
            nonce,
            record,
            stage: ClaimStage::Wanted,
            revision: None,
            wanted_at: now.monotonic,
            answer: None,
            tries: 0,
        };
        self.rows.insert(key.row, request);
        self.open.insert(request, claim);
        self.enqueue(now.monotonic, request, WriteKind::Insert, view, effects);
    }

    fn record_of(
        &self,
        now: CoreTime,
        wish: &ClaimWish,
        key: &ClaimKey,
        nonce: ClaimNonce,
    ) -> ClaimRecord {
        let host = self.options.host.clone();
        let draft = ClaimRecord::draft(nonce, host, self.options.incarnation);
        let margin = self.options.sweep_margin;
        draft.of_call(
            wish.request.service.clone(),
            record::fingerprint_text(&wish.fingerprint),
            now.wall,
            key.expires_at.map(|at| at + margin),
        )
    }

    fn timer_fired(
        &mut self,
        now: CoreTime,
        number: u64,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        match number {
            n if n == BATCH_TIMER.number => self.flush(now.monotonic, view, effects),
            n if n == RETRY_TIMER.number => self.read_back(now, effects),
            _ => self.sweep_due(now, view, effects),
        }
    }

    /// Forgets a claim that needs nothing more.
    fn forget(&mut self, request: RequestId) {
        if let Some(claim) = self.open.remove(&request) {
            self.rows.remove(&claim.row);
        }
    }
}
