//! Load of the new version's upstreams, compared with that of the old version's.

use super::ConfiguredMove;
use crate::view::{ConfigView, VersionSplit};
use savorywood_protocol::{ServiceName, VersionName};
use std::collections::BTreeMap;

/// Requests that an upstream of the new version gets, compared with one of the old version.
/// Upstreams take longer under more load, so a version whose upstreams get more requests looks
/// slower than it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelativeLoad {
    /// At most as many.
    AtMostEqual,
    /// More.
    Higher,
}

impl RelativeLoad {
    /// Compares the load when the new version gets `new_per_mille` thousandths of the traffic and
    /// each version divides its part among its upstreams. A version without any counts as having
    /// one.
    #[must_use]
    pub fn new(new_per_mille: u16, old_upstreams: usize, new_upstreams: usize) -> Self {
        let new_share = usize::from(new_per_mille);
        let old_share = 1_000_usize.saturating_sub(new_share);
        if new_share * old_upstreams.max(1) > old_share * new_upstreams.max(1) {
            Self::Higher
        } else {
            Self::AtMostEqual
        }
    }
}

/// Compares the load at the share that is in force at this daemon. Looks at all upstreams of the
/// service.
pub(super) fn relative_load(
    splits: &BTreeMap<ServiceName, VersionSplit>,
    configured: ConfiguredMove<'_>,
    config: &ConfigView,
) -> RelativeLoad {
    let spec = configured.spec;
    let split = splits.get(&spec.service);
    RelativeLoad::new(
        split.map_or(0, |split| split.new_per_mille),
        count_upstreams(configured, &spec.from, config),
        count_upstreams(configured, &spec.to, config),
    )
}

/// Counts the upstreams that serve a version and are not draining.
pub(super) fn count_upstreams(
    configured: ConfiguredMove<'_>,
    version: &VersionName,
    config: &ConfigView,
) -> usize {
    let names = config.upstreams_of(&configured.spec.service);
    let specs = names.filter_map(|name| config.upstreams.get(name));
    let serving = specs.filter(|spec| spec.version == *version && !spec.draining);
    serving.count()
}
