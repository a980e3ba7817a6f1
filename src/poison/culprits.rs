//! Which features of requests explain a series of crashes.
//!
//! A feature at fault crashes every replica that begins an answer to a request
//! with it, so it is among the suspects of each crash that it causes, and
//! explains more crashes than a feature that merely occurs beside it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{Fingerprint, Suspicion};

/// A crash, or several with one cause.
#[derive(Clone, Debug, Default)]
pub(super) struct Incident {
    /// The replicas that crashed.
    pub replicas: Vec<Arc<str>>,
    /// The features that may have caused it.
    pub suspects: BTreeSet<Fingerprint>,
}

/// Features that explain the same crashes. At least one of them is at fault.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Culprit {
    pub features: BTreeSet<Fingerprint>,
    /// The replicas of the crashes that they explain.
    pub replicas: Vec<Arc<str>>,
}

/// Returns the features that explain at least
/// [`Suspicion::QUARANTINE_THRESHOLD`] incidents that no other one explains.
///
/// Features of which each explains incidents that the other one does not
/// explain, and as many, are not told apart before a further incident.
pub(super) fn find_culprits(incidents: &[Incident]) -> Vec<Culprit> {
    let mut open: BTreeSet<usize> = (0..incidents.len()).collect();
    let mut culprits = Vec::new();
    loop {
        let explained = explained_by_feature(incidents, &open);
        let most = explained.values().map(BTreeSet::len).max().unwrap_or(0);
        if most < usize::from(Suspicion::QUARANTINE_THRESHOLD) {
            return culprits;
        }
        let leading = explained.into_iter().filter(|(_, e)| e.len() == most);
        let mut groups: BTreeMap<BTreeSet<usize>, BTreeSet<Fingerprint>> =
            BTreeMap::new();
        for (feature, explains) in leading {
            groups.entry(explains).or_default().insert(feature);
        }
        let is_alone = |explains: &BTreeSet<usize>| {
            let overlapping =
                groups.keys().filter(|other| !other.is_disjoint(explains));
            overlapping.count() == 1
        };
        let alone: Vec<_> =
            groups.iter().filter(|(e, _)| is_alone(e)).collect();
        if alone.is_empty() {
            return culprits;
        }
        for (explains, features) in alone {
            let crashed =
                explains.iter().flat_map(|i| &incidents[*i].replicas);
            let replicas = crashed.cloned().collect();
            culprits.push(Culprit { features: features.clone(), replicas });
            open.retain(|incident| !explains.contains(incident));
        }
    }
}

/// Returns the open incidents that each feature may have caused.
fn explained_by_feature(
    incidents: &[Incident],
    open: &BTreeSet<usize>,
) -> BTreeMap<Fingerprint, BTreeSet<usize>> {
    let mut explained: BTreeMap<_, BTreeSet<usize>> = BTreeMap::new();
    for index in open {
        for feature in &incidents[*index].suspects {
            explained.entry(*feature).or_default().insert(*index);
        }
    }
    explained
}
