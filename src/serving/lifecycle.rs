//! The state machine for the versions at one agent.
//!
//! The engine holds one version at a time. To switch versions, an agent
//! fetches the new version while the old one serves, drains the requests in
//! progress, and loads the new version. Requests are admitted only in
//! [`Phase::Serving`]. The state machine does no I/O: it receives events and
//! returns actions for the agent to carry out.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use statig::blocking::{
    IntoStateMachineExt as _, StateMachine as BlockingMachine,
};
use statig::prelude::*;

use crate::Digest;

/// What an agent has to serve: a version of a model, with its manifests.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Target {
    model: Arc<str>,
    version: Arc<str>,
    manifests: Vec<Digest>,
}

impl Target {
    /// Returns a target. `manifests` has the version's own manifest first,
    /// then those of its adapters.
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

    /// Returns the digests of the manifests, the version's own first.
    pub fn manifests(&self) -> &[Digest] {
        &self.manifests
    }
}

/// An input to the state machine of an agent.
#[derive(Clone, Debug)]
pub enum Event {
    /// The current declaration assigns this target, or none.
    Wanted(Option<Target>),
    /// All chunks of this target are in the agent's store and verified.
    Fetched(Target),
    /// The engine confirmed that it has loaded this target.
    Loaded(Target),
    /// The engine refused a load or could not be reached.
    LoadFailed,
    /// No request is in progress.
    Idle,
    /// The engine has lost the target that it had loaded.
    EngineLost,
    /// The agent may switch versions now; see [`Lifecycle::awaits_turn`].
    Turn,
}

/// What the agent has to do after an event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Fetches this target, and stops fetching any other.
    Fetch(Target),
    /// Stops fetching.
    StopFetching,
    /// Orders the engine to load this target.
    Load(Target),
    /// Orders the engine to unload its target.
    Unload,
}

/// The phase of an agent, as given in reports.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Phase {
    /// No target is assigned.
    Absent,
    /// Chunks are being fetched, and no version is serving.
    Fetching,
    /// The engine is loading the target.
    Loading,
    /// Requests are admitted.
    Serving,
    /// No requests are admitted; those in progress run to their end.
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

/// The data of the state machine: the assigned target, the one that has been
/// fetched for it, and the one that the engine has loaded.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Machine {
    wanted: Option<Target>,
    ready: Option<Target>,
    loaded: Option<Target>,
}

impl Machine {
    /// Sets the assigned target and starts or stops fetching. Returns whether
    /// the target has changed.
    fn set_wanted(
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

    /// Records that a target has been fetched. Returns whether it is the
    /// assigned one.
    fn record_fetched(&mut self, target: &Target) -> bool {
        let is_wanted = self.wanted.as_ref() == Some(target);
        if is_wanted {
            self.ready = Some(target.clone());
        }
        is_wanted
    }

    /// Loads the fetched target. Without one it goes back to fetching, or
    /// unloads if no target is assigned.
    fn load_ready(&mut self, context: &mut Vec<Action>) -> Outcome<State> {
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
            Event::Wanted(target) if self.set_wanted(target, context) => {
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
            Event::Wanted(target) if self.set_wanted(target, context) => {
                match target {
                    Some(_) => Handled,
                    None => Transition(State::absent()),
                }
            }
            Event::Fetched(target) if self.record_fetched(target) => {
                self.load_ready(context)
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
            Event::Wanted(target) if self.set_wanted(target, context) => {
                self.load_ready(context)
            }
            Event::Loaded(target) if self.ready.as_ref() == Some(target) => {
                self.loaded = Some(target.clone());
                Transition(State::serving())
            }
            Event::LoadFailed | Event::EngineLost => self.load_ready(context),
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
                self.set_wanted(target, context);
                match target {
                    None => Transition(State::draining()),
                    Some(_) => Handled,
                }
            }
            Event::Fetched(target) => {
                self.record_fetched(target);
                Handled
            }
            Event::Turn if self.ready.is_some() => {
                if self.ready == self.loaded {
                    return Handled;
                }
                Transition(State::draining())
            }
            Event::EngineLost => self.load_ready(context),
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
                self.set_wanted(target, context);
                Handled
            }
            Event::Fetched(target) => {
                self.record_fetched(target);
                Handled
            }
            Event::Idle | Event::EngineLost => self.load_ready(context),
            _ => Handled,
        }
    }
}

/// The state machine that takes an agent from one version to the next.
#[derive(Clone)]
pub struct Lifecycle {
    machine: BlockingMachine<Machine>,
}

impl Lifecycle {
    /// Returns the state machine of an agent without a target.
    pub fn new() -> Lifecycle {
        Lifecycle { machine: Machine::default().state_machine() }
    }

    /// Handles an event and returns the actions to carry out, in order.
    ///
    /// # Examples
    ///
    /// ```
    /// use stairhinge::serving::{Action, Event, Lifecycle, Phase, Target};
    ///
    /// let mut lifecycle = Lifecycle::new();
    /// let v1 = Target::new("matcher", "v1", vec![]);
    /// let actions = lifecycle.handle(&Event::Wanted(Some(v1.clone())));
    /// assert_eq!(actions, [Action::Fetch(v1.clone())]);
    /// let actions = lifecycle.handle(&Event::Fetched(v1.clone()));
    /// assert_eq!(actions, [Action::Load(v1.clone())]);
    /// lifecycle.handle(&Event::Loaded(v1));
    /// assert_eq!(lifecycle.phase(), Phase::Serving);
    /// ```
    pub fn handle(&mut self, event: &Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.machine.handle_with_context(event, &mut actions);
        actions
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        match self.machine.state() {
            State::Absent {} => Phase::Absent,
            State::Fetching {} => Phase::Fetching,
            State::Loading {} => Phase::Loading,
            State::Serving {} => Phase::Serving,
            State::Draining {} => Phase::Draining,
        }
    }

    /// Returns the target for which requests are admitted: the loaded one
    /// while serving, and otherwise `None`.
    pub fn serving(&self) -> Option<&Target> {
        match self.phase() {
            Phase::Serving => self.machine.inner().loaded.as_ref(),
            _ => None,
        }
    }

    /// Returns the target that the current declaration assigns.
    pub fn wanted(&self) -> Option<&Target> {
        self.machine.inner().wanted.as_ref()
    }

    /// Returns whether another target has been fetched, so that the agent
    /// waits for its turn to switch.
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
