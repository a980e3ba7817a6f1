//! The state of one request in a [`PoisonTable`].

use std::sync::Arc;
use std::time::Duration;

use super::claim::Holder;
use super::{
    Fingerprint, PoisonRecord, PoisonTable, Refusal, RefusalReason, Suspicion,
};
use crate::Time;

/// The crash that last increased a suspicion.
#[derive(Clone, Debug)]
pub(super) struct LastCrash {
    /// The replica's name as in records.
    pub replica: Arc<str>,
    pub at: Time,
}

/// The state of one request.
#[derive(Clone, Debug)]
pub(super) struct RequestState {
    pub suspicion: Suspicion,
    /// The names of the replicas that crashed under the request, the one of
    /// the crash that last increased the suspicion at the end.
    pub replicas: Vec<Arc<str>>,
    /// That crash, until it is withdrawn.
    pub last_crash: Option<LastCrash>,
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
    /// Whose run that is, if it was claimed.
    pub holder: Option<Holder>,
}

impl RequestState {
    pub fn new(now: Time) -> RequestState {
        RequestState {
            suspicion: Suspicion::default(),
            replicas: Vec::new(),
            last_crash: None,
            changed_at: now,
            age_at_change: Duration::ZERO,
            last_seen: None,
            shared: false,
            exclusive_until: None,
            holder: None,
        }
    }

    /// Returns whether no other run of the request may begin.
    pub fn is_exclusive(&self, now: Time) -> bool {
        self.exclusive_until.is_some_and(|until| now < until)
    }

    /// Records that an entry claims the only run of the request.
    pub fn hold(&mut self, holder: Holder, now: Time) {
        self.holder = Some(holder);
        self.exclusive_until = Some(now.after(PoisonTable::TRIAL_PERIOD));
    }

    /// Lets another run of the request begin.
    pub fn end_run(&mut self) {
        self.exclusive_until = None;
        self.holder = None;
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

    /// Quarantines a part of a prompt that crashed these replicas.
    pub fn quarantine(&mut self, replicas: &[Arc<str>], now: Time) {
        self.suspicion.ended = Suspicion::QUARANTINE_THRESHOLD;
        self.suspicion.trials = 0;
        let known = replicas.len().saturating_sub(PoisonRecord::MAX_REPLICAS);
        self.replicas = replicas[known..].to_vec();
        self.shared = true;
        self.mark_changed(now);
    }

    /// Clears the request of all crashes.
    pub fn clear(&mut self, now: Time) {
        let cleared = self.suspicion.cleared.saturating_add(1);
        self.suspicion = Suspicion { cleared, ..Suspicion::default() };
        self.replicas.clear();
        self.last_crash = None;
        self.end_run();
        self.mark_changed(now);
    }

    /// Returns whether replicas crashed together under the request. They may
    /// have a common cause other than the request.
    pub fn crashed_together(&self) -> bool {
        self.replicas.len() > usize::from(self.suspicion.ended)
    }

    /// Returns whether only one run of the request may be in progress. If
    /// replicas crashed together, that is only clear once exits of others
    /// had the time to become known.
    pub fn requires_exclusive_run(&self, now: Time) -> bool {
        let open = self.crashed_together()
            && !self.suspicion.is_quarantined()
            && self.age(now) < PoisonTable::REVIEW_PERIOD;
        self.suspicion.requires_exclusive_run() && !open
    }

    /// Adds the replica whose crash increased the suspicion.
    pub fn push_crash(&mut self, replica: &Arc<str>, at: Time) {
        let name = PoisonRecord::truncated_name(replica);
        if self.replicas.len() >= PoisonRecord::MAX_REPLICAS {
            self.replicas.remove(0);
        }
        self.replicas.push(Arc::clone(&name));
        self.last_crash = Some(LastCrash { replica: name, at });
    }

    /// Adds a replica that crashed together with the known ones. Returns
    /// whether it was new.
    pub fn add_together(&mut self, replica: &Arc<str>) -> bool {
        let name = PoisonRecord::truncated_name(replica);
        let full = self.replicas.len() >= PoisonRecord::MAX_REPLICAS;
        if full || self.replicas.contains(&name) {
            return false;
        }
        self.replicas.insert(0, name);
        true
    }

    /// Adds the replicas that another entry reports for the same suspicion.
    /// Returns whether any was new.
    pub fn merge_replicas(&mut self, replicas: &[Arc<str>]) -> bool {
        let mut changed = false;
        for replica in replicas {
            changed |= self.add_together(replica);
        }
        changed
    }

    /// Withdraws the crash that last increased the suspicion. Runs that were
    /// sent before no longer count, as after a complete answer.
    pub fn withdraw_crash(&mut self, now: Time) {
        let Suspicion { cleared, ended, .. } = self.suspicion;
        self.suspicion = Suspicion {
            cleared: cleared.saturating_add(1),
            ended: ended.saturating_sub(1),
            trials: 0,
        };
        self.replicas.pop();
        self.last_crash = None;
        self.end_run();
        self.mark_changed(now);
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
    pub fn trial_delay_left(
        &self,
        request: Fingerprint,
        now: Time,
    ) -> Duration {
        let trials = usize::from(self.suspicion.trials);
        let delays: &[Duration] = if request.is_part() {
            &PoisonTable::PART_TRIAL_DELAYS
        } else {
            &PoisonTable::TRIAL_DELAYS
        };
        match delays.get(trials) {
            Some(delay) => delay.saturating_sub(self.age(now)),
            None => self.retention_left(now),
        }
    }

    /// Returns the refusal of the request.
    pub fn refusal(
        &self,
        request: Fingerprint,
        reason: RefusalReason,
        retry_after: Duration,
        now: Time,
    ) -> Refusal {
        let reason = match reason {
            RefusalReason::Quarantined if request.is_part() => {
                RefusalReason::QuarantinedPart
            }
            RefusalReason::OnTrial if request.is_part() => {
                RefusalReason::PartOnTrial
            }
            reason => reason,
        };
        Refusal {
            reason,
            features: vec![request],
            replicas: self.replicas.clone(),
            age: self.age(now),
            retry_after,
        }
    }
}
