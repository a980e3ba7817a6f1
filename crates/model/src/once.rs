//! At most once: one key, one guard, executing agents, entries that retry.
//!
//! A caller sends one keyed request that must not repeat through an entry,
//! and sends it again through another. Each entry makes attempts, one after
//! another; an attempt is a message that may arrive at any time or never. An
//! agent admits it, claims the key, and orders the engine, with a pause of
//! any length between any two of these. Agents and guard may restart, and
//! entries revoke what they lost. The tables are the project's own.

mod state;
mod without;

use std::time::Duration;

use stairhinge::request::{
    Attempt, AttemptTable, ClaimDecision, Failure, Key, KeyTable,
    RequestRetry, RetryDecision, revocation_outcome,
};
use stairhinge::serving::Lease;
use stairhinge::{Ran, Time};

use self::state::{Agent, At, Entry, Try};
use crate::Spec;

pub use self::state::State;
pub use self::without::Without;

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Ticks of the clock.
    pub ticks: u64,
    /// Attempts of the first entry; the second has one less.
    pub attempts: usize,
    /// Restarts, of agents and guard together.
    pub restarts: u8,
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Once {
    /// The rule left out.
    pub without: Without,
    /// The bounds.
    pub bounds: Bounds,
}

const ENTRIES: usize = 2;
const AGENTS: usize = 2;

/// A tick is a second; the window is two, so a lease is one.
const TICK: u64 = 1_000;
const WINDOW: Duration = Duration::from_millis(2 * TICK);

/// How long agents remember attempts: longer than any exploration runs,
/// except for the rule about old words.
const KEEP: Duration = Duration::from_millis(100 * TICK);
const SHORT_KEEP: Duration = Duration::from_millis(2 * TICK);

const MOST: usize = 100;

fn at(tick: u64) -> Time {
    Time::from_millis(tick * TICK)
}

fn key() -> Key {
    Key::received("w/k")
}

fn name(entry: usize, seq: usize) -> Attempt {
    Attempt::new(["e0", "e1"][entry], 1, seq as u64)
}

impl Once {
    /// The most attempts of an entry; the second entry has one less.
    fn most(&self, entry: usize) -> usize {
        self.bounds.attempts.saturating_sub(entry).max(1)
    }

    fn keep(&self) -> Duration {
        match self.without {
            Without::Settle => SHORT_KEEP,
            _ => KEEP,
        }
    }

    fn attempts(&self, incarnation: u64) -> AttemptTable {
        AttemptTable::new(incarnation, self.keep(), MOST)
    }

    /// A guard's table; the mutant forgets as early as grants lapse.
    fn keys(&self, start: Time) -> KeyTable {
        let window = match self.without {
            Without::Keeping => WINDOW * 2 / 3,
            _ => WINDOW,
        };
        KeyTable::new(start, window, MOST)
    }

    fn send(&self, state: &State, next: &mut Vec<(String, State)>) {
        for (e, entry) in state.entries.iter().enumerate() {
            let open = entry.tries.last().is_none_or(|t| t.said.is_some());
            let full = entry.tries.len() >= self.most(e);
            if entry.answer.is_some() || !open || full {
                continue;
            }
            let unused = state.entries.iter().all(|x| x.tries.is_empty());
            // The agents are alike, so the first attempt may go to agent 0.
            let agents = if unused { 1 } else { AGENTS };
            for a in 0..agents {
                let mut to = state.clone();
                to.entries[e].tries.push(Try {
                    agent: a,
                    incarnation: state.agents[a].incarnation,
                    sent: state.now,
                    at: At::Sent,
                    ran: false,
                    said: None,
                });
                next.push((format!("entry {e} sends to agent {a}"), to));
            }
        }
    }

    /// Steps of attempts at their agents.
    fn run(&self, state: &State, next: &mut Vec<(String, State)>) {
        for (e, entry) in state.entries.iter().enumerate() {
            for (i, attempt) in entry.tries.iter().enumerate() {
                let step = match attempt.at {
                    At::Sent => self.admit(state, e, i),
                    At::Admitted => self.claim(state, e, i),
                    At::Granted(since) => self.order(state, e, i, since),
                    At::Over => continue,
                };
                next.push(step);
            }
        }
    }

    fn admit(&self, state: &State, e: usize, i: usize) -> (String, State) {
        let mut to = state.clone();
        let attempt = &state.entries[e].tries[i];
        let agent = &mut to.agents[attempt.agent];
        let meant = match self.without {
            Without::Incarnation => agent.incarnation,
            _ => attempt.incarnation,
        };
        let id = name(e, i);
        let admitted = agent.attempts.admit(&id, meant, at(state.now));
        let (word, after) = match admitted {
            Ok(()) => ("admits", At::Admitted),
            Err(_) => ("refuses", At::Over),
        };
        let a = attempt.agent;
        to.entries[e].tries[i].at = after;
        if after == At::Over {
            self.hear(&mut to, e, i, Ran::DidNotRun);
        }
        (format!("agent {a} {word} {id}"), to)
    }

    fn claim(&self, state: &State, e: usize, i: usize) -> (String, State) {
        let mut to = state.clone();
        let id = name(e, i);
        let a = state.entries[e].tries[i].agent;
        if self.without == Without::Claim {
            to.entries[e].tries[i].at = At::Granted(state.now);
            return (format!("agent {a} goes on with {id} unasked"), to);
        }
        match to.keys.claim(&key(), id.as_str(), at(state.now)) {
            ClaimDecision::Granted => {
                to.entries[e].tries[i].at = At::Granted(state.now);
                (format!("guard grants the key to {id}"), to)
            }
            ClaimDecision::Refused(err, _) => {
                self.end(&mut to, e, i, Ran::DidNotRun);
                (format!("guard refuses {id}: {}", err.code().name()), to)
            }
        }
    }

    fn order(
        &self,
        state: &State,
        e: usize,
        i: usize,
        since: u64,
    ) -> (String, State) {
        let mut to = state.clone();
        let id = name(e, i);
        let a = state.entries[e].tries[i].agent;
        let lease = Lease::new(at(since), KeyTable::lease_duration(WINDOW));
        let fresh = lease.is_valid(at(state.now));
        if !fresh && self.without != Without::Lease {
            self.end(&mut to, e, i, Ran::DidNotRun);
            return (format!("agent {a} finds the grant of {id} old"), to);
        }
        to.runs.push(state.now);
        to.entries[e].tries[i].ran = true;
        self.end(&mut to, e, i, Ran::Ran);
        (format!("agent {a} runs {id}"), to)
    }

    /// The end of an attempt at its agent, which settles its key.
    fn end(&self, to: &mut State, e: usize, i: usize, ran: Ran) {
        let id = name(e, i);
        let now = at(to.now);
        let a = to.entries[e].tries[i].agent;
        to.agents[a].attempts.end(&id, ran, now);
        let told = match self.without {
            Without::Settling => Ran::DidNotRun,
            _ => ran,
        };
        to.keys.settle(&key(), id.as_str(), told);
        to.entries[e].tries[i].at = At::Over;
        if ran == Ran::DidNotRun {
            self.hear(to, e, i, ran);
        }
    }

    /// The agent's answer reaches the entry, unless the entry gave it up.
    fn hear(&self, to: &mut State, e: usize, i: usize, ran: Ran) {
        if to.entries[e].tries[i].said.is_none() {
            to.entries[e].tries[i].said = Some(ran);
        }
    }

    /// An entry loses an agent and asks it to revoke; the agent answers, or
    /// is silent.
    fn lose(&self, state: &State, next: &mut Vec<(String, State)>) {
        for (e, entry) in state.entries.iter().enumerate() {
            let Some((i, attempt)) =
                entry.tries.iter().enumerate().next_back()
            else {
                continue;
            };
            if attempt.said.is_some() {
                continue;
            }
            for silent in [false, true] {
                next.push(self.revoke(state, e, i, silent));
            }
        }
    }

    fn revoke(
        &self,
        state: &State,
        e: usize,
        i: usize,
        silent: bool,
    ) -> (String, State) {
        let mut to = state.clone();
        let id = name(e, i);
        let attempt = &state.entries[e].tries[i];
        let agent = &mut to.agents[attempt.agent];
        let meant = match self.without {
            Without::Incarnation => agent.incarnation,
            _ => attempt.incarnation,
        };
        let now = at(state.now);
        let word = match (silent, self.without) {
            (true, _) => None,
            (_, Without::Tombstone) => {
                // Answered from a copy: nothing is remembered.
                Some(agent.attempts.clone().revoke(&id, meant, now))
            }
            _ => Some(agent.attempts.revoke(&id, meant, now)),
        };
        let since = now.since(at(attempt.sent));
        let ran = match self.without {
            Without::Settle => word.unwrap_or(Ran::MayHaveRun),
            _ => revocation_outcome(word, since, self.keep()),
        };
        let entry = &mut to.entries[e];
        entry.tries[i].said = Some(ran);
        let more = entry.tries.len() < self.most(e);
        entry.course.failed(Failure::NoResponse, more);
        if let RetryDecision::Respond(_, ran) = entry.course.revoked(ran, more)
        {
            entry.answer = Some(ran);
        }
        let said = word.map_or("silence", Ran::as_str);
        (format!("entry {e} revokes {id}: {said}"), to)
    }

    fn restart(&self, state: &State, next: &mut Vec<(String, State)>) {
        if state.restarts >= self.bounds.restarts {
            return;
        }
        for a in 0..AGENTS {
            let mut to = state.clone();
            to.restarts += 1;
            let incarnation = state.agents[a].incarnation + 1;
            let attempts = self.attempts(incarnation);
            to.agents[a] = Agent { incarnation, attempts };
            for entry in &mut to.entries {
                for attempt in &mut entry.tries {
                    let inside = !matches!(attempt.at, At::Sent | At::Over);
                    if attempt.agent == a && inside {
                        attempt.at = At::Over;
                    }
                }
            }
            next.push((format!("agent {a} restarts"), to));
        }
        let mut to = state.clone();
        to.restarts += 1;
        let start = match self.without {
            Without::Deafness => Time::ZERO,
            _ => at(state.now),
        };
        to.keys = self.keys(start);
        next.push(("the guard restarts".to_string(), to));
    }
}

impl Spec for Once {
    type State = State;

    fn start(&self) -> State {
        let agent = Agent { incarnation: 1, attempts: self.attempts(1) };
        let entry = Entry {
            tries: Vec::new(),
            course: RequestRetry::new(false),
            answer: None,
        };
        // The guard has been up for long: exploration starts when it hears.
        let deaf = (WINDOW + KeyTable::lease_duration(WINDOW)).as_millis()
            as u64
            / TICK;
        State {
            now: deaf,
            restarts: 0,
            keys: self.keys(Time::ZERO),
            agents: vec![agent; AGENTS],
            entries: vec![entry; ENTRIES],
            runs: Vec::new(),
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut next = Vec::new();
        self.send(state, &mut next);
        self.run(state, &mut next);
        self.lose(state, &mut next);
        self.restart(state, &mut next);
        let deaf = self.start().now;
        if state.now < deaf + self.bounds.ticks {
            let mut to = state.clone();
            to.now += 1;
            next.push(("a second passes".to_string(), to));
        }
        next
    }

    fn broken(&self, state: &State) -> Option<&'static str> {
        let window = WINDOW.as_millis() as u64 / TICK;
        for pair in state.runs.windows(2) {
            if pair[1] - pair[0] < window {
                return Some("a key ran twice within its window");
            }
        }
        for entry in &state.entries {
            for attempt in &entry.tries {
                if attempt.ran && attempt.said == Some(Ran::DidNotRun) {
                    return Some("said not to have run, and ran");
                }
            }
            let ran = entry.tries.iter().any(|t| t.ran);
            if ran && entry.answer == Some(Ran::DidNotRun) {
                return Some("a caller was told 'did not run', and it ran");
            }
        }
        None
    }
}
