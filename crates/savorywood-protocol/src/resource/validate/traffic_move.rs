//! Validation of traffic moves.

use super::{ValidationError, lookup::ResourceLookup};
use crate::{
    WallTime,
    resource::{MoveState, ResourceDocument, ResourceSpec, TrafficMoveSpec},
};
use std::time::Duration;

/// All traffic of a service, in thousandths.
const FULL_SHARE_PER_MILLE: u16 = 1_000;

pub(super) fn check(
    spec: &TrafficMoveSpec,
    lookup: &ResourceLookup<'_>,
    now: WallTime,
    errors: &mut Vec<ValidationError>,
) {
    lookup.check_service("spec.service", &spec.service, errors);
    let service = spec.service.as_str();
    lookup.check_version("spec.from", &spec.from, service, errors);
    if spec.from == spec.to {
        errors.push(ValidationError::new(
            "spec.to",
            format!("the move is from version `{}` to itself", spec.to),
            "write the version that gets the traffic",
        ));
    } else {
        lookup.check_version("spec.to", &spec.to, service, errors);
    }
    check_steps(spec, errors);
    let previous = lookup.previous();
    // Applying a file again must succeed, even when the deadline in it has passed.
    let unchanged =
        previous.is_some_and(|previous| previous.spec == ResourceSpec::Move(spec.clone()));
    if unchanged {
        return;
    }
    check_deadline(spec, now, errors);
    check_other_moves(spec, lookup, now, errors);
    if let Some(previous) = previous {
        check_edit(spec, previous, errors);
    }
}

fn check_steps(spec: &TrafficMoveSpec, errors: &mut Vec<ValidationError>) {
    let mut previous_share = 0;
    for (index, step) in spec.steps.iter().enumerate() {
        let share = step.share_per_mille;
        if share <= previous_share || share > FULL_SHARE_PER_MILLE {
            let min_share = (previous_share + 1).min(FULL_SHARE_PER_MILLE);
            errors.push(ValidationError::new(
                format!("spec.steps.{index}.share_per_mille"),
                format!(
                    "{share} is out of range; allowed: {min_share} to {FULL_SHARE_PER_MILLE}, \
                     each step larger than the one before"
                ),
                "correct the share, or omit `steps` to have them planned automatically",
            ));
        }
        previous_share = previous_share.max(share.min(FULL_SHARE_PER_MILLE));
    }
}

fn check_deadline(spec: &TrafficMoveSpec, now: WallTime, errors: &mut Vec<ValidationError>) {
    let soak = Duration::from_secs(spec.soak_seconds.into());
    if spec.finish_by <= now {
        errors.push(ValidationError::new(
            "spec.finish_by",
            format!(
                "the deadline {} has passed; allowed: later than {now}",
                spec.finish_by
            ),
            "write a later time",
        ));
    } else if spec.finish_by <= now + soak {
        // Such a move could never complete, only be rolled back.
        errors.push(ValidationError::new(
            "spec.finish_by",
            format!(
                "the deadline {} leaves no time before the soak; allowed: later than {}",
                spec.finish_by,
                now + soak
            ),
            "write a later time, or a shorter `soak_seconds`",
        ));
    }
}

/// Checks that no other move of the service is in progress: with two at once, failures couldn't be
/// attributed to either.
fn check_other_moves(
    spec: &TrafficMoveSpec,
    lookup: &ResourceLookup<'_>,
    now: WallTime,
    errors: &mut Vec<ValidationError>,
) {
    let active = lookup
        .moves()
        .find(|(document, other)| other.service == spec.service && is_active(document, other, now));
    if let Some((active, other)) = active {
        errors.push(ValidationError::new(
            "spec.service",
            format!(
                "move `{}` of service `{}` is in progress until {}; one at a time is allowed",
                active.name, spec.service, other.finish_by
            ),
            format!(
                "wait until it has ended; deleting move `{}` rolls it back",
                active.name
            ),
        ));
    }
}

/// Returns whether a move may still shift traffic. A move without a status ends at its deadline.
fn is_active(document: &ResourceDocument, spec: &TrafficMoveSpec, now: WallTime) -> bool {
    match state_of(document) {
        Some(MoveState::Completed | MoveState::TakenBack) => false,
        Some(MoveState::Planned | MoveState::Moving | MoveState::Soaking) => true,
        None => spec.finish_by > now,
    }
}

fn state_of(document: &ResourceDocument) -> Option<MoveState> {
    document.status.as_ref()?.move_state
}

/// Checks which parts of a move change. After the start, the versions are fixed: statistics of one
/// pair of versions don't apply to another. After the end, nothing may change.
fn check_edit(
    spec: &TrafficMoveSpec,
    previous: &ResourceDocument,
    errors: &mut Vec<ValidationError>,
) {
    let ResourceSpec::Move(old) = &previous.spec else {
        return;
    };
    match state_of(previous) {
        None | Some(MoveState::Planned) => {}
        Some(MoveState::Moving | MoveState::Soaking) => {
            let same = old.service == spec.service && old.from == spec.from && old.to == spec.to;
            if !same {
                errors.push(ValidationError::new(
                    "spec",
                    format!(
                        "the move from `{}` to `{}` has begun; its deadline, steps and soak may \
                         change, its service and versions may not",
                        old.from, old.to
                    ),
                    "delete this move to roll it back, and create another",
                ));
            }
        }
        Some(state @ (MoveState::Completed | MoveState::TakenBack)) => {
            errors.push(ValidationError::new(
                "spec",
                format!("the move has ended ({state}) and can't be changed"),
                "create a move with another name",
            ));
        }
    }
}
