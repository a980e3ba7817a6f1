//! The life of a version at one agent.
//!
//! The engine holds one version at a time, so a switch fetches the new one
//! while the old one serves, then drains, loads and serves. Only
//! [`Phase::Serving`] admits. The machine does no I/O: it takes events and
//! leaves actions for the agent's shell to carry out.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use statig::blocking::{
    IntoStateMachineExt as _, StateMachine as BlockingMachine,
};
use statig::prelude::*;

use crate::Digest;

/// What an agent is to serve.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Target {
    model: Arc<str>,
    version: Arc<str>,
    manifests: Vec<Digest>,
}

impl Target {
    /// Returns a target: the version's manifest, then those of its adapters.
    pub fn new(
        model: impl Into<Arc<str>>,
        version: impl Into<Arc<str>>,
        manifests: Vec<Digest>,
    ) -> Target {
        Target { model: model.into(), version: version.into(), manifests }
    }

    /// Returns the model's name.
    pub fn model(&self) -> &Arc<str> {
        &self.model
    }

    /// Returns the version's name.
    pub fn version(&self) -> &Arc<str> {
        &self.version
    }

    /// Returns the manifests, the version's own first.
    pub fn manifests(&self) -> &[Digest] {
        &self.manifests
    }
}

/// What happens to an agent.
#[derive(Clone, Debug)]
pub enum Event {
    /// The configuration in force wants this, or nothing.
    Wanted(Option<Target>),
    /// All chunks of this target are here and verified.
    Fetched(Target),
    /// The engine confirmed that it has loaded this target.
    Loaded(Target),
    /// The engine refused a load or could not be reached.
    LoadFailed,
    /// No request is in progress.
    Idle,
    /// The engine no longer has what it was given.
    EngineLost,
    /// It is this agent's turn to switch.
    Turn,
}

/// What the agent's shell is to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Fetch this target, instead of any other.
    Fetch(Target),
    /// Stop fetching.
    StopFetching,
    /// Order the engine to load this target.
    Load(Target),
    /// Order the engine to drop what it holds.
    Unload,
}

/// Where a version stands at an agent, for reports.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Phase {
    /// Nothing is wanted.
    Absent,
    /// Chunks are being fetched and nothing serves.
    Fetching,
    /// The engine is loading.
    Loading,
    /// Requests are admitted.
    Serving,
    /// No more requests are admitted; those in progress finish.
    Draining,
}

impl Phase {
    /// Returns the word used in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Phase::Absent => "absent",
            Phase::Fetching => "fetching",
            Phase::Loading => "loading",
            Phase::Serving => "serving",
            Phase::Draining => "draining",
        }
    }
}

/// The machine's storage.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Machine {
    wanted: Option<Target>,
    ready: Option<Target>,
    loaded: Option<Target>,
}

impl Machine {
    /// Takes in what is wanted now; true if that is a change.
    fn want(
        &mut self,
        target: &Option<Target>,
        context: &mut Vec<Action>,
    ) -> bool {
        if self.wanted == *target {
            return false;
        }
        self.wanted = target.clone();
        self.ready = None;
        context.push(match target {
            Some(t) => Action::Fetch(t.clone()),
            None => Action::StopFetching,
        });
        true
    }

    fn fetched(&mut self, target: &Target) -> bool {
        let fits = self.wanted.as_ref() == Some(target);
        if fits {
            self.ready = Some(target.clone());
        }
        fits
    }

    /// Starts loading what is fetched, or goes back to fetching.
    fn load(&mut self, context: &mut Vec<Action>) -> Outcome<State> {
        self.loaded = None;
        match self.ready.clone() {
            Some(target) => {
                context.push(Action::Load(target));
                Transition(State::loading())
            }
            None if self.wanted.is_some() => Transition(State::fetching()),
            None => {
                context.push(Action::Unload);
                Transition(State::absent())
            }
        }
    }
}

#[state_machine(
    initial = "State::absent()",
    state(derive(Clone, Debug, Eq, Hash, PartialEq))
)]
impl Machine {
    #[state]
    fn absent(
        &mut self,
        context: &mut Vec<Action>,
        event: &Event,
    ) -> Outcome<State> {
        match event {
            Event::Wanted(target) if self.want(target, context) => {
                Transition(State::fetching())
            }
            _ => Handled,
        }
    }

    #[state]
    fn fetching(
        &mut self,
        context: &mut Vec<Action>,
        event: &Event,
    ) -> Outcome<State> {
        match event {
            Event::Wanted(target) if self.want(target, context) => {
                match target {
                    Some(_) => Handled,
                    None => Transition(State::absent()),
                }
            }
            Event::Fetched(target) if self.fetched(target) => {
                self.load(context)
            }
            _ => Handled,
        }
    }

    #[state]
    fn loading(
        &mut self,
        context: &mut Vec<Action>,
        event: &Event,
    ) -> Outcome<State> {
        match event {
            Event::Wanted(target) if self.want(target, context) => {
                self.load(context)
            }
            Event::Loaded(target) if self.ready.as_ref() == Some(target) => {
                self.loaded = Some(target.clone());
                Transition(State::serving())
            }
            Event::LoadFailed | Event::EngineLost => self.load(context),
            _ => Handled,
        }
    }

    #[state]
    fn serving(
        &mut self,
        context: &mut Vec<Action>,
        event: &Event,
    ) -> Outcome<State> {
        match event {
            Event::Wanted(target) => {
                self.want(target, context);
                match target {
                    None => Transition(State::draining()),
                    Some(_) => Handled,
                }
            }
            Event::Fetched(target) => {
                self.fetched(target);
                Handled
            }
            Event::Turn if self.ready.is_some() => {
                if self.ready == self.loaded {
                    return Handled;
                }
                Transition(State::draining())
            }
            Event::EngineLost => self.load(context),
            _ => Handled,
        }
    }

    #[state]
    fn draining(
        &mut self,
        context: &mut Vec<Action>,
        event: &Event,
    ) -> Outcome<State> {
        match event {
            Event::Wanted(target) => {
                self.want(target, context);
                Handled
            }
            Event::Fetched(target) => {
                self.fetched(target);
                Handled
            }
            Event::Idle | Event::EngineLost => self.load(context),
            _ => Handled,
        }
    }
}

/// The life of versions at one agent.
#[derive(Clone)]
pub struct Lifecycle {
    machine: BlockingMachine<Machine>,
}

impl Lifecycle {
    /// Returns the lifecycle of an agent that has nothing.
    pub fn new() -> Lifecycle {
        Lifecycle { machine: Machine::default().state_machine() }
    }

    /// Takes in an event and returns what to do, in order.
    ///
    /// # Examples
    ///
    /// ```
    /// use stairhinge::serving::{Action, Event, Lifecycle, Phase, Target};
    ///
    /// let mut life = Lifecycle::new();
    /// let v1 = Target::new("matcher", "v1", vec![]);
    /// let actions = life.handle(&Event::Wanted(Some(v1.clone())));
    /// assert_eq!(actions, [Action::Fetch(v1.clone())]);
    /// let actions = life.handle(&Event::Fetched(v1.clone()));
    /// assert_eq!(actions, [Action::Load(v1.clone())]);
    /// life.handle(&Event::Loaded(v1));
    /// assert_eq!(life.phase(), Phase::Serving);
    /// ```
    pub fn handle(&mut self, event: &Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.machine.handle_with_context(event, &mut actions);
        actions
    }

    /// Returns where the agent stands.
    pub fn phase(&self) -> Phase {
        match self.machine.state() {
            State::Absent {} => Phase::Absent,
            State::Fetching {} => Phase::Fetching,
            State::Loading {} => Phase::Loading,
            State::Serving {} => Phase::Serving,
            State::Draining {} => Phase::Draining,
        }
    }

    /// Returns what is admitted now: the loaded target, while serving.
    pub fn serving(&self) -> Option<&Target> {
        match self.phase() {
            Phase::Serving => self.machine.inner().loaded.as_ref(),
            _ => None,
        }
    }

    /// Returns what the configuration in force wants.
    pub fn wanted(&self) -> Option<&Target> {
        self.machine.inner().wanted.as_ref()
    }

    /// Returns whether a switch waits for this agent's turn.
    pub fn awaits_turn(&self) -> bool {
        let machine = self.machine.inner();
        self.phase() == Phase::Serving
            && machine.ready.is_some()
            && machine.ready != machine.loaded
    }
}

impl fmt::Debug for Lifecycle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let machine = self.machine.inner();
        write!(f, "{} {machine:?}", self.phase().as_str())
    }
}

impl PartialEq for Lifecycle {
    fn eq(&self, other: &Lifecycle) -> bool {
        self.machine.state() == other.machine.state()
            && self.machine.inner() == other.machine.inner()
    }
}

impl Eq for Lifecycle {}

impl Hash for Lifecycle {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.machine.state().hash(hasher);
        self.machine.inner().hash(hasher);
    }
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle::new()
    }
}
