//! Exchanges of reports with peers.
//!
//! A beat at a time, with one peer: mostly of the own hall, now and then of
//! another. News of a document does not wait for the beat: whoever has taken
//! one tells a few peers at once, so a hall has it within a few exchanges.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::document::Instance;
use stairhinge::rank;

use super::{Node, poison};

/// How many peers of the hall are told at once of a new document.
const FANOUT: usize = 3;

/// Every how many beats the peer is of another hall.
const FAR: u64 = 4;

/// How long an exchange may take.
const WITHIN: Duration = Duration::from_millis(1_500);

/// A process that was silent for this many beats of a round over the hall is
/// forgotten.
const SILENT: Duration = Duration::from_secs(600);

/// Exchanges reports until the process stops.
pub(super) async fn run(node: Arc<Node>) {
    for addr in node.identity().seeds.clone() {
        meet(&node, addr).await;
    }
    let mut changes = node.changes();
    let mut beat = 0u64;
    loop {
        let told = tokio::select! {
            changed = changes.changed() => changed.is_ok(),
            () = tokio::time::sleep(node.identity().beat) => false,
        };
        if told {
            tell(&node).await;
            continue;
        }
        beat += 1;
        let near = !beat.is_multiple_of(FAR);
        let mut others = node.others(near);
        if others.is_empty() {
            others = node.others(!near);
        }
        if let Some(peer) = turn(&node, &others, beat) {
            meet(&node, peer.control).await;
        }
        let now = node.now().as_millis();
        let since = now.saturating_sub(SILENT.as_millis() as u64);
        node.peers().forget(stairhinge::Time::from_millis(since));
    }
}

/// Each process goes through its peers in an order of its own, so that all
/// are met in one round and nobody is met by all at once.
fn turn<'a>(
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

/// Tells a few peers of the hall, and one of each other hall if this process
/// ranks first here, that something is new.
async fn tell(node: &Arc<Node>) {
    let seed = node.view().revision().to_le_bytes();
    let near = node.others(true);
    let mut addrs = near_few(node, &seed);
    let mut names = vec![Arc::clone(&node.identity().name)];
    names.extend(near.iter().map(|i| Arc::clone(&i.name)));
    let first = rank::first(b"watch", &names);
    if first.as_ref() == Some(&node.identity().name) {
        addrs.extend(one_a_hall(node, &seed));
    }
    let told = addrs.into_iter().map(|addr| async move {
        match node.wire().news(addr, WITHIN, node.news()).await {
            Ok(theirs) => node.hear_news(theirs),
            Err(err) => log::debug!("news: {err}"),
        }
    });
    futures::future::join_all(told).await;
}

/// Returns a few peers of the hall, others for each process and seed.
pub(super) fn near_few(node: &Node, seed: &[u8]) -> Vec<SocketAddr> {
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

/// Returns one peer of each other hall.
pub(super) fn one_a_hall(node: &Node, seed: &[u8]) -> Vec<SocketAddr> {
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
    match node.wire().exchange(addr, WITHIN, report).await {
        Ok(theirs) => {
            let digest = theirs.poison;
            node.hear(theirs);
            poison::compare(node, addr, digest).await;
        }
        Err(err) => log::debug!("exchange: {err}"),
    }
}
