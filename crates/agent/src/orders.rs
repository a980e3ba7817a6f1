//! Orders to the engine, with fencing tokens.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::serving::{Fence, Lease, LoadedTarget, Target};
use stairhinge::{Code, Error};

use crate::agent::Agent;
use crate::engine::{self, Load, State};

/// Creates orders to the engine, each with a higher fence than the last.
pub(crate) struct Orders {
    fence: Fence,
}

impl Orders {
    pub(crate) fn new(agent: &Agent) -> Orders {
        Orders { fence: Fence::new(agent.node.incarnation()) }
    }

    /// Warns if the engine has accepted orders of a later agent. This agent
    /// must not use a higher fence than that one.
    pub(crate) fn check_superseded(&self, state: &State) {
        if state.fence.incarnation() > self.fence.incarnation() {
            log::warn!("the engine has accepted orders from a later agent");
        }
    }

    /// Returns the order to load a target, which is sent after `wait`.
    pub(crate) fn load(
        &mut self,
        agent: &Arc<Agent>,
        target: Target,
        wait: Duration,
    ) -> impl Future<Output = Result<LoadedTarget, Error>> + Send + 'static
    {
        let is_first_order = self.fence.is_first();
        self.fence = self.fence.next(agent.node.view().revision());
        let fence = self.fence;
        let agent = Arc::clone(agent);
        async move {
            let lease_time = agent.settings.values.millis("lease_ms");
            let wait = match agent.checks_fences() {
                // An order of the previous agent may still arrive for the
                // duration of a lease.
                false if is_first_order => wait.max(lease_time),
                _ => wait,
            };
            tokio::time::sleep(wait).await;
            let lease = Lease::new(agent.node.now(), lease_time);
            let load = Load {
                model: Arc::clone(target.model()),
                version: Arc::clone(target.version()),
                manifests: target.manifests().to_vec(),
                chunks: chunks(&agent, &target),
                source: agent.http_addr(),
            };
            check_lease(&agent, lease)?;
            let client = agent.node.client();
            let addr = agent.settings.backend;
            engine::load(client, addr, fence, &load).await?;
            Ok(LoadedTarget::new(target, fence))
        }
    }

    /// Returns the order that sends the current revision to the engine, and
    /// resolves to the fence of the order.
    ///
    /// A restarted agent does not know which declaration it had applied, and
    /// reads the revision back from the engine's fence. Therefore no request
    /// is admitted under a revision before the engine has confirmed it.
    pub(crate) fn inform(
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

    /// Returns the order to unload the engine's target.
    pub(crate) fn unload(
        &mut self,
        agent: &Arc<Agent>,
    ) -> impl Future<Output = Result<(), Error>> + Send + 'static {
        self.fence = self.fence.next(agent.node.view().revision());
        let fence = self.fence;
        let agent = Arc::clone(agent);
        let lease_time = agent.settings.values.millis("lease_ms");
        let lease = Lease::new(agent.node.now(), lease_time);
        async move {
            check_lease(&agent, lease)?;
            let client = agent.node.client();
            engine::unload(client, agent.settings.backend, fence).await
        }
    }
}

impl Agent {
    /// Returns whether the backend server is declared to check fences.
    fn checks_fences(&self) -> bool {
        let view = self.node.view();
        let me = &self.node.identity().name;
        let backend = view.fleet.as_ref().and_then(|f| f.backend(me));
        backend.is_some_and(|b| b.checks_fences())
    }
}

/// Checks that the lease of an order has not expired.
///
/// Not every engine checks fences, so a process that was suspended must not
/// send an order that it decided before the suspension.
fn check_lease(agent: &Agent, lease: Lease) -> Result<(), Error> {
    if lease.is_valid(agent.node.now()) {
        return Ok(());
    }
    Err(Error::new(Code::EngineRefused, "the lease of the order has expired"))
}

fn chunks(agent: &Agent, target: &Target) -> Vec<stairhinge::Digest> {
    let mut digests = Vec::new();
    // If manifests are missing, the engine has already loaded the target.
    for manifest in agent.manifests(target.manifests()).unwrap_or_default() {
        digests.extend(manifest.chunks().iter().map(|c| c.digest()));
    }
    digests
}
