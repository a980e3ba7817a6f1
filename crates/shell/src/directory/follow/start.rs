//! When a process that has just started first reads routes.

use std::time::{Duration, Instant};

use rand::RngExt as _;
use stairhinge::direct::FirstReadDelay;

use super::{Asked, Follower};
use crate::directory::Collection;

/// How long entries may take to find each other where all start at once, in
/// spans of settling.
const FOUND: f64 = 1.5;

/// How often is looked whether the hold is over.
const LOOK: Duration = Duration::from_millis(20);

impl Follower {
    /// Waits with the first reading of routes until others can be asked, or
    /// until it is this process's turn to read.
    pub(super) async fn hold_back(&mut self) {
        if self.follow.collection != Collection::Declarations {
            return;
        }
        let Some(sharing) = self.follow.sharing.clone() else { return };
        let begun = Instant::now();
        let delay = FirstReadDelay::new(rand::rng().random());
        loop {
            if sharing.reader.leads()
                || matches!(self.ask_hall().await, Asked::Told)
            {
                return;
            }
            let listed = self.facts.view().replicas.len();
            let found = begun.elapsed() >= self.follow.settling.mul_f64(FOUND)
                || !self.waits_for_others();
            if found && begun.elapsed() >= delay.for_entry(listed) {
                return;
            }
            tokio::time::sleep(LOOK).await;
        }
    }
}
