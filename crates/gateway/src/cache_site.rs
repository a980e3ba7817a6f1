//! The peers from which an entry can fetch chunks.

use std::net::SocketAddr;
use std::sync::Arc;

use stairhinge::direct::HallEntry;
use stairhinge_chunks::CachePeers;

use crate::dispatch::Dispatcher;

/// The entries and agents that are known from the feeds of agents.
pub(crate) struct FeedSite {
    pub dispatcher: Arc<Dispatcher>,
    pub agent_port: u16,
}

impl CachePeers for FeedSite {
    fn entries(&self) -> Vec<HallEntry> {
        self.dispatcher.entries().to_vec()
    }

    fn holders(&self, model: &str, version: u64) -> Vec<SocketAddr> {
        let mut holders = Vec::new();
        for addr in self.dispatcher.serving_replicas(model, version) {
            holders.push(SocketAddr::new(addr.ip(), self.agent_port));
        }
        holders.sort();
        holders
    }

    fn agents(&self) -> Vec<SocketAddr> {
        let mut agents = Vec::new();
        for addr in self.dispatcher.local_engines() {
            agents.push(SocketAddr::new(addr.ip(), self.agent_port));
        }
        agents.sort();
        agents.dedup();
        agents
    }
}
