//! The agent: the gate in front of one backend server.
//!
//! It takes the one slot on a backend server's instance. It fetches, verifies
//! and passes on weights, orders its engine, admits requests for what the
//! engine has loaded, and guards its share of the keys.

mod agent;
mod claim;
mod control;
mod drive;
mod engine;
mod fetch;
mod gate;
mod orders;
mod poison;
mod proxy;
mod settings;
mod tally;
mod weights;

pub use self::agent::Agent;
pub use self::settings::{Settings, table};

use std::sync::Arc;

use stairhinge::Error;
use stairhinge::document::Role;
use stairhinge::serving::Fence;
use stairhinge_shell::control::Wire;
use stairhinge_shell::http::{Client, serve};
use stairhinge_shell::node::{Identity, Node, wall};
use stairhinge_shell::{Shutdown, Slot, http};

/// Runs an agent until it is told to stop and all its requests have ended.
///
/// # Errors
///
/// If its listeners cannot be taken over.
pub async fn run(
    settings: Settings,
    slot: Slot,
    wire: Wire,
    shutdown: Shutdown,
) -> Result<(), Error> {
    let (listener, control) = slot.split()?;
    let held = fence(&settings).await;
    let incarnation = Fence::next_incarnation(wall(), held);
    let identity = Identity::of(&settings.values, Role::Agent);
    let node = Node::new(identity, incarnation, held.revision(), wire);
    node.event("process.started", &[]);
    let agent = Agent::new(Arc::clone(&node), &settings);
    let (stopper, end) = Shutdown::new();
    let served = Arc::clone(&agent);
    node.wire().serve(control, served, end.clone())?;
    node.run(&end);
    tokio::spawn(drive::run(Arc::clone(&agent), end.clone()));
    tokio::spawn(Arc::clone(&agent).beat(end.clone()));
    let leaving = Arc::clone(&agent);
    let told = shutdown.clone();
    tokio::spawn(async move {
        told.wait().await;
        leaving.leave();
    });
    let limits = http::Limits::of(&settings.values);
    serve(listener, limits, agent.stopping(shutdown), agent).await;
    stopper.stop();
    Ok(())
}

/// The fence that the engine holds; of one that is silent now, none.
async fn fence(settings: &Settings) -> Fence {
    if settings.plain {
        return Fence::default();
    }
    let state = engine::state(&Client::new(), settings.backend).await;
    state.map_or_else(|_| Fence::default(), |s| s.fence)
}
