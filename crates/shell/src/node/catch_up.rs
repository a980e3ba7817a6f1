//! Catching up with peers after the start of the process.
//!
//! A process that has just started has not heard of the requests that its
//! peers have quarantined. It asks some of them before it admits runs.

use std::net::SocketAddr;
use std::sync::Arc;

use stairhinge::document::{Instance, Role};
use stairhinge::rank;
use stairhinge::serving::CatchUp;

use super::Node;
use super::gossip::{meet, one_peer_per_hall};

/// The maximum number of entries and of agents of the data hall that are
/// asked. Some of them may have just started as well.
const MAX_ASKED: usize = 5;

/// Asks peers for their tables of poisoned requests, for at most
/// [`CatchUp::MAX_SPAN`] once this process could admit runs.
pub(super) async fn run(node: Arc<Node>) {
    let mut changes = node.changes();
    while node.view().fleet.is_none() {
        if changes.changed().await.is_err() {
            return;
        }
    }
    let begun = node.now();
    let asked = tokio::time::timeout(CatchUp::MAX_SPAN, ask(&node)).await;
    let end = match asked {
        Ok(0) => "alone",
        Ok(_) => "asked",
        Err(_) => "timed_out",
    };
    let took = node.now().since(begun).as_millis().to_string();
    node.event("poison.caught_up", &[("end", end), ("ms", &took)]);
    node.set_caught_up();
}

/// Exchanges tables with peers once any are listed, and returns how many were
/// asked.
async fn ask(node: &Arc<Node>) -> usize {
    let mut changes = node.changes();
    while node.view().listing.instances.is_empty() {
        if changes.changed().await.is_err() {
            return 0;
        }
    }
    let peers = peers(node);
    let count = peers.len();
    let asked = peers.into_iter().map(|addr| meet(node, addr));
    futures::future::join_all(asked).await;
    count
}

/// Returns a few entries and agents of the data hall, and one instance of each
/// other hall.
fn peers(node: &Node) -> Vec<SocketAddr> {
    let seed = node.identity().name.as_bytes();
    let near = node.others(true);
    let mut peers = one_peer_per_hall(node, seed);
    for role in [Role::Entry, Role::Agent] {
        let of_role: Vec<&Instance> =
            near.iter().filter(|i| i.role == role).collect();
        let order = rank::order(seed, of_role.iter().map(|i| &i.name));
        for name in order.iter().take(MAX_ASKED) {
            let found = of_role.iter().find(|i| i.name == *name);
            peers.extend(found.map(|i| i.control));
        }
    }
    peers
}
