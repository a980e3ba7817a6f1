//! Telling other entries of poisoned requests.
//!
//! A change goes at once to the entries that agents tell of, which are the
//! first of each hall, and to those that have spoken of late; who learns
//! something new tells the others of its hall. What is lost on the way is made
//! good by a digest that each entry sends to one other in turn: whose table
//! differs answers with records. So an entry that has just started learns all
//! there is from the first one that it reaches.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use stairhinge::placing::Message;
use stairhinge::poison::{PoisonMessage, PoisonRecord};

use super::PoisonWatch;
use crate::dispatch::Dispatcher;
use crate::peer_socket::PeerSocket;

/// How often an entry compares its table with another one's. With seven
/// entries each is compared four times a second, so that a lost datagram costs
/// a quarter of a second, and a new entry knows all 0.5 s after it has heard
/// of another one.
const BEAT: Duration = Duration::from_millis(500);

/// Of so many beats one is used by an entry that knows of nothing, which all
/// others tell of changes: 30 bytes each 2 s.
const CALM: u32 = 4;

/// How long an entry is eager to learn after its start, in beats.
const EAGER: u32 = 20;

/// How long changes are gathered before they are told: all requests at a
/// replica that ends are broken off within this.
const GATHER: Duration = Duration::from_millis(5);

/// How long an entry is told of changes after it has last been heard of. In a
/// hall of 150 entries each speaks to five others, to each of them every 2.5 s.
const KEPT: Duration = Duration::from_secs(30);

/// The most messages that answer one digest.
const MOST_PARTS: usize = 4;

/// Tells and learns of poisoned requests.
pub(crate) struct PoisonGossip {
    watch: Arc<PoisonWatch>,
    dispatcher: Arc<Dispatcher>,
    wire: Arc<PeerSocket>,
    own: SocketAddr,
    /// When each other entry was last heard or told of.
    known: Mutex<HashMap<SocketAddr, Instant>>,
}

impl PoisonGossip {
    /// Returns the gossip of the entry that others reach at `own`.
    pub(crate) fn new(
        watch: Arc<PoisonWatch>,
        dispatcher: Arc<Dispatcher>,
        wire: Arc<PeerSocket>,
        own: SocketAddr,
    ) -> PoisonGossip {
        PoisonGossip { watch, dispatcher, wire, own, known: Mutex::default() }
    }

    /// Tells others until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut timer = tokio::time::interval(BEAT);
        let mut beat = 0;
        loop {
            tokio::select! {
                _ = timer.tick() => {
                    self.beat(beat);
                    beat += 1;
                }
                () = self.watch.changed.notified() => {
                    tokio::time::sleep(GATHER).await;
                }
            }
            self.tell();
        }
    }

    /// Compares tables with the next of the others.
    fn beat(&self, beat: u32) {
        let others = self.others();
        let calm = beat > EAGER && self.watch.knows_nothing();
        if others.is_empty() || (calm && !beat.is_multiple_of(CALM)) {
            return;
        }
        let turn = if calm { beat / CALM } else { beat } as usize;
        let digest = PoisonMessage::Digest(self.watch.lock().digest());
        self.send(others[turn % others.len()], digest);
    }

    /// Returns whom this entry compares tables with: one that leads its hall
    /// with all that it knows of, any other with those that lead.
    fn others(&self) -> Vec<SocketAddr> {
        let ranked = self.dispatcher.ranked();
        let leads = ranked.is_empty() || ranked.contains(&self.own);
        let mut others = self.peers();
        if !leads {
            others.retain(|addr| ranked.contains(addr));
        }
        others.into_iter().collect()
    }

    /// Returns all other entries that this one knows of.
    fn peers(&self) -> BTreeSet<SocketAddr> {
        let now = Instant::now();
        let entries = self.dispatcher.entries();
        let ranked = self.dispatcher.ranked();
        let mut known =
            self.known.lock().unwrap_or_else(PoisonError::into_inner);
        for entry in entries.iter() {
            known.insert(entry.addr, now);
        }
        for addr in ranked.iter() {
            known.insert(*addr, now);
        }
        known.retain(|addr, at| {
            *addr != self.own && now.duration_since(*at) < KEPT
        });
        known.keys().copied().collect()
    }

    /// Tells all others what has changed here.
    fn tell(&self) {
        let now = self.watch.facts.now();
        let records = self.watch.lock().take_unsent(now);
        if !records.is_empty() {
            self.tell_all(&self.peers(), &records);
        }
    }

    fn tell_all(&self, to: &BTreeSet<SocketAddr>, records: &[PoisonRecord]) {
        for part in records.chunks(PoisonMessage::MAX_RECORDS) {
            for addr in to {
                self.send(*addr, PoisonMessage::Changed(part.to_vec()));
            }
        }
    }

    /// Takes in a message.
    pub(crate) fn take(&self, from: SocketAddr, news: PoisonMessage) {
        self.known
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(from, Instant::now());
        match news {
            PoisonMessage::Changed(records) => self.learn(from, records),
            PoisonMessage::Digest(theirs) => self.answer(from, theirs),
            PoisonMessage::Differs { digest, records } => {
                self.learn(from, records);
                self.give_back(from, digest);
            }
        }
    }

    /// Takes in records, and tells the own hall what was new.
    fn learn(&self, from: SocketAddr, records: Vec<PoisonRecord>) {
        let news = self.watch.learn(from, records);
        if news.is_empty() {
            return;
        }
        // The first of each hall have been told by who told this entry.
        let mut to = self.peers();
        to.remove(&from);
        for entry in self.dispatcher.entries().iter() {
            to.remove(&entry.addr);
        }
        self.tell_all(&to, &news);
    }

    fn answer(&self, from: SocketAddr, theirs: u64) {
        let now = self.watch.facts.now();
        let (digest, records) = {
            let mut table = self.watch.lock();
            let digest = table.digest();
            if digest == theirs {
                return;
            }
            let most = PoisonMessage::MAX_RECORDS * MOST_PARTS;
            (digest, table.next_batch(most, now))
        };
        if records.is_empty() {
            // The other one knows more; it tells some in answer to this.
            let records = Vec::new();
            self.send(from, PoisonMessage::Differs { digest, records });
            return;
        }
        for part in records.chunks(PoisonMessage::MAX_RECORDS) {
            let records = part.to_vec();
            self.send(from, PoisonMessage::Differs { digest, records });
        }
    }

    /// Sends an entry whose table still differs what it may lack.
    fn give_back(&self, to: SocketAddr, theirs: u64) {
        let now = self.watch.facts.now();
        let records = {
            let mut table = self.watch.lock();
            if table.digest() == theirs {
                return;
            }
            table.next_batch(PoisonMessage::MAX_RECORDS, now)
        };
        if !records.is_empty() {
            self.send(to, PoisonMessage::Changed(records));
        }
    }

    fn send(&self, to: SocketAddr, news: PoisonMessage) {
        self.wire.send(to, &Message::Poison(news));
    }
}
