//! A process's view of the target versions of models.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairhinge::Time;
use stairhinge::direct::VersionTarget;

use super::Facts;
use crate::decisions::Decision;

/// The target version of a model, as sent between processes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetAge {
    /// The model.
    pub model: Arc<str>,
    /// The version of its weights.
    pub version: u64,
    /// The time since it was set, in milliseconds, if the sender was running
    /// then.
    pub age_ms: Option<u64>,
}

impl Facts {
    /// Returns the target versions with their ages.
    pub fn target_ages(&self) -> Vec<TargetAge> {
        let now = self.now();
        let mut ages = Vec::new();
        for (model, version, since) in self.view().targets.all() {
            let age = since.map(|s| now.since(s).as_millis() as u64);
            let model = Arc::clone(model);
            ages.push(TargetAge { model, version, age_ms: age });
        }
        ages
    }

    /// Applies target versions that another process knows.
    pub fn learn_targets(&self, told: &[TargetAge]) {
        for told in told.iter() {
            let known = self.view().targets.version(&told.model);
            if known.is_some_and(|version| version >= told.version) {
                continue;
            }
            let age = told.age_ms.map(Duration::from_millis);
            let target = VersionTarget {
                model: Arc::clone(&told.model),
                version: told.version,
            };
            let since = age.map(|age| self.ago(age));
            self.learn_target(&target, "peer", since);
        }
        if self.view().targets.has_estimates() {
            self.refine_ages(told);
        }
    }

    /// Replaces estimated ages of target versions by those of a process that
    /// was running when they were set.
    fn refine_ages(&self, ages: &[TargetAge]) {
        for told in ages {
            let Some(ms) = told.age_ms else { continue };
            let since = self.ago(Duration::from_millis(ms));
            let target = VersionTarget {
                model: Arc::clone(&told.model),
                version: told.version,
            };
            self.change(|view| view.targets.replace_estimate(&target, since));
        }
    }

    pub(super) fn learn_target(
        &self,
        target: &VersionTarget,
        source: &'static str,
        synced: Option<Time>,
    ) {
        let mut taken = false;
        self.change(|view| {
            taken = match synced {
                Some(since) => view.targets.record(target, since),
                None => {
                    let since = self.ago(self.presumed_age);
                    view.targets.record_estimate(target, since)
                }
            };
            taken
        });
        if taken {
            self.log.write(&Decision::TargetTaken {
                model: &target.model,
                version: target.version,
                source,
            });
        }
    }
}
