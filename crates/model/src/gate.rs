//! The version gate: two agent processes, one engine, delayed load orders,
//! and requests bound to a loaded version.
//!
//! The old agent may pause at any step; the new one starts concurrently, as if
//! the slot lock had failed. Load orders may arrive in any order. A request is
//! bound to a version and fence at admission; the engine answers with its
//! loaded version and echoes that version and its fence.

use stairhinge::Digest;
use stairhinge::serving::{
    Action, Event, Fence, Lifecycle, LoadedTarget, Phase, Target,
};

use crate::Spec;

/// A protocol rule that a mutant omits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Without {
    /// No rule: the unmodified protocol.
    Nothing,
    /// An agent withholds an answer whose echo doesn't match the request.
    Echo,
    /// An engine that checks fences refuses orders with a lower fence.
    Fences,
    /// Only a serving agent admits requests.
    Gate,
    /// A version switch waits until no request is in progress.
    Draining,
}

/// Each rule, and whether the engine of its mutant checks fences.
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
    /// Maximum load orders of each agent.
    pub orders: u8,
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Gate {
    /// The omitted rule.
    pub without: Without,
    /// Whether the engine checks fences.
    pub fences: bool,
    /// The bounds.
    pub bounds: Bounds,
}

/// One agent process.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Agent {
    lifecycle: Lifecycle,
    fence: Fence,
    orders: u8,
    bound: Option<LoadedTarget>,
    /// The targets that requests in progress are bound to.
    running: Vec<LoadedTarget>,
    requests: u8,
    started: bool,
}

/// A load order in transit.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Order {
    agent: usize,
    target: Target,
    fence: Fence,
}

/// A state of the modelled system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    agents: Vec<Agent>,
    orders: Vec<Order>,
    engine: Fence,
    loaded: Option<LoadedTarget>,
    violation: Option<&'static str>,
}

const OLD: usize = 0;
const NEW: usize = 1;
const NAMES: [&str; 2] = ["old agent", "new agent"];

fn target(version: &str) -> Target {
    Target::new("m", version, vec![Digest::of(version.as_bytes())])
}

impl Gate {
    /// Returns an agent's targets: the old agent serves v1 and then switches
    /// to v2; the new one serves only v2.
    fn targets(&self, a: usize) -> Vec<Target> {
        match a {
            OLD => vec![target("v1"), target("v2")],
            _ => vec![target("v2")],
        }
    }

    fn handle(&self, to: &mut State, a: usize, event: &Event) {
        let agent = &mut to.agents[a];
        let actions = agent.lifecycle.handle(event);
        if agent.lifecycle.serving().is_none() && self.without != Without::Gate
        {
            agent.bound = None;
        }
        for action in actions {
            let Action::Load(target) = action else { continue };
            let agent = &mut to.agents[a];
            if agent.orders >= self.bounds.orders {
                // A refused agent stops retrying at the bound.
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
        let agent_name = NAMES[a];
        for target in self.targets(a) {
            let version = target.version().clone();
            if agent.lifecycle.wanted() != Some(&target) {
                let mut to = state.clone();
                self.handle(&mut to, a, &Event::Wanted(Some(target)));
                next.push((format!("{agent_name} gets target {version}"), to));
                continue;
            }
            let mut to = state.clone();
            self.handle(&mut to, a, &Event::Fetched(target));
            if to != *state {
                next.push((format!("{agent_name} has fetched {version}"), to));
            }
        }
        let phase = agent.lifecycle.phase();
        if agent.lifecycle.awaits_turn() {
            let mut to = state.clone();
            self.handle(&mut to, a, &Event::Turn);
            next.push((format!("{agent_name} starts to drain"), to));
        }
        let idle = agent.running.is_empty();
        let drained = idle || self.without == Without::Draining;
        if phase == Phase::Draining && drained {
            let mut to = state.clone();
            if !idle {
                to.violation =
                    Some("an order was given with work in progress");
            }
            self.handle(&mut to, a, &Event::Idle);
            next.push((format!("{agent_name} has drained"), to));
        }
    }

    fn deliver(&self, state: &State, next: &mut Vec<(String, State)>) {
        for (i, order) in state.orders.iter().enumerate() {
            let mut to = state.clone();
            to.orders.remove(i);
            let agent_name = NAMES[order.agent];
            let version = order.target.version();
            let low = order.fence < state.engine;
            let checks = self.fences && self.without != Without::Fences;
            if low && checks {
                self.handle(&mut to, order.agent, &Event::LoadFailed);
                let step = format!("engine refuses {agent_name}'s {version}");
                next.push((step, to));
                continue;
            }
            if low && self.fences {
                to.violation = Some("an engine went back to an older agent");
            }
            let bound = LoadedTarget::new(order.target.clone(), order.fence);
            to.engine = order.fence;
            to.loaded = Some(bound.clone());
            let event = Event::Loaded(order.target.clone());
            self.handle(&mut to, order.agent, &event);
            let agent = &mut to.agents[order.agent];
            if agent.lifecycle.serving() == Some(&order.target) {
                agent.bound = Some(bound);
            }
            next.push((format!("engine loads {agent_name}'s {version}"), to));
        }
    }

    fn serve(&self, state: &State, a: usize, next: &mut Vec<(String, State)>) {
        let agent = &state.agents[a];
        let agent_name = NAMES[a];
        if let Some(bound) = &agent.bound
            && agent.requests < self.bounds.requests
        {
            let mut to = state.clone();
            if agent.lifecycle.phase() != Phase::Serving {
                to.violation =
                    Some("admitted by an agent that does not serve");
            }
            to.agents[a].requests += 1;
            to.agents[a].running.push(bound.clone());
            next.push((format!("{agent_name} admits a request"), to));
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
            next.push((format!("engine refuses {agent_name}'s request"), to));
            return;
        }
        if !fits && self.without != Without::Echo {
            next.push((format!("{agent_name} withholds an answer"), to));
            return;
        }
        if version != *bound.target().version() {
            to.violation = Some("an answer from another version");
        }
        next.push((
            format!("{agent_name} forwards an answer of {version}"),
            to,
        ));
    }
}

impl Spec for Gate {
    type State = State;

    fn start(&self) -> State {
        let agent = |incarnation, started| Agent {
            lifecycle: Lifecycle::new(),
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
            violation: None,
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

    fn violation(&self, state: &State) -> Option<&'static str> {
        state.violation
    }
}
