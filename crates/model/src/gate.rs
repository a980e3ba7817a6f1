//! The version gate: two agent processes, one engine, orders that arrive
//! late, and requests bound to what was loaded.
//!
//! The old agent may be frozen anywhere; the new one starts beside it, as if
//! the lock of the slot had failed. Orders are messages that may arrive in
//! any order. A request is bound at admission; the engine answers from what
//! it holds, with an echo.

use stairhinge::Digest;
use stairhinge::serving::{
    Action, Event, Fence, Lifecycle, LoadedTarget, Phase, Target,
};

use crate::Spec;

/// A rule that a mutant leaves out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Without {
    /// Nothing: the protocol as it is.
    Nothing,
    /// An answer that does not fit what its request was bound to is withheld.
    Echo,
    /// An engine that checks fences refuses those lower than its own.
    Fences,
    /// Only a serving agent admits.
    Gate,
    /// A switch waits until nothing is in progress.
    Draining,
}

/// Each rule, with the kind of engine that needs it.
pub const CASES: [(Without, bool); 4] = [
    (Without::Echo, false),
    (Without::Fences, true),
    (Without::Gate, true),
    (Without::Draining, true),
];

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Requests sent to each agent.
    pub requests: u8,
    /// Orders that an agent gives at most.
    pub orders: u8,
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Gate {
    /// The rule left out.
    pub without: Without,
    /// Whether the engine checks fences.
    pub fences: bool,
    /// The bounds.
    pub bounds: Bounds,
}

/// One agent process.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Agent {
    life: Lifecycle,
    fence: Fence,
    orders: u8,
    bound: Option<LoadedTarget>,
    /// Requests in progress, with what they were bound to.
    running: Vec<LoadedTarget>,
    requests: u8,
    started: bool,
}

/// A load order on its way.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Order {
    agent: usize,
    target: Target,
    fence: Fence,
}

/// A state of the whole system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    agents: Vec<Agent>,
    orders: Vec<Order>,
    engine: Fence,
    loaded: Option<LoadedTarget>,
    broken: Option<&'static str>,
}

const OLD: usize = 0;
const NEW: usize = 1;
const NAMES: [&str; 2] = ["old agent", "new agent"];

fn target(version: &str) -> Target {
    Target::new("m", version, vec![Digest::of(version.as_bytes())])
}

impl Gate {
    /// The old agent serves v1 and is to switch to v2; the new one is to
    /// serve v2 from the start.
    fn wants(&self, a: usize) -> Vec<Target> {
        match a {
            OLD => vec![target("v1"), target("v2")],
            _ => vec![target("v2")],
        }
    }

    fn handle(&self, to: &mut State, a: usize, event: &Event) {
        let agent = &mut to.agents[a];
        let actions = agent.life.handle(event);
        if agent.life.serving().is_none() && self.without != Without::Gate {
            agent.bound = None;
        }
        for action in actions {
            let Action::Load(target) = action else { continue };
            let agent = &mut to.agents[a];
            if agent.orders >= self.bounds.orders {
                // Beyond the bound a refused agent tries no more.
                continue;
            }
            agent.fence = agent.fence.next(1);
            agent.orders += 1;
            let fence = agent.fence;
            to.orders.push(Order { agent: a, target, fence });
        }
    }

    fn drive(&self, state: &State, a: usize, next: &mut Vec<(String, State)>) {
        let agent = &state.agents[a];
        let who = NAMES[a];
        for target in self.wants(a) {
            let version = target.version().clone();
            if agent.life.wanted() != Some(&target) {
                let mut to = state.clone();
                self.handle(&mut to, a, &Event::Wanted(Some(target)));
                next.push((format!("{who} is to serve {version}"), to));
                continue;
            }
            let mut to = state.clone();
            self.handle(&mut to, a, &Event::Fetched(target));
            if to != *state {
                next.push((format!("{who} has fetched {version}"), to));
            }
        }
        let phase = agent.life.phase();
        if agent.life.awaits_turn() {
            let mut to = state.clone();
            self.handle(&mut to, a, &Event::Turn);
            next.push((format!("{who} drains"), to));
        }
        let idle = agent.running.is_empty();
        let drained = idle || self.without == Without::Draining;
        if phase == Phase::Draining && drained {
            let mut to = state.clone();
            if !idle {
                to.broken = Some("an order was given with work in progress");
            }
            self.handle(&mut to, a, &Event::Idle);
            next.push((format!("{who} has drained"), to));
        }
    }

    fn deliver(&self, state: &State, next: &mut Vec<(String, State)>) {
        for (i, order) in state.orders.iter().enumerate() {
            let mut to = state.clone();
            to.orders.remove(i);
            let who = NAMES[order.agent];
            let version = order.target.version();
            let low = order.fence < state.engine;
            let checks = self.fences && self.without != Without::Fences;
            if low && checks {
                self.handle(&mut to, order.agent, &Event::LoadFailed);
                let step = format!("engine refuses {who}'s {version}");
                next.push((step, to));
                continue;
            }
            if low && self.fences {
                to.broken = Some("an engine went back to an older agent");
            }
            let bound = LoadedTarget::new(order.target.clone(), order.fence);
            to.engine = order.fence;
            to.loaded = Some(bound.clone());
            let event = Event::Loaded(order.target.clone());
            self.handle(&mut to, order.agent, &event);
            let agent = &mut to.agents[order.agent];
            if agent.life.serving() == Some(&order.target) {
                agent.bound = Some(bound);
            }
            next.push((format!("engine loads {who}'s {version}"), to));
        }
    }

    fn serve(&self, state: &State, a: usize, next: &mut Vec<(String, State)>) {
        let agent = &state.agents[a];
        let who = NAMES[a];
        if let Some(bound) = &agent.bound
            && agent.requests < self.bounds.requests
        {
            let mut to = state.clone();
            if agent.life.phase() != Phase::Serving {
                to.broken = Some("admitted by an agent that does not serve");
            }
            to.agents[a].requests += 1;
            to.agents[a].running.push(bound.clone());
            next.push((format!("{who} admits a request"), to));
        }
        let Some(bound) = agent.running.first() else { return };
        let mut to = state.clone();
        to.agents[a].running.remove(0);
        let (version, fence) = match &state.loaded {
            Some(l) => (l.target().version().clone(), l.fence().to_string()),
            None => ("".into(), String::new()),
        };
        let fits = bound.matches(&version, &fence);
        if self.fences && !fits {
            next.push((format!("engine refuses {who}'s request"), to));
            return;
        }
        if !fits && self.without != Without::Echo {
            next.push((format!("{who} withholds an answer"), to));
            return;
        }
        if version != *bound.target().version() {
            to.broken = Some("an answer from another version");
        }
        next.push((format!("{who} passes on an answer of {version}"), to));
    }
}

impl Spec for Gate {
    type State = State;

    fn start(&self) -> State {
        let agent = |incarnation, started| Agent {
            life: Lifecycle::new(),
            fence: Fence::new(incarnation),
            orders: 0,
            bound: None,
            running: Vec::new(),
            requests: 0,
            started,
        };
        State {
            agents: vec![agent(1, true), agent(2, false)],
            orders: Vec::new(),
            engine: Fence::default(),
            loaded: None,
            broken: None,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut next = Vec::new();
        if !state.agents[NEW].started {
            let mut to = state.clone();
            to.agents[NEW].started = true;
            next.push(("the new agent starts".to_string(), to));
        }
        for a in [OLD, NEW] {
            if !state.agents[a].started {
                continue;
            }
            self.drive(state, a, &mut next);
            self.serve(state, a, &mut next);
        }
        self.deliver(state, &mut next);
        next
    }

    fn broken(&self, state: &State) -> Option<&'static str> {
        state.broken
    }
}
