//! The agent, which controls access to one backend server.
//!
//! One agent runs on the instance of each backend server. It fetches and
//! verifies weights and serves them to its peers, sends orders to its engine,
//! admits requests for the version that the engine has loaded, and grants
//! the idempotency keys that are assigned to it.

mod agent;
mod claim;
mod control;
mod drive;
mod engine;
mod engine_exit;
mod fetch;
mod gate;
mod orders;
mod poison;
mod proxy;
mod request_counter;
mod settings;
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
use stairhinge_shell::{Listeners, Shutdown, http};

/// Runs an agent until shutdown is requested and all its requests have ended.
///
/// # Errors
///
/// If the runtime cannot use its listening sockets.
pub async fn run(
    settings: Settings,
    listeners: Listeners,
    wire: Wire,
    shutdown: Shutdown,
) -> Result<(), Error> {
    let (listener, control) = listeners.split()?;
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
    tokio::spawn(Arc::clone(&agent).run_pause_detector(end.clone()));
    let watched = Arc::clone(&agent);
    let stopped = end.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = watched.watch_exits() => {}
            () = stopped.wait() => {}
        }
    });
    let leaving = Arc::clone(&agent);
    let requested = shutdown.clone();
    tokio::spawn(async move {
        requested.wait().await;
        leaving.leave();
    });
    let limits = http::Limits::of(&settings.values);
    serve(listener, limits, agent.stopping(shutdown), agent).await;
    stopper.stop();
    Ok(())
}

/// Returns the fence that the engine holds, or the default fence for a plain
/// service or an engine that does not answer.
async fn fence(settings: &Settings) -> Fence {
    if settings.plain {
        return Fence::default();
    }
    let state = engine::state(&Client::new(), settings.backend).await;
    state.map_or_else(|_| Fence::default(), |s| s.fence)
}
