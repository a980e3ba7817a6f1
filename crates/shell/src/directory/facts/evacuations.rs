//! What a process believes of evacuated data halls.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairhinge::Time;

use super::Facts;
use crate::decisions::Decision;

/// An evacuation in force, as one process tells another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationAge {
    /// The data hall.
    pub hall: Arc<str>,
    /// How long ago it was ordered at most, in milliseconds.
    pub age_ms: u64,
}

impl Facts {
    /// Returns the evacuated halls, as this process tells others of them.
    pub fn evacuation_ages(&self) -> Vec<EvacuationAge> {
        let now = self.now();
        let mut ages = Vec::new();
        for (hall, since) in self.view().evacuations.all() {
            let age_ms = now.since(since).as_millis() as u64;
            ages.push(EvacuationAge { hall: Arc::clone(hall), age_ms });
        }
        ages
    }

    /// Takes in all evacuations that are in force: others have ended.
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

    /// Takes note of an evacuation. One of which this process can't tell when
    /// it was ordered is taken for one whose time is over.
    pub(super) fn learn_evacuation(
        &self,
        hall: Arc<str>,
        source: &'static str,
        synced: Option<Time>,
    ) {
        let since = synced.unwrap_or(Time::from_millis(0));
        let mut news = false;
        self.change(|view| {
            news = view.evacuations.begin(Arc::clone(&hall), since);
            news
        });
        if news {
            self.log.write(&Decision::HallEvacuated {
                hall: &hall,
                source,
                age_ms: synced
                    .map(|at| self.now().since(at).as_millis() as u64),
            });
        }
    }

    pub(super) fn end_evacuation(&self, hall: &str, source: &'static str) {
        let mut news = false;
        self.change(|view| {
            news = view.evacuations.end(hall);
            news
        });
        if news {
            self.log.write(&Decision::HallRestored { hall, source });
        }
    }
}
