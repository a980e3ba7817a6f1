//! Gossip about poisoned requests between entries.
//!
//! A change is sent at once to the known entries of the hall, and to one entry
//! of each other hall, which forwards it there ([`PeerList`]). What goes to
//! other halls is bounded in bytes ([`NewsSender`]). To repair losses, each
//! entry periodically sends a digest of its table to one other entry in turn,
//! which answers with a page of its table if that differs. As long as pages of
//! an entry of the hall bring news, the next one is asked for at once, so that
//! an entry that has just started gets the whole table from the first one that
//! it reaches.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stairhinge::placing::Message;
use stairhinge::poison::{
    ClaimStage, CrashReport, PagePosition, PoisonMessage, PoisonRecord,
    PoisonTable, RunClaim, TablePage,
};

use super::{PoisonWatch, lock};
use crate::connect::has_ended;
use crate::dispatch::{Dispatcher, DownEngine};
use crate::health_gossip;
use crate::news_sender::NewsSender;
use crate::peer_list::PeerList;
use crate::peer_socket::PeerSocket;

/// The interval at which an entry compares its table with that of another one.
/// With seven entries each is compared four times a second, so that a lost
/// datagram costs a quarter of a second, and a new entry has the whole table
/// 0.5 s after it has learned of another one.
const DIGEST_INTERVAL: Duration = Duration::from_millis(500);

/// The number of ticks between digests of an entry with an empty table, which
/// is sent all changes by the others. A digest takes 30 bytes, every 2 s.
const IDLE_TICKS: u32 = 4;

/// The number of ticks after the start during which an entry sends digests at
/// each tick even if its table is empty.
const STARTUP_TICKS: u32 = 20;

/// How long changes are collected before they are sent. All requests at a
/// replica that crashes are interrupted within this time.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// The maximum number of messages with reports of crashes that answer a page
/// of another entry.
const MAX_REPLY_PARTS: usize = 4;

/// The maximum number of entries whose tables are read page by page.
const MAX_READINGS: usize = 1_024;

/// The reading of another entry's table.
#[derive(Clone, Copy, Debug, Default)]
struct Reading {
    /// Where the next page begins.
    next: PagePosition,
    /// Whether the current page has brought news.
    has_news: bool,
}

/// Exchanges records of poisoned requests with other entries.
pub(crate) struct PoisonGossip {
    watch: Arc<PoisonWatch>,
    dispatcher: Arc<Dispatcher>,
    sender: NewsSender,
    own: SocketAddr,
    peers: Arc<PeerList>,
    readings: Mutex<HashMap<SocketAddr, Reading>>,
}

impl PoisonGossip {
    /// Returns the gossip of the entry that others reach at `own`.
    pub(crate) fn new(
        watch: Arc<PoisonWatch>,
        dispatcher: Arc<Dispatcher>,
        wire: Arc<PeerSocket>,
        own: SocketAddr,
        peers: Arc<PeerList>,
    ) -> PoisonGossip {
        let sender = NewsSender::new(wire, Arc::clone(&peers));
        let readings = Mutex::default();
        PoisonGossip { watch, dispatcher, sender, own, peers, readings }
    }

    /// Sends changes and digests until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut timer = tokio::time::interval(DIGEST_INTERVAL);
        let mut tick = 0;
        loop {
            tokio::select! {
                _ = timer.tick() => {
                    self.watch.review();
                    self.watch.judge();
                    self.send_digest(tick);
                    tick += 1;
                }
                engines = self.dispatcher.down_engines() => {
                    let gossip = Arc::clone(&self);
                    tokio::spawn(async move {
                        gossip.check_exits(engines).await;
                    });
                    continue;
                }
                () = self.watch.changed.notified() => {
                    tokio::time::sleep(BATCH_DELAY).await;
                }
            }
            self.send_changes();
        }
    }

    /// Records which of the engines that stopped answering their agents have
    /// ended, and compares crashes with their exits.
    async fn check_exits(&self, engines: Vec<DownEngine>) {
        if self.watch.is_empty() {
            return;
        }
        let view = self.dispatcher.facts().view();
        let mut checks = Vec::new();
        for DownEngine { incarnation, after } in engines {
            let Some((replica, _)) = view.replicas.get(&incarnation) else {
                continue;
            };
            let replica = Arc::clone(replica);
            checks.push(async move {
                if has_ended(replica.addr).await {
                    self.watch.record_exit(&replica, after);
                }
            });
        }
        futures::future::join_all(checks).await;
        tokio::time::sleep(PoisonTable::SETTLE_PERIOD).await;
        self.watch.review();
    }

    /// Sends the table's digest to the next peer in turn.
    fn send_digest(&self, tick: u32) {
        let idle = tick > STARTUP_TICKS && self.watch.is_empty();
        if idle && !tick.is_multiple_of(IDLE_TICKS) {
            return;
        }
        let turn = if idle { tick / IDLE_TICKS } else { tick / 2 } as usize;
        let far = !tick.is_multiple_of(2) && self.peers.compares_halls();
        let others: Vec<SocketAddr> = if far {
            // Each turn goes to one hall, and each round to other entries.
            let halls = self.peers.relays(0).len().max(1);
            let relays = self.peers.relays(turn / halls);
            relays.into_iter().map(|entry| entry.addr).collect()
        } else {
            self.digest_peers().into_iter().collect()
        };
        if others.is_empty() {
            return;
        }
        self.ask(others[turn % others.len()], 0);
    }

    /// Asks an entry for its whole table, for a catch-up of this number.
    pub(crate) fn ask_everything(&self, other: SocketAddr, number: u64) {
        self.readings().remove(&other);
        self.ask(other, number);
    }

    /// Asks an entry for the next page of its table, unless this one has the
    /// same. `catch_up` is the number of the catch-up for which it is read, or
    /// 0.
    fn ask(&self, other: SocketAddr, catch_up: u64) {
        let from = {
            let mut readings = self.readings();
            if readings.len() >= MAX_READINGS {
                readings.clear();
            }
            let reading = readings.entry(other).or_default();
            reading.has_news = false;
            reading.next
        };
        let digest = self.watch.lock().digest();
        let hall = Arc::clone(self.peers.hall());
        let compare = PoisonMessage::Compare { digest, hall, from, catch_up };
        self.send(other, compare);
    }

    /// Records that an entry has told news.
    fn note_news(&self, from: SocketAddr) {
        if let Some(reading) = self.readings().get_mut(&from) {
            reading.has_news = true;
        }
    }

    /// Goes on reading an entry's table, whose next page begins at `next`: at
    /// once if it is of this hall and the last page has brought news, else with
    /// the next comparison. Whole tables would fill the links between halls.
    /// Returns whether it goes on at once; for a `catch_up` it does so without
    /// news, too.
    fn read_on(
        &self,
        from: SocketAddr,
        theirs: u64,
        next: PagePosition,
        catch_up: u64,
    ) -> bool {
        let has_news = {
            let mut readings = self.readings();
            let Some(reading) = readings.get_mut(&from) else { return false };
            reading.next = next;
            reading.has_news
        };
        let is_near = || self.peers.near().contains(&from);
        let wants_more = has_news || (catch_up != 0 && is_near());
        let goes_on = wants_more
            && !next.is_start()
            && self.watch.lock().digest() != theirs;
        if goes_on {
            self.ask(from, catch_up);
        }
        goes_on
    }

    fn readings(&self) -> MutexGuard<'_, HashMap<SocketAddr, Reading>> {
        self.readings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the entries of the hall to compare tables with: for a leading
    /// entry all known ones, for any other the leading ones.
    fn digest_peers(&self) -> BTreeSet<SocketAddr> {
        let leading = self.dispatcher.leading_entries();
        let is_leading = leading.is_empty() || leading.contains(&self.own);
        let mut others = self.peers.near();
        if !is_leading {
            others.retain(|addr| leading.contains(addr));
        }
        others
    }

    /// Sends local changes to the known entries of the hall and to a relay in
    /// each other one.
    fn send_changes(&self) {
        let claims = std::mem::take(&mut *lock(&self.watch.claims));
        let (over, open): (Vec<RunClaim>, Vec<RunClaim>) =
            claims.into_iter().partition(|c| c.stage == ClaimStage::Over);
        self.send_claims(open);
        let now = self.watch.facts.now();
        let (records, crashes) = {
            let mut table = self.watch.lock();
            (table.take_unsent(now), table.take_unsent_crashes(now))
        };
        for message in record_messages(&records) {
            self.sender.broadcast(&message);
        }
        for message in crash_messages(crashes) {
            self.sender.broadcast(&message);
        }
        // Others learn what a run proved before they may begin another one.
        self.send_claims(over);
    }

    fn send_claims(&self, claims: Vec<RunClaim>) {
        for claim in claims {
            let claim = PoisonMessage::Claim(claim);
            self.sender.broadcast(&Message::Poison(claim));
        }
    }

    /// Handles a message.
    pub(crate) fn handle(&self, from: SocketAddr, news: PoisonMessage) {
        match news {
            PoisonMessage::Changed(records) => self.merge(from, records),
            PoisonMessage::Claim(claim) => self.hear_claim(from, claim),
            PoisonMessage::Crashes(reports) => {
                self.merge_crashes(from, &reports);
            }
            PoisonMessage::Digest(theirs) => {
                self.answer_digest(from, theirs, PagePosition::default(), 0);
            }
            PoisonMessage::Compare {
                digest,
                hall,
                from: position,
                catch_up,
            } => {
                self.peers.record_seen(from, &hall);
                if catch_up != 0 && position.is_start() {
                    self.send_ejections(from);
                }
                self.answer_digest(from, digest, position, catch_up);
            }
            PoisonMessage::Same { catch_up, current } => {
                self.watch.catch_up.record_answer(from, catch_up, current);
            }
            PoisonMessage::Differs {
                digest,
                records,
                next,
                catch_up,
                current,
            } => {
                self.merge(from, records);
                self.send_missing(from, digest);
                if let Some(next) = next
                    && !self.read_on(from, digest, next, catch_up)
                {
                    self.watch.catch_up.record_answer(from, catch_up, current);
                }
            }
        }
    }

    /// Forwards a claim in this hall if it is new, and answers it if another
    /// run is in progress here.
    fn hear_claim(&self, from: SocketAddr, claim: RunClaim) {
        let heard = self.watch.hear_claim(&claim);
        // Claims that have not begun reach all entries anyway.
        let running = |claim: &RunClaim| claim.stage == ClaimStage::Running;
        if let Some(running) = heard.preceding.filter(running) {
            self.send(from, PoisonMessage::Claim(running));
        }
        if heard.is_new {
            let claim = Message::Poison(PoisonMessage::Claim(claim));
            self.sender.send(&self.peers.to_forward(from), &claim);
        }
    }

    /// Merges records and forwards the new ones in this hall.
    fn merge(&self, from: SocketAddr, records: Vec<PoisonRecord>) {
        let news = self.watch.merge(from, records);
        if news.is_empty() {
            return;
        }
        self.note_news(from);
        let to = self.peers.to_forward(from);
        for message in record_messages(&news) {
            self.sender.send(&to, &message);
        }
    }

    /// Merges reports of crashes and forwards what is new in this hall.
    fn merge_crashes(&self, from: SocketAddr, reports: &[CrashReport]) {
        let news = self.watch.merge_crashes(from, reports);
        if !news.is_empty() {
            self.note_news(from);
            self.send_crashes(&self.peers.to_forward(from), news);
        }
    }

    fn answer_digest(
        &self,
        from: SocketAddr,
        theirs: u64,
        position: PagePosition,
        catch_up: u64,
    ) {
        let now = self.watch.facts.now();
        let current = self.watch.catch_up.is_current();
        let (digest, page) = {
            let table = self.watch.lock();
            let digest = table.digest();
            let page = (digest != theirs).then(|| table.page(position, now));
            (digest, page)
        };
        let Some(TablePage { records, crashes, next }) = page else {
            if catch_up != 0 {
                self.send(from, PoisonMessage::Same { catch_up, current });
            }
            return;
        };
        self.send_crashes(&BTreeSet::from([from]), crashes);
        let mut parts = records.chunks(PoisonMessage::MAX_RECORDS);
        // Without records, the other table may still have some that this one
        // lacks, which the peer sends in answer to this.
        let mut part = Some(parts.next().unwrap_or_default());
        while let Some(records) = part {
            part = parts.next();
            let next = part.is_none().then_some(next);
            let records = records.to_vec();
            let page = PoisonMessage::Differs {
                digest,
                records,
                next,
                catch_up,
                current,
            };
            self.send(from, page);
        }
    }

    /// Tells an entry which replicas this one has ejected.
    fn send_ejections(&self, to: SocketAddr) {
        let reports = self.dispatcher.current_ejections();
        for message in health_gossip::messages(&reports) {
            self.sender.send(&BTreeSet::from([to]), &message);
        }
    }

    /// Sends a batch of records to an entry whose table still differs.
    fn send_missing(&self, to: SocketAddr, theirs: u64) {
        let now = self.watch.facts.now();
        let (records, crashes) = {
            let mut table = self.watch.lock();
            if table.digest() == theirs {
                return;
            }
            let most = CrashReport::MAX_FEATURES * MAX_REPLY_PARTS;
            let crashes = table.next_crashes(most, now);
            (table.next_batch(PoisonMessage::MAX_RECORDS, now), crashes)
        };
        if !records.is_empty() {
            self.send(to, PoisonMessage::Changed(records));
        }
        self.send_crashes(&BTreeSet::from([to]), crashes);
    }

    fn send(&self, to: SocketAddr, news: PoisonMessage) {
        self.sender.send(&BTreeSet::from([to]), &Message::Poison(news));
    }

    fn send_crashes(
        &self,
        to: &BTreeSet<SocketAddr>,
        reports: Vec<CrashReport>,
    ) {
        for message in crash_messages(reports) {
            self.sender.send(to, &message);
        }
    }
}

/// Returns messages with records that have changed.
fn record_messages(records: &[PoisonRecord]) -> Vec<Message> {
    let parts = records.chunks(PoisonMessage::MAX_RECORDS);
    parts
        .map(|part| Message::Poison(PoisonMessage::Changed(part.to_vec())))
        .collect()
}

/// Returns messages with reports of crashes.
fn crash_messages(reports: Vec<CrashReport>) -> Vec<Message> {
    let parts = CrashReport::split(reports).into_iter();
    parts.map(|part| Message::Poison(PoisonMessage::Crashes(part))).collect()
}
