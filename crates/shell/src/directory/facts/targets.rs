//! A process's view of the target versions of models.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairhinge::direct::VersionTarget;

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
            let published = match age {
                Some(age) => Published::at(self.ago(age)),
                None => Published::after(self.last_synced()),
            };
            self.learn_target(&target, "peer", published);
        }
        if self.view().targets.has_estimates() {
            self.refine_ages(told);
        }
    }

    /// Replaces estimated ages of target versions by those of a process that
    /// was waiting for them when they were set.
    fn refine_ages(&self, ages: &[TargetAge]) {
        for told in ages {
            let Some(ms) = told.age_ms else { continue };
            let since = self.ago(Duration::from_millis(ms));
            let target = VersionTarget {
                model: Arc::clone(&told.model),
                version: told.version,
            };
            let mut dated = false;
            self.change(|view| {
                dated = view.targets.replace_estimate(&target, since);
                dated
            });
            if dated {
                self.log.write(&Decision::TargetDated {
                    model: &target.model,
                    version: target.version,
                    age_ms: ms,
                });
            }
        }
    }

    pub(super) fn learn_target(
        &self,
        target: &VersionTarget,
        source: &'static str,
        published: Published,
    ) {
        let earliest = published.earliest;
        let since = published.observed.or(earliest);
        let since = since.unwrap_or_else(|| self.ago(self.presumed_age));
        let presumed = published.observed.is_none();
        let mut taken = false;
        let mut previous = None;
        self.change(|view| {
            previous = view.targets.version(&target.model);
            taken = if presumed {
                view.targets.record_estimate(target, since)
            } else {
                view.targets.record(target, since)
            };
            taken
        });
        if taken {
            self.log.write(&Decision::TargetTaken {
                model: &target.model,
                version: target.version,
                source,
                age_ms: self.now().since(since).as_millis() as u64,
                presumed,
                previous,
            });
        }
    }
}
