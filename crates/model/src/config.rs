//! Configuration updates: acceptance, stale reads, restarts, execution.
//!
//! Models an agent with its engine, an entry and a peer. The platform
//! publishes revisions; a read may return any published one, as a stale store
//! does. Any two processes may exchange documents, and any process may restart
//! and lose its state. The engine keeps the fence of the last order.

use stairhinge::document::{Document, LatestDocument, Seen};
use stairhinge::serving::Fence;

use crate::Spec;

/// A protocol rule that a mutant omits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Without {
    /// No rule: the unmodified protocol.
    Nothing,
    /// A process accepts only documents newer than its own.
    Monotony,
    /// A restarted agent accepts no revision below its engine's fence.
    Floor,
    /// An agent admits nothing before its engine knows the current revision.
    Telling,
    /// A request is admitted only under the agent's current revision.
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
    /// Revisions that the platform publishes.
    pub revisions: u64,
    /// Total restarts of all processes.
    pub restarts: u8,
    /// Requests that the entry sends.
    pub requests: u8,
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The omitted rule.
    pub without: Without,
    /// The bounds.
    pub bounds: Bounds,
}

const AGENT: usize = 0;
const ENTRY: usize = 1;
const NAMES: [&str; 3] = ["agent", "entry", "peer"];

/// A state of the modelled system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    published: u64,
    latest: Vec<LatestDocument>,
    engine: Fence,
    fence: Fence,
    /// The revision that this agent incarnation last sent to the engine.
    engine_revision: u64,
    restarts: u8,
    requests: u8,
    /// Revisions of requests in transit to the agent.
    in_transit: Vec<u64>,
    /// The newest revision under which the agent ran a request.
    executed_revision: u64,
    violation: Option<&'static str>,
}

fn document(revision: u64) -> Document {
    Document::new(revision, revision.to_le_bytes().to_vec())
}

impl Config {
    fn offer(&self, latest: &mut LatestDocument, revision: u64) -> bool {
        if self.without == Without::Monotony {
            let newest = latest.seen().revision();
            *latest = LatestDocument::new();
            return latest.offer(document(revision)).is_ok()
                && revision != newest;
        }
        let before = latest.seen();
        let _ = latest.offer(document(revision));
        latest.seen() != before
    }

    fn distribute(&self, state: &State, next: &mut Vec<(String, State)>) {
        if state.published < self.bounds.revisions {
            let mut to = state.clone();
            to.published += 1;
            next.push((format!("revision {} published", to.published), to));
        }
        for (p, name) in NAMES.iter().enumerate() {
            for revision in 1..=state.published {
                let mut to = state.clone();
                if self.offer(&mut to.latest[p], revision) {
                    next.push((format!("{name} reads {revision}"), to));
                }
            }
            for (q, other) in NAMES.iter().enumerate() {
                let theirs = state.latest[q].seen().revision();
                let mut to = state.clone();
                if p == q || theirs == 0 {
                    continue;
                }
                if self.offer(&mut to.latest[p], theirs) {
                    let step = format!("{name} accepts {theirs} from {other}");
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
            to.latest[p] = LatestDocument::new();
            if p == AGENT {
                let floor = state.engine.revision();
                if self.without != Without::Floor {
                    to.latest[p] = LatestDocument::with_min_revision(floor);
                }
                let wall = state.fence.incarnation() + 1;
                let incarnation = Fence::next_incarnation(wall, state.engine);
                to.fence = Fence::new(incarnation);
                to.engine_revision = 0;
            }
            next.push((format!("{name} restarts"), to));
        }
    }

    fn execute(&self, state: &State, next: &mut Vec<(String, State)>) {
        let mine = state.latest[AGENT].seen().revision();
        if mine > state.engine_revision {
            let mut to = state.clone();
            to.fence = state.fence.next(mine);
            to.engine = to.fence.max(state.engine);
            to.engine_revision = mine;
            next.push((
                format!("agent sends revision {mine} to its engine"),
                to,
            ));
        }
        let theirs = state.latest[ENTRY].seen().revision();
        if theirs > 0 && state.requests < self.bounds.requests {
            let mut to = state.clone();
            to.requests += 1;
            to.in_transit.push(theirs);
            to.in_transit.sort_unstable();
            next.push((format!("entry sends a request under {theirs}"), to));
        }
        for (i, revision) in state.in_transit.iter().enumerate() {
            let mut to = state.clone();
            to.in_transit.remove(i);
            let equal = *revision == mine || self.without == Without::Equality;
            let engine_told = state.engine_revision >= mine
                || self.without == Without::Telling;
            if mine == 0 || !equal || !engine_told {
                next.push((
                    format!("agent refuses a request under {revision}"),
                    to,
                ));
                continue;
            }
            if mine < state.executed_revision {
                to.violation = Some("work ran under an older revision again");
            }
            if *revision < mine {
                to.violation = Some("an old configuration took effect");
            }
            to.executed_revision = state.executed_revision.max(mine);
            let step = format!(
                "agent runs a request under {revision}, current {mine}"
            );
            next.push((step, to));
        }
    }
}

impl Spec for Config {
    type State = State;

    fn start(&self) -> State {
        State {
            published: 0,
            latest: vec![LatestDocument::new(); NAMES.len()],
            engine: Fence::default(),
            fence: Fence::new(1),
            engine_revision: 0,
            restarts: 0,
            requests: 0,
            in_transit: Vec::new(),
            executed_revision: 0,
            violation: None,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut next = Vec::new();
        self.distribute(state, &mut next);
        self.restart(state, &mut next);
        self.execute(state, &mut next);
        for (_, to) in &mut next {
            for (p, was) in state.latest.iter().enumerate() {
                let (old, new) = (was.seen(), to.latest[p].seen());
                let forgot = new == Seen::nothing();
                if new.revision() < old.revision() && !forgot {
                    to.violation = Some("a process went back to an older one");
                }
            }
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        state.violation
    }
}
