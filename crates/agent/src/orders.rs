//! Fenced orders to the engine.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::serving::{Fence, Lease, LoadedTarget, Target};
use stairhinge::{Code, Error};

use crate::agent::Agent;
use crate::engine::{self, Load, State};

/// Makes fenced orders, each under a higher fence than the one before.
pub(crate) struct Orders {
    fence: Fence,
}

impl Orders {
    pub(crate) fn new(agent: &Agent) -> Orders {
        Orders { fence: Fence::new(agent.node.incarnation()) }
    }

    /// Takes note of an engine's state. A higher fence there means that a
    /// later agent orders this engine; this one must not outbid it.
    pub(crate) fn seen(&self, state: &State) {
        if state.fence.incarnation() > self.fence.incarnation() {
            log::warn!("the engine is ordered by a later agent");
        }
    }

    /// Returns the order to load a target, to be sent after a wait.
    pub(crate) fn load(
        &mut self,
        agent: &Arc<Agent>,
        target: Target,
        wait: Duration,
    ) -> impl Future<Output = Result<LoadedTarget, Error>> + Send + 'static
    {
        let first = self.fence.is_first();
        self.fence = self.fence.next(agent.node.view().revision());
        let fence = self.fence;
        let agent = Arc::clone(agent);
        async move {
            let span = agent.settings.values.millis("lease_ms");
            let wait = match agent.checks_fences() {
                // What the agent before this one decided may still be on its
                // way for as long as a lease.
                false if first => wait.max(span),
                _ => wait,
            };
            tokio::time::sleep(wait).await;
            let lease = Lease::new(agent.node.now(), span);
            let load = Load {
                model: Arc::clone(target.model()),
                version: Arc::clone(target.version()),
                manifests: target.manifests().to_vec(),
                chunks: chunks(&agent, &target),
                source: agent.http(),
            };
            check(&agent, lease)?;
            let client = agent.node.client();
            let addr = agent.settings.backend;
            engine::load(client, addr, fence, &load).await?;
            Ok(LoadedTarget::new(target, fence))
        }
    }

    /// Returns the order that tells the engine of a revision, with the fence
    /// that it was given under.
    ///
    /// An agent that restarts has forgotten which declaration was in force
    /// here; the engine's fence tells it. So nothing is admitted under a
    /// revision before the engine has been told of it.
    pub(crate) fn tell(
        &mut self,
        agent: &Arc<Agent>,
    ) -> impl Future<Output = Result<Fence, Error>> + Send + 'static {
        self.fence = self.fence.next(agent.node.view().revision());
        let fence = self.fence;
        let agent = Arc::clone(agent);
        async move {
            let client = agent.node.client();
            engine::role(client, agent.settings.backend, fence).await?;
            Ok(fence)
        }
    }

    /// Returns the order to drop what the engine holds.
    pub(crate) fn unload(
        &mut self,
        agent: &Arc<Agent>,
    ) -> impl Future<Output = Result<(), Error>> + Send + 'static {
        self.fence = self.fence.next(agent.node.view().revision());
        let fence = self.fence;
        let agent = Arc::clone(agent);
        let span = agent.settings.values.millis("lease_ms");
        let lease = Lease::new(agent.node.now(), span);
        async move {
            check(&agent, lease)?;
            let client = agent.node.client();
            engine::unload(client, agent.settings.backend, fence).await
        }
    }
}

impl Agent {
    /// Whether the backend server is declared to check who orders it.
    fn checks_fences(&self) -> bool {
        let view = self.node.view();
        let me = &self.node.identity().name;
        let backend = view.fleet.as_ref().and_then(|f| f.backend(me));
        backend.is_some_and(|b| b.checks_fences())
    }
}

/// Not every engine checks fences, so a decision that has grown old, in a
/// process that was frozen, is not sent.
fn check(agent: &Agent, lease: Lease) -> Result<(), Error> {
    if lease.is_valid(agent.node.now()) {
        return Ok(());
    }
    Err(Error::new(
        Code::EngineRefused,
        "the decision is older than its lease",
    ))
}

fn chunks(agent: &Agent, target: &Target) -> Vec<stairhinge::Digest> {
    let mut digests = Vec::new();
    // Without manifests the engine must hold the target already.
    for manifest in agent.manifests(target.manifests()).unwrap_or_default() {
        digests.extend(manifest.chunks().iter().map(|c| c.digest()));
    }
    digests
}
