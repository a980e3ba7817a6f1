//! The entry: takes callers' requests and picks a backend server for each.
//!
//! It runs behind the platform's load balancer and stores no durable state.
//! It reads a request completely, admits it by workspace and priority, sends
//! it to an agent that serves its model or plain service, and streams the
//! answer back. [`stairhinge::request::RequestRetry`] decides whether a failed
//! request may be attempted again.

mod admit;
mod answer;
mod checked_request;
mod choose;
mod control;
mod entry;
mod front;
mod send;
mod settings;

pub use self::entry::Entry;
pub use self::settings::{Settings, table};

use std::sync::Arc;

use stairhinge::Error;
use stairhinge::document::Role;
use stairhinge_shell::control::{Report, Wire};
use stairhinge_shell::http::{Limits, serve};
use stairhinge_shell::node::{Identity, Node, wall};
use stairhinge_shell::{Listeners, Shutdown};

/// Runs an entry until `shutdown` and the end of all its requests.
///
/// # Errors
///
/// If the runtime can't take over `listeners`.
pub async fn run(
    settings: Settings,
    listeners: Listeners,
    wire: Wire,
    shutdown: Shutdown,
) -> Result<(), Error> {
    let (listener, control) = listeners.split()?;
    let identity = Identity::of(&settings.values, Role::Entry);
    let node = Node::new(identity, wall(), 0, wire);
    let entry = Entry::new(Arc::clone(&node), &settings);
    let (stopper, end) = Shutdown::new();
    let control_handler = Arc::clone(&entry);
    node.wire().serve(control, control_handler, end.clone())?;
    node.run(&end);
    tokio::spawn(report_ready(Arc::clone(&node)));
    let leaving_node = Arc::clone(&node);
    let stopping = shutdown.clone();
    tokio::spawn(async move {
        stopping.wait().await;
        leaving_node.leave();
    });
    let limits = Limits::of(&settings.values);
    serve(listener, limits, shutdown, entry).await;
    stopper.stop();
    Ok(())
}

/// Reports the entry as ready once it has a declaration.
async fn report_ready(node: Arc<Node>) {
    let mut changes = node.changes();
    while node.view().fleet.is_none() {
        if changes.changed().await.is_err() {
            return;
        }
    }
    node.set_serving_status(Report::READY, ("", ""), (0, 0), None);
}
