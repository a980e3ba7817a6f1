//! At-most-once execution: one key, one guard, agents, retrying entries.
//!
//! A caller sends a keyed, non-repeatable request through one entry and again
//! through another. Each entry makes sequential attempts; an attempt is a
//! message that arrives after any delay or never. An agent admits the attempt,
//! claims the key and starts the engine, with a pause of any length between
//! steps. Agents and guard may restart, and entries revoke attempts that they
//! lost contact with. The tables are the production code.

mod state;
mod without;

use std::time::Duration;

use stairhinge::request::{
    Attempt, AttemptTable, ClaimDecision, Failure, Key, KeyTable,
    RequestRetry, RetryDecision, revocation_outcome,
};
use stairhinge::serving::Lease;
use stairhinge::{Ran, Time};

use self::state::{Agent, AttemptState, Entry, Stage};
use crate::Spec;

pub use self::state::State;
pub use self::without::Without;

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Clock ticks.
    pub ticks: u64,
    /// Attempts of the first entry; the second has one less.
    pub attempts: usize,
    /// Total restarts of agents and guard.
    pub restarts: u8,
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Once {
    /// The omitted rule.
    pub without: Without,
    /// The bounds.
    pub bounds: Bounds,
}

const ENTRIES: usize = 2;
const AGENTS: usize = 2;

/// The key window is two ticks, so that a lease lasts one tick.
const TICK_MS: u64 = 1_000;
const WINDOW: Duration = Duration::from_millis(2 * TICK_MS);

/// How long agents remember attempts: longer than any exploration, except
/// for the mutant that trusts late "did not run" answers.
const RETENTION: Duration = Duration::from_millis(100 * TICK_MS);
const SHORT_RETENTION: Duration = Duration::from_millis(2 * TICK_MS);

const MAX_RECORDS: usize = 100;

fn tick_time(tick: u64) -> Time {
    Time::from_millis(tick * TICK_MS)
}

fn key() -> Key {
    Key::received("w/k")
}

fn attempt_id(entry: usize, seq: usize) -> Attempt {
    Attempt::new(["e0", "e1"][entry], 1, seq as u64)
}

impl Once {
    /// Returns the attempt limit of an entry; the second entry has one less.
    fn max_attempts(&self, entry: usize) -> usize {
        self.bounds.attempts.saturating_sub(entry).max(1)
    }

    fn retention(&self) -> Duration {
        match self.without {
            Without::Settle => SHORT_RETENTION,
            _ => RETENTION,
        }
    }

    fn attempt_table(&self, incarnation: u64) -> AttemptTable {
        AttemptTable::new(incarnation, self.retention(), MAX_RECORDS)
    }

    /// Returns a guard's key table; the `Keeping` mutant forgets a grant as
    /// soon as its lease expires.
    fn key_table(&self, start: Time) -> KeyTable {
        let window = match self.without {
            Without::Keeping => WINDOW * 2 / 3,
            _ => WINDOW,
        };
        KeyTable::new(start, window, MAX_RECORDS)
    }

    fn send(&self, state: &State, next: &mut Vec<(String, State)>) {
        for (e, entry) in state.entries.iter().enumerate() {
            let open =
                entry.attempts.last().is_none_or(|t| t.reported.is_some());
            let full = entry.attempts.len() >= self.max_attempts(e);
            if entry.answer.is_some() || !open || full {
                continue;
            }
            let unused = state.entries.iter().all(|x| x.attempts.is_empty());
            // Agents are symmetric, so the first attempt goes to agent 0.
            let agents = if unused { 1 } else { AGENTS };
            for a in 0..agents {
                let mut to = state.clone();
                to.entries[e].attempts.push(AttemptState {
                    agent: a,
                    incarnation: state.agents[a].incarnation,
                    sent: state.now,
                    stage: Stage::Sent,
                    ran: false,
                    reported: None,
                });
                next.push((format!("entry {e} sends to agent {a}"), to));
            }
        }
    }

    /// Adds the transitions of attempts at their agents.
    fn run(&self, state: &State, next: &mut Vec<(String, State)>) {
        for (e, entry) in state.entries.iter().enumerate() {
            for (i, attempt) in entry.attempts.iter().enumerate() {
                let step = match attempt.stage {
                    Stage::Sent => self.admit(state, e, i),
                    Stage::Admitted => self.claim(state, e, i),
                    Stage::Granted(since) => self.execute(state, e, i, since),
                    Stage::Over => continue,
                };
                next.push(step);
            }
        }
    }

    fn admit(&self, state: &State, e: usize, i: usize) -> (String, State) {
        let mut to = state.clone();
        let attempt = &state.entries[e].attempts[i];
        let agent = &mut to.agents[attempt.agent];
        let expected = match self.without {
            Without::Incarnation => agent.incarnation,
            _ => attempt.incarnation,
        };
        let id = attempt_id(e, i);
        let admitted =
            agent.attempts.admit(&id, expected, tick_time(state.now));
        let (verb, after) = match admitted {
            Ok(()) => ("admits", Stage::Admitted),
            Err(_) => ("refuses", Stage::Over),
        };
        let a = attempt.agent;
        to.entries[e].attempts[i].stage = after;
        if after == Stage::Over {
            self.deliver_answer(&mut to, e, i, Ran::DidNotRun);
        }
        (format!("agent {a} {verb} {id}"), to)
    }

    fn claim(&self, state: &State, e: usize, i: usize) -> (String, State) {
        let mut to = state.clone();
        let id = attempt_id(e, i);
        let a = state.entries[e].attempts[i].agent;
        if self.without == Without::Claim {
            to.entries[e].attempts[i].stage = Stage::Granted(state.now);
            return (format!("agent {a} skips the claim of {id}"), to);
        }
        match to.keys.claim(&key(), id.as_str(), tick_time(state.now)) {
            ClaimDecision::Granted => {
                to.entries[e].attempts[i].stage = Stage::Granted(state.now);
                (format!("guard grants the key to {id}"), to)
            }
            ClaimDecision::Refused(err, _) => {
                self.end(&mut to, e, i, Ran::DidNotRun);
                (format!("guard refuses {id}: {}", err.code().name()), to)
            }
        }
    }

    fn execute(
        &self,
        state: &State,
        e: usize,
        i: usize,
        since: u64,
    ) -> (String, State) {
        let mut to = state.clone();
        let id = attempt_id(e, i);
        let a = state.entries[e].attempts[i].agent;
        let lease =
            Lease::new(tick_time(since), KeyTable::lease_duration(WINDOW));
        let fresh = lease.is_valid(tick_time(state.now));
        if !fresh && self.without != Without::Lease {
            self.end(&mut to, e, i, Ran::DidNotRun);
            return (format!("agent {a} finds the lease of {id} expired"), to);
        }
        to.runs.push(state.now);
        to.entries[e].attempts[i].ran = true;
        self.end(&mut to, e, i, Ran::Ran);
        (format!("agent {a} runs {id}"), to)
    }

    /// Ends an attempt at its agent and settles its key.
    fn end(&self, to: &mut State, e: usize, i: usize, ran: Ran) {
        let id = attempt_id(e, i);
        let now = tick_time(to.now);
        let a = to.entries[e].attempts[i].agent;
        to.agents[a].attempts.end(&id, ran, now);
        let told = match self.without {
            Without::Settling => Ran::DidNotRun,
            _ => ran,
        };
        to.keys.settle(&key(), id.as_str(), told);
        to.entries[e].attempts[i].stage = Stage::Over;
        if ran == Ran::DidNotRun {
            self.deliver_answer(to, e, i, ran);
        }
    }

    /// Delivers the agent's answer unless the entry has recorded an outcome.
    fn deliver_answer(&self, to: &mut State, e: usize, i: usize, ran: Ran) {
        if to.entries[e].attempts[i].reported.is_none() {
            to.entries[e].attempts[i].reported = Some(ran);
        }
    }

    /// Adds the revocations of pending attempts after an entry has lost its
    /// agent; the agent answers or stays silent.
    fn revoke_latest(&self, state: &State, next: &mut Vec<(String, State)>) {
        for (e, entry) in state.entries.iter().enumerate() {
            let Some((i, attempt)) =
                entry.attempts.iter().enumerate().next_back()
            else {
                continue;
            };
            if attempt.reported.is_some() {
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
        let id = attempt_id(e, i);
        let attempt = &state.entries[e].attempts[i];
        let agent = &mut to.agents[attempt.agent];
        let expected = match self.without {
            Without::Incarnation => agent.incarnation,
            _ => attempt.incarnation,
        };
        let now = tick_time(state.now);
        let answer = match (silent, self.without) {
            (true, _) => None,
            (_, Without::Tombstone) => {
                // Revokes on a copy, so that no tombstone remains.
                Some(agent.attempts.clone().revoke(&id, expected, now))
            }
            _ => Some(agent.attempts.revoke(&id, expected, now)),
        };
        let since = now.since(tick_time(attempt.sent));
        let ran = match self.without {
            Without::Settle => answer.unwrap_or(Ran::MayHaveRun),
            _ => revocation_outcome(answer, since, self.retention()),
        };
        let entry = &mut to.entries[e];
        entry.attempts[i].reported = Some(ran);
        let more = entry.attempts.len() < self.max_attempts(e);
        entry.retry.failed(Failure::NoResponse, more);
        if let RetryDecision::Respond(_, ran) = entry.retry.revoked(ran, more)
        {
            entry.answer = Some(ran);
        }
        let answer_text = answer.map_or("silence", Ran::as_str);
        (format!("entry {e} revokes {id}: {answer_text}"), to)
    }

    fn restart(&self, state: &State, next: &mut Vec<(String, State)>) {
        if state.restarts >= self.bounds.restarts {
            return;
        }
        for a in 0..AGENTS {
            let mut to = state.clone();
            to.restarts += 1;
            let incarnation = state.agents[a].incarnation + 1;
            let attempts = self.attempt_table(incarnation);
            to.agents[a] = Agent { incarnation, attempts };
            for entry in &mut to.entries {
                for attempt in &mut entry.attempts {
                    let inside =
                        !matches!(attempt.stage, Stage::Sent | Stage::Over);
                    if attempt.agent == a && inside {
                        attempt.stage = Stage::Over;
                    }
                }
            }
            next.push((format!("agent {a} restarts"), to));
        }
        let mut to = state.clone();
        to.restarts += 1;
        let start = match self.without {
            Without::Deafness => Time::ZERO,
            _ => tick_time(state.now),
        };
        to.keys = self.key_table(start);
        next.push(("the guard restarts".to_string(), to));
    }
}

impl Spec for Once {
    type State = State;

    fn start(&self) -> State {
        let agent = Agent { incarnation: 1, attempts: self.attempt_table(1) };
        let entry = Entry {
            attempts: Vec::new(),
            retry: RequestRetry::new(false),
            answer: None,
        };
        // Starts when the guard's waiting period after its start has passed.
        let start_tick = (WINDOW + KeyTable::lease_duration(WINDOW))
            .as_millis() as u64
            / TICK_MS;
        State {
            now: start_tick,
            restarts: 0,
            keys: self.key_table(Time::ZERO),
            agents: vec![agent; AGENTS],
            entries: vec![entry; ENTRIES],
            runs: Vec::new(),
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut next = Vec::new();
        self.send(state, &mut next);
        self.run(state, &mut next);
        self.revoke_latest(state, &mut next);
        self.restart(state, &mut next);
        let start_tick = self.start().now;
        if state.now < start_tick + self.bounds.ticks {
            let mut to = state.clone();
            to.now += 1;
            next.push(("the clock advances by one second".to_string(), to));
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let window = WINDOW.as_millis() as u64 / TICK_MS;
        for pair in state.runs.windows(2) {
            if pair[1] - pair[0] < window {
                return Some("a key ran twice within its window");
            }
        }
        for entry in &state.entries {
            for attempt in &entry.attempts {
                if attempt.ran && attempt.reported == Some(Ran::DidNotRun) {
                    return Some("said not to have run, and ran");
                }
            }
            let ran = entry.attempts.iter().any(|t| t.ran);
            if ran && entry.answer == Some(Ran::DidNotRun) {
                return Some("a caller was told 'did not run', and it ran");
            }
        }
        None
    }
}
