//! Sending news to other entries, within a budget for other halls.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use stairhinge::placing::Message;

use crate::far_budget::FarBudget;
use crate::peer_list::PeerList;
use crate::peer_socket::{PeerSocket, encode};

/// Sends one kind of news.
pub(crate) struct NewsSender {
    wire: Arc<PeerSocket>,
    peers: Arc<PeerList>,
    budget: FarBudget,
}

impl NewsSender {
    /// Returns a sender with a budget of its own.
    pub(crate) fn new(
        wire: Arc<PeerSocket>,
        peers: Arc<PeerList>,
    ) -> NewsSender {
        NewsSender { wire, peers, budget: FarBudget::default() }
    }

    /// Sends a message to several entries, to those of other halls only within
    /// the budget.
    pub(crate) fn send(&self, to: &BTreeSet<SocketAddr>, message: &Message) {
        if to.is_empty() {
            return;
        }
        let Some(datagram) = encode(message) else { return };
        let (now, far) = (Instant::now(), self.peers.far_halls(to));
        let entries = self.peers.hall_size();
        for addr in to {
            let fits =
                |hall| self.budget.spend(hall, datagram.len(), entries, now);
            if far.get(addr).is_none_or(fits) {
                self.wire.send_datagram(*addr, &datagram);
            }
        }
    }

    /// Sends a message to the known entries of the hall, and to a relay in each
    /// other one.
    pub(crate) fn broadcast(&self, message: &Message) {
        let mut to = self.peers.near();
        let relays = self.peers.relays(0);
        to.extend(relays.into_iter().map(|entry| entry.addr));
        self.send(&to, message);
    }
}
