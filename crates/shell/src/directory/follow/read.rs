//! Reads the platform: a list first, then watches. Skips intermediate
//! revisions of routes that are published in quick succession.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use stairhinge::direct::{Absence, Replica};
use stairhinge::{Code, Error, Time};

use super::Follower;
use super::contact::{WatchContent, WatchTimes};
use super::heartbeats::ListBesideHeartbeats;
use crate::directory::{
    Change, Collection, EvacuationAge, Freshness, Listing, PartialListing,
    Published, ReadState, Record, Source, Watched,
};

/// The number of routes revisions in one answer from which on they count as
/// published in quick succession.
const BURST_REVISIONS: usize = 2;

/// The maximum number of concurrent probes of a platform that has failed.
const MAX_PROBES: usize = 4;

impl Follower {
    /// Reads the platform once and applies the answer.
    pub(super) async fn read_platform(&mut self) -> Result<(), Error> {
        let Some(after) = self.at.filter(|_| !self.forgotten) else {
            return self.list().await;
        };
        if self.lost_since.is_some()
            && let Some(sharing) = &self.follow.sharing
        {
            let pace = sharing.probe();
            self.probe(after, pace).await;
        }
        if self.burst {
            return self.catch_up().await;
        }
        if self.out_of_touch() {
            return self.rejoin(after).await;
        }
        let collection = self.follow.collection;
        let called = self.facts.now();
        let wait = self.watch_wait(called);
        let watched = self.watch(collection, after, wait).await?;
        self.record_answer(called, wait);
        match watched {
            // A process that reads for this one may not know what has changed
            // meanwhile.
            Watched::Forgotten => {
                self.forgotten = true;
                self.list().await?;
            }
            Watched::Changes(changes, at) => {
                let absence = self.reads.absence();
                let routes =
                    changes.iter().filter(|c| is_routes_change(c)).count();
                self.burst = routes >= BURST_REVISIONS;
                if let Some(sharing) = &self.follow.sharing {
                    sharing.share.note(&changes, at);
                }
                let answered = self.facts.now();
                let took = answered.since(called);
                let source = Source::platform("watch", took, routes);
                self.facts.note_documents(routes);
                let times = WatchTimes { called, wait, answered };
                let content = match (changes.is_empty(), routes) {
                    (true, _) => WatchContent::Nothing,
                    (false, 0) => WatchContent::Small,
                    (false, _) => WatchContent::Large,
                };
                let published = self.contact.published(times, content);
                self.facts.apply_all(changes, source, absence, published);
                self.record_sync(at, called);
                self.contact.record_watch(times, content);
            }
        }
        Ok(())
    }

    /// Waits for changes.
    async fn watch(
        &self,
        collection: Collection,
        after: u64,
        wait: Duration,
    ) -> Result<Watched, Error> {
        or_forgotten(self.directory.watch(collection, after, wait).await)
    }

    /// Probes a platform that has failed with small requests until one is
    /// answered. Starts a probe every `pace`, also while earlier ones are
    /// pending.
    async fn probe(&mut self, after: u64, pace: Duration) {
        let directory = Arc::clone(&self.directory);
        let collection = match self.follow.collection {
            Collection::Replicas => Collection::Replicas,
            _ => Collection::Targets,
        };
        let mut calls = FuturesUnordered::new();
        let mut timer = tokio::time::interval(pace);
        loop {
            tokio::select! {
                Some(answer) = calls.next() => match or_forgotten(answer) {
                    Ok(_) => return,
                    Err(error) => self.record_failure(&error),
                },
                _ = timer.tick(), if calls.len() < MAX_PROBES => {
                    let none = Duration::ZERO;
                    calls.push(directory.watch(collection, after, none));
                }
            }
        }
    }

    /// Returns whether the last answer is so long ago that several revisions
    /// of the routes may have been published since.
    ///
    /// Returns `false` right after a full read, however long it took: on a
    /// slow link, where a document takes that long, the process would
    /// otherwise repeat full reads forever.
    fn out_of_touch(&self) -> bool {
        let declarations = Collection::Declarations;
        if self.rejoined || self.follow.collection != declarations {
            return false;
        }
        let Some(sharing) = &self.follow.sharing else { return false };
        let heard = self.synced.max(self.contact.answered());
        let age = heard.map(|at| self.facts.now().since(at));
        age.is_some_and(|age| age > sharing.most_age())
    }

    /// Reads the current routes and evacuations, and the target versions set
    /// since revision `after`.
    ///
    /// A watch from the last known revision would return every later document
    /// in full, so the time to catch up would grow with the interruption:
    /// five documents of 350 KB took 2.2 s. A list of all declarations has
    /// just one document, but would date a new target version back to the
    /// last contact, and replicas would leave the old version that much too
    /// early.
    async fn rejoin(&mut self, after: u64) -> Result<(), Error> {
        let called = self.facts.now();
        let versions = Collection::Targets;
        let named = self.watch(versions, after, Duration::ZERO).await?;
        let Watched::Changes(changes, named_at) = named else {
            return self.list().await;
        };
        let took = self.facts.now().since(called);
        let source = Source::platform("watch", took, 0);
        self.record_answer(called, Duration::ZERO);
        for change in changes {
            let published = Published::after(self.synced).watched();
            self.facts.apply(change, source, Absence::Gone, published);
        }
        let routes = Collection::Routes;
        let listing = self.directory.list(routes, Freshness::Current).await?;
        let halls = Collection::Evacuations;
        let evacuated = self.directory.list(halls, Freshness::Current).await?;
        let at = listing.at.min(named_at).min(evacuated.at);
        self.take_list(listing, called);
        self.take_evacuations(&evacuated);
        self.record_sync(at, called);
        self.contact.record_answer(self.facts.now());
        self.rejoined = true;
        Ok(())
    }

    /// Records that the platform has answered a call that was to wait for a
    /// time. An answer that was read later than it can have been sent proves
    /// nothing of the time in between, in which the process may have stood
    /// still.
    fn record_answer(&mut self, called: Time, wait: Duration) {
        let latest = called.after(wait + self.follow.unlisted_grace);
        let answered = self.facts.now().min(latest);
        self.reads.record_answer(called, answered);
        self.note_doubt();
    }

    /// Lists the collection, after a pause of `burst_read_interval`; the burst
    /// is over once a list brings no newer routes.
    ///
    /// A watch returns every revision in full. While many are published in
    /// quick succession, reading only the newest saves bandwidth on slow
    /// links.
    async fn catch_up(&mut self) -> Result<(), Error> {
        tokio::time::sleep(self.follow.burst_read_interval).await;
        let before = self.facts.revision();
        self.list().await?;
        self.burst = self.facts.revision() != before;
        Ok(())
    }

    async fn list(&mut self) -> Result<(), Error> {
        let collection = self.follow.collection;
        if collection == Collection::Replicas {
            return self.list_replicas().await;
        }
        let called = self.facts.now();
        let listing =
            self.directory.list(collection, Freshness::Current).await?;
        let at = listing.at;
        self.record_answer(called, Duration::ZERO);
        if collection == Collection::Declarations {
            self.take_evacuations(&listing);
        }
        self.take_list(listing, called);
        self.record_sync(at, called);
        self.contact.record_answer(self.facts.now());
        Ok(())
    }

    /// Lists the replicas. Applies what was read of a list that could not be
    /// read to its end: those replicas exist, whatever else does. Of other
    /// collections no part is applied, since what is missing may withdraw it.
    ///
    /// # Errors
    ///
    /// The failure at which the list ends. The process stays out of sync, so
    /// that it reads on and tells no other one that it knows all replicas.
    async fn list_replicas(&mut self) -> Result<(), Error> {
        let called = self.facts.now();
        let listed = self.list_beside_heartbeats().await?;
        let ListBesideHeartbeats { part, heard } = listed;
        let PartialListing { listing, unread, failure } = part;
        let at = listing.at;
        let collection = Collection::Replicas;
        // Retries would log the same invalid records again and again.
        let first = self.facts.reading(collection).state == ReadState::Unread;
        let is_logged = first || failure.is_none();
        let mut replicas = Vec::new();
        for record in listing.records {
            match record {
                Ok(Record::Replica(replica)) => replicas.push(replica),
                Err(error) if is_logged => self.facts.refuse(&error),
                _ => {}
            }
        }
        if let Some(failure) = failure {
            let absence = self.reads.absence_in_part();
            self.take_replicas(replicas, &heard, |name| {
                (!unread.contains(name)).then_some(absence)
            });
            self.facts.note_partial(collection);
            return Err(failure);
        }
        self.record_answer(called, Duration::ZERO);
        if let Some(sharing) = &self.follow.sharing {
            sharing.share.note_list(&replicas, at);
        }
        let absence = self.reads.absence();
        let in_doubt = self.reads.absence_unread();
        self.take_replicas(replicas, &heard, |name| {
            Some(if unread.contains(name) { in_doubt } else { absence })
        });
        self.has_unread = !unread.is_empty();
        self.record_sync(at, called);
        self.contact.record_answer(self.facts.now());
        Ok(())
    }

    /// Applies a list of replicas but those with `heard` names.
    fn take_replicas(
        &self,
        mut replicas: Vec<Replica>,
        heard: &HashSet<Arc<str>>,
        absence: impl Fn(&str) -> Option<Absence>,
    ) {
        replicas.retain(|replica| !heard.contains(&replica.incarnation));
        self.facts.replace_read(replicas, |name| {
            if heard.contains(name) { None } else { absence(name) }
        });
    }

    /// Applies the routes and targets of a list requested at `called`.
    fn take_list(&self, listing: Listing, called: Time) {
        let routes =
            listing.records.iter().filter(|r| is_routes_record(r)).count();
        let took = self.facts.now().since(called);
        let source = Source::platform("list", took, routes);
        self.facts.note_documents(routes);
        let published = Published::after(self.synced);
        for record in listing.records {
            match record {
                Ok(Record::Replica(_) | Record::Evacuation(_)) => {}
                Ok(record) => self.facts.learn(record, source, published),
                Err(error) => self.facts.refuse(&error),
            }
        }
    }

    /// Applies the evacuations of a list that contains all of them.
    pub(super) fn take_evacuations(&self, listing: &Listing) {
        let now = self.facts.now();
        let since = self.synced.unwrap_or(Time::from_millis(0));
        let age_ms = now.since(since).as_millis() as u64;
        let mut told = Vec::new();
        for record in &listing.records {
            let Ok(Record::Evacuation(hall)) = record else { continue };
            told.push(EvacuationAge { hall: Arc::clone(hall), age_ms });
        }
        self.facts.replace_evacuations(&told, "list");
    }

    /// Returns how much is left of the time after the start in which no other
    /// process depends on this one. When the platform first starts, all
    /// processes start at once, and can't discover each other until the first
    /// engines are listed.
    pub(super) fn settling(&self) -> Duration {
        self.follow.settling.saturating_sub(self.began.elapsed())
    }

    /// Returns how long a watch called at `called` waits. A watch that does
    /// not continue the last answer may return target versions set any time
    /// since, and does not wait, so that they aren't taken for new. Nor does
    /// one that is to settle a doubt.
    fn watch_wait(&self, called: Time) -> Duration {
        if self.settles_doubt() {
            return Duration::ZERO;
        }
        let dated = self.follow.collection != Collection::Replicas;
        if dated && !self.contact.continues(called, self.pace()) {
            return Duration::ZERO;
        }
        self.wait()
    }

    /// Returns how long a watch may wait. The wait is short after a failure, so
    /// that replicas kept because of it are dropped in time.
    fn wait(&self) -> Duration {
        let wait = match &self.follow.sharing {
            Some(sharing) if sharing.reader.is_alone() => {
                let left = self.settling().min(self.follow.wait);
                sharing.watch().min(self.follow.wait).max(left)
            }
            Some(sharing) => sharing.watch().min(self.follow.wait),
            None => self.follow.wait,
        };
        if self.reads.is_in_doubt() {
            wait.min(self.follow.unlisted_grace / 2)
        } else {
            wait
        }
    }
}

/// Returns changes that are too large to be read at once as forgotten, so that
/// a list follows, which comes in pages.
pub(super) fn or_forgotten(
    watched: Result<Watched, Error>,
) -> Result<Watched, Error> {
    match watched {
        Err(error) if error.code() == Code::BodyTooLarge => {
            Ok(Watched::Forgotten)
        }
        watched => watched,
    }
}

const fn is_routes_change(change: &Change) -> bool {
    matches!(change, Change::Set(Record::Routes(..)))
}

const fn is_routes_record(record: &Result<Record, Error>) -> bool {
    matches!(record, Ok(Record::Routes(..)))
}
