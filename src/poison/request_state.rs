//! The state of one request in a [`PoisonTable`].

use std::sync::Arc;
use std::time::Duration;

use super::{Admission, PoisonTable, Refusal, RefusalReason, Suspicion};
use crate::Time;

/// The state of one request.
#[derive(Clone, Debug)]
pub(super) struct RequestState {
    pub suspicion: Suspicion,
    /// The names of the replicas that crashed under the request.
    pub replicas: Vec<Arc<str>>,
    /// When the suspicion last changed in this table.
    pub changed_at: Time,
    /// The age of the suspicion at `changed_at`; not zero if it was reported
    /// by another entry.
    pub age_at_change: Duration,
    /// When the request last arrived at this entry, if it did.
    pub last_seen: Option<Time>,
    /// Whether the record is shared with other entries.
    pub shared: bool,
    /// The time before which no other run of the request may begin.
    pub exclusive_until: Option<Time>,
}

impl RequestState {
    pub fn new(now: Time) -> RequestState {
        RequestState {
            suspicion: Suspicion::default(),
            replicas: Vec::new(),
            changed_at: now,
            age_at_change: Duration::ZERO,
            last_seen: None,
            shared: false,
            exclusive_until: None,
        }
    }

    /// Returns the age of the suspicion.
    pub fn age(&self, now: Time) -> Duration {
        self.age_at_change.saturating_add(now.since(self.changed_at))
    }

    /// Records that the suspicion has changed.
    pub fn mark_changed(&mut self, now: Time) {
        self.changed_at = now;
        self.age_at_change = Duration::ZERO;
    }

    /// Returns how much longer the state is retained.
    pub fn retention_left(&self, now: Time) -> Duration {
        let (retention, age) = if self.suspicion.is_quarantined() {
            let unseen =
                self.last_seen.map_or(Duration::MAX, |at| now.since(at));
            (PoisonTable::QUARANTINE_RETENTION, unseen.min(self.age(now)))
        } else if self.suspicion.ended > 0 {
            (PoisonTable::SUSPECT_RETENTION, self.age(now))
        } else {
            (PoisonTable::CLEARED_RETENTION, self.age(now))
        };
        retention.saturating_sub(age)
    }

    /// Returns the time until the next trial run of a quarantined request;
    /// zero if one may begin now.
    pub fn trial_delay_left(&self, now: Time) -> Duration {
        let trials = usize::from(self.suspicion.trials);
        match PoisonTable::TRIAL_DELAYS.get(trials) {
            Some(delay) => delay.saturating_sub(self.age(now)),
            None => self.retention_left(now),
        }
    }

    /// Returns the refusal of the request.
    pub fn refusal(
        &self,
        reason: RefusalReason,
        retry_after: Duration,
        now: Time,
    ) -> Admission {
        Admission::Refused(Refusal {
            reason,
            replicas: self.replicas.clone(),
            age: self.age(now),
            retry_after,
        })
    }
}
