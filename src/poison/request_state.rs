//! What one entry knows of one request.

use std::sync::Arc;
use std::time::Duration;

use super::{Admission, PoisonTable, Refusal, RefusalReason, Suspicion};
use crate::Time;

/// What is known of one request.
#[derive(Clone, Debug)]
pub(super) struct Known {
    pub suspicion: Suspicion,
    pub replicas: Vec<Arc<str>>,
    /// When it last changed here, and how old it was then.
    pub changed: Time,
    pub before: Duration,
    /// When it last came here, if it did.
    pub seen: Option<Time>,
    /// Whether others are told of it.
    pub told: bool,
    /// Until when no other run of it may begin.
    pub alone_until: Option<Time>,
}

impl Known {
    pub fn new(now: Time) -> Known {
        Known {
            suspicion: Suspicion::default(),
            replicas: Vec::new(),
            changed: now,
            before: Duration::ZERO,
            seen: None,
            told: false,
            alone_until: None,
        }
    }

    pub fn age(&self, now: Time) -> Duration {
        self.before.saturating_add(now.since(self.changed))
    }

    pub fn change(&mut self, now: Time) {
        self.changed = now;
        self.before = Duration::ZERO;
    }

    /// Returns how long it is kept from now on.
    pub fn kept(&self, now: Time) -> Duration {
        let (span, age) = if self.suspicion.is_quarantined() {
            let seen = self.seen.map_or(Duration::MAX, |at| now.since(at));
            (PoisonTable::QUARANTINE_KEPT, seen.min(self.age(now)))
        } else if self.suspicion.ended > 0 {
            (PoisonTable::SUSPECT_KEPT, self.age(now))
        } else {
            (PoisonTable::CLEARED_KEPT, self.age(now))
        };
        span.saturating_sub(age)
    }

    /// Returns when it may be tried again; zero if now.
    pub fn back(&self, now: Time) -> Duration {
        let trials = usize::from(self.suspicion.trials);
        match PoisonTable::HOLDS.get(trials) {
            Some(hold) => hold.saturating_sub(self.age(now)),
            None => self.kept(now),
        }
    }

    pub fn refusal(
        &self,
        reason: RefusalReason,
        back: Duration,
        now: Time,
    ) -> Admission {
        Admission::Refused(Refusal {
            reason,
            replicas: self.replicas.clone(),
            age: self.age(now),
            retry_after: back,
        })
    }
}
