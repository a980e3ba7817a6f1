//! Handling of the notices in the answers of replicas.

use stairhinge::placing::LimitChange;
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
        notice: ReplicaNotice,
        sent_at: Time,
        received_at: Time,
    ) {
        let change = {
            let mut state = self.lock();
            let Some(known) = state.known.get_mut(incarnation) else { return };
            known.notice_invalid = false;
            known.limit.update(notice.limit, sent_at, received_at)
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

    /// Logs an invalid notice and keeps the state from earlier notices.
    pub(super) fn reject_notice(&self, incarnation: &str, error: &Error) {
        let mut state = self.lock();
        let Some(known) = state.known.get_mut(incarnation) else { return };
        // Replicas repeat the value in each answer; log only the first of
        // consecutive invalid notices.
        if std::mem::replace(&mut known.notice_invalid, true) {
            return;
        }
        drop(state);
        self.facts.log().write(&Decision::SourceFailed {
            source: incarnation,
            code: error.code().number(),
            reason: error.message(),
        });
    }
}
