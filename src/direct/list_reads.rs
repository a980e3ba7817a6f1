//! Whether the absence of a replica from the list proves that it has gone.
//!
//! The entry of a replica goes when the replica leaves. It also lapses while
//! the platform is away, since the replica cannot renew it then, and is back
//! shortly after. The two are told apart by whether the platform answered the
//! reads that the list comes from, whoever made them:
//!
//! | the list comes from | and | a missing replica |
//! | --- | --- | --- |
//! | own reads | none has failed, or they have been answered for the grace period again | has gone |
//! | own reads | one failed within the grace period, and nobody vouches for that time | is in doubt |
//! | own reads | a call failed or a watch was cut, and the next call was answered at once | has gone |
//! | another process | its reads have been answered for the grace period | has gone, whatever failed here |
//! | another process | its reads failed within the grace period, at a time at which the own ones were answered | has gone: its link failed |
//! | another process | its reads failed before the last answer known here, and were answered again shortly after it | has gone |
//! | another process | its reads failed within the grace period | is in doubt, until an own read follows shortly that is answered |
//! | another process | it has started within the grace period, before the last answer known here | has gone |
//! | another process | it has started within the grace period, after the last answer known here | is in doubt |
//! | any | it has been missing while the platform answered for twice the grace period in all | has gone |
//!
//! While the platform answers nobody, nothing is read and all replicas are
//! kept.

use std::time::Duration;

use crate::Time;

/// What it means that a replica is missing from the list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Absence {
    /// It has gone.
    Gone,
    /// Its entry may have lapsed while the platform was away. The platform
    /// had answered for this long in all when it was missing first.
    Doubtful(Duration),
}

/// A span of time in which the platform answered all reads that are known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnsweredSpan {
    /// When its first read began.
    pub since: Time,
    /// The last time at which the platform is known to have answered.
    pub until: Time,
    /// When a read last failed before it, or may have; `None` if the process
    /// started with it.
    pub failed: Option<Time>,
}

impl AnsweredSpan {
    /// Returns whether a replica that is missing from a list which was read
    /// in this span has gone. A lapsed entry is back within `grace` after the
    /// platform's return.
    pub fn proves_absence(&self, grace: Duration) -> bool {
        self.failed.is_none() || self.until.since(self.since) >= grace
    }

    /// Returns whether the platform can't have failed between this span and
    /// another one that begins up to `gap` later.
    fn continues_in(&self, other: &AnsweredSpan, gap: Duration) -> bool {
        other.since <= self.until.after(gap)
            && self.since <= other.until
            && other.failed.is_none_or(|failed| failed <= self.until)
    }

    /// Returns this span with another one that it continues in.
    ///
    /// It begins after a failure if this one does, however the other began:
    /// nothing is known of the time before.
    fn joined(&self, other: &AnsweredSpan) -> AnsweredSpan {
        let first = if other.since < self.since { other } else { self };
        AnsweredSpan {
            since: first.since,
            until: self.until.max(other.until),
            failed: self.failed.and(first.failed.or(Some(first.since))),
        }
    }
}

/// The reads of the platform that a process's list of replicas comes from,
/// its own and those of other processes.
#[derive(Clone, Debug)]
pub struct ListReads {
    grace: Duration,
    pace: Duration,
    span: Option<AnsweredSpan>,
    /// The last span that proved absence, unless an own read left a doubt
    /// after it.
    proven: Option<AnsweredSpan>,
    /// When an own read failed last.
    failed: Option<Time>,
    /// When the own reads began to fail, if none has been answered since.
    failing_since: Option<Time>,
    /// For how long the platform has answered in all.
    answered: Duration,
}

impl ListReads {
    /// Own reads that fail for less than this fraction of the grace period are
    /// no outage, but a connection or a watch that was cut.
    const MIN_OUTAGE: u32 = 8;

    /// How often the grace period a replica is missing before it has gone in
    /// spite of failures, in time for which the platform answered.
    const MAX_DOUBT: u32 = 2;

    /// Creates the record of a process that has read nothing yet, and that
    /// reads at least every `pace`. A lapsed entry is back within `grace`, two
    /// of its heartbeats, after the platform's return.
    pub const fn new(grace: Duration, pace: Duration) -> ListReads {
        ListReads {
            grace,
            pace,
            span: None,
            proven: None,
            failed: None,
            failing_since: None,
            answered: Duration::ZERO,
        }
    }

    /// Records an own read that failed.
    pub fn record_failure(&mut self, now: Time) {
        self.failing_since.get_or_insert(now);
        self.failed = self.failed.max(Some(now));
    }

    /// Returns whether one own read has failed since the last answer. A call
    /// that follows at once shows whether the platform has.
    pub fn has_just_failed(&self) -> bool {
        self.failing_since.is_some() && self.failing_since == self.failed
    }

    /// Records an own read that was answered.
    pub fn record_answer(&mut self, called: Time, answered: Time) {
        // The failures of others since then count only if the platform may
        // have failed this process as well.
        self.proven =
            self.proven.filter(|span| self.was_brief(span.until, called));
        let span = self.proven.or(self.span);
        let known = span.map(|span| span.until);
        if known.is_some_and(|known| self.was_brief(known, called)) {
            self.failed = self.failed.filter(|at| Some(*at) <= known);
        }
        self.failing_since = None;
        let failed = self.failed.filter(|failed| Some(*failed) > known);
        let new = AnsweredSpan { since: called, until: answered, failed };
        self.extend(new, self.max_gap());
        // What an own read left in doubt is not settled by another one.
        self.proven = self.span.filter(|span| self.proves(span));
    }

    /// Returns whether the own reads have failed too briefly for an outage, if
    /// one that was called then has been answered. The platform answered so
    /// recently before, at `known`, that each entry has been renewed at most
    /// once less.
    fn was_brief(&self, known: Time, called: Time) -> bool {
        let failing = self
            .failing_since
            .map_or(Duration::ZERO, |since| called.since(since.max(known)));
        failing < self.grace / Self::MIN_OUTAGE
            && called.since(known) <= self.grace / 2 + self.pace
    }

    /// Records a list of another process, which tells when the reads were
    /// answered that it comes from.
    pub fn record_relayed(&mut self, span: AnsweredSpan) {
        // A process that has just started knows nothing of the time before.
        let gap = span.failed.map_or(Duration::ZERO, |_| self.max_gap());
        self.extend(span, gap);
        if let Some(span) = self.span.filter(|span| self.proves(span)) {
            self.proven = Some(span);
        }
    }

    /// Returns how long no read may have been answered for, with no failure
    /// known, without an outage: an entry that is renewed in time outlasts
    /// such a gap.
    fn max_gap(&self) -> Duration {
        self.grace + self.pace
    }

    /// Returns the span that the current list comes from.
    pub const fn span(&self) -> Option<AnsweredSpan> {
        self.span
    }

    /// Returns whether the platform failed so recently that a missing replica
    /// may be back.
    pub fn is_in_doubt(&self) -> bool {
        !self.span.is_none_or(|span| self.proves(&span))
    }

    fn proves(&self, span: &AnsweredSpan) -> bool {
        span.proves_absence(self.grace)
    }

    /// Returns what it means that a replica is missing from the current list.
    pub fn absence(&self) -> Absence {
        if self.is_in_doubt() {
            Absence::Doubtful(self.answered)
        } else {
            Absence::Gone
        }
    }

    /// Returns what it means that a replica is missing from the part of a list
    /// that an own read has returned before it failed. An entry may have lapsed
    /// if reads have failed before.
    pub fn absence_in_part(&self) -> Absence {
        if self.failing_since.is_some() {
            Absence::Doubtful(self.answered)
        } else {
            self.absence()
        }
    }

    /// Returns what it means that a replica is missing from the current list,
    /// which does not tell of its name. If it lives, it writes its entry again
    /// within the grace period.
    pub fn absence_unread(&self) -> Absence {
        Absence::Doubtful(self.answered + self.grace)
    }

    /// Returns whether an own read that is answered now shows that what is
    /// missing has gone, though reads of another process have failed.
    pub fn is_settled_by_answer(&self, now: Time) -> bool {
        let brief = |span: AnsweredSpan| self.was_brief(span.until, now);
        self.is_in_doubt() && self.proven.is_some_and(brief)
    }

    /// Returns up to which begin of a doubt, as in [`Absence::Doubtful`], the
    /// missing replicas have gone by now.
    pub fn settled(&self) -> Option<Duration> {
        if self.is_in_doubt() {
            self.answered.checked_sub(self.grace * Self::MAX_DOUBT)
        } else {
            Some(self.answered)
        }
    }

    fn extend(&mut self, new: AnsweredSpan, gap: Duration) {
        // An own failure that the other process was not there to refute.
        let failed = new.failed.max(self.failed.filter(|at| *at < new.since));
        let new = AnsweredSpan { failed, ..new };
        let Some(span) = self.span else {
            self.answered += new.until.since(new.since);
            self.span = Some(new);
            return;
        };
        let from = span.until.max(new.since);
        self.answered += new.until.since(from);
        let joined = [self.proven, Some(span)]
            .into_iter()
            .flatten()
            .filter(|span| span.continues_in(&new, gap))
            .map(|span| span.joined(&new))
            .filter(|joined| joined.until >= span.until)
            .max_by_key(|span| self.proves(span));
        if joined.is_some() {
            self.span = joined;
        } else if new.until > span.until {
            // Nothing was read in between, so the platform may have failed.
            let failed = Some(failed.unwrap_or(new.since));
            self.span = Some(AnsweredSpan { failed, ..new });
        }
    }
}
