//! Gossip about failing replicas between entries.
//!
//! An entry reports each replica that it suspects, ejects or readmits by the
//! outcomes of its own requests: to its hall, and to one entry of each other
//! hall, within a budget. A receiver forwards what is new to it in its hall. A
//! lost report costs the entry that lacks it the
//! requests that it needs to find out by itself.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use stairhinge::health::HealthReport;
use stairhinge::placing::Message;

use crate::dispatch::Dispatcher;
use crate::far_budget::FarBudget;
use crate::peer_list::PeerList;
use crate::peer_socket::{PeerSocket, encode};

/// How long reports are collected before they are sent.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Exchanges reports on failing replicas with other entries.
pub(crate) struct HealthGossip {
    dispatcher: Arc<Dispatcher>,
    wire: Arc<PeerSocket>,
    peers: Arc<PeerList>,
    budget: FarBudget,
}

impl HealthGossip {
    /// Returns the gossip of an entry.
    pub(crate) fn new(
        dispatcher: Arc<Dispatcher>,
        wire: Arc<PeerSocket>,
        peers: Arc<PeerList>,
    ) -> HealthGossip {
        HealthGossip { dispatcher, wire, peers, budget: FarBudget::default() }
    }

    /// Sends reports until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            self.dispatcher.health_changed().await;
            tokio::time::sleep(BATCH_DELAY).await;
            let reports = self.dispatcher.take_health_reports();
            let mut to = self.peers.near();
            let relays = self.peers.relays(0);
            to.extend(relays.into_iter().map(|entry| entry.addr));
            self.send(&to, &reports);
        }
    }

    /// Handles the reports of another entry.
    pub(crate) fn handle(&self, from: SocketAddr, reports: Vec<HealthReport>) {
        let mut news = Vec::new();
        for report in reports.into_iter().take(HealthReport::MAX_REPORTS) {
            if self.dispatcher.learn_health(from, &report) {
                news.push(report);
            }
        }
        if !news.is_empty() {
            self.send(&self.peers.to_forward(from), &news);
        }
    }

    fn send(&self, to: &BTreeSet<SocketAddr>, reports: &[HealthReport]) {
        for part in reports.chunks(HealthReport::MAX_REPORTS) {
            let message = Message::Health(part.to_vec());
            let Some(datagram) = encode(&message) else { continue };
            let now = Instant::now();
            for addr in to {
                let far = self.peers.far_hall(*addr);
                let fits =
                    |hall| self.budget.spend(&hall, datagram.len(), now);
                if far.is_none_or(fits) {
                    self.wire.send_datagram(*addr, &datagram);
                }
            }
        }
    }
}
