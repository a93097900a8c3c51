//! Responses to repeats of a claimed call.

use super::{ClaimOutcome, ClaimRecord, ClaimState, ClaimView};
use crate::{
    effect::{DaemonEffect, EffectQueue},
    intake::MAX_DEADLINE,
};
use savorywood_protocol::{
    CoreTime, RefusalCode, RequestId, RequestRefusal, peer::membership::MemberState,
};
use std::time::Duration;

/// Retry-after delay for a repeat while the first call is running.
const RUNNING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call whose key was claimed by another attempt.
#[derive(Debug, Clone, Copy)]
pub struct RepeatedCall<'a> {
    /// The repeated call, which waits for a response.
    pub request: RequestId,
    /// Record that the repeat would have written.
    pub ours: &'a ClaimRecord,
    /// Record of the first call.
    pub first: &'a ClaimRecord,
}

impl ClaimState {
    /// Replays the recorded response, or refuses the repeat with the reason.
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
            let response = Box::new(answer.to_response());
            effects.push(DaemonEffect::Replay { request, response });
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

/// Whether the claim's holder can no longer complete it: the host is dead or has a newer
/// incarnation, or the maximum deadline has passed.
fn cannot_complete(now: CoreTime, first: &ClaimRecord, view: ClaimView<'_>) -> bool {
    let holder = view.members.members.get(&first.host);
    let holder_gone = holder.is_some_and(|holder| {
        let dead = holder.state == MemberState::Dead && holder.incarnation == first.incarnation;
        dead || holder.incarnation > first.incarnation
    });
    holder_gone || now.wall.since(first.claimed_at) > MAX_DEADLINE
}

/// Refuses a call that reuses the key of a different call; unlike the first call, it cannot have
/// run.
fn key_reused(first: &ClaimRecord) -> RequestRefusal {
    let detail = format!(
        "this key was used at {} for a different call (another service, path or body); this call \
         was not run, send it with its own key",
        first.claimed_at
    );
    RequestRefusal::not_run(RefusalCode::KeyUsed, detail)
}

fn still_running(first: &ClaimRecord) -> RequestRefusal {
    let detail = format!(
        "the first call with this key started at {} and is still running; retry with the same key",
        first.claimed_at
    );
    RequestRefusal::unknown(RefusalCode::KeyUsed, detail).with_retry_after(RUNNING_RETRY_AFTER)
}

fn holder_stopped(first: &ClaimRecord) -> RequestRefusal {
    let detail = format!(
        "the first call with this key started at {} on {}, which stopped before it recorded an \
         outcome. The call may have run and is never run again under this key: check with the \
         service",
        first.claimed_at, first.host
    );
    RequestRefusal::unknown(RefusalCode::KeyUsed, detail)
}

fn interrupted(first: &ClaimRecord) -> RequestRefusal {
    let detail = format!(
        "the first call with this key started at {} and was interrupted. It may have run and is \
         never run again under this key: check with the service",
        first.claimed_at
    );
    RequestRefusal::unknown(RefusalCode::KeyUsed, detail)
}
