//! Announcements by replicas, in their answers, that they are leaving.

use crate::Time;

/// Whether a replica is leaving, as known from its answers. A leaving replica
/// is sent no new requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownLeaving {
    /// When the last answer that announced the departure was received.
    last_at: Option<Time>,
}

impl KnownLeaving {
    /// Updates the state from an answer received at `received_at`, by this
    /// entry or another, to a request sent at `sent_at`; returns whether it
    /// changed.
    ///
    /// Answers can arrive out of order, so an answer without the announcement
    /// withdraws it only if its request was sent after the last answer with
    /// the announcement was received.
    pub fn update(
        &mut self,
        leaving: bool,
        sent_at: Time,
        received_at: Time,
    ) -> bool {
        let before = self.last_at;
        if leaving {
            self.last_at = before.max(Some(received_at));
            return before.is_none();
        }
        if before.is_some_and(|last_at| sent_at > last_at) {
            self.last_at = None;
        }
        before.is_some() && self.last_at.is_none()
    }

    /// Returns when the last answer that announced the departure was received,
    /// if the replica is leaving.
    pub const fn last_at(&self) -> Option<Time> {
        self.last_at
    }

    /// Returns whether the replica is leaving.
    pub const fn is_leaving(&self) -> bool {
        self.last_at.is_some()
    }
}
