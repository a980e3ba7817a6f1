//! Configuration: acceptance, stale answers, restarts, and where work runs.
//!
//! An agent with its engine, an entry and a peer. The platform publishes
//! revisions and may answer with any of them, as a stale service does. Any
//! two processes may exchange, any may restart and forget; the agent's engine
//! remembers the fence of the last order.

use stairhinge::document::{Document, LatestDocument, Seen};
use stairhinge::serving::Fence;

use crate::Spec;

/// A rule that a mutant leaves out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Without {
    /// Nothing: the protocol as it is.
    Nothing,
    /// Only newer documents are taken.
    Monotony,
    /// A restarted agent takes nothing below what its engine remembers.
    Floor,
    /// Nothing is admitted before the engine has been told of the revision.
    Telling,
    /// A request is admitted only under the revision in force at the agent.
    Equality,
}

impl Without {
    /// All rules.
    pub const RULES: [Without; 4] = [
        Without::Monotony,
        Without::Floor,
        Without::Telling,
        Without::Equality,
    ];
}

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Revisions that are published.
    pub revisions: u64,
    /// Restarts, of all processes together.
    pub restarts: u8,
    /// Requests sent.
    pub requests: u8,
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The rule left out.
    pub without: Without,
    /// The bounds.
    pub bounds: Bounds,
}

const AGENT: usize = 0;
const ENTRY: usize = 1;
const NAMES: [&str; 3] = ["agent", "entry", "peer"];

/// A state of the whole system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    published: u64,
    held: Vec<LatestDocument>,
    engine: Fence,
    fence: Fence,
    /// The revision that the engine was told of by this incarnation.
    told: u64,
    restarts: u8,
    requests: u8,
    /// Revisions of requests on their way to the agent.
    sent: Vec<u64>,
    /// The newest revision under which work ran at the agent.
    worked: u64,
    broken: Option<&'static str>,
}

fn document(revision: u64) -> Document {
    Document::new(revision, revision.to_le_bytes().to_vec())
}

impl Config {
    fn offer(&self, held: &mut LatestDocument, revision: u64) -> bool {
        if self.without == Without::Monotony {
            let newest = held.seen().revision();
            *held = LatestDocument::new();
            return held.offer(document(revision)).is_ok()
                && revision != newest;
        }
        let before = held.seen();
        let _ = held.offer(document(revision));
        held.seen() != before
    }

    fn spread(&self, state: &State, next: &mut Vec<(String, State)>) {
        if state.published < self.bounds.revisions {
            let mut to = state.clone();
            to.published += 1;
            next.push((format!("revision {} published", to.published), to));
        }
        for (p, name) in NAMES.iter().enumerate() {
            for revision in 1..=state.published {
                let mut to = state.clone();
                if self.offer(&mut to.held[p], revision) {
                    next.push((format!("{name} reads {revision}"), to));
                }
            }
            for (q, other) in NAMES.iter().enumerate() {
                let theirs = state.held[q].seen().revision();
                let mut to = state.clone();
                if p == q || theirs == 0 {
                    continue;
                }
                if self.offer(&mut to.held[p], theirs) {
                    let step = format!("{name} takes {theirs} from {other}");
                    next.push((step, to));
                }
            }
        }
    }

    fn restart(&self, state: &State, next: &mut Vec<(String, State)>) {
        if state.restarts >= self.bounds.restarts {
            return;
        }
        for (p, name) in NAMES.iter().enumerate() {
            let mut to = state.clone();
            to.restarts += 1;
            to.held[p] = LatestDocument::new();
            if p == AGENT {
                let floor = state.engine.revision();
                if self.without != Without::Floor {
                    to.held[p] = LatestDocument::with_min_revision(floor);
                }
                let wall = state.fence.incarnation() + 1;
                let incarnation = Fence::next_incarnation(wall, state.engine);
                to.fence = Fence::new(incarnation);
                to.told = 0;
            }
            next.push((format!("{name} restarts"), to));
        }
    }

    fn work(&self, state: &State, next: &mut Vec<(String, State)>) {
        let mine = state.held[AGENT].seen().revision();
        if mine > state.told {
            let mut to = state.clone();
            to.fence = state.fence.next(mine);
            to.engine = to.fence.max(state.engine);
            to.told = mine;
            next.push((format!("agent tells its engine of {mine}"), to));
        }
        let theirs = state.held[ENTRY].seen().revision();
        if theirs > 0 && state.requests < self.bounds.requests {
            let mut to = state.clone();
            to.requests += 1;
            to.sent.push(theirs);
            to.sent.sort_unstable();
            next.push((format!("entry sends under {theirs}"), to));
        }
        for (i, revision) in state.sent.iter().enumerate() {
            let mut to = state.clone();
            to.sent.remove(i);
            let equal = *revision == mine || self.without == Without::Equality;
            let told = state.told >= mine || self.without == Without::Telling;
            if mine == 0 || !equal || !told {
                next.push((format!("agent refuses one under {revision}"), to));
                continue;
            }
            if mine < state.worked {
                to.broken = Some("work ran under an older revision again");
            }
            if *revision < mine {
                to.broken = Some("an old configuration took effect");
            }
            to.worked = state.worked.max(mine);
            let step =
                format!("agent runs one under {revision}, in force {mine}");
            next.push((step, to));
        }
    }
}

impl Spec for Config {
    type State = State;

    fn start(&self) -> State {
        State {
            published: 0,
            held: vec![LatestDocument::new(); NAMES.len()],
            engine: Fence::default(),
            fence: Fence::new(1),
            told: 0,
            restarts: 0,
            requests: 0,
            sent: Vec::new(),
            worked: 0,
            broken: None,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut next = Vec::new();
        self.spread(state, &mut next);
        self.restart(state, &mut next);
        self.work(state, &mut next);
        for (_, to) in &mut next {
            for (p, was) in state.held.iter().enumerate() {
                let (old, new) = (was.seen(), to.held[p].seen());
                let forgot = new == Seen::nothing();
                if new.revision() < old.revision() && !forgot {
                    to.broken = Some("a process went back to an older one");
                }
            }
        }
        next
    }

    fn broken(&self, state: &State) -> Option<&'static str> {
        state.broken
    }
}
