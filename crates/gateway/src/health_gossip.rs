//! Gossip about failing replicas between entries.
//!
//! An entry reports each replica that it suspects, ejects or readmits by the
//! outcomes of its own requests: to its hall, and to one entry of each other
//! hall, within a budget. A receiver forwards what is new to it in its hall. A
//! lost report costs the entry that lacks it the
//! requests that it needs to find out by itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::health::HealthReport;
use stairhinge::placing::Message;

use crate::dispatch::Dispatcher;
use crate::news_sender::NewsSender;
use crate::peer_list::PeerList;
use crate::peer_socket::PeerSocket;

/// How long reports are collected before they are sent.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Exchanges reports on failing replicas with other entries.
pub(crate) struct HealthGossip {
    dispatcher: Arc<Dispatcher>,
    sender: NewsSender,
    peers: Arc<PeerList>,
}

impl HealthGossip {
    /// Returns the gossip of an entry.
    pub(crate) fn new(
        dispatcher: Arc<Dispatcher>,
        wire: Arc<PeerSocket>,
        peers: Arc<PeerList>,
    ) -> HealthGossip {
        let sender = NewsSender::new(wire, Arc::clone(&peers));
        HealthGossip { dispatcher, sender, peers }
    }

    /// Sends reports until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            self.dispatcher.health_changed().await;
            tokio::time::sleep(BATCH_DELAY).await;
            let reports = self.dispatcher.take_health_reports();
            for message in messages(&reports) {
                self.sender.broadcast(&message);
            }
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
        let to = self.peers.to_forward(from);
        for message in messages(&news) {
            self.sender.send(&to, &message);
        }
    }
}

/// Returns messages with reports.
pub(crate) fn messages(reports: &[HealthReport]) -> Vec<Message> {
    let parts = reports.chunks(HealthReport::MAX_REPORTS);
    parts.map(|part| Message::Health(part.to_vec())).collect()
}
