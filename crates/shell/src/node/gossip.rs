//! Exchanges of reports with peers.
//!
//! At each interval a process exchanges reports with one peer, usually of its
//! own data hall and periodically of another. A new document does not wait for
//! the interval: a process that accepts one notifies a few peers at once, so
//! it reaches the whole data hall within a few exchanges.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::document::Instance;
use stairhinge::rank;

use super::{Node, poison};

/// Number of peers of the data hall notified at once of a change.
const FANOUT: usize = 3;

/// Every `FAR_INTERVAL`th exchange is with a peer of another data hall.
const FAR_INTERVAL: u64 = 4;

/// Timeout of one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time without a report after which a process is removed from the peers.
const PEER_EXPIRY: Duration = Duration::from_secs(600);

/// Exchanges reports with peers until the process shuts down.
pub(super) async fn run(node: Arc<Node>) {
    for addr in node.identity().seeds.clone() {
        meet(&node, addr).await;
    }
    let mut changes = node.changes();
    let mut beat = 0u64;
    loop {
        let notified = tokio::select! {
            changed = changes.changed() => changed.is_ok(),
            () = tokio::time::sleep(node.identity().beat) => false,
        };
        if notified {
            notify_peers(&node).await;
            continue;
        }
        beat += 1;
        let near = !beat.is_multiple_of(FAR_INTERVAL);
        let mut others = node.others(near);
        if others.is_empty() {
            others = node.others(!near);
        }
        if let Some(peer) = select_peer(&node, &others, beat) {
            meet(&node, peer.control).await;
        }
        let now = node.now().as_millis();
        let since = now.saturating_sub(PEER_EXPIRY.as_millis() as u64);
        node.peers().forget(stairhinge::Time::from_millis(since));
    }
}

/// Returns the peer for an exchange.
///
/// Each process cycles through its peers in a pseudo-random order of its own:
/// one round covers all peers, and load does not concentrate on one of them.
fn select_peer<'a>(
    node: &Node,
    others: &'a [Instance],
    beat: u64,
) -> Option<&'a Instance> {
    if others.is_empty() {
        return None;
    }
    let name = &node.identity().name;
    let names = others.iter().map(|i| &i.name);
    let order = rank::order(name.as_bytes(), names);
    let next = order.get(beat as usize % order.len())?;
    others.iter().find(|i| i.name == *next)
}

/// Notifies a few peers of the data hall of the document revisions held here;
/// the process that ranks first in the hall also notifies one of each other.
async fn notify_peers(node: &Arc<Node>) {
    let seed = node.view().revision().to_le_bytes();
    let near = node.others(true);
    let mut addrs = near_peers(node, &seed);
    let mut names = vec![Arc::clone(&node.identity().name)];
    names.extend(near.iter().map(|i| Arc::clone(&i.name)));
    let first = rank::first(b"watch", &names);
    if first.as_ref() == Some(&node.identity().name) {
        addrs.extend(one_peer_per_hall(node, &seed));
    }
    let notifications = addrs.into_iter().map(|addr| async move {
        match node.wire().news(addr, EXCHANGE_TIMEOUT, node.news()).await {
            Ok(theirs) => node.receive_news(theirs),
            Err(err) => log::debug!("cannot notify peer of documents: {err}"),
        }
    });
    futures::future::join_all(notifications).await;
}

/// Returns a few peers of the data hall; the choice depends on the process
/// and the seed.
pub(super) fn near_peers(node: &Node, seed: &[u8]) -> Vec<SocketAddr> {
    let mut seed = seed.to_vec();
    seed.extend_from_slice(node.identity().name.as_bytes());
    let near = node.others(true);
    let order = rank::order(&seed, near.iter().map(|i| &i.name));
    let mut addrs = Vec::new();
    for name in order.iter().take(FANOUT) {
        addrs.extend(near.iter().find(|i| i.name == *name).map(|i| i.control));
    }
    addrs
}

/// Returns one peer of each other data hall, chosen by the seed.
pub(super) fn one_peer_per_hall(node: &Node, seed: &[u8]) -> Vec<SocketAddr> {
    let far = node.others(false);
    let mut halls: Vec<Arc<str>> = Vec::new();
    for instance in &far {
        if !halls.contains(&instance.hall) {
            halls.push(Arc::clone(&instance.hall));
        }
    }
    let mut addrs = Vec::new();
    for hall in halls {
        let there = far.iter().filter(|i| i.hall == hall);
        let first = rank::first(seed, there.map(|i| &i.name));
        let found = far.iter().find(|i| first.as_ref() == Some(&i.name));
        addrs.extend(found.map(|i| i.control));
    }
    addrs
}

pub(super) async fn meet(node: &Arc<Node>, addr: SocketAddr) {
    let report = node.report();
    match node.wire().exchange(addr, EXCHANGE_TIMEOUT, report).await {
        Ok(theirs) => {
            let digest = theirs.poison;
            node.receive_report(theirs);
            poison::compare(node, addr, digest).await;
        }
        Err(err) => log::debug!("cannot exchange reports: {err}"),
    }
}
