//! Updates of a replica's state as requests there start and end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use stairhinge_shell::decisions::Decision;

use super::known::{Misdirected, SLOW_START};
use super::{Dispatcher, FULL_BACKOFF, Place};

impl Dispatcher {
    pub(super) fn record_success(&self, incarnation: &Arc<str>) {
        {
            let mut state = self.lock();
            let Some(known) = state.known.get_mut(incarnation) else { return };
            if known.health.failures() == 0 {
                return;
            }
            known.health.record_success();
        }
        self.dispatch_waiting(Some(incarnation));
    }

    /// Records that a replica has begun to answer. One that asked for a pause
    /// stays excluded.
    pub(super) fn record_answer_begun(&self, incarnation: &Arc<str>) {
        let now = self.facts.now();
        let rests = self
            .lock()
            .known
            .get(incarnation)
            .is_some_and(|k| k.retry_after.remaining(now).is_some());
        if !rests {
            self.record_success(incarnation);
        }
    }

    /// Records that a request failed that was sent `sent_ago`.
    pub(super) fn record_failure(
        &self,
        incarnation: &str,
        sent_ago: Duration,
    ) {
        let now = self.facts.now();
        let (failures, span) = {
            let mut state = self.lock();
            let Some(known) = state.known.get_mut(incarnation) else { return };
            known.health.record_failure(now.before(sent_ago), now);
            known.slow_at = Some(Instant::now());
            (known.health.failures(), known.health.backoff())
        };
        self.facts.log().write(&Decision::ReplicaSuspect {
            replica: incarnation,
            failures,
            for_ms: span.as_millis() as u64,
        });
    }

    pub(super) fn record_full(&self, incarnation: &str) {
        if let Some(known) = self.lock().known.get_mut(incarnation) {
            known.full_until = Some(Instant::now() + FULL_BACKOFF);
        }
    }

    /// Excludes a replica that sent `Retry-After` like a failing one, for at
    /// most `retry_after`. The period starts short, because the replica may
    /// still accept requests from other entries.
    pub(super) fn record_retry_after(
        &self,
        incarnation: &str,
        retry_after: Duration,
    ) {
        let now = self.facts.now();
        if let Some(known) = self.lock().known.get_mut(incarnation) {
            known.health.record_failure_capped(retry_after, now);
        }
    }

    pub(super) fn record_misdirected(
        &self,
        incarnation: &str,
        version: Option<u64>,
    ) {
        if let Some(known) = self.lock().known.get_mut(incarnation) {
            let at = Instant::now();
            known.misdirected = Some(Misdirected { version, at });
        }
    }

    /// Records the time to the first token of an answer for admission control.
    /// Error responses do not count, because they are often faster.
    pub(super) fn record_first_token(&self, service: &str, took: Duration) {
        if let Some(admission) = &mut self.lock().admission {
            admission.record_begin(service, took);
        }
    }

    pub(super) fn record_begin(
        &self,
        incarnation: &str,
        tokens: u32,
        took: Duration,
    ) {
        let mut state = self.lock();
        if let Some(known) = state.known.get_mut(incarnation) {
            if took > SLOW_START {
                known.slow_at = Some(Instant::now());
            }
            let load = &mut known.load;
            load.own_pending = load.own_pending.saturating_sub(1);
            load.own_pending_tokens =
                load.own_pending_tokens.saturating_sub(tokens);
            load.own_running += 1;
        }
    }

    pub(super) fn release_place(&self, place: &Place) {
        let incarnation = &place.replica.incarnation;
        if let Some(known) = self.lock().known.get_mut(incarnation) {
            let load = &mut known.load;
            if place.began {
                load.own_running = load.own_running.saturating_sub(1);
            } else {
                load.own_pending = load.own_pending.saturating_sub(1);
                load.own_pending_tokens = load
                    .own_pending_tokens
                    .saturating_sub(place.prompt_tokens);
            }
        }
        self.dispatch_waiting(Some(incarnation));
    }
}
