//! Claims: at-most-once execution of calls that are not idempotent.
//!
//! Before such a call is dispatched, a row keyed by its team and idempotency key is inserted, on
//! condition that no such row exists, with a nonce unique to this attempt. A daemon that finds
//! another attempt's row does not run the call. A claim is never taken over, and it is never
//! released once a byte of the call may have been sent: if the daemon fails, the row shows that the
//! outcome is unknown. `docs/design/claims.md` explains the design and the alternatives.

mod batch;
mod key;
mod options;
mod outcome;
mod record;
mod repeat;
mod sweep;
mod table_results;

pub use key::{CLAIM_PREFIX, ClaimKey};
pub use options::ClaimOptions;
pub use record::{ClaimNonce, ClaimOutcome, ClaimRecord, RecordedResponse};

use crate::{
    effect::EffectQueue,
    event::{DutyKind, TimerKey, UpstreamEvent},
    invariant::{self, InvariantName},
    request::{QueuedRequest, StoredResponse},
    view::MemberView,
};
use batch::{BatchItem, CommitPacer, RowOperation};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use repeat::RepeatedCall;
use savorywood_protocol::{
    CoreTime, MonotonicTime, RefusalCode, RequestId, RequestRefusal,
    resource::ClaimRetention,
    table::{CommitRevision, RowKey, TableResponse},
};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use sweep::SweepState;

/// Fires when the queued rows are due to be committed.
const BATCH_TIMER: TimerKey = TimerKey {
    duty: DutyKind::Claims,
    number: 0,
};

/// Fires when rows in doubt are read back and calls that exceeded their wait timeout are refused.
const RETRY_TIMER: TimerKey = TimerKey {
    duty: DutyKind::Claims,
    number: 1,
};

/// Fires when the table is scanned for expired claims.
const SWEEP_TIMER: TimerKey = TimerKey {
    duty: DutyKind::Claims,
    number: 2,
};

/// A call that must hold a claim before it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Request as it goes to the scheduler once the claim is held.
    pub request: QueuedRequest,
    /// Value of the `Idempotency-Key` header, as sent by the caller.
    pub key: String,
    /// SHA-256 over method, path and body; distinguishes a repeat from another call with the same
    /// key.
    pub fingerprint: [u8; 32],
    /// How long the service retains its claims, from its configuration.
    pub retention: ClaimRetention,
}

/// Input events of the claim duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// The daemon starts.
    Started,
    /// A non-idempotent call arrived.
    Requested(Box<ClaimRequest>),
    /// One of the timers of this duty fired.
    TimerFired {
        /// Timer number, as in its `TimerKey`.
        number: u64,
    },
    /// The table responded to one of this duty's calls.
    Table {
        /// Number of the table call.
        number: u64,
        /// Response of the table.
        answer: TableResponse,
    },
    /// An upstream event for a claimed call; delivered before the scheduler handles it.
    Upstream(UpstreamEvent),
    /// The complete response of a claimed call was received.
    ResponseReceived {
        /// Call that the response belongs to.
        request: RequestId,
        /// The response.
        answer: Box<StoredResponse>,
    },
    /// The scheduler dropped the call without a response: it was refused, or its caller
    /// disconnected.
    Closed {
        /// Call that was dropped.
        request: RequestId,
    },
}

/// Decisions of the claim duty for other duties. Refusals and replays are emitted as effects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claim is held and the call goes to the scheduler.
    Granted(Box<QueuedRequest>),
}

/// Progress of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimStage {
    /// The insert of the row is not confirmed yet; the call waits.
    Pending,
    /// The row is ours and no byte of the call has been sent.
    Held,
    /// The row is ours and the call may have reached an upstream.
    Dispatched,
    /// The call ended; its outcome is being recorded.
    Recording,
    /// The call was refused as not run; its row, if there is one, is being deleted.
    Releasing,
}

/// A claim in progress on this daemon.
#[derive(Debug)]
struct OpenClaim {
    request: QueuedRequest,
    row: RowKey,
    nonce: ClaimNonce,
    record: ClaimRecord,
    stage: ClaimStage,
    /// Revision of our row, once the insert is confirmed.
    revision: Option<CommitRevision>,
    requested_at: MonotonicTime,
    response: Option<RecordedResponse>,
    attempts: u32,
}

/// Counters exported as metrics, since the daemon started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClaimCounters {
    /// Table commits sent.
    pub commits: u64,
    /// Rows in those commits.
    pub rows: u64,
    /// Calls refused because the store did not respond.
    pub store_refusals: u64,
    /// Repeated calls that received the recorded response.
    pub replays: u64,
    /// Repeated calls that were refused.
    pub repeats: u64,
    /// Outcomes that could not be recorded within the maximum number of attempts.
    pub unrecorded_outcomes: u64,
    /// Expired claims deleted by the sweep.
    pub swept: u64,
}

/// State of the claim duty.
#[derive(Debug)]
pub struct ClaimState {
    options: ClaimOptions,
    rng: ChaCha8Rng,
    open: BTreeMap<RequestId, OpenClaim>,
    rows: BTreeMap<RowKey, RequestId>,
    queued: VecDeque<BatchItem>,
    in_doubt: Vec<BatchItem>,
    calls: BTreeMap<u64, TableTask>,
    last_call: u64,
    pacer: CommitPacer,
    sweep: SweepState,
    counters: ClaimCounters,
    decisions: Vec<ClaimDecision>,
}

/// Purpose of a table call in progress.
#[derive(Debug)]
enum TableTask {
    Commit(Vec<BatchItem>),
    ReadBack(Vec<BatchItem>),
    SweepScan,
    SweepDelete { rows: u64 },
}

/// State of other duties that the claim duty reads in a step.
#[derive(Debug, Clone, Copy)]
pub struct ClaimView<'a> {
    /// Cluster members. They share the commit budget, and a claim whose holder is dead never
    /// completes.
    pub members: &'a MemberView,
}

impl ClaimState {
    /// Creates the state of a daemon without claims.
    #[must_use]
    pub fn new(options: ClaimOptions) -> Self {
        // The nonce decides which attempt runs a call, so two incarnations must never generate the
        // same nonces, even if both are configured with the same seed.
        let incarnation_hash = crate::rendezvous::hash_parts(&[options.host.as_str()]);
        let seed =
            options.seed ^ crate::rendezvous::mix_bits(incarnation_hash ^ options.incarnation.0);
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            options,
            open: BTreeMap::new(),
            rows: BTreeMap::new(),
            queued: VecDeque::new(),
            in_doubt: Vec::new(),
            calls: BTreeMap::new(),
            last_call: 0,
            pacer: CommitPacer::default(),
            sweep: SweepState::default(),
            counters: ClaimCounters::default(),
            decisions: Vec::new(),
        }
    }

    /// Counters since the daemon started.
    #[must_use]
    pub fn counters(&self) -> ClaimCounters {
        self.counters
    }

    /// Number of claims whose call or outcome record is not complete. A planned stop waits for
    /// them.
    #[must_use]
    pub fn open_claims(&self) -> usize {
        self.open.len()
    }

    /// Handles one event and returns the resulting decisions.
    pub fn step(
        &mut self,
        now: CoreTime,
        event: ClaimEvent,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) -> Vec<ClaimDecision> {
        match event {
            ClaimEvent::Started => self.start_sweep(now.monotonic, effects),
            ClaimEvent::Requested(requested) => self.request_claim(now, *requested, view, effects),
            ClaimEvent::TimerFired { number } => self.timer_fired(now, number, view, effects),
            ClaimEvent::Table { number, answer } => {
                self.table_responded(now, number, answer, view, effects);
            }
            ClaimEvent::Upstream(event) => self.upstream(now, &event, view, effects),
            ClaimEvent::ResponseReceived { request, answer } => self.add_response(request, &answer),
            ClaimEvent::Closed { request } => self.close(now, request, view, effects),
        }
        std::mem::take(&mut self.decisions)
    }

    /// Marks a call as dispatched and returns whether the dispatch is permitted. Called before
    /// every dispatch; idempotent calls are always permitted.
    #[must_use]
    pub fn authorize_dispatch(
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

    fn request_claim(
        &mut self,
        now: CoreTime,
        requested: ClaimRequest,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        let request = requested.request.request;
        let key = ClaimKey::parse(
            &requested.key,
            &requested.request.team,
            requested.retention,
            now.wall,
            self.options.clock_skew,
        );
        let key = match key {
            Ok(key) => key,
            Err(refusal) => return effects.refuse(request, refusal),
        };
        let nonce = ClaimNonce(self.rng.random());
        let record = self.new_record(now, &requested, &key, nonce);
        if let Some(first) = self.rows.get(&key.row).and_then(|id| self.open.get(id)) {
            let first = first.record.clone();
            let repeat = RepeatedCall {
                request,
                ours: &record,
                first: &first,
            };
            return self.respond_to_repeat(now, &repeat, view, effects);
        }
        if self.queued.len() >= self.options.max_queued {
            let detail = "too many calls are waiting for their claims; this call was not run";
            let refusal = RequestRefusal::not_run(RefusalCode::Overloaded, detail);
            return effects.refuse(request, refusal.with_retry_after(Duration::from_secs(1)));
        }
        let claim = OpenClaim {
            request: requested.request,
            row: key.row.clone(),
            nonce,
            record,
            stage: ClaimStage::Pending,
            revision: None,
            requested_at: now.monotonic,
            response: None,
            attempts: 0,
        };
        self.rows.insert(key.row, request);
        self.open.insert(request, claim);
        self.enqueue(now.monotonic, request, RowOperation::Insert, view, effects);
    }

    fn new_record(
        &self,
        now: CoreTime,
        requested: &ClaimRequest,
        key: &ClaimKey,
        nonce: ClaimNonce,
    ) -> ClaimRecord {
        let host = self.options.host.clone();
        let owner = ClaimRecord::owned_by(nonce, host, self.options.incarnation);
        let margin = self.options.sweep_margin;
        owner.into_record(
            requested.request.service.clone(),
            record::hex_digest(&requested.fingerprint),
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

    /// Removes a claim that needs no further work.
    fn remove_claim(&mut self, request: RequestId) {
        if let Some(claim) = self.open.remove(&request) {
            self.rows.remove(&claim.row);
        }
    }
}
