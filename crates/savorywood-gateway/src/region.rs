//! Regions, and the home regions that routes and teams are bound to.

use crate::label::{RegionLabel, ZoneLabel};
use std::collections::BTreeMap;

/// Region of each availability zone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RegionMap {
    regions: BTreeMap<ZoneLabel, RegionLabel>,
}

impl RegionMap {
    /// A map of these zones.
    #[must_use]
    pub fn new(regions: BTreeMap<ZoneLabel, RegionLabel>) -> Self {
        Self { regions }
    }

    /// Region of a zone, where it is known.
    #[must_use]
    pub fn region(&self, zone: &str) -> Option<&RegionLabel> {
        self.regions.get(zone)
    }

    /// A zone lies in one of the home regions. Without homes every zone does; with some, a zone of
    /// an unknown region does not.
    #[must_use]
    pub fn is_home(&self, zone: &str, homes: &[RegionLabel]) -> bool {
        homes.is_empty()
            || self
                .region(zone)
                .is_some_and(|region| homes.contains(region))
    }
}

/// Who asks the directory for addresses.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallerLocation<'a> {
    /// Zone of the caller, where it says one.
    pub zone: Option<&'a str>,
    /// Its region.
    pub region: Option<&'a str>,
    /// Host that it wants to call.
    pub host: Option<&'a str>,
}

impl<'a> CallerLocation<'a> {
    /// A caller that says nothing but its zone.
    #[must_use]
    pub fn in_zone(zone: &'a str) -> Self {
        Self {
            zone: Some(zone),
            ..Self::default()
        }
    }
}
