//! A process's view of the target versions of models.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairhinge::direct::{HeardVersion, Learned, VersionTarget};

use super::Facts;
use crate::decisions::Decision;
use crate::directory::Published;

/// The target version of a model, as sent between processes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetAge {
    /// The model.
    pub model: Arc<str>,
    /// The version of its weights.
    pub version: u64,
    /// The time since it was set, in milliseconds, if the sender was waiting
    /// for it then, or was told by a process that was.
    pub age_ms: Option<u64>,
    /// A version with none between it and this one, 0 if this is the first,
    /// if the sender knows.
    #[serde(default)]
    pub previous: Option<u64>,
}

impl Facts {
    /// Returns the target versions with their ages.
    pub fn target_ages(&self) -> Vec<TargetAge> {
        let now = self.now();
        let mut ages = Vec::new();
        for (model, version, heard) in self.view().targets.all() {
            let since = (!heard.estimated).then_some(heard.since);
            ages.push(TargetAge {
                model: Arc::clone(model),
                version,
                age_ms: since.map(|s| now.since(s).as_millis() as u64),
                previous: heard.previous,
            });
        }
        ages
    }

    /// Returns the newest target version of each model.
    pub fn newest_targets(&self) -> BTreeMap<Arc<str>, u64> {
        let view = self.view();
        let newest = view.targets.newest();
        newest.map(|(m, version)| (Arc::clone(m), version)).collect()
    }

    /// Applies target versions that another process knows.
    pub fn learn_targets(&self, told: &[TargetAge]) {
        for told in told {
            let target = VersionTarget {
                model: Arc::clone(&told.model),
                version: told.version,
            };
            let age = told.age_ms.map(Duration::from_millis);
            let observed = age.map(|age| self.ago(age));
            let published =
                Published { observed, ..Published::after(self.last_synced()) };
            self.take_target(&target, "peer", published, told.previous);
        }
    }

    pub(super) fn learn_target(
        &self,
        target: &VersionTarget,
        source: &'static str,
        published: Published,
    ) {
        let previous = published.gapless.then(|| {
            self.view().targets.before(&target.model, target.version)
        });
        self.take_target(target, source, published, previous);
    }

    /// Applies a target version with none between it and `previous`.
    fn take_target(
        &self,
        target: &VersionTarget,
        source: &'static str,
        published: Published,
        previous: Option<u64>,
    ) {
        let presumed = || self.presumed_since();
        let unheard = published.earliest.unwrap_or_else(presumed);
        let told = HeardVersion {
            since: published.observed.unwrap_or(unheard),
            estimated: published.observed.is_none(),
            previous,
            unheard,
        };
        // A change copies the whole view.
        if !self.view().targets.lacks(target, &told) {
            return;
        }
        let mut learned = Learned::default();
        let mut newest = None;
        self.change(|view| {
            newest = view.targets.version(&target.model);
            learned = view.targets.learn(target, &told);
            learned.is_any()
        });
        self.log_target(target, source, learned, newest);
    }

    /// Logs what was learned about a target version while `newest` was the
    /// newest known one.
    fn log_target(
        &self,
        target: &VersionTarget,
        source: &'static str,
        learned: Learned,
        newest: Option<u64>,
    ) {
        let (model, version) = (&*target.model, target.version);
        let view = self.view();
        let Some(heard) = view.targets.heard(model, version) else { return };
        let age_ms = |at| self.now().since(at).as_millis() as u64;
        if learned.added {
            let gap = view.targets.has_gap(model, version);
            self.log.write(&Decision::TargetTaken {
                model,
                version,
                source,
                age_ms: age_ms(heard.since),
                presumed: heard.estimated,
                previous: newest,
                unheard_ms: gap.then(|| age_ms(heard.unheard)),
            });
        }
        if learned.dated {
            self.log.write(&Decision::TargetDated {
                model,
                version,
                age_ms: age_ms(heard.since),
            });
        }
        if learned.linked {
            self.log.write(&Decision::TargetLinked {
                model,
                version,
                previous: heard.previous,
            });
        }
    }
}
