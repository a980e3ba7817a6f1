//! Catching up with other processes after a start or a pause.
//!
//! What processes tell one another as it happens does not reach one that has
//! just started, and waits unread at one that is paused. Such a process asks
//! its peers for what they know before it acts on what it knows itself. It
//! does not wait for long: if its peers do not answer, or know no more than it
//! does, it has to go on without.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::Time;

/// The peers that a process knows.
#[derive(Clone, Debug, Default)]
pub struct CatchUpPeers {
    /// Those of its data hall.
    pub near: BTreeSet<SocketAddr>,
    /// One of each other hall.
    pub far: BTreeSet<SocketAddr>,
    /// Whether it has been told of the members of its hall, or nobody is there
    /// to tell, so that it does not wait for more of them.
    pub complete: bool,
}

/// What is known of a peer's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PeerAnswer {
    /// The peer was asked and has not told everything yet.
    Pending,
    /// The peer has told everything, but is catching up itself.
    Outdated,
    /// The peer has told everything.
    Current,
}

/// How a process has caught up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CatchUpEnd {
    /// A peer that was up to date has told everything.
    Informed,
    /// All known peers are catching up as well.
    NoneKnows,
    /// There are no peers.
    Alone,
    /// No peer that is up to date has told everything in time.
    TimedOut,
}

impl CatchUpEnd {
    /// Returns the name for logs.
    pub const fn name(self) -> &'static str {
        match self {
            CatchUpEnd::Informed => "informed",
            CatchUpEnd::NoneKnows => "none_knows",
            CatchUpEnd::Alone => "alone",
            CatchUpEnd::TimedOut => "timed_out",
        }
    }
}

/// The next step of a process that is catching up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CatchUpStep {
    /// Ask these peers, if any, and continue.
    Ask(Vec<SocketAddr>),
    /// The process has caught up as far as it can.
    End(CatchUpEnd),
}

/// The state of a process that is catching up.
#[derive(Clone, Debug)]
pub struct CatchUp {
    number: u64,
    begun: Time,
    /// When the process was first able to act.
    able_since: Option<Time>,
    asked_at: Option<Time>,
    /// Since when the peers known have been complete.
    complete_since: Option<Time>,
    /// Whether peers of other halls are asked, too.
    asks_far: bool,
    answers: BTreeMap<SocketAddr, PeerAnswer>,
}

impl CatchUp {
    /// The maximum time for which a process that could act does not.
    pub const MAX_SPAN: Duration = Duration::from_millis(500);

    /// How long the list of peers may be incomplete at first.
    pub const SETTLE_PERIOD: Duration = Duration::from_millis(50);

    /// The interval at which peers that have not answered are asked again.
    pub const ASK_INTERVAL: Duration = Duration::from_millis(100);

    /// Returns the state of a process that has started or continued at `now`.
    /// Answers to questions with another `number` are ignored.
    pub const fn new(number: u64, now: Time) -> CatchUp {
        CatchUp {
            number,
            begun: now,
            able_since: None,
            asked_at: None,
            complete_since: None,
            asks_far: false,
            answers: BTreeMap::new(),
        }
    }

    /// Returns the number of its questions.
    pub const fn number(&self) -> u64 {
        self.number
    }

    /// Returns when it began.
    pub const fn begun(&self) -> Time {
        self.begun
    }

    /// Returns the number of peers that were asked.
    pub fn asked(&self) -> usize {
        self.answers.len()
    }

    /// Records that a peer has told everything, and whether it is up to date
    /// itself. Returns whether it was asked by this number.
    pub fn record_answer(
        &mut self,
        from: SocketAddr,
        number: u64,
        is_current: bool,
    ) -> bool {
        if number != self.number {
            return false;
        }
        let Some(answer) = self.answers.get_mut(&from) else { return false };
        *answer = match is_current {
            true => PeerAnswer::Current,
            false => PeerAnswer::Outdated,
        };
        true
    }

    /// Returns what to do at `now`. `is_able` tells whether the process could
    /// act if it had caught up.
    pub fn step(
        &mut self,
        peers: &CatchUpPeers,
        is_able: bool,
        now: Time,
    ) -> CatchUpStep {
        if is_able {
            self.able_since.get_or_insert(now);
        }
        if !peers.complete {
            self.complete_since = None;
        } else if self.complete_since.is_none() {
            self.complete_since = Some(now);
        }
        let repeats = self
            .asked_at
            .is_some_and(|at| now.since(at) >= CatchUp::ASK_INTERVAL);
        self.asks_far |= repeats || self.are_outdated(&peers.near);
        if let Some(end) = self.end(peers, now) {
            return CatchUpStep::End(end);
        }
        let far = peers.far.iter().filter(|_| self.asks_far);
        let mut asked = Vec::new();
        for peer in peers.near.iter().chain(far) {
            let answer = self.answers.get(peer);
            let is_pending = answer == Some(&PeerAnswer::Pending);
            if answer.is_none() || (repeats && is_pending) {
                asked.push(*peer);
            }
        }
        for peer in &asked {
            self.answers.entry(*peer).or_insert(PeerAnswer::Pending);
        }
        if !asked.is_empty() {
            self.asked_at = Some(now);
        }
        CatchUpStep::Ask(asked)
    }

    fn end(&self, peers: &CatchUpPeers, now: Time) -> Option<CatchUpEnd> {
        if self.answers.values().any(|a| *a == PeerAnswer::Current) {
            return Some(CatchUpEnd::Informed);
        }
        let settled = |since: Time| now.since(since) >= CatchUp::SETTLE_PERIOD;
        let has_peers = !peers.near.is_empty() || !peers.far.is_empty();
        if !has_peers && self.complete_since.is_some_and(settled) {
            return Some(CatchUpEnd::Alone);
        }
        let none_knows =
            self.are_outdated(&peers.near) && self.are_outdated(&peers.far);
        if has_peers && none_knows && settled(self.begun) {
            return Some(CatchUpEnd::NoneKnows);
        }
        let able_for = self.able_since.map(|at| now.since(at));
        able_for
            .is_some_and(|span| span >= CatchUp::MAX_SPAN)
            .then_some(CatchUpEnd::TimedOut)
    }

    /// Returns whether all of these peers are catching up themselves.
    fn are_outdated(&self, peers: &BTreeSet<SocketAddr>) -> bool {
        let answer = |peer| self.answers.get(peer);
        peers.iter().all(|p| answer(p) == Some(&PeerAnswer::Outdated))
    }
}

#[cfg(test)]
#[path = "catch_up_tests.rs"]
mod tests;
