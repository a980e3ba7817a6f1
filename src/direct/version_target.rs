//! The versions named of each model, and since when older ones are outdated.

use std::collections::HashMap;
use std::sync::Arc;

use crate::Time;

/// A version that all replicas of a model are to serve.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionTarget {
    /// The model's name.
    pub model: Arc<str>,
    /// The version of its weights.
    pub version: u64,
}

#[derive(Clone, Copy, Debug)]
struct TargetedVersion {
    version: u64,
    since: Time,
    /// Whether `since` is only estimated.
    estimated: bool,
}

/// The newest versions that a process has learned of. A version never goes
/// back, whoever tells an older one.
#[derive(Clone, Debug, Default)]
pub struct VersionTargets {
    /// Of each model, in the order in which they were named.
    named: HashMap<Arc<str>, Vec<TargetedVersion>>,
}

impl VersionTargets {
    /// The most versions of a model that are remembered; the older ones were
    /// outdated long ago.
    const MAX_VERSIONS: usize = 16;

    /// Takes note of a version named at `since`; returns whether it is news.
    pub fn record(&mut self, target: &VersionTarget, since: Time) -> bool {
        self.add(target, since, false)
    }

    /// Takes note of a version of which it is only estimated that it was named
    /// at `since`; returns whether it is news.
    pub fn record_estimate(
        &mut self,
        target: &VersionTarget,
        since: Time,
    ) -> bool {
        self.add(target, since, true)
    }

    /// Takes over from a process that was there when a version was named.
    /// Returns whether that changes anything.
    pub fn replace_estimate(
        &mut self,
        target: &VersionTarget,
        since: Time,
    ) -> bool {
        let Some(named) = self.named.get_mut(&target.model) else {
            return false;
        };
        let found = named.iter_mut().find(|n| n.version == target.version);
        let Some(found) = found.filter(|n| n.estimated) else { return false };
        found.since = since;
        found.estimated = false;
        true
    }

    /// Returns whether the age of any version is only estimated.
    pub fn has_estimates(&self) -> bool {
        self.named.values().flatten().any(|n| n.estimated)
    }

    /// Returns all versions named, with when where that is known.
    pub fn all(&self) -> impl Iterator<Item = (&Arc<str>, u64, Option<Time>)> {
        self.named.iter().flat_map(|(model, named)| {
            named.iter().map(move |n| {
                (model, n.version, (!n.estimated).then_some(n.since))
            })
        })
    }

    fn add(
        &mut self,
        target: &VersionTarget,
        since: Time,
        estimated: bool,
    ) -> bool {
        let named = self.named.entry(Arc::clone(&target.model)).or_default();
        if named.last().is_some_and(|n| n.version >= target.version) {
            return false;
        }
        if named.len() >= VersionTargets::MAX_VERSIONS {
            named.remove(0);
        }
        named.push(TargetedVersion {
            version: target.version,
            since,
            estimated,
        });
        true
    }

    /// Returns the newest version named of a model.
    pub fn version(&self, model: &str) -> Option<u64> {
        self.named.get(model)?.last().map(|n| n.version)
    }

    /// Returns when the newest version of a model was named.
    pub fn since(&self, model: &str) -> Option<Time> {
        self.named.get(model)?.last().map(|n| n.since)
    }

    /// Returns when a version of a model was named.
    pub fn targeted_at(&self, model: &str, version: u64) -> Option<Time> {
        let named = self.named.get(model)?;
        let found = named.iter().find(|n| n.version == version);
        found.map(|n| n.since)
    }

    /// Returns since when a version has been outdated: when the first newer
    /// one was named. One that is named later gives it no more time.
    pub fn outdated_since(&self, model: &str, version: u64) -> Option<Time> {
        let named = self.named.get(model)?;
        let newer = named.iter().find(|n| n.version > version);
        newer.map(|n| n.since)
    }
}
