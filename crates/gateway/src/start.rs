//! What an entry that has started waits for before it serves.

use std::sync::Arc;

use stairhinge_shell::Obstacle;
use stairhinge_shell::directory::{Collection, Facts, ReadState};

use crate::catch_up::CatchUpGate;

/// What an entry needs to know before it serves.
#[derive(Clone)]
pub(crate) struct StartState {
    pub facts: Arc<Facts>,
    pub catch_up: Arc<CatchUpGate>,
}

impl StartState {
    /// Returns what the entry waits for before it serves, if anything.
    pub(crate) fn obstacle(&self) -> Option<Obstacle> {
        if self.facts.view().routes.is_none() {
            return Some(self.unread("routes", Collection::Declarations));
        }
        let list = self.facts.reading(Collection::Replicas).state;
        if list == ReadState::Unread {
            return Some(self.unread("replicas", Collection::Replicas));
        }
        let waits = !self.catch_up.has_started();
        waits.then_some(Obstacle { waits_for: "other entries", failure: None })
    }

    fn unread(
        &self,
        waits_for: &'static str,
        collection: Collection,
    ) -> Obstacle {
        let failure = self.facts.reading(collection).failure;
        Obstacle { waits_for, failure }
    }
}
