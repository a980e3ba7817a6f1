//! Gossip about failing replicas between entries.
//!
//! An entry reports each replica that it suspects, ejects or readmits by the
//! outcomes of its own requests. A receiver forwards what is new to it to the
//! other entries of its hall. A lost report costs the entry that lacks it the
//! requests that it needs to find out by itself.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::health::HealthReport;
use stairhinge::placing::Message;

use crate::dispatch::Dispatcher;
use crate::peer_list::PeerList;
use crate::peer_socket::PeerSocket;

/// How long reports are collected before they are sent.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Exchanges reports on failing replicas with other entries.
pub(crate) struct HealthGossip {
    dispatcher: Arc<Dispatcher>,
    wire: Arc<PeerSocket>,
    peers: Arc<PeerList>,
}

impl HealthGossip {
    /// Returns the gossip of an entry.
    pub(crate) const fn new(
        dispatcher: Arc<Dispatcher>,
        wire: Arc<PeerSocket>,
        peers: Arc<PeerList>,
    ) -> HealthGossip {
        HealthGossip { dispatcher, wire, peers }
    }

    /// Sends reports until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            self.dispatcher.health_changed().await;
            tokio::time::sleep(BATCH_DELAY).await;
            let reports = self.dispatcher.take_health_reports();
            self.send(&self.peers.all(), &reports);
        }
    }

    /// Handles the reports of another entry.
    pub(crate) fn handle(&self, from: SocketAddr, reports: Vec<HealthReport>) {
        self.peers.record_seen(from);
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
            for addr in to {
                self.wire.send(*addr, &Message::Health(part.to_vec()));
            }
        }
    }
}
