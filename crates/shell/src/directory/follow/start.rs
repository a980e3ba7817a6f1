//! Delays the first read of routes by a process that has just started.

use std::time::{Duration, Instant};

use rand::RngExt as _;
use stairhinge::direct::FirstReadDelay;

use super::{Follower, HallOutcome};
use crate::directory::Collection;

/// How long entries that all start at once may take to discover each other,
/// as a multiple of [`Follow::settling`](super::Follow::settling).
const DISCOVERY_FACTOR: f64 = 1.5;

/// The interval between checks for the end of the delay.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Follower {
    /// Delays the first read of routes until another process has answered, or
    /// until this process is due to read the platform.
    pub(super) async fn delay_first_read(&mut self) {
        if self.follow.collection != Collection::Declarations {
            return;
        }
        let Some(sharing) = self.follow.sharing.clone() else { return };
        let begun = Instant::now();
        let delay = FirstReadDelay::new(rand::rng().random());
        loop {
            if sharing.reader.leads()
                || matches!(self.ask_hall().await, HallOutcome::Updated)
            {
                return;
            }
            let listed = self.facts.view().replicas.len();
            let found = begun.elapsed()
                >= self.follow.settling.mul_f64(DISCOVERY_FACTOR)
                || !self.waits_for_others();
            if found && begun.elapsed() >= delay.for_entry(listed) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
