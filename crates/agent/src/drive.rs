//! The agent's main loop, which brings the engine to the declared target.

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

/// The result of a task started by the main loop.
pub(crate) enum TaskResult {
    /// All chunks of a target were fetched, or the fetch failed.
    Fetched(Target, Result<(), Error>),
    /// The engine answered a load order, or the order failed.
    Loaded(Target, Result<LoadedTarget, Error>),
    /// The engine confirmed a revision, or the order failed.
    Informed(Result<Fence, Error>),
}

/// Runs the main loop until the process stops.
pub(crate) async fn run(agent: Arc<Agent>, end: Shutdown) {
    let (tx, rx) = mpsc::unbounded_channel();
    let main_loop = MainLoop {
        lifecycle: Lifecycle::new(),
        orders: Orders::new(&agent),
        results: tx,
        fetching: None,
        loading: None,
        stuck: None,
        waiting_since: None,
        retry_at: Time::ZERO,
        adopted_revision: 0,
        informed_at: Time::ZERO,
        agent,
    };
    tokio::select! {
        () = main_loop.run(rx) => {}
        () = end.wait() => {}
    }
}

struct MainLoop {
    agent: Arc<Agent>,
    lifecycle: Lifecycle,
    orders: Orders,
    results: mpsc::UnboundedSender<TaskResult>,
    fetching: Option<JoinHandle<()>>,
    loading: Option<JoinHandle<()>>,
    stuck: Option<Code>,
    waiting_since: Option<Time>,
    retry_at: Time,
    adopted_revision: u64,
    informed_at: Time,
}

impl MainLoop {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<TaskResult>) {
        let agent = Arc::clone(&self.agent);
        let mut changes = agent.node.changes();
        let poll = agent.settings.values.millis("poll_ms");
        let mut checked_at = Time::ZERO;
        loop {
            self.adopt_declaration();
            let target = self.target();
            self.handle(&Event::Wanted(target));
            let now = agent.node.now();
            if now.since(checked_at) >= poll {
                checked_at = now;
                self.check_engine().await;
            }
            self.check_turn();
            if self.lifecycle.phase() == Phase::Draining
                && agent.in_progress.count() == 0
            {
                self.handle(&Event::Idle);
            }
            self.update_report();
            let draining = self.lifecycle.phase() == Phase::Draining;
            tokio::select! {
                result = rx.recv() => if let Some(result) = result {
                    self.handle_result(result);
                },
                _ = changes.changed() => {}
                () = agent.wake.notified() => {}
                () = agent.in_progress.idle(), if draining => {}
                () = tokio::time::sleep(poll) => {}
            }
        }
    }

    /// Applies the key window and the key guards of a new declaration.
    fn adopt_declaration(&mut self) {
        let view = self.agent.node.view();
        let Some(fleet) = &view.fleet else { return };
        if fleet.revision() == self.adopted_revision {
            return;
        }
        self.adopted_revision = fleet.revision();
        let now = self.agent.node.now();
        self.agent.guard_history().adopt(GuardSet::from_fleet(fleet), now);
        let (start, window) = (self.agent.start, fleet.key_window());
        self.agent.keys().set_window(start, window);
        let ms = window.as_millis().to_string();
        self.agent.node.event("guard.window", &[("window_ms", &ms)]);
        self.inform_engine();
    }

    /// Sends the current revision to the engine.
    fn inform_engine(&mut self) {
        if self.agent.settings.plain {
            // A plain service accepts no orders and stores no fence.
            self.agent
                .engine_revision
                .store(self.adopted_revision, Ordering::SeqCst);
            return;
        }
        self.informed_at = self.agent.node.now();
        let order = self.orders.inform(&self.agent);
        let results = self.results.clone();
        tokio::spawn(async move {
            let _ = results.send(TaskResult::Informed(order.await));
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
        let actions = self.lifecycle.handle(event);
        // The gate is closed before any of the actions is started. It is
        // opened only after a load was confirmed.
        if self.lifecycle.serving().is_none() {
            self.agent.loaded.store(None);
        }
        for action in actions {
            match action {
                Action::Fetch(target) => self.fetch(target),
                Action::StopFetching => self.stop_fetching(),
                Action::Load(target) => self.load(target),
                Action::Unload => self.unload(),
            }
        }
    }

    fn fetch(&mut self, target: Target) {
        self.stop_fetching();
        self.stuck = None;
        let agent = Arc::clone(&self.agent);
        let results = self.results.clone();
        self.fetching = Some(tokio::spawn(async move {
            let done = fetch::run(&agent, &target).await;
            // The receiver is gone if the main loop has ended.
            let _ = results.send(TaskResult::Fetched(target, done));
        }));
    }

    fn stop_fetching(&mut self) {
        if let Some(task) = self.fetching.take() {
            task.abort();
        }
    }

    fn load(&mut self, target: Target) {
        let now = self.agent.node.now();
        let wait = self.retry_at.since(now);
        let order = self.orders.load(&self.agent, target.clone(), wait);
        let results = self.results.clone();
        if let Some(task) = self.loading.take() {
            task.abort();
        }
        self.loading = Some(tokio::spawn(async move {
            let done = order.await;
            let _ = results.send(TaskResult::Loaded(target, done));
        }));
    }

    fn unload(&mut self) {
        let order = self.orders.unload(&self.agent);
        tokio::spawn(async move {
            if let Err(err) = order.await {
                log::warn!("the engine did not unload: {err}");
            }
        });
    }

    fn handle_result(&mut self, result: TaskResult) {
        match result {
            TaskResult::Fetched(target, Ok(())) => {
                self.stuck = None;
                self.prune_chunks();
                self.handle(&Event::Fetched(target));
            }
            TaskResult::Fetched(_, Err(err)) => {
                log::warn!("cannot fetch the weights: {err}");
                self.stuck = Some(err.code());
            }
            TaskResult::Loaded(target, Ok(bound)) => {
                self.agent.activity.record_answer(self.agent.node.now());
                self.stuck = None;
                self.record_revision(bound.fence());
                self.handle(&Event::Loaded(target.clone()));
                if self.lifecycle.serving() == Some(&target)
                    && !self.agent.node.leaving()
                {
                    self.agent.loaded.store(Some(Arc::new(bound)));
                }
            }
            TaskResult::Informed(Ok(fence)) => self.record_revision(fence),
            TaskResult::Informed(Err(err)) => log::debug!("role order: {err}"),
            TaskResult::Loaded(_, Err(err)) => {
                log::warn!("the engine did not load the target: {err}");
                self.stuck = Some(err.code());
                let now = self.agent.node.now();
                let pause = self.agent.settings.values.millis("poll_ms");
                self.retry_at = now.after(pause);
                self.handle(&Event::LoadFailed);
            }
        }
    }

    /// Checks that the engine still holds the loaded target, under the fence
    /// of its load order.
    async fn check_engine(&mut self) {
        let agent = Arc::clone(&self.agent);
        if agent.settings.plain {
            return;
        }
        let addr = agent.settings.backend;
        let state = engine::state(agent.node.client(), addr).await;
        let Ok(state) = state else {
            if self.lifecycle.phase() == Phase::Serving {
                agent.check_exit().await;
                self.stuck = Some(Code::EngineLost);
                self.handle(&Event::EngineLost);
            }
            return;
        };
        agent.activity.record_answer(agent.node.now());
        self.orders.check_superseded(&state);
        self.repeat_inform(&state);
        if self.lifecycle.phase() != Phase::Serving {
            return;
        }
        let held = agent.loaded.load();
        let holds = held.as_ref().is_some_and(|b| {
            b.fence() == state.loaded
                && b.target().manifests() == state.manifests
        });
        // If the gate is closed while serving, this process is leaving.
        if held.is_some() && !holds {
            agent.node.event("serving.engine_lost", &[]);
            self.handle(&Event::EngineLost);
        }
    }

    /// Records that the engine accepted an order with this fence.
    ///
    /// Orders may arrive out of order. The engine then refuses the earlier
    /// one, and has the revision from the later one.
    fn record_revision(&self, fence: Fence) {
        self.agent
            .engine_revision
            .fetch_max(fence.revision(), Ordering::SeqCst);
    }

    /// Sends the revision to the engine again if an earlier attempt failed or
    /// the engine has lost it.
    fn repeat_inform(&mut self, state: &engine::State) {
        if state.fence.incarnation() == self.agent.node.incarnation() {
            self.record_revision(state.fence);
        }
        let poll = self.agent.settings.values.millis("poll_ms");
        let waited = self.agent.node.now().since(self.informed_at) >= poll;
        if state.fence.revision() < self.adopted_revision && waited {
            self.inform_engine();
        }
    }

    /// Allows the switch to a new version when it is this agent's turn.
    ///
    /// The first half of a data hall's replicas switches at once. The second
    /// half waits until the first half serves the new version, at most for
    /// the `turn_ms` setting.
    fn check_turn(&mut self) {
        if !self.lifecycle.awaits_turn() {
            self.waiting_since = None;
            return;
        }
        let now = self.agent.node.now();
        let since = *self.waiting_since.get_or_insert(now);
        let max_wait = self.agent.settings.values.millis("turn_ms");
        if now.since(since) >= max_wait || self.first_half_done() {
            self.handle(&Event::Turn);
        }
    }

    fn first_half_done(&self) -> bool {
        let node = &self.agent.node;
        let Some(wanted) = self.lifecycle.wanted() else { return true };
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
        let mut waiting = Vec::new();
        for name in first {
            let peers = node.peers();
            let done = peers.get(name).is_some_and(|heard| {
                let report = &heard.report;
                let serves = report.serves(wanted.model())
                    && report.version == *wanted.version();
                // An agent that is leaving never switches.
                serves || report.leaves()
            });
            if !done {
                waiting.push(Arc::clone(name));
            }
        }
        for name in &waiting {
            if let Some(addr) = node.control_of(name) {
                node.meet(addr);
            }
        }
        waiting.is_empty()
    }

    /// Removes chunks that no declared version uses.
    fn prune_chunks(&self) {
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

    fn update_report(&self) {
        let node = &self.agent.node;
        node.set_load(self.agent.in_progress.count());
        if self.agent.settings.plain {
            let view = node.view();
            let me = &node.identity().name;
            let fleet = view.fleet.as_ref();
            let backend = fleet.and_then(|f| f.backend(me));
            let service = backend.and_then(|b| b.service());
            let phase =
                if service.is_some() { Phase::Serving } else { Phase::Absent };
            let name = service.map_or("", |s| s);
            node.set_serving_status(
                phase.as_str(),
                (name, ""),
                (1000, 0),
                None,
            );
            return;
        }
        let named = self.lifecycle.serving().or(self.lifecycle.wanted());
        let (model, version): (&str, &str) =
            named.map_or(("", ""), |t| (t.model(), t.version()));
        let (share, rate) = self.agent.fetch_rate();
        let state = self.lifecycle.phase().as_str();
        node.set_serving_status(
            state,
            (model, version),
            (share, rate),
            self.stuck,
        );
    }
}
