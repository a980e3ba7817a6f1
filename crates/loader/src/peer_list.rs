//! Lists the other agents of the service, which may hold weights.

use std::net::SocketAddr;
use std::sync::Arc;

use stairhinge::direct::Absence;
use stairhinge_chunks::log_failure;
use stairhinge_shell::directory::{Collection, Freshness, Record};
use tokio::task::JoinHandle;

use crate::agent::Agent;

/// Returns the addresses and data halls of the other agents of the service.
pub(crate) fn peers(agent: &Agent) -> Vec<(Arc<str>, SocketAddr)> {
    let own_addr = agent.addr();
    let mut peers = Vec::new();
    let view = agent.facts.view();
    for (replica, _) in view.of_service(&agent.settings.service) {
        let addr = SocketAddr::new(replica.addr.ip(), own_addr.port());
        if addr != own_addr {
            peers.push((Arc::clone(&replica.hall), addr));
        }
    }
    peers.sort();
    peers.dedup();
    peers
}

/// Reads the list of replicas from an entry of the hall or else from the
/// platform. A stale list is accepted, since it costs less.
pub(crate) async fn list_peers(agent: &Agent) {
    if agent.entries.list_replicas().await.is_ok() {
        return;
    }
    agent.entries.forget_list();
    let collection = Collection::Replicas;
    let listed = agent.directory.list_part(collection, Freshness::Stale).await;
    let failure = match listed {
        Ok(part) => {
            let mut replicas = Vec::new();
            for record in part.listing.records {
                if let Ok(Record::Replica(replica)) = record {
                    replicas.push(replica);
                }
            }
            agent.facts.replace_read(replicas, |name| {
                (!part.unread.contains(name)).then_some(Absence::Gone)
            });
            part.failure
        }
        Err(error) => Some(error),
    };
    if let Some(error) = failure {
        log_failure(&agent.facts, "replica list", &error);
    }
}

/// Reads the list of replicas in the background during a fetch, since a
/// platform that does not answer must not delay chunks.
#[derive(Default)]
pub(crate) struct Relist {
    reading: Option<JoinHandle<()>>,
}

impl Relist {
    /// Starts to read the list, unless it is being read already.
    pub(crate) fn start(&mut self, agent: &Arc<Agent>) {
        if self.reading.as_ref().is_some_and(|task| !task.is_finished()) {
            return;
        }
        let agent = Arc::clone(agent);
        let task = async move { list_peers(&agent).await };
        self.reading = Some(tokio::spawn(task));
    }
}

impl Drop for Relist {
    fn drop(&mut self) {
        if let Some(task) = self.reading.take() {
            task.abort();
        }
    }
}
