//! Whom an entry asks for a place, and how long it waits for an answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Time;

/// Who places a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Placer {
    /// The entry itself is the first well placer of its hall.
    Own,
    /// Another entry of the hall.
    Other(SocketAddr),
}

/// The placers of a hall as one entry finds them.
#[derive(Debug)]
pub struct PlacerChoice {
    own: SocketAddr,
    rests: HashMap<SocketAddr, Rest>,
    usual_ms: f64,
}

#[derive(Clone, Copy, Debug)]
struct Rest {
    /// Questions without an answer since the last answer.
    silences: u32,
    /// When the first of these was noted.
    since: Time,
    until: Time,
}

impl PlacerChoice {
    /// How many of the first in rank are asked for one request; each that is
    /// silent costs [`PlacerChoice::answer_timeout`].
    pub const MAX_PLACERS_ASKED: usize = 2;

    /// Silences in a row from which on a placer is left out: a single one
    /// may be a lost datagram.
    const SILENCES: u32 = 2;

    /// How long a placer is left out at first. One that is dead is soon told
    /// of no more; one that has stood still is wanted again.
    const FIRST_REST: Duration = Duration::from_millis(500);

    /// The longest that a placer is left out.
    const LONGEST_REST: Duration = Duration::from_secs(4);

    /// How long one that does not know enough yet is left out: it hears all
    /// agents within about half a second of their connections.
    const UNREADY_REST: Duration = Duration::from_millis(250);

    /// The answer time that is presumed until one is measured, in
    /// milliseconds: two ways of 0.2 ms and some work at 0.24 cores.
    const PRESUMED_MS: f64 = 4.0;

    /// What a new answer time weighs against those before.
    const NEW_PART: f64 = 0.05;

    /// How many times the usual answer time is waited.
    const PATIENCE: f64 = 6.0;

    /// The least patience, in milliseconds: timers and turns of the processor
    /// are coarse.
    const LEAST_MS: f64 = 12.0;

    /// The most patience, in milliseconds: a tenth of an objective of 500 ms.
    const MOST_MS: f64 = 50.0;

    /// Returns the choice of the entry that others reach at `own`.
    pub fn new(own: SocketAddr) -> PlacerChoice {
        PlacerChoice {
            own,
            rests: HashMap::new(),
            usual_ms: PlacerChoice::PRESUMED_MS,
        }
    }

    /// Returns who places now, given who comes first; `None` if nobody that
    /// is well is among the first.
    pub fn choose(&self, ranked: &[SocketAddr], now: Time) -> Option<Placer> {
        for addr in ranked.iter().take(PlacerChoice::MAX_PLACERS_ASKED) {
            if *addr == self.own {
                return Some(Placer::Own);
            }
            let rest = self.rests.get(addr);
            if rest.is_none_or(|rest| rest.until <= now) {
                return Some(Placer::Other(*addr));
            }
        }
        None
    }

    /// Returns how long a first answer is waited for.
    pub fn answer_timeout(&self) -> Duration {
        let ms = (self.usual_ms * PlacerChoice::PATIENCE)
            .clamp(PlacerChoice::LEAST_MS, PlacerChoice::MOST_MS);
        Duration::from_secs_f64(ms / 1_000.0)
    }

    /// Notes that a placer gave its first answer after `took`; returns for
    /// how long it had been silent, if it was left out for that.
    pub fn record_answer(
        &mut self,
        placer: SocketAddr,
        took: Duration,
        now: Time,
    ) -> Option<Duration> {
        let ms = took.as_secs_f64() * 1_000.0;
        self.usual_ms += (ms - self.usual_ms) * PlacerChoice::NEW_PART;
        let rest = self.rests.remove(&placer)?;
        let left_out = rest.silences >= PlacerChoice::SILENCES;
        left_out.then(|| now.since(rest.since))
    }

    /// Notes that a placer gave no answer in time; returns whether it is left
    /// out from now on.
    pub fn record_timeout(&mut self, placer: SocketAddr, now: Time) -> bool {
        let rest = self.rests.entry(placer).or_insert(Rest {
            silences: 0,
            since: now,
            until: now,
        });
        if rest.silences == 0 {
            rest.since = now;
        }
        rest.silences += 1;
        let Some(over) = rest.silences.checked_sub(PlacerChoice::SILENCES)
        else {
            return false;
        };
        let doubled = 1 << over.min(8);
        let span = (PlacerChoice::FIRST_REST * doubled)
            .min(PlacerChoice::LONGEST_REST);
        rest.until = now.after(span);
        over == 0
    }

    /// Notes that a placer does not know enough of its hall yet.
    pub fn record_unready(&mut self, placer: SocketAddr, now: Time) {
        let until = now.after(PlacerChoice::UNREADY_REST);
        let rest = Rest { silences: 0, since: now, until };
        self.rests.insert(placer, rest);
    }

    /// Forgets placers that are not among the leading entries any more.
    pub fn retain(&mut self, ranked: &[SocketAddr]) {
        self.rests.retain(|addr, _| ranked.contains(addr));
    }
}
