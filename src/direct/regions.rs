//! Restrictions on the regions in which requests may be served.
//!
//! A route and a workspace may each list the regions in which their requests
//! may be served and stored. If both do, a region must be in both lists.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The regions in which a request may be served.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct AllowedRegions(Option<Arc<[Arc<str>]>>);

impl AllowedRegions {
    /// Returns the regions of a list. An empty list allows all regions.
    pub fn new(regions: Vec<Arc<str>>) -> AllowedRegions {
        let restricted = !regions.is_empty();
        AllowedRegions(restricted.then(|| Arc::from(regions)))
    }

    /// Returns the regions that both allow, which may be none.
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

    /// Returns whether a request may be served in a region. `None` stands for
    /// an unknown region, which only an unrestricted request may be served in.
    pub fn allows(&self, region: Option<&str>) -> bool {
        let Some(allowed) = &self.0 else { return true };
        region.is_some_and(|region| allowed.iter().any(|a| **a == *region))
    }

    /// Returns whether only listed regions are allowed.
    pub const fn is_restricted(&self) -> bool {
        self.0.is_some()
    }
}

/// The region of each data hall.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct HallRegions(BTreeMap<Arc<str>, Arc<str>>);

impl HallRegions {
    /// Returns the region of a hall, or `None` if it is unknown.
    pub fn region(&self, hall: &str) -> Option<&str> {
        self.0.get(hall).map(|region| &**region)
    }

    /// Returns the number of halls, or `None` if they are unknown.
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
