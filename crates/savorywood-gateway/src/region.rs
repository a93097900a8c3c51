//! Regions of availability zones, for the home regions of routes and teams.

use crate::label::{RegionLabel, ZoneLabel};
use std::collections::BTreeMap;

/// Maps each availability zone to its region.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RegionMap {
    regions: BTreeMap<ZoneLabel, RegionLabel>,
}

impl RegionMap {
    /// Creates a map from the given zones.
    #[must_use]
    pub fn new(regions: BTreeMap<ZoneLabel, RegionLabel>) -> Self {
        Self { regions }
    }

    /// Returns the region of a zone; `None` for a zone that is not in the map.
    #[must_use]
    pub fn region(&self, zone: &str) -> Option<&RegionLabel> {
        self.regions.get(zone)
    }

    /// Returns true if a zone lies in one of the home regions. An empty list includes every zone;
    /// otherwise a zone without a known region is excluded.
    #[must_use]
    pub fn is_home(&self, zone: &str, homes: &[RegionLabel]) -> bool {
        homes.is_empty()
            || self
                .region(zone)
                .is_some_and(|region| homes.contains(region))
    }
}

/// Location of a caller that queries the directory for addresses.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallerLocation<'a> {
    /// Zone that the caller states; `None` if it states none.
    pub zone: Option<&'a str>,
    /// Region that the caller states; `None` if it states none.
    pub region: Option<&'a str>,
    /// Host that the caller intends to call; `None` if it states none.
    pub host: Option<&'a str>,
}

impl<'a> CallerLocation<'a> {
    /// Creates a location that consists of a zone only.
    #[must_use]
    pub fn in_zone(zone: &'a str) -> Self {
        Self {
            zone: Some(zone),
            ..Self::default()
        }
    }
}
