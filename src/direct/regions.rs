//! Where requests may be served.
//!
//! A route and a workspace may each name the regions in which their requests
//! may be served and kept. Where both do, both bind.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The regions in which a request may be served.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct AllowedRegions(Option<Arc<[Arc<str>]>>);

impl AllowedRegions {
    /// Returns the regions of a list; an empty list names no bound.
    pub fn new(regions: Vec<Arc<str>>) -> AllowedRegions {
        let bound = !regions.is_empty();
        AllowedRegions(bound.then(|| Arc::from(regions)))
    }

    /// Returns the regions that both allow; there may be none.
    #[must_use]
    pub fn intersection(&self, other: &AllowedRegions) -> AllowedRegions {
        let (own, theirs) = match (&self.0, &other.0) {
            (Some(own), Some(theirs)) => (own, theirs),
            (Some(_), None) => return self.clone(),
            (None, _) => return other.clone(),
        };
        let mut both = Vec::new();
        for region in own.iter() {
            if theirs.contains(region) {
                both.push(Arc::clone(region));
            }
        }
        AllowedRegions(Some(Arc::from(both)))
    }

    /// Returns whether a request may be served in a region; `None` is one
    /// that is not known.
    pub fn allows(&self, region: Option<&str>) -> bool {
        let Some(allowed) = &self.0 else { return true };
        region.is_some_and(|region| allowed.iter().any(|a| **a == *region))
    }

    /// Returns whether there is a bound at all.
    pub const fn is_restricted(&self) -> bool {
        self.0.is_some()
    }
}

/// The region of each data hall.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct HallRegions(BTreeMap<Arc<str>, Arc<str>>);

impl HallRegions {
    /// Returns the region of a hall, if it is known.
    pub fn region(&self, hall: &str) -> Option<&str> {
        self.0.get(hall).map(|region| &**region)
    }

    /// Returns how many halls there are, if they are known.
    pub fn hall_count(&self) -> Option<usize> {
        (!self.0.is_empty()).then_some(self.0.len())
    }
}

impl FromIterator<(Arc<str>, Arc<str>)> for HallRegions {
    fn from_iter<I: IntoIterator<Item = (Arc<str>, Arc<str>)>>(
        halls: I,
    ) -> HallRegions {
        HallRegions(halls.into_iter().collect())
    }
}
