//! Handling of the notices in the answers of replicas.

use stairhinge::placing::{LimitChange, RateLimit, RetryAfter};
use stairhinge::{Error, Time};
use stairhinge_shell::decisions::Decision;

use super::Dispatcher;
use crate::dialect::ReplicaNotice;

impl Dispatcher {
    /// Applies the notice in a replica's answer, received at `received_at`, to
    /// a request sent at `sent_at`.
    pub(super) fn apply_notice(
        &self,
        incarnation: &str,
        notice: &ReplicaNotice,
        sent_at: Time,
        received_at: Time,
    ) {
        if let Ok(limit) = notice.limit {
            self.apply_limit(incarnation, limit, sent_at, received_at);
        }
        if let Ok(leaving) = notice.leaving {
            self.apply_leaving(incarnation, leaving, sent_at, received_at);
        }
        if let Ok(Some(retry_after)) = notice.retry_after {
            self.apply_retry_after(incarnation, retry_after, received_at);
        }
        let error = notice.limit.as_ref().err();
        let error = error.or(notice.leaving.as_ref().err());
        self.record_notice_error(
            incarnation,
            error.or(notice.retry_after.as_ref().err()),
        );
    }

    /// Updates the replica's rate limit from an answer; `None` means that the
    /// answer sets none.
    pub(super) fn apply_limit(
        &self,
        incarnation: &str,
        limit: Option<RateLimit>,
        sent_at: Time,
        received_at: Time,
    ) {
        let change = {
            let mut state = self.lock();
            let Some(known) = state.known.get_mut(incarnation) else { return };
            known.limit.update(limit, sent_at, received_at)
        };
        let replica = incarnation;
        match change {
            None => {}
            Some(LimitChange::Set(limit)) => {
                let per_s = limit.per_s();
                let line = Decision::ReplicaLimited { replica, per_s };
                self.facts.log().write(&line);
            }
            Some(LimitChange::Withdrawn { after }) => {
                let after_ms = after.as_millis() as u64;
                let line = Decision::ReplicaUnlimited { replica, after_ms };
                self.facts.log().write(&line);
            }
        }
    }

    /// Updates whether the replica is leaving from an answer.
    pub(super) fn apply_leaving(
        &self,
        incarnation: &str,
        leaving: bool,
        sent_at: Time,
        received_at: Time,
    ) {
        let changed = {
            let mut state = self.lock();
            let Some(known) = state.known.get_mut(incarnation) else { return };
            known.leaving.update(leaving, sent_at, received_at)
        };
        if changed {
            let replica = incarnation;
            let line = Decision::ReplicaLeaving { replica, leaving };
            self.facts.log().write(&line);
        }
    }

    /// Applies a replica's request to be sent no requests for some time.
    fn apply_retry_after(
        &self,
        incarnation: &str,
        retry_after: RetryAfter,
        received_at: Time,
    ) {
        let started = {
            let mut state = self.lock();
            let Some(known) = state.known.get_mut(incarnation) else { return };
            known.retry_after.update(retry_after, received_at)
        };
        if started {
            let replica = incarnation;
            let for_ms = retry_after.duration().as_millis() as u64;
            let line = Decision::ReplicaResting { replica, for_ms };
            self.facts.log().write(&line);
        }
    }

    /// Records whether the last notice was invalid and logs the error. The
    /// state from earlier notices is kept.
    fn record_notice_error(&self, incarnation: &str, error: Option<&Error>) {
        let mut state = self.lock();
        let Some(known) = state.known.get_mut(incarnation) else { return };
        let was_invalid =
            std::mem::replace(&mut known.notice_invalid, error.is_some());
        drop(state);
        // Replicas repeat the value in each answer; log only the first of
        // consecutive invalid notices.
        let Some(error) = error.filter(|_| !was_invalid) else { return };
        self.facts.log().write(&Decision::SourceFailed {
            source: incarnation,
            code: error.code().number(),
            reason: error.message(),
        });
    }
}
