//! What a repeat of a claimed call is told.

use super::{ClaimOutcome, ClaimRecord, ClaimState, ClaimView};
use crate::{
    effect::{DaemonEffect, EffectQueue},
    intake::MAX_DEADLINE,
};
use savorywood_protocol::{
    CoreTime, RefusalCode, RequestId, RequestRefusal, peer::membership::MemberState,
};
use std::time::Duration;

/// When a caller should ask again while its first call runs.
const RUNNING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call whose key was claimed by another attempt.
#[derive(Debug, Clone, Copy)]
pub struct RepeatedCall<'a> {
    /// The call that waits for an answer.
    pub request: RequestId,
    /// Record that it would have written.
    pub ours: &'a ClaimRecord,
    /// Record of the first call.
    pub first: &'a ClaimRecord,
}

impl ClaimState {
    /// Answers a call whose key was claimed by another attempt.
    pub(super) fn answer_repeat(
        &mut self,
        now: CoreTime,
        repeat: &RepeatedCall<'_>,
        view: ClaimView<'_>,
        effects: &mut EffectQueue,
    ) {
        let RepeatedCall {
            request,
            ours,
            first,
        } = *repeat;
        let same_call = ours.service == first.service && ours.fingerprint == first.fingerprint;
        if same_call && let ClaimOutcome::Answered(answer) = &first.outcome {
            self.counters.replays += 1;
            let response = Box::new(answer.to_kept());
            effects.push(DaemonEffect::Replay { request, response });
            return;
        }
        self.counters.repeats += 1;
        let refusal = match &first.outcome {
            _ if !same_call => other_call(first),
            ClaimOutcome::Running if has_ended(now, first, view) => died(first),
            ClaimOutcome::Running => running(first),
            ClaimOutcome::Unknown | ClaimOutcome::Answered(_) => broken(first),
        };
        effects.refuse(request, refusal);
    }
}

/// Whether the daemon that holds a claim can't end it any more: it is gone, it has begun a new
/// life, or the longest deadline has passed.
fn has_ended(now: CoreTime, first: &ClaimRecord, view: ClaimView<'_>) -> bool {
    let holder = view.members.members.get(&first.host);
    let gone = holder.is_some_and(|holder| {
        let dead = holder.state == MemberState::Dead && holder.incarnation == first.incarnation;
        dead || holder.incarnation > first.incarnation
    });
    gone || now.wall.since(first.claimed_at) > MAX_DEADLINE
}

/// This call, unlike the first, can't have run: it is another one.
fn other_call(first: &ClaimRecord) -> RequestRefusal {
    let detail = format!(
        "this key was used at {} for another call (another service, path or body); nothing has \
         run, send this call with a key of its own",
        first.claimed_at
    );
    RequestRefusal::not_run(RefusalCode::KeyUsed, detail)
}

fn running(first: &ClaimRecord) -> RequestRefusal {
    let detail = format!(
        "the first call with this key began at {} and has not ended; ask again with the same key",
        first.claimed_at
    );
    RequestRefusal::unknown(RefusalCode::KeyUsed, detail).with_retry_after(RUNNING_RETRY_AFTER)
}

fn died(first: &ClaimRecord) -> RequestRefusal {
    let detail = format!(
        "the first call with this key began at {} on {}, which stopped before it recorded how \
         the call ended. It may have run and is never run again under this key: check with the \
         service itself",
        first.claimed_at, first.host
    );
    RequestRefusal::unknown(RefusalCode::KeyUsed, detail)
}

fn broken(first: &ClaimRecord) -> RequestRefusal {
    let detail = format!(
        "the first call with this key began at {} and broke off. It may have run and is never \
         run again under this key: check with the service itself",
        first.claimed_at
    );
    RequestRefusal::unknown(RefusalCode::KeyUsed, detail)
}
