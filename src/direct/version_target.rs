//! The target versions of each model, and when older versions became
//! outdated.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::Time;

/// The version that all replicas of a model should serve.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionTarget {
    /// The model's name.
    pub model: Arc<str>,
    /// The version of its weights.
    pub version: u64,
}

/// What a process has heard about a target version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeardVersion {
    /// When it was set.
    pub since: Time,
    /// Whether `since` is an estimate, which is no later than the real time.
    pub estimated: bool,
    /// A version with none between it and this one, 0 if this is the first;
    /// `None` if it is unknown.
    pub previous: Option<u64>,
    /// The earliest time at which a version may have been set that is older
    /// than this one, newer than the known ones before, and was never heard
    /// of.
    pub unheard: Time,
}

/// What a process has learned from hearing of a target version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Learned {
    /// Whether it is the first time that the process hears of it.
    pub added: bool,
    /// Whether the time at which it was set has been corrected.
    pub dated: bool,
    /// Whether the version before it has become known.
    pub linked: bool,
}

impl Learned {
    /// Returns whether anything was learned.
    pub const fn is_any(self) -> bool {
        self.added || self.dated || self.linked
    }
}

#[derive(Clone, Copy, Debug)]
struct TargetedVersion {
    version: u64,
    heard: HeardVersion,
}

impl TargetedVersion {
    fn merge(&mut self, told: &HeardVersion) -> Learned {
        let mut learned = Learned::default();
        let heard = &mut self.heard;
        // What an observer tells is late by the time that it takes to arrive.
        let earlier = heard.estimated || told.since < heard.since;
        if !told.estimated && earlier {
            heard.since = told.since;
            heard.estimated = false;
            learned.dated = true;
        }
        if heard.previous.is_none() && told.previous.is_some() {
            heard.previous = told.previous;
            learned.linked = true;
        }
        learned
    }

    /// Returns whether versions may be missing between this one and `before`,
    /// the known version before it.
    fn has_gap(&self, before: u64) -> bool {
        let consecutive = self.version <= before + 1;
        !consecutive && self.heard.previous.is_none_or(|p| p > before)
    }
}

/// The target versions known to a process. The newest one never decreases,
/// whichever process reports an older one.
///
/// The platform holds the newest version only, so a process may never hear of
/// a version that was set while it was out of touch. What was set between two
/// known versions is in doubt until a process that has read all versions tells
/// that there is none.
#[derive(Clone, Debug, Default)]
pub struct VersionTargets {
    /// The versions of each model, in ascending order.
    versions: HashMap<Arc<str>, Vec<TargetedVersion>>,
}

impl VersionTargets {
    /// The maximum number of versions kept per model. Older ones were
    /// outdated long ago.
    const MAX_VERSIONS: usize = 16;

    /// Records a target that was set at `since`, before which all others are
    /// known. Returns whether it is newer than the known ones.
    pub fn record(&mut self, target: &VersionTarget, since: Time) -> bool {
        let newest = self.version(&target.model);
        let (estimated, previous, unheard) = (false, None, since);
        let heard = HeardVersion { since, estimated, previous, unheard };
        self.learn(target, &heard);
        newest.is_none_or(|newest| newest < target.version)
    }

    /// Returns whether anything is learned from hearing of a target.
    pub fn lacks(&self, target: &VersionTarget, told: &HeardVersion) -> bool {
        let Some(versions) = self.versions.get(&target.model) else {
            return true;
        };
        let found =
            versions.binary_search_by_key(&target.version, |v| v.version);
        match found {
            Ok(known) => {
                let mut merged = versions[known];
                merged.merge(told).is_any()
            }
            Err(index) => {
                index > 0 || versions.len() < VersionTargets::MAX_VERSIONS
            }
        }
    }

    /// Records what a process has heard about a target, in addition to what
    /// is known. `unheard` counts only for a target newer than the known ones.
    pub fn learn(
        &mut self,
        target: &VersionTarget,
        told: &HeardVersion,
    ) -> Learned {
        let versions =
            self.versions.entry(Arc::clone(&target.model)).or_default();
        let found =
            versions.binary_search_by_key(&target.version, |v| v.version);
        let mut index = match found {
            Ok(known) => return versions[known].merge(told),
            Err(index) => index,
        };
        if versions.len() >= VersionTargets::MAX_VERSIONS {
            if index == 0 {
                return Learned::default();
            }
            remove_oldest(versions);
            index -= 1;
        }
        let mut heard = *told;
        if let Some(next) = versions.get(index) {
            heard.unheard = next.heard.unheard;
            if heard.estimated {
                heard.since = heard.unheard.min(next.heard.since);
            }
        }
        let version = target.version;
        versions.insert(index, TargetedVersion { version, heard });
        Learned { added: true, ..Learned::default() }
    }

    /// Returns whether any of the times is an estimate.
    pub fn has_estimates(&self) -> bool {
        self.versions.values().flatten().any(|v| v.heard.estimated)
    }

    /// Returns whether there may be versions between the known ones.
    pub fn has_gaps(&self) -> bool {
        self.versions.values().any(|versions| {
            // What came before the first of many was outdated long ago.
            let full = versions.len() >= VersionTargets::MAX_VERSIONS;
            let known = versions.iter().map(|v| v.version);
            let before = std::iter::once(0).chain(known);
            let pairs = versions.iter().zip(before);
            pairs.skip(usize::from(full)).any(|(v, b)| v.has_gap(b))
        })
    }

    /// Returns whether there may be versions between a target and the known
    /// one before it.
    pub fn has_gap(&self, model: &str, version: u64) -> bool {
        let before = self.before(model, version);
        let versions = self.versions.get(model).into_iter().flatten();
        let mut found = versions.filter(|v| v.version == version);
        found.any(|v| v.has_gap(before))
    }

    /// Returns whether another process may know more of when versions became
    /// outdated.
    pub fn is_uncertain(&self) -> bool {
        self.has_estimates() || self.has_gaps()
    }

    /// Returns all targets, each with what was heard about it.
    pub fn all(
        &self,
    ) -> impl Iterator<Item = (&Arc<str>, u64, &HeardVersion)> {
        self.versions.iter().flat_map(|(model, versions)| {
            versions.iter().map(move |v| (model, v.version, &v.heard))
        })
    }

    /// Returns the newest target version of each model.
    pub fn newest(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.versions.iter().filter_map(|(model, versions)| {
            versions.last().map(|v| (model, v.version))
        })
    }

    /// Returns the newest known target that is older than a version, 0 if
    /// there is none.
    pub fn before(&self, model: &str, version: u64) -> u64 {
        let Some(versions) = self.versions.get(model) else { return 0 };
        let older = versions.iter().rev().find(|v| v.version < version);
        older.map_or(0, |v| v.version)
    }

    /// Returns what was heard about a target version.
    pub fn heard(&self, model: &str, version: u64) -> Option<HeardVersion> {
        let versions = self.versions.get(model)?;
        let found = versions.iter().find(|v| v.version == version);
        found.map(|v| v.heard)
    }

    /// Returns the newest target version of a model.
    pub fn version(&self, model: &str) -> Option<u64> {
        self.versions.get(model)?.last().map(|v| v.version)
    }

    /// Returns when the newest target of a model was set.
    pub fn since(&self, model: &str) -> Option<Time> {
        self.versions.get(model)?.last().map(|v| v.heard.since)
    }

    /// Returns when a version of a model became the target.
    pub fn targeted_at(&self, model: &str, version: u64) -> Option<Time> {
        self.heard(model, version).map(|heard| heard.since)
    }

    /// Returns whether the newest target of a model was set less than `bound`
    /// after the one before it, so that both are being distributed. Targets
    /// whose time is an estimate do not count.
    pub fn is_succession(&self, model: &str, bound: Duration) -> bool {
        let Some(versions) = self.versions.get(model) else { return false };
        let [.., previous, newest] = versions.as_slice() else {
            return false;
        };
        let (previous, newest) = (previous.heard, newest.heard);
        let estimated = previous.estimated || newest.estimated;
        !estimated && newest.since.since(previous.since) < bound
    }

    /// Returns when a version became outdated, which is when the first newer
    /// target was set. Later targets do not change that time. If a target may
    /// have been set before the first known one, it is the earliest time at
    /// which that can have been.
    pub fn outdated_since(&self, model: &str, version: u64) -> Option<Time> {
        let versions = self.versions.get(model)?;
        let newer = versions.iter().filter(|v| v.version > version);
        let first = newer.clone().next()?;
        let HeardVersion { since, unheard, .. } = first.heard;
        let since =
            if first.has_gap(version) { since.min(unheard) } else { since };
        // The date of the first one may have been under way for longer than
        // that of a later one.
        let dated = newer.filter(|v| !v.heard.estimated);
        dated.map(|v| v.heard.since).chain([since]).min()
    }
}

/// Removes the oldest of several versions. Those before the next one then
/// count as outdated since the oldest of what is no longer known.
fn remove_oldest(versions: &mut Vec<TargetedVersion>) {
    let oldest = versions.remove(0).heard;
    let Some(next) = versions.first_mut() else { return };
    let unheard = oldest.since.min(oldest.unheard);
    next.heard.unheard = next.heard.unheard.min(unheard);
}
