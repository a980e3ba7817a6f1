//! What the answers of the platform tell about when changes were published.
//!
//! A watch that was waiting returns a change when it is published. A watch
//! that began later returns it at once, so that the change may be as old as
//! the process's knowledge.

use std::time::Duration;

use stairhinge::Time;

use crate::directory::Published;

/// How long the platform may take to respond to a watch that does not wait,
/// in addition to the last measured delay.
const RESPONSE_TIME: Duration = Duration::from_millis(100);

/// The maximum time without an answer or a watch after which the next watch
/// counts as a continuation of the last one.
const MAX_GAP: Duration = Duration::from_millis(200);

/// One answered watch.
#[derive(Clone, Copy, Debug)]
pub(super) struct WatchTimes {
    /// When the platform was called.
    pub called: Time,
    /// How long it was to wait for a change.
    pub wait: Duration,
    /// When the answer arrived.
    pub answered: Time,
}

/// What an answered watch has returned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WatchContent {
    /// No changes, at the end of the wait.
    Nothing,
    /// Changes that fit into a few packets.
    Small,
    /// A document, which may have taken long to arrive.
    Large,
}

/// The contact of a follower with the platform.
#[derive(Debug, Default)]
pub(super) struct Contact {
    /// The latest time up to which all changes are known.
    complete: Option<Time>,
    /// When the platform last answered.
    answered: Option<Time>,
    /// How long the last answer without changes took beyond the wait.
    lag: Duration,
}

impl Contact {
    /// Records that all changes up to a time are known.
    pub(super) fn record_sync(&mut self, complete: Time) {
        self.complete = self.complete.max(Some(complete));
    }

    /// Records the time of an answer.
    pub(super) const fn record_answer(&mut self, answered: Time) {
        self.answered = Some(answered);
    }

    /// Records the answer to a watch.
    pub(super) fn record_watch(
        &mut self,
        times: WatchTimes,
        content: WatchContent,
    ) {
        let WatchTimes { called, wait, answered } = times;
        let complete = match content {
            WatchContent::Nothing => {
                let took = answered.since(called);
                self.lag = took.saturating_sub(wait);
                called.after(wait).min(answered)
            }
            WatchContent::Small => self.sent_at(times).unwrap_or(called),
            WatchContent::Large => called,
        };
        self.record_sync(complete);
        self.record_answer(answered);
    }

    /// Returns when the platform last answered.
    pub(super) const fn answered(&self) -> Option<Time> {
        self.answered
    }

    /// Returns whether a watch at `now` continues the last one after a pause
    /// of up to `pace`. Changes may have been published before any other
    /// watch, whose answer cannot be told from that of a slow platform if the
    /// watch waits.
    pub(super) fn continues(&self, now: Time, pace: Duration) -> bool {
        self.answered.is_some_and(|at| now.since(at) <= MAX_GAP + pace)
    }

    /// Returns when the changes in the answer to a watch were published.
    pub(super) fn published(
        &self,
        times: WatchTimes,
        content: WatchContent,
    ) -> Published {
        let earliest = self.complete;
        let observed = match content {
            WatchContent::Large => None,
            _ => self.sent_at(times),
        };
        let recent = earliest.filter(|at| {
            let unknown = times.answered.since(*at);
            unknown <= (RESPONSE_TIME + self.lag) * 2
        });
        let observed = observed.or(recent);
        Published { earliest, observed, gapless: true }
    }

    /// Returns when the platform sent the answer to a watch, if it was waiting
    /// until then.
    fn sent_at(&self, times: WatchTimes) -> Option<Time> {
        let WatchTimes { called, wait, answered } = times;
        let took = answered.since(called);
        let waited = !wait.is_zero() && took > RESPONSE_TIME + self.lag;
        waited.then(|| before(answered, self.lag).max(called))
    }
}

fn before(time: Time, span: Duration) -> Time {
    let ms = span.as_millis() as u64;
    Time::from_millis(time.as_millis().saturating_sub(ms))
}

#[cfg(test)]
#[path = "contact_tests.rs"]
mod tests;
