//! The agent's main loop: from what is wanted to orders.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use stairhinge::document::{agents_by_hall, assigned_model};
use stairhinge::request::GuardSet;
use stairhinge::serving::{
    Action, Event, Fence, Lifecycle, LoadedTarget, Phase, Target,
};
use stairhinge::{Code, Digest, Error, Time};
use stairhinge_shell::Shutdown;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::agent::Agent;
use crate::orders::Orders;
use crate::{engine, fetch};

/// What comes back from the loop's own tasks.
pub(crate) enum Back {
    /// A target's chunks are all here, or cannot be.
    Fetched(Target, Result<(), Error>),
    /// A load order was answered.
    Loaded(Target, Result<LoadedTarget, Error>),
    /// The engine was told of a revision, or could not be.
    Told(Result<Fence, Error>),
}

/// Runs until the process stops.
pub(crate) async fn run(agent: Arc<Agent>, end: Shutdown) {
    let (tx, rx) = mpsc::unbounded_channel();
    let drive = Drive {
        life: Lifecycle::new(),
        orders: Orders::new(&agent),
        back: tx,
        fetching: None,
        loading: None,
        stuck: None,
        awaits: None,
        retry: Time::ZERO,
        adopted: 0,
        informed: Time::ZERO,
        agent,
    };
    tokio::select! {
        () = drive.run(rx) => {}
        () = end.wait() => {}
    }
}

struct Drive {
    agent: Arc<Agent>,
    life: Lifecycle,
    orders: Orders,
    back: mpsc::UnboundedSender<Back>,
    fetching: Option<JoinHandle<()>>,
    loading: Option<JoinHandle<()>>,
    stuck: Option<Code>,
    awaits: Option<Time>,
    retry: Time,
    adopted: u64,
    informed: Time,
}

impl Drive {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Back>) {
        let agent = Arc::clone(&self.agent);
        let mut changes = agent.node.changes();
        let poll = agent.settings.values.millis("poll_ms");
        let mut looked = Time::ZERO;
        loop {
            self.adopt();
            let target = self.target();
            self.handle(&Event::Wanted(target));
            let now = agent.node.now();
            if now.since(looked) >= poll {
                looked = now;
                self.look().await;
            }
            self.turn();
            if self.life.phase() == Phase::Draining && agent.tally.count() == 0
            {
                self.handle(&Event::Idle);
            }
            self.tell();
            let draining = self.life.phase() == Phase::Draining;
            tokio::select! {
                back = rx.recv() => if let Some(back) = back {
                    self.back(back);
                },
                _ = changes.changed() => {}
                () = agent.nudge.notified() => {}
                () = agent.tally.idle(), if draining => {}
                () = tokio::time::sleep(poll) => {}
            }
        }
    }

    /// Takes over what a new declaration says of keys and guards.
    fn adopt(&mut self) {
        let view = self.agent.node.view();
        let Some(fleet) = &view.fleet else { return };
        if fleet.revision() == self.adopted {
            return;
        }
        self.adopted = fleet.revision();
        let now = self.agent.node.now();
        self.agent.rings().adopt(GuardSet::from_fleet(fleet), now);
        let (start, window) = (self.agent.start, fleet.key_window());
        self.agent.keys().set_window(start, window);
        let ms = window.as_millis().to_string();
        self.agent.node.event("guard.window", &[("window_ms", &ms)]);
        self.inform();
    }

    /// Tells the engine which revision is in force.
    fn inform(&mut self) {
        if self.agent.settings.plain {
            // A plain service takes no orders and remembers none.
            self.agent.told.store(self.adopted, Ordering::SeqCst);
            return;
        }
        self.informed = self.agent.node.now();
        let order = self.orders.tell(&self.agent);
        let back = self.back.clone();
        tokio::spawn(async move {
            let _ = back.send(Back::Told(order.await));
        });
    }

    fn target(&self) -> Option<Target> {
        let node = &self.agent.node;
        if self.agent.settings.plain || node.leaving() {
            return None;
        }
        let view = node.view();
        let fleet = view.fleet.as_ref()?;
        let me = node.identity();
        let model = assigned_model(fleet, &view.listing, &me.hall, &me.name)?;
        let version = model.served_version();
        let mut manifests = vec![version.manifest()];
        for adapter in model.adapters() {
            manifests.push(adapter.manifest());
        }
        let (model, version) = (model.name(), version.name());
        Some(Target::new(Arc::clone(model), Arc::clone(version), manifests))
    }

    fn handle(&mut self, event: &Event) {
        let actions = self.life.handle(event);
        // The gate closes before anything else happens, or opens below.
        if self.life.serving().is_none() {
            self.agent.gate.store(None);
        }
        for action in actions {
            match action {
                Action::Fetch(target) => self.fetch(target),
                Action::StopFetching => self.stop(),
                Action::Load(target) => self.load(target),
                Action::Unload => self.unload(),
            }
        }
    }

    fn fetch(&mut self, target: Target) {
        self.stop();
        self.stuck = None;
        let agent = Arc::clone(&self.agent);
        let back = self.back.clone();
        self.fetching = Some(tokio::spawn(async move {
            let done = fetch::run(&agent, &target).await;
            // The loop may have ended.
            let _ = back.send(Back::Fetched(target, done));
        }));
    }

    fn stop(&mut self) {
        if let Some(task) = self.fetching.take() {
            task.abort();
        }
    }

    fn load(&mut self, target: Target) {
        let now = self.agent.node.now();
        let wait = self.retry.since(now);
        let order = self.orders.load(&self.agent, target.clone(), wait);
        let back = self.back.clone();
        if let Some(task) = self.loading.take() {
            task.abort();
        }
        self.loading = Some(tokio::spawn(async move {
            let done = order.await;
            let _ = back.send(Back::Loaded(target, done));
        }));
    }

    fn unload(&mut self) {
        let order = self.orders.unload(&self.agent);
        tokio::spawn(async move {
            if let Err(err) = order.await {
                log::warn!("unload: {err}");
            }
        });
    }

    fn back(&mut self, back: Back) {
        match back {
            Back::Fetched(target, Ok(())) => {
                self.stuck = None;
                self.prune();
                self.handle(&Event::Fetched(target));
            }
            Back::Fetched(_, Err(err)) => {
                log::warn!("fetch: {err}");
                self.stuck = Some(err.code());
            }
            Back::Loaded(target, Ok(bound)) => {
                self.stuck = None;
                self.note_told(bound.fence());
                self.handle(&Event::Loaded(target.clone()));
                if self.life.serving() == Some(&target)
                    && !self.agent.node.leaving()
                {
                    self.agent.gate.store(Some(Arc::new(bound)));
                }
            }
            Back::Told(Ok(fence)) => self.note_told(fence),
            Back::Told(Err(err)) => log::debug!("told: {err}"),
            Back::Loaded(_, Err(err)) => {
                log::warn!("load: {err}");
                self.stuck = Some(err.code());
                let now = self.agent.node.now();
                let pause = self.agent.settings.values.millis("poll_ms");
                self.retry = now.after(pause);
                self.handle(&Event::LoadFailed);
            }
        }
    }

    /// Looks whether the engine still has what it was given, under the fence
    /// that it was given it.
    async fn look(&mut self) {
        let agent = Arc::clone(&self.agent);
        if agent.settings.plain {
            return;
        }
        let addr = agent.settings.backend;
        let state = engine::state(agent.node.client(), addr).await;
        let Ok(state) = state else {
            if self.life.phase() == Phase::Serving {
                self.stuck = Some(Code::EngineLost);
                self.handle(&Event::EngineLost);
            }
            return;
        };
        self.orders.seen(&state);
        self.again(&state);
        if self.life.phase() != Phase::Serving {
            return;
        }
        let held = agent.gate.load();
        let holds = held.as_ref().is_some_and(|b| {
            b.fence() == state.loaded
                && b.target().manifests() == state.manifests
        });
        // No gate while serving means that this process is leaving.
        if held.is_some() && !holds {
            agent.node.event("serving.engine_lost", &[]);
            self.handle(&Event::EngineLost);
        }
    }

    /// Takes note that the engine has taken an order under a fence.
    ///
    /// Orders may overtake one another. The engine then refuses the earlier
    /// one, and has learned its revision from the later one.
    fn note_told(&self, fence: Fence) {
        self.agent.told.fetch_max(fence.revision(), Ordering::SeqCst);
    }

    /// Tells the engine again if an earlier attempt failed or it forgot.
    fn again(&mut self, state: &engine::State) {
        if state.fence.incarnation() == self.agent.node.incarnation() {
            self.note_told(state.fence);
        }
        let poll = self.agent.settings.values.millis("poll_ms");
        let waited = self.agent.node.now().since(self.informed) >= poll;
        if state.fence.revision() < self.adopted && waited {
            self.inform();
        }
    }

    /// Says when it is this agent's turn to switch: the first half of a
    /// hall's replicas at once, the others when these serve the new version,
    /// or when they take too long.
    fn turn(&mut self) {
        if !self.life.awaits_turn() {
            self.awaits = None;
            return;
        }
        let now = self.agent.node.now();
        let since = *self.awaits.get_or_insert(now);
        let most = self.agent.settings.values.millis("turn_ms");
        if now.since(since) >= most || self.first_half_done() {
            self.handle(&Event::Turn);
        }
    }

    fn first_half_done(&self) -> bool {
        let node = &self.agent.node;
        let Some(wanted) = self.life.wanted() else { return true };
        let view = node.view();
        let Some(fleet) = &view.fleet else { return true };
        let halls = agents_by_hall(fleet, &view.listing, wanted.model());
        let me = node.identity();
        let Some((_, names)) = halls.into_iter().find(|(h, _)| *h == me.hall)
        else {
            return true;
        };
        let half = names.len().div_ceil(2);
        let first = &names[..half];
        if first.contains(&me.name) {
            return true;
        }
        let mut waits = Vec::new();
        for name in first {
            let peers = node.peers();
            let done = peers.get(name).is_some_and(|heard| {
                let report = &heard.report;
                let serves = report.serves(wanted.model())
                    && report.version == *wanted.version();
                // One that leaves will never switch.
                serves || report.leaves()
            });
            if !done {
                waits.push(Arc::clone(name));
            }
        }
        for name in &waits {
            if let Some(addr) = node.control_of(name) {
                node.meet(addr);
            }
        }
        waits.is_empty()
    }

    /// Drops chunks that no declared version here needs any more.
    fn prune(&self) {
        let view = self.agent.node.view();
        let Some(fleet) = &view.fleet else { return };
        let mut keep: HashSet<Digest> = HashSet::new();
        for model in fleet.models() {
            for version in model.versions().iter().chain(model.adapters()) {
                let names = [version.manifest()];
                let Some(found) = self.agent.manifests(&names) else {
                    continue;
                };
                keep.insert(version.manifest());
                for manifest in found {
                    keep.extend(manifest.chunks().iter().map(|c| c.digest()));
                }
            }
        }
        self.agent.store().retain(&keep);
    }

    fn tell(&self) {
        let node = &self.agent.node;
        node.carry(self.agent.tally.count());
        if self.agent.settings.plain {
            let view = node.view();
            let me = &node.identity().name;
            let fleet = view.fleet.as_ref();
            let backend = fleet.and_then(|f| f.backend(me));
            let service = backend.and_then(|b| b.service());
            let phase =
                if service.is_some() { Phase::Serving } else { Phase::Absent };
            let name = service.map_or("", |s| s);
            node.stand(phase.as_str(), (name, ""), (1000, 0), None);
            return;
        }
        let named = self.life.serving().or(self.life.wanted());
        let (model, version): (&str, &str) =
            named.map_or(("", ""), |t| (t.model(), t.version()));
        let (share, rate) = self.agent.pace();
        let state = self.life.phase().as_str();
        node.stand(state, (model, version), (share, rate), self.stuck);
    }
}
