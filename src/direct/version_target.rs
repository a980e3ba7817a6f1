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

#[derive(Clone, Copy, Debug)]
struct TargetedVersion {
    version: u64,
    since: Time,
    /// Whether `since` is an estimate.
    estimated: bool,
}

/// The target versions known to a process. The newest one never decreases,
/// whichever process reports an older one.
#[derive(Clone, Debug, Default)]
pub struct VersionTargets {
    /// The versions of each model, in ascending order.
    versions: HashMap<Arc<str>, Vec<TargetedVersion>>,
}

impl VersionTargets {
    /// The maximum number of versions kept per model. Older ones were
    /// outdated long ago.
    const MAX_VERSIONS: usize = 16;

    /// Records a target that was set at `since`. Returns whether it is newer
    /// than the known ones.
    pub fn record(&mut self, target: &VersionTarget, since: Time) -> bool {
        self.add(target, since, false)
    }

    /// Records a target with an estimate of when it was set. Returns whether
    /// it is newer than the known ones.
    pub fn record_estimate(
        &mut self,
        target: &VersionTarget,
        since: Time,
    ) -> bool {
        self.add(target, since, true)
    }

    /// Replaces an estimate by the time known to a process that observed the
    /// change of the target. Returns whether there was an estimate.
    pub fn replace_estimate(
        &mut self,
        target: &VersionTarget,
        since: Time,
    ) -> bool {
        let Some(versions) = self.versions.get_mut(&target.model) else {
            return false;
        };
        let found = versions.iter_mut().find(|v| v.version == target.version);
        let Some(found) = found.filter(|v| v.estimated) else { return false };
        found.since = since;
        found.estimated = false;
        true
    }

    /// Returns whether any of the times is an estimate.
    pub fn has_estimates(&self) -> bool {
        self.versions.values().flatten().any(|v| v.estimated)
    }

    /// Returns all targets, each with when it was set, or `None` if that time
    /// is an estimate.
    pub fn all(&self) -> impl Iterator<Item = (&Arc<str>, u64, Option<Time>)> {
        self.versions.iter().flat_map(|(model, versions)| {
            versions.iter().map(move |v| {
                (model, v.version, (!v.estimated).then_some(v.since))
            })
        })
    }

    fn add(
        &mut self,
        target: &VersionTarget,
        since: Time,
        estimated: bool,
    ) -> bool {
        let versions =
            self.versions.entry(Arc::clone(&target.model)).or_default();
        if versions.last().is_some_and(|v| v.version >= target.version) {
            return false;
        }
        if versions.len() >= VersionTargets::MAX_VERSIONS {
            versions.remove(0);
        }
        versions.push(TargetedVersion {
            version: target.version,
            since,
            estimated,
        });
        true
    }

    /// Returns the newest target version of a model.
    pub fn version(&self, model: &str) -> Option<u64> {
        self.versions.get(model)?.last().map(|v| v.version)
    }

    /// Returns when the newest target of a model was set.
    pub fn since(&self, model: &str) -> Option<Time> {
        self.versions.get(model)?.last().map(|v| v.since)
    }

    /// Returns when a version of a model became the target.
    pub fn targeted_at(&self, model: &str, version: u64) -> Option<Time> {
        let versions = self.versions.get(model)?;
        let found = versions.iter().find(|v| v.version == version);
        found.map(|v| v.since)
    }

    /// Returns whether the newest target of a model was set less than `bound`
    /// after the one before it, so that both are being distributed. Targets
    /// whose time is an estimate do not count.
    pub fn is_succession(&self, model: &str, bound: Duration) -> bool {
        let Some(versions) = self.versions.get(model) else { return false };
        let [.., previous, newest] = versions.as_slice() else {
            return false;
        };
        let estimated = previous.estimated || newest.estimated;
        !estimated && newest.since.since(previous.since) < bound
    }

    /// Returns when a version became outdated, which is when the first newer
    /// target was set. Later targets do not change that time.
    pub fn outdated_since(&self, model: &str, version: u64) -> Option<Time> {
        let versions = self.versions.get(model)?;
        let newer = versions.iter().find(|v| v.version > version);
        newer.map(|v| v.since)
    }
}
