//! What a process knows of poisoned requests, and telling its peers.
//!
//! A change goes at once to a few peers of the hall and one of each other
//! hall, and whoever learns something by it tells a few peers of its own hall.
//! Reports carry a digest of the table: two processes whose digests differ as
//! they meet exchange records.

use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use stairhinge::poison::{
    Fingerprint, PoisonMessage, PoisonRecord, PoisonTable, Suspicion,
};

use super::gossip::{near_few, one_a_hall};
use super::state::{Node, lock};
use crate::control::PoisonTold;

/// How long changes are gathered before they are told: all requests at an
/// engine that ends are broken off within this.
const GATHER: Duration = Duration::from_millis(5);

/// How long telling one peer may take.
const WITHIN: Duration = Duration::from_millis(500);

/// How often what is over is dropped.
const SWEEP: Duration = Duration::from_secs(1);

impl Node {
    /// Returns what is known of poisoned requests.
    pub fn poison(&self) -> MutexGuard<'_, PoisonTable> {
        lock(&self.poison)
    }

    /// Has peers told of what has changed in the table.
    pub fn poison_changed(&self) {
        self.poison_change.notify_one();
    }

    /// Takes note that a backend server's process ended under a request of
    /// which `sent` was known when it was admitted there.
    pub fn ended_under(&self, request: Fingerprint, sent: Suspicion) {
        let now = self.now();
        let name = Arc::clone(&self.identity().name);
        let known = self.poison().record_crash(request, sent, &name, now);
        self.poison().record_give_up(request);
        let fields = [
            ("fingerprint", request.to_string()),
            ("ended", known.ended.to_string()),
            ("quarantined", known.is_quarantined().to_string()),
        ];
        let fields = fields.each_ref().map(|(name, text)| (*name, &**text));
        self.event("poison.suspected", &fields);
        self.poison_changed();
    }

    /// Takes note of a request's whole answer.
    pub fn answered_whole(&self, request: Fingerprint) {
        let now = self.now();
        let Some(before) = self.poison().record_answer(request, now) else {
            return;
        };
        let (name, ended) = (request.to_string(), before.ended.to_string());
        let fields = [("fingerprint", &*name), ("ended", &*ended)];
        self.event("poison.cleared", &fields);
        self.poison_changed();
    }

    /// Takes in what a peer tells, and returns what it may lack.
    pub fn hear_poison(self: &Arc<Node>, told: PoisonTold) -> PoisonTold {
        let now = self.now();
        let news = self.learn_poison(told.records);
        if !news.is_empty() {
            let node = Arc::clone(self);
            self.detach(async move {
                let addrs = near_few(&node, &seed(&news));
                tell(&node, addrs, &news).await;
            });
        }
        let mut table = self.poison();
        let digest = table.digest();
        let about: Vec<Fingerprint> = told.about.into_iter().collect();
        let mut records = table.records(&about, now);
        if digest != told.digest {
            records.extend(table.next_batch(PoisonMessage::MAX_RECORDS, now));
        }
        PoisonTold { digest, records, about: None }
    }

    fn learn_poison(&self, records: Vec<PoisonRecord>) -> Vec<PoisonRecord> {
        let now = self.now();
        let news = {
            let mut table = self.poison();
            let news = table.merge(records, now);
            table.records(&news, now)
        };
        for record in &news {
            let fields = [
                ("fingerprint", record.request.to_string()),
                ("ended", record.suspicion.ended.to_string()),
                ("replicas", record.replicas.join(" ")),
            ];
            let fields = fields.each_ref().map(|(n, text)| (*n, &**text));
            self.event("poison.learned", &fields);
        }
        news
    }

    /// Asks a peer what it knows of a request, and tells it what is known
    /// here.
    pub async fn ask_poison(
        self: &Arc<Node>,
        addr: SocketAddr,
        about: Fingerprint,
    ) {
        let own = self.poison_part(Some(about));
        self.exchange_poison(addr, own).await;
    }

    /// Tells a peer, and learns what it answers. One that cannot be reached
    /// hears at the next meeting.
    async fn exchange_poison(&self, addr: SocketAddr, told: PoisonTold) {
        match self.wire().poison(addr, WITHIN, told).await {
            Ok(theirs) => {
                self.learn_poison(theirs.records);
            }
            Err(err) => log::debug!("poison: {err}"),
        }
    }

    fn poison_part(&self, about: Option<Fingerprint>) -> PoisonTold {
        let now = self.now();
        let mut table = self.poison();
        let digest = table.digest();
        let records = match about {
            Some(request) => table.records(&[request], now),
            None => table.next_batch(PoisonMessage::MAX_RECORDS, now),
        };
        PoisonTold { digest, records, about }
    }
}

/// Tells peers of changes until the process stops.
pub(super) async fn run(node: Arc<Node>) {
    let mut sweep = tokio::time::interval(SWEEP);
    loop {
        tokio::select! {
            _ = sweep.tick() => {
                let now = node.now();
                node.poison().sweep(now);
            }
            () = node.poison_change.notified() => {
                tokio::time::sleep(GATHER).await;
            }
        }
        let now = node.now();
        let news = node.poison().take_unsent(now);
        if news.is_empty() {
            continue;
        }
        let seed = seed(&news);
        let mut addrs = near_few(&node, &seed);
        addrs.extend(one_a_hall(&node, &seed));
        tell(&node, addrs, &news).await;
    }
}

/// Exchanges records with a peer whose digest differs.
pub(super) async fn compare(node: &Arc<Node>, addr: SocketAddr, theirs: u64) {
    if node.poison().digest() == theirs {
        return;
    }
    let own = node.poison_part(None);
    node.exchange_poison(addr, own).await;
}

async fn tell(
    node: &Arc<Node>,
    addrs: Vec<SocketAddr>,
    records: &[PoisonRecord],
) {
    let told = addrs.into_iter().map(|addr| async move {
        for part in records.chunks(PoisonMessage::MAX_RECORDS) {
            let digest = node.poison().digest();
            let told =
                PoisonTold { digest, records: part.to_vec(), about: None };
            node.exchange_poison(addr, told).await;
        }
    });
    futures::future::join_all(told).await;
}

/// Returns what decides which peers are told of records.
fn seed(records: &[PoisonRecord]) -> Vec<u8> {
    let mut seed = Vec::new();
    for record in records {
        seed.extend_from_slice(record.request.to_string().as_bytes());
        seed.push(record.suspicion.ended);
    }
    seed
}
