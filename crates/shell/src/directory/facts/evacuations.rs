//! A process's view of evacuated data halls.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairhinge::Time;

use super::Facts;
use crate::decisions::Decision;

/// A current evacuation, as sent between processes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationAge {
    /// The data hall.
    pub hall: Arc<str>,
    /// The maximum time since it was ordered, in milliseconds.
    pub age_ms: u64,
}

impl Facts {
    /// Returns the evacuated data halls with the ages of their evacuations.
    pub fn evacuation_ages(&self) -> Vec<EvacuationAge> {
        let now = self.now();
        let mut ages = Vec::new();
        for (hall, since) in self.view().evacuations.all() {
            let age_ms = now.since(since).as_millis() as u64;
            ages.push(EvacuationAge { hall: Arc::clone(hall), age_ms });
        }
        ages
    }

    /// Applies a full list of evacuations: all others have been withdrawn.
    pub fn replace_evacuations(
        &self,
        told: &[EvacuationAge],
        source: &'static str,
    ) {
        let mut ended = Vec::new();
        for (hall, _) in self.view().evacuations.all() {
            if told.iter().all(|t| t.hall != *hall) {
                ended.push(Arc::clone(hall));
            }
        }
        for told in told {
            let since = self.ago(Duration::from_millis(told.age_ms));
            self.learn_evacuation(Arc::clone(&told.hall), source, Some(since));
        }
        for hall in ended {
            self.end_evacuation(&hall, source);
        }
    }

    /// Applies an evacuation that was ordered after `synced`. Without `synced`
    /// the time of the order is unknown, and the evacuation counts as so old
    /// that no requests may be sent to the data hall any more.
    pub(super) fn learn_evacuation(
        &self,
        hall: Arc<str>,
        source: &'static str,
        synced: Option<Time>,
    ) {
        let since = synced.unwrap_or(Time::from_millis(0));
        let mut changed = false;
        self.change(|view| {
            changed = view.evacuations.begin(Arc::clone(&hall), since);
            changed
        });
        if changed {
            self.log.write(&Decision::HallEvacuated {
                hall: &hall,
                source,
                age_ms: synced
                    .map(|at| self.now().since(at).as_millis() as u64),
            });
        }
    }

    pub(super) fn end_evacuation(&self, hall: &str, source: &'static str) {
        let mut changed = false;
        self.change(|view| {
            changed = view.evacuations.end(hall);
            changed
        });
        if changed {
            self.log.write(&Decision::HallRestored { hall, source });
        }
    }
}
