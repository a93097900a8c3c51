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
    pub(super) fn respond_to_repeat(
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
            let answer = Box::new(answer.to_response());
            effects.push(DaemonEffect::Replay { request, answer });
            return;
        }
        self.counters.repeats += 1;
        let refusal = match &first.outcome {
            _ if !same_call => key_reused(first),
            ClaimOutcome::Running if cannot_complete(now, first, view) => holder_stopped(first),
            ClaimOutcome::Running => still_running(first),
            ClaimOutcome::Unknown | ClaimOutcome::Answered(_) => interrupted(first),
        };
        effects.refuse(request, refusal);
    }
}

/// Whether the daemon that holds a claim can't end it any more: it is gone, it has begun a new
/// life, or the longest deadline has passed.
fn cannot_complete(now: CoreTime, first: &ClaimRecord, view: ClaimView<'_>) -> bool {
    let holder = view.members.members.get(&first.host);
    let holder_gone = holder.is_some_and(|holder| {
        let dead = holder.state == MemberState::Dead && holder.incarnation == first.incarnation;
        dead || holder.incarnation > first.incarnation
    });
    holder_gone || now.wall.since(first.claimed_at) > MAX_DEADLINE
}

/// This call, unlike the first, can't have run: it is another one.
fn key_reused(first: &ClaimRecord) -> RequestRefusal {
    let detail = format!(
        "this key was used at {} for another call (another service, path or body); nothing has \
         run, send this call with a key of its own",
        first.claimed_at
    );
    RequestRefusal::not_run(RefusalCode::KeyUsed, detail)
}

fn still_running(first: &ClaimRecord) -> RequestRefusal {
    let detail = format!(
        "the first call with this key began at {} and has not ended; ask again with the same key",
        first.claimed_at
    );
    RequestRefusal::unknown(RefusalCode::KeyUsed, detail).with_retry_after(RUNNING_RETRY_AFTER)
}

fn holder_stopped(first: &ClaimRecord) -> RequestRefusal {
    let detail = format!(
        "the first call with this key began at {} on {}, which stopped before it recorded how \
         the call ended. It may have run and is never run again under this key: check with the \
         service itself",
        first.claimed_at, first.host
    );
    RequestRefusal::unknown(RefusalCode::KeyUsed, detail)
}

fn interrupted(first: &ClaimRecord) -> RequestRefusal {
    let detail = format!(
        "the first call with this key began at {} and broke off. It may have run and is never \
         run again under this key: check with the service itself",
        first.claimed_at
    );
    RequestRefusal::unknown(RefusalCode::KeyUsed, detail)
}
