//! What an entry knows of one replica.

use std::time::{Duration, Instant};

use stairhinge::Time;
use stairhinge::direct::Replica;
use stairhinge::direct::balance::Load;
use stairhinge::placing::{
    KnownLeaving, KnownLimit, KnownRetryAfter, Need, SentWindow,
};
use stairhinge::poison::PoisonTable;
use stairhinge::routing::Health;

use crate::report::EngineReport;

/// An attempt that begins later than this makes its replica a slow one.
pub(super) const SLOW: Duration = Duration::from_millis(700);

/// What a slow replica costs against others, in milliseconds.
const SLOW_COST_MS: f64 = 150.0;

/// The delay of a probe that chunks usually make, in milliseconds.
const USUAL_LINK_MS: u32 = 60;

/// How long a replica counts as slow.
const SLOW_COUNTS: Duration = Duration::from_secs(5);

/// How long a report counts.
const REPORT_COUNTS: Duration = Duration::from_millis(1_500);

/// A report that is older than this is late: agents say something twice a
/// second though nothing has changed.
const REPORT_LATE: Duration = Duration::from_millis(750);

/// The delay of a probe, in milliseconds, by which a link is full.
const FULL_LINK_MS: u32 = 250;

/// How long a replica that is not the one meant is left out. One that has
/// crashed stays listed for three heartbeats, 3.6 s, beside the one that has
/// its address; one whose list entry is late is listed within 2 s.
const MISDIRECTED_COUNTS: Duration = Duration::from_millis(2_000);

/// How long the rate limit or leaving announcement of an unlisted replica is
/// retained after it was last received. List entries can expire while the
/// platform's store is unavailable.
const NOTICE_RETENTION: Duration = Duration::from_secs(120);

/// An agent's report and when it came.
#[derive(Debug)]
pub(super) struct Reported {
    pub report: EngineReport,
    pub at: Instant,
}

impl Reported {
    /// Whether it is recent enough to count.
    pub(super) fn counts(&self) -> bool {
        self.at.elapsed() < REPORT_COUNTS
    }
}

/// A replica's word that it is another one than was meant, or has another
/// version.
#[derive(Clone, Copy, Debug)]
pub(super) struct Misdirected {
    /// The version that it was to have, if any was insisted on.
    pub version: Option<u64>,
    pub at: Instant,
}

/// What an entry knows of one replica.
#[derive(Debug, Default)]
pub(super) struct Known {
    /// When the process started of which this is known, if it tells.
    pub born: Option<u64>,
    pub load: Load,
    pub offset: Option<f64>,
    pub health: Health,
    /// When it last failed, or took long to begin.
    pub slow_at: Option<Instant>,
    pub reported: Option<Reported>,
    pub full_until: Option<Instant>,
    /// How long it was cold by its last entry, in milliseconds, and until
    /// when.
    pub cold_ms: u64,
    pub cold_until: Option<Time>,
    /// What it was sent of late.
    pub sent: SentWindow,
    /// Its rate limit, as last announced in its answers.
    pub limit: KnownLimit,
    /// Whether it is leaving, as last announced in its answers.
    pub leaving: KnownLeaving,
    /// Until when it asked this entry to send it no requests.
    pub retry_after: KnownRetryAfter,
    /// Whether its last notice was invalid.
    pub notice_invalid: bool,
    /// What it last said not to be.
    pub misdirected: Option<Misdirected>,
    /// Until when it may end under a request that it was given.
    pub suspect_until: Option<Instant>,
    /// Until when it may end under one that is a replica short of quarantine.
    pub trial_until: Option<Instant>,
}

impl Known {
    /// Forgets what was held against an earlier process of the replica. The
    /// requests there end by themselves, and its agent goes on.
    pub(super) fn reset_if_restarted(&mut self, replica: &Replica) {
        if self.born != replica.born {
            self.begin_anew(replica);
        }
    }

    /// Whether this state belongs to the listed process of the replica.
    pub(super) fn matches_process(&self, replica: &Replica) -> bool {
        self.born == replica.born
    }

    /// Updates the state from the replica's list entry. Returns how long the
    /// replica is cold, in milliseconds, if it has just become cold.
    pub(super) fn meet(
        &mut self,
        replica: &Replica,
        now: Time,
    ) -> Option<u64> {
        self.reset_if_restarted(replica);
        if self.cold_ms == replica.cold_ms {
            return None;
        }
        let was_cold = self.is_cold(now);
        self.cold_ms = replica.cold_ms;
        let span = Duration::from_millis(replica.cold_ms);
        self.cold_until = Some(now.after(span));
        (!was_cold && self.is_cold(now)).then_some(replica.cold_ms)
    }

    /// Drops the agent's report; returns whether there was one.
    pub(super) fn drop_report(&mut self) -> bool {
        self.load = self.load.without_report();
        self.reported.take().is_some()
    }

    /// Whether the state must be retained while the replica is not listed: its
    /// rate limit or leaving announcement was received within
    /// `NOTICE_RETENTION`, or its `Retry-After` has not expired.
    pub(super) fn has_recent_notice(&self, now: Time) -> bool {
        let limit_set_at = self.limit.last_set().map(|(_, at)| at);
        let last_at = limit_set_at.max(self.leaving.last_at());
        let recent =
            last_at.is_some_and(|at| now.since(at) < NOTICE_RETENTION);
        recent || self.retry_after.remaining(now).is_some()
    }

    /// Whether it bears few requests now.
    pub(super) fn is_cold(&self, now: Time) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    fn begin_anew(&mut self, replica: &Replica) {
        *self = Known {
            born: replica.born,
            load: self.load,
            offset: self.offset,
            reported: self.reported.take(),
            sent: std::mem::take(&mut self.sent),
            ..Known::default()
        };
    }

    /// Takes note of a request that it is given.
    pub(super) fn given(&mut self, need: &Need, now: Time) {
        self.sent.record(now);
        self.load.own_pending += 1;
        self.load.own_pending_tokens += need.prompt_tokens;
        let until = Some(Instant::now() + PoisonTable::TRIAL_PERIOD);
        if need.suspicion.ended > 0 {
            self.suspect_until = until;
        }
        if need.suspicion.requires_exclusive_run() {
            self.trial_until = until;
        }
    }

    /// Whether it has just been given a request that may end it.
    pub(super) fn has_suspect(&self) -> bool {
        self.suspect_until.is_some_and(|until| Instant::now() < until)
    }

    /// Whether it has just been given a request that is a replica short of
    /// quarantine.
    pub(super) fn has_trial(&self) -> bool {
        self.trial_until.is_some_and(|until| Instant::now() < until)
    }

    /// Returns how much longer than usual the way to it takes, as far as
    /// known, in milliseconds.
    pub(super) fn delay_ms(&self) -> f64 {
        let reported = self.reported.as_ref();
        let link = reported.map_or(0, |r| r.report.link_ms);
        let slow = if self.was_slow() { SLOW_COST_MS } else { 0.0 };
        slow.max(f64::from(link.saturating_sub(USUAL_LINK_MS)))
    }

    /// Returns how many times slower than usual the engine says it is.
    pub(super) fn slowdown(&self) -> f64 {
        let reported = self.reported.as_ref();
        reported.map_or(1.0, |r| f64::from(r.report.pace).max(1.0))
    }

    /// Whether what is sent there may be long on its way: it was slow of
    /// late, or its agent's reports, which come over the same link, are.
    pub(super) fn is_slow(&self) -> bool {
        let late = self.reported.as_ref().is_none_or(|r| {
            r.at.elapsed() > REPORT_LATE || r.report.link_ms > FULL_LINK_MS
        });
        self.was_slow() || late
    }

    /// Whether it has said that it is not the one meant, and nothing newer is
    /// known. A report of another version is newer; one of the same version
    /// tells that the address has passed to another replica.
    pub(super) fn is_misdirected(&self) -> bool {
        let Some(said) = self.misdirected else { return false };
        let newer = self.reported.as_ref().is_some_and(|r| {
            r.at > said.at
                && said.version.is_some()
                && r.report.version != said.version
        });
        !newer && said.at.elapsed() < MISDIRECTED_COUNTS
    }

    fn was_slow(&self) -> bool {
        self.slow_at.is_some_and(|at| at.elapsed() < SLOW_COUNTS)
    }
}

#[cfg(test)]
#[path = "known_tests.rs"]
mod tests;
