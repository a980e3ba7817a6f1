//! What an entry notes of a replica as its requests there go on and end.

use std::time::{Duration, Instant};

use stairhinge_shell::decisions::Decision;

use super::known::{Misdirected, SLOW};
use super::{Dispatcher, FULL, Place};

impl Dispatcher {
    pub(super) fn succeeded(&self, incarnation: &str) {
        if let Some(known) = self.lock().known.get_mut(incarnation) {
            known.health.record_success();
        }
    }

    pub(super) fn failed(&self, incarnation: &str) {
        let now = self.facts.now();
        let (failures, span) = {
            let mut state = self.lock();
            let Some(known) = state.known.get_mut(incarnation) else { return };
            known.health.record_failure(now);
            known.slow_at = Some(Instant::now());
            (known.health.failures(), known.health.backoff())
        };
        self.facts.log().write(&Decision::ReplicaSuspect {
            replica: incarnation,
            failures,
            for_ms: span.as_millis() as u64,
        });
    }

    pub(super) fn full(&self, incarnation: &str) {
        if let Some(known) = self.lock().known.get_mut(incarnation) {
            known.full_until = Some(Instant::now() + FULL);
        }
    }

    /// Leaves a replica that sent `Retry-After` out like one that fails, for
    /// `retry_after` at most. The period starts short, because the replica may
    /// still accept requests from other entries.
    pub(super) fn rejected(&self, incarnation: &str, retry_after: Duration) {
        let now = self.facts.now();
        if let Some(known) = self.lock().known.get_mut(incarnation) {
            known.health.record_failure_capped(retry_after, now);
        }
    }

    pub(super) fn misdirected(&self, incarnation: &str, version: Option<u64>) {
        if let Some(known) = self.lock().known.get_mut(incarnation) {
            let at = Instant::now();
            known.misdirected = Some(Misdirected { version, at });
        }
    }

    pub(super) fn begin(
        &self,
        incarnation: &str,
        tokens: u32,
        took: Duration,
    ) {
        if let Some(known) = self.lock().known.get_mut(incarnation) {
            if took > SLOW {
                known.slow_at = Some(Instant::now());
            }
            let load = &mut known.load;
            load.own_pending = load.own_pending.saturating_sub(1);
            load.own_pending_tokens =
                load.own_pending_tokens.saturating_sub(tokens);
            load.own_running += 1;
        }
    }

    pub(super) fn release(&self, place: &Place) {
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
