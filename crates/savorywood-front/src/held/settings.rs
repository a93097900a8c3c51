//! Check of the setting that defines the memory budget.

use crate::settings::OverloadSettings;
use savorywood_settings::{
    MemberFault, MemberPath,
    node::{SourceNode, SpannedFault},
};

/// Maximum of `held_memory_share`: the rest is needed for tables, connections and the process itself.
const MAX_SHARE: f64 = 0.9;
const SHARE_PATH: &str = "overload.held_memory_share";

/// Returns the fault of `held_memory_share`, if it is out of range.
pub fn check_share(node: &SourceNode, overload: &OverloadSettings) -> Option<SpannedFault> {
    let share = overload.held_memory_share;
    if share > 0.0 && share <= MAX_SHARE {
        return None;
    }
    let found = node.find(&MemberPath::parse(SHARE_PATH), false);
    let fault = MemberFault {
        path: SHARE_PATH.to_owned(),
        message: format!("the share of the memory for held bytes is {share}"),
        allowed: format!("above 0, at most {MAX_SHARE}"),
        remedy: "choose a share in this range, or remove the member for 0.5".to_owned(),
    };
    Some(SpannedFault {
        span: found.span,
        fault,
    })
}

#[cfg(test)]
mod tests;
