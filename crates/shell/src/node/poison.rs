//! The table of poisoned requests, and its replication to peers.
//!
//! A change is sent at once to a few peers of the data hall and to one of each
//! other hall; a peer to which it is new forwards it to a few peers of its own
//! hall. Reports carry a digest of the table: two processes that exchange
//! reports with different digests also exchange records.

use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use stairhinge::Time;
use stairhinge::poison::{
    CrashReport, Fingerprint, Judgement, PagePosition, PoisonMessage,
    PoisonRecord, PoisonTable, RequestFeatures, Suspicion,
};

use super::gossip::{near_peers, one_peer_per_hall};
use super::state::{Node, lock};
use crate::control::PoisonUpdate;

/// Delay that batches changes before they are sent: when an engine ends, all
/// its requests are broken off within this time.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Timeout of an exchange of records with one peer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which expired records are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

impl Node {
    /// Locks and returns the table of poisoned requests.
    pub fn poison(&self) -> MutexGuard<'_, PoisonTable> {
        lock(&self.poison)
    }

    /// Schedules the changes in the table to be sent to peers.
    pub fn poison_changed(&self) {
        self.poison_change.notify_one();
    }

    /// Records that a backend server's process ended while it ran a request;
    /// `sent` is the suspicion known when the request was admitted there, and
    /// `life` tells its lives apart.
    pub fn record_crash(
        &self,
        features: &RequestFeatures,
        sent: Suspicion,
        service: &Arc<str>,
        life: u64,
    ) {
        let now = self.now();
        let request = features.request;
        let name = self.server_life(life);
        let known = {
            let mut table = self.poison();
            let known = table.accuse(features, sent, &name, service, now);
            table.record_give_up(request);
            known
        };
        let parts: Vec<String> =
            features.parts().iter().map(ToString::to_string).collect();
        let fields = [
            ("fingerprint", request.to_string()),
            ("ended", known.ended.to_string()),
            ("quarantined", known.is_quarantined().to_string()),
            ("parts", parts.join(" ")),
        ];
        let fields = fields.each_ref().map(|(name, text)| (*name, &**text));
        self.event("poison.suspected", &fields);
        self.poison_changed();
        self.poison_review.notify_one();
    }

    /// Returns the name of one life of the backend server of this process.
    fn server_life(&self, life: u64) -> Arc<str> {
        let name = &self.identity().name;
        Arc::from(format!("{name}#{}.{life}", self.incarnation()))
    }

    /// Judges crashes again if anything has become known.
    pub fn judge_poison(&self) {
        let now = self.now();
        let judgement = self.poison().judge(now);
        if judgement.is_empty() {
            return;
        }
        let Judgement { quarantined, released, excused } = judgement;
        for (part, replicas) in quarantined {
            let (part, replicas) = (part.to_string(), replicas.join(" "));
            let fields = [("part", &*part), ("replicas", &*replicas)];
            self.event("poison.part_quarantined", &fields);
        }
        for part in released {
            let part = part.to_string();
            self.event("poison.part_released", &[("part", &*part)]);
        }
        for request in excused {
            let request = request.to_string();
            self.event("poison.excused", &[("fingerprint", &*request)]);
        }
        self.poison_changed();
    }

    /// Records that the backend server of this process ended after the time
    /// `after`; `idle` tells whether it ran no request, and `life` tells its
    /// lives apart.
    pub fn record_exit(&self, after: Time, idle: bool, life: u64) {
        let now = self.now();
        let name = self.server_life(life);
        self.poison().record_exit(&name, after, now, idle);
        let within = now.since(after).as_millis().to_string();
        let fields = [("idle", idle.to_string()), ("within_ms", within)];
        let fields = fields.each_ref().map(|(name, text)| (*name, &**text));
        self.event("poison.exit", &fields);
        self.poison_review.notify_one();
    }

    /// Waits until a peer reports that backend servers ended in succession
    /// under a request.
    pub async fn repeated_crash(&self) {
        self.repeated_crash.notified().await;
    }

    /// Withdraws crashes that coincide with exits that the request did not
    /// cause.
    fn review_poison(&self) {
        let now = self.now();
        let withdrawn = self.poison().review(now);
        if withdrawn.is_empty() {
            return;
        }
        for (request, exits) in withdrawn {
            let name = request.to_string();
            let exits = exits.join(" ");
            let fields = [("fingerprint", &*name), ("exits", &*exits)];
            self.event("poison.withdrawn", &fields);
        }
        self.poison_changed();
    }

    /// Records that a request was answered completely, and counts the answer
    /// as one of `service`, if given.
    pub fn record_answer(
        &self,
        features: &RequestFeatures,
        service: Option<&str>,
    ) {
        let now = self.now();
        let request = features.request;
        let (before, cleared) = {
            let mut table = self.poison();
            let before = table.record_answer(request, now);
            (before, table.clear_features(features, service, now))
        };
        if !cleared.is_empty() {
            let parts: Vec<String> =
                cleared.iter().map(ToString::to_string).collect();
            let parts = parts.join(" ");
            self.event("poison.parts_cleared", &[("parts", &*parts)]);
            self.poison_changed();
        }
        let Some(before) = before else { return };
        let (name, ended) = (request.to_string(), before.ended.to_string());
        let fields = [("fingerprint", &*name), ("ended", &*ended)];
        self.event("poison.cleared", &fields);
        self.poison_changed();
    }

    /// Merges a peer's records, and returns records that it may lack.
    pub fn receive_poison(
        self: &Arc<Node>,
        update: PoisonUpdate,
    ) -> PoisonUpdate {
        let now = self.now();
        let news = self.merge_poison(update.records);
        let crashes = self.merge_crashes(&update.crashes);
        if !news.is_empty() || !crashes.is_empty() {
            let node = Arc::clone(self);
            self.detach(async move {
                let addrs = near_peers(&node, &seed(&news, &crashes));
                send_news(&node, addrs, &news, crashes).await;
            });
        }
        let claims = self.hear_claims(update.claims);
        let mut table = self.poison();
        let digest = table.digest();
        let about: Vec<Fingerprint> = update.about.into_iter().collect();
        let mut records = table.records(&about, now);
        let mut crashes = Vec::new();
        if digest != update.digest {
            records.extend(differing_records(&mut table, now));
            crashes = table.next_crashes(CrashReport::MAX_FEATURES, now);
        }
        PoisonUpdate { digest, records, about: None, crashes, claims }
    }

    fn merge_crashes(&self, reports: &[CrashReport]) -> Vec<CrashReport> {
        let now = self.now();
        let news = self.poison().merge_crashes(reports, now);
        for report in &news {
            let fields = [
                ("replica", report.replica.to_string()),
                ("accused", report.accused.len().to_string()),
                ("cleared", report.cleared.len().to_string()),
            ];
            let fields = fields.each_ref().map(|(n, text)| (*n, &**text));
            self.event("poison.crash_learned", &fields);
        }
        news
    }

    fn merge_poison(&self, records: Vec<PoisonRecord>) -> Vec<PoisonRecord> {
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
        if news.iter().any(|record| record.suspicion.ended > 1) {
            self.repeated_crash.notify_one();
            self.poison_review.notify_one();
        }
        news
    }

    /// Exchanges the records of one request with a peer.
    pub async fn ask_poison(
        self: &Arc<Node>,
        addr: SocketAddr,
        about: Fingerprint,
    ) {
        let own = self.poison_message(Some(about));
        self.exchange_poison(addr, own).await;
    }

    /// Sends records to a peer, and merges its answer. A peer that cannot be
    /// reached gets them with the next exchange of reports.
    async fn exchange_poison(
        self: &Arc<Node>,
        addr: SocketAddr,
        update: PoisonUpdate,
    ) {
        match self.wire().poison(addr, EXCHANGE_TIMEOUT, update).await {
            Ok(theirs) => {
                self.merge_poison(theirs.records);
                self.merge_crashes(&theirs.crashes);
                self.hear_claims(theirs.claims);
            }
            Err(err) => log::debug!("cannot exchange poison records: {err}"),
        }
    }

    fn poison_message(&self, about: Option<Fingerprint>) -> PoisonUpdate {
        let now = self.now();
        let mut table = self.poison();
        let digest = table.digest();
        let records = match about {
            Some(request) => table.records(&[request], now),
            None => differing_records(&mut table, now),
        };
        let crashes = match about {
            Some(_) => Vec::new(),
            None => table.next_crashes(CrashReport::MAX_FEATURES, now),
        };
        let claims = Vec::new();
        PoisonUpdate { digest, records, about, crashes, claims }
    }
}

/// Returns records for a peer whose table differs: those with the most
/// crashes, and the next ones in turn.
fn differing_records(table: &mut PoisonTable, now: Time) -> Vec<PoisonRecord> {
    let mut records = table.page(PagePosition::default(), now).records;
    records.extend(table.next_batch(PoisonMessage::MAX_RECORDS, now));
    records
}

/// Sends changes in the table to peers until the process shuts down.
pub(super) async fn run(node: Arc<Node>) {
    let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
    loop {
        tokio::select! {
            _ = sweep.tick() => {
                let now = node.now();
                node.poison().sweep(now);
            }
            () = node.poison_change.notified() => {
                tokio::time::sleep(BATCH_DELAY).await;
            }
        }
        let now = node.now();
        node.judge_poison();
        let (news, crashes) = {
            let mut table = node.poison();
            (table.take_unsent(now), table.take_unsent_crashes(now))
        };
        if news.is_empty() && crashes.is_empty() {
            continue;
        }
        let seed = seed(&news, &crashes);
        let mut addrs = near_peers(&node, &seed);
        addrs.extend(one_peer_per_hall(&node, &seed));
        send_news(&node, addrs, &news, crashes).await;
    }
}

/// Compares crashes with exits, each time once the exits had time to become
/// known, until the process shuts down.
pub(super) async fn run_reviews(node: Arc<Node>) {
    loop {
        node.poison_review.notified().await;
        tokio::time::sleep(PoisonTable::SETTLE_PERIOD + BATCH_DELAY).await;
        node.review_poison();
    }
}

/// Exchanges records with a peer if its digest differs.
pub(super) async fn compare(node: &Arc<Node>, addr: SocketAddr, theirs: u64) {
    if node.poison().digest() == theirs {
        return;
    }
    let own = node.poison_message(None);
    node.exchange_poison(addr, own).await;
}

/// Sends the same records and claims to several peers.
pub(super) async fn exchange_with(
    node: &Arc<Node>,
    addrs: Vec<SocketAddr>,
    update: &PoisonUpdate,
) {
    let exchanges = addrs
        .into_iter()
        .map(|addr| node.exchange_poison(addr, update.clone()));
    futures::future::join_all(exchanges).await;
}

async fn send_news(
    node: &Arc<Node>,
    addrs: Vec<SocketAddr>,
    records: &[PoisonRecord],
    crashes: Vec<CrashReport>,
) {
    let crashes = &CrashReport::split(crashes);
    let exchanges = addrs.into_iter().map(|addr| async move {
        let update =
            |records: &[PoisonRecord], crashes: &[CrashReport]| PoisonUpdate {
                digest: node.poison().digest(),
                records: records.to_vec(),
                about: None,
                crashes: crashes.to_vec(),
                claims: Vec::new(),
            };
        for part in records.chunks(PoisonMessage::MAX_RECORDS) {
            node.exchange_poison(addr, update(part, &[])).await;
        }
        for part in crashes {
            node.exchange_poison(addr, update(&[], part)).await;
        }
    });
    futures::future::join_all(exchanges).await;
}

/// Returns the seed that selects the peers to which records are sent.
fn seed(records: &[PoisonRecord], crashes: &[CrashReport]) -> Vec<u8> {
    let mut seed = Vec::new();
    for report in crashes {
        seed.extend_from_slice(report.replica.as_bytes());
        let features = report.accused.len() + report.cleared.len();
        seed.extend_from_slice(&features.to_le_bytes());
    }
    for record in records {
        seed.extend_from_slice(record.request.to_string().as_bytes());
        seed.push(record.suspicion.ended);
    }
    seed
}
