//! Selection of the placer that an entry asks, and how long it waits.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Time;

/// The entry that places a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Placer {
    /// The entry itself, as the first available placer of its hall.
    Own,
    /// Another entry of the hall.
    Other(SocketAddr),
}

/// The availability of a hall's placers as observed by one entry.
#[derive(Debug)]
pub struct PlacerChoice {
    own: SocketAddr,
    backoffs: HashMap<SocketAddr, Backoff>,
    /// The moving average of answer times, in milliseconds.
    average_ms: f64,
}

/// A period during which a placer is not asked.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    /// The questions that timed out since the last answer.
    timeouts: u32,
    /// The time of the first of these timeouts.
    since: Time,
    until: Time,
}

impl PlacerChoice {
    /// The maximum number of placers that are asked for one request. Each that
    /// does not answer delays the request by
    /// [`PlacerChoice::answer_timeout`].
    pub const MAX_PLACERS_ASKED: usize = 2;

    /// The number of consecutive timeouts after which a placer is skipped. A
    /// single one may be due to a lost datagram.
    const MAX_TIMEOUTS: u32 = 2;

    /// How long a placer is skipped at first. A stalled placer should be used
    /// again soon, and a dead one soon disappears from the list of entries.
    const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

    /// The maximum time for which a placer is skipped.
    const MAX_BACKOFF: Duration = Duration::from_secs(4);

    /// How long a placer that is not ready is skipped. A new placer receives
    /// the reports of all agents within about half a second of connecting to
    /// them.
    const UNREADY_BACKOFF: Duration = Duration::from_millis(250);

    /// The answer time assumed before the first measurement, in milliseconds.
    /// It consists of two network transits of 0.2 ms each and processing on
    /// 0.24 cores.
    const DEFAULT_ANSWER_MS: f64 = 4.0;

    /// The weight of a new answer time in the moving average.
    const NEW_SAMPLE_WEIGHT: f64 = 0.05;

    /// The ratio of the answer timeout to the average answer time.
    const TIMEOUT_FACTOR: f64 = 6.0;

    /// The minimum answer timeout, in milliseconds. It covers the imprecision
    /// of timers and CPU scheduling.
    const MIN_TIMEOUT_MS: f64 = 12.0;

    /// The maximum answer timeout, in milliseconds. It is a tenth of an
    /// objective of 500 ms.
    const MAX_TIMEOUT_MS: f64 = 50.0;

    /// Returns the state of an entry that others reach at `own`.
    pub fn new(own: SocketAddr) -> PlacerChoice {
        PlacerChoice {
            own,
            backoffs: HashMap::new(),
            average_ms: PlacerChoice::DEFAULT_ANSWER_MS,
        }
    }

    /// Returns the placer to use now, given the hall's leading entries with
    /// the placers first, or `None` if no placer is available.
    pub fn choose(&self, ranked: &[SocketAddr], now: Time) -> Option<Placer> {
        for addr in ranked.iter().take(PlacerChoice::MAX_PLACERS_ASKED) {
            if *addr == self.own {
                return Some(Placer::Own);
            }
            let backoff = self.backoffs.get(addr);
            if backoff.is_none_or(|backoff| backoff.until <= now) {
                return Some(Placer::Other(*addr));
            }
        }
        None
    }

    /// Returns how long to wait for the first answer to a question.
    pub fn answer_timeout(&self) -> Duration {
        let ms = (self.average_ms * PlacerChoice::TIMEOUT_FACTOR)
            .clamp(PlacerChoice::MIN_TIMEOUT_MS, PlacerChoice::MAX_TIMEOUT_MS);
        Duration::from_secs_f64(ms / 1_000.0)
    }

    /// Records that a placer gave its first answer after `took`. Returns how
    /// long it had not answered, if it was skipped for that reason.
    pub fn record_answer(
        &mut self,
        placer: SocketAddr,
        took: Duration,
        now: Time,
    ) -> Option<Duration> {
        let ms = took.as_secs_f64() * 1_000.0;
        self.average_ms +=
            (ms - self.average_ms) * PlacerChoice::NEW_SAMPLE_WEIGHT;
        let backoff = self.backoffs.remove(&placer)?;
        let was_skipped = backoff.timeouts >= PlacerChoice::MAX_TIMEOUTS;
        was_skipped.then(|| now.since(backoff.since))
    }

    /// Records that a placer did not answer in time. Returns whether it is
    /// skipped from now on.
    pub fn record_timeout(&mut self, placer: SocketAddr, now: Time) -> bool {
        let backoff = self.backoffs.entry(placer).or_insert(Backoff {
            timeouts: 0,
            since: now,
            until: now,
        });
        if backoff.timeouts == 0 {
            backoff.since = now;
        }
        backoff.timeouts += 1;
        let Some(doublings) =
            backoff.timeouts.checked_sub(PlacerChoice::MAX_TIMEOUTS)
        else {
            return false;
        };
        let factor = 1 << doublings.min(8);
        let span = (PlacerChoice::INITIAL_BACKOFF * factor)
            .min(PlacerChoice::MAX_BACKOFF);
        backoff.until = now.after(span);
        doublings == 0
    }

    /// Records that a placer has not received enough reports yet.
    pub fn record_unready(&mut self, placer: SocketAddr, now: Time) {
        let until = now.after(PlacerChoice::UNREADY_BACKOFF);
        let backoff = Backoff { timeouts: 0, since: now, until };
        self.backoffs.insert(placer, backoff);
    }

    /// Removes the state of placers that are no longer leading entries.
    pub fn retain(&mut self, ranked: &[SocketAddr]) {
        self.backoffs.retain(|addr, _| ranked.contains(addr));
    }
}
