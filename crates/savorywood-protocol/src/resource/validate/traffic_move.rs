//! Checks of moves.

use super::{ValidationError, lookup::ResourceLookup};
use crate::{
    WallTime,
    resource::{MoveState, ResourceDocument, ResourceSpec, TrafficMoveSpec},
};
use std::time::Duration;

/// Share of all traffic, in thousandths.
const WHOLE_PER_MILLE: u16 = 1_000;

pub(super) fn check(
    spec: &TrafficMoveSpec,
    lookup: &ResourceLookup<'_>,
    now: WallTime,
    faults: &mut Vec<ValidationError>,
) {
    lookup.check_service("spec.service", &spec.service, faults);
    let service = spec.service.as_str();
    lookup.check_version("spec.from", &spec.from, service, faults);
    if spec.from == spec.to {
        faults.push(ValidationError::new(
            "spec.to",
            format!("the move goes from `{}` to itself", spec.to),
            "name the version that gets the traffic",
        ));
    } else {
        lookup.check_version("spec.to", &spec.to, service, faults);
    }
    check_steps(spec, faults);
    let former = lookup.former();
    // A file that is applied again must be accepted even after the deadline that it names.
    let unchanged = former.is_some_and(|former| former.spec == ResourceSpec::Move(spec.clone()));
    if unchanged {
        return;
    }
    check_deadline(spec, now, faults);
    check_other_moves(spec, lookup, now, faults);
    if let Some(former) = former {
        check_edit(spec, former, faults);
    }
}

fn check_steps(spec: &TrafficMoveSpec, faults: &mut Vec<ValidationError>) {
    let mut reached = 0;
    for (index, step) in spec.steps.iter().enumerate() {
        let share = step.share_per_mille;
        if share <= reached || share > WHOLE_PER_MILLE {
            let least = (reached + 1).min(WHOLE_PER_MILLE);
            faults.push(ValidationError::new(
                format!("spec.steps.{index}.share_per_mille"),
                format!(
                    "{share} is out of range; allowed: {least} to {WHOLE_PER_MILLE}, each step \
                     larger than the one before"
                ),
                "correct the share, or leave `steps` out to have them planned",
            ));
        }
        reached = reached.max(share.min(WHOLE_PER_MILLE));
    }
}

fn check_deadline(spec: &TrafficMoveSpec, now: WallTime, faults: &mut Vec<ValidationError>) {
    let soak = Duration::from_secs(spec.soak_seconds.into());
    if spec.finish_by <= now {
        faults.push(ValidationError::new(
            "spec.finish_by",
            format!(
                "the deadline {} has passed; allowed: later than {now}",
                spec.finish_by
            ),
            "write a later time",
        ));
    } else if spec.finish_by <= now + soak {
        // Such a move could only ever be taken back.
        faults.push(ValidationError::new(
            "spec.finish_by",
            format!(
                "the deadline {} leaves no time besides the soak; allowed: later than {}",
                spec.finish_by,
                now + soak
            ),
            "write a later time, or a shorter `soak_seconds`",
        ));
    }
}

/// Two moves of one service at once would each blame the other's traffic for what they see.
fn check_other_moves(
    spec: &TrafficMoveSpec,
    lookup: &ResourceLookup<'_>,
    now: WallTime,
    faults: &mut Vec<ValidationError>,
) {
    let rival = lookup
        .moves()
        .find(|(document, other)| other.service == spec.service && is_live(document, other, now));
    if let Some((rival, other)) = rival {
        faults.push(ValidationError::new(
            "spec.service",
            format!(
                "move `{}` of service `{}` is under way until {}; one at a time is allowed",
                rival.name, spec.service, other.finish_by
            ),
            format!(
                "wait until it is over; deleting move `{}` takes it back",
                rival.name
            ),
        ));
    }
}

/// Whether a move may still shift traffic. Without a status, it is over when its deadline is.
fn is_live(document: &ResourceDocument, spec: &TrafficMoveSpec, now: WallTime) -> bool {
    match state_of(document) {
        Some(MoveState::Completed | MoveState::TakenBack) => false,
        Some(MoveState::Planned | MoveState::Moving | MoveState::Soaking) => true,
        None => spec.finish_by > now,
    }
}

fn state_of(document: &ResourceDocument) -> Option<MoveState> {
    document.status.as_ref()?.move_state
}

/// What may change of a move depends on how far it is: evidence gathered for one pair of
/// versions says nothing of another.
fn check_edit(
    spec: &TrafficMoveSpec,
    former: &ResourceDocument,
    faults: &mut Vec<ValidationError>,
) {
    let ResourceSpec::Move(old) = &former.spec else {
        return;
    };
    match state_of(former) {
        None | Some(MoveState::Planned) => {}
        Some(MoveState::Moving | MoveState::Soaking) => {
            let same = old.service == spec.service && old.from == spec.from && old.to == spec.to;
            if !same {
                faults.push(ValidationError::new(
                    "spec",
                    format!(
                        "the move from `{}` to `{}` has begun; its deadline, steps and soak may \
                         change, its service and versions may not",
                        old.from, old.to
                    ),
                    "delete this move to take it back, and create another",
                ));
            }
        }
        Some(state @ (MoveState::Completed | MoveState::TakenBack)) => {
            faults.push(ValidationError::new(
                "spec",
                format!("the move is over ({state}); nothing of it may change"),
                "create a move of another name",
            ));
        }
    }
}
