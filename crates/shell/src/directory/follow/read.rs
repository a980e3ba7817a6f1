//! Reading the platform: a list, then watches, and as little as possible of
//! what is published in quick succession.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use stairhinge::direct::Replica;
use stairhinge::{Error, Time};

use super::Follower;
use crate::directory::{
    Change, Collection, EvacuationAge, Freshness, Listing, Record, Source,
    Watched,
};

/// Changes in one answer from which on routes come in quick succession.
const BURST: usize = 2;

/// Calls that may be out at a time to a platform that has failed.
const MOST_PROBES: usize = 4;

impl Follower {
    /// Calls the platform once, and takes in what it answers.
    pub(super) async fn step(&mut self) -> Result<(), Error> {
        let Some(after) = self.at else { return self.list().await };
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
        let wait = self.wait();
        let called = self.facts.now();
        match self.directory.watch(collection, after, wait).await? {
            Watched::Forgotten => self.forget(),
            Watched::Changes(changes, at) => {
                let reliable = self.reliable();
                let routes = changes.iter().filter(|c| is_routes(c)).count();
                self.burst = routes >= BURST;
                if let Some(sharing) = &self.follow.sharing {
                    sharing.share.note(&changes, at);
                }
                let took = self.facts.now().since(called);
                let source = Source::platform("watch", took, routes);
                self.facts.note_documents(routes);
                for change in changes {
                    self.facts.apply(change, source, reliable, self.synced);
                }
                self.reach(at, called);
                self.answered = Some(self.facts.now());
            }
        }
        Ok(())
    }

    /// Asks a platform that has failed for what is small, at a pace, until it
    /// answers; beside calls that have no answer yet.
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
                Some(answer) = calls.next() => match answer {
                    Ok(_) => return,
                    Err(error) => self.fail(&error),
                },
                _ = timer.tick(), if calls.len() < MOST_PROBES => {
                    let none = Duration::ZERO;
                    calls.push(directory.watch(collection, after, none));
                }
            }
        }
    }

    /// Returns whether this process has known nothing new for so long that
    /// several revisions of the routes may have been published since.
    ///
    /// Right after it has read them all it is not, however long that took:
    /// over a link on which a document takes that long it would do nothing
    /// else.
    fn out_of_touch(&self) -> bool {
        let declarations = Collection::Declarations;
        if self.rejoined || self.follow.collection != declarations {
            return false;
        }
        let Some(sharing) = &self.follow.sharing else { return false };
        let heard = self.synced.max(self.answered);
        let age = heard.map(|at| self.facts.now().since(at));
        age.is_some_and(|age| age > sharing.most_age())
    }

    /// Reads the routes in force, and what versions were named meanwhile.
    ///
    /// A watch from the last revision known would bring each one since,
    /// whole: the longer a process is behind, the more it would have to read
    /// before it is not. Five documents of 350 KB took 2.2 s. A list of all
    /// would have one document too, but date a version back to the last
    /// contact, and replicas would leave the old one that much too early.
    async fn rejoin(&mut self, after: u64) -> Result<(), Error> {
        let called = self.facts.now();
        let versions = Collection::Targets;
        let named =
            self.directory.watch(versions, after, Duration::ZERO).await?;
        let Watched::Changes(changes, named_at) = named else {
            self.forget();
            return Ok(());
        };
        let took = self.facts.now().since(called);
        let source = Source::platform("watch", took, 0);
        for change in changes {
            self.facts.apply(change, source, true, self.synced);
        }
        let routes = Collection::Routes;
        let listing = self.directory.list(routes, Freshness::Current).await?;
        let halls = Collection::Evacuations;
        let evacuated = self.directory.list(halls, Freshness::Current).await?;
        let at = listing.at.min(named_at).min(evacuated.at);
        self.take_list(listing, called);
        self.take_evacuations(&evacuated);
        self.reach(at, called);
        self.rejoined = true;
        Ok(())
    }

    /// Begins anew with a list: the platform has forgotten what came since
    /// the last revision known.
    fn forget(&mut self) {
        self.at = None;
        // What went unseen may have been the loss of history itself.
        self.failed = Some(Instant::now());
    }

    /// Reads all that is in force, at a pace, until nothing new comes.
    ///
    /// A watch brings every revision whole. Where many come in quick
    /// succession, only the newest is worth a poor link's bytes.
    async fn catch_up(&mut self) -> Result<(), Error> {
        tokio::time::sleep(self.follow.burst_pace).await;
        let before = self.facts.revision();
        self.list().await?;
        self.burst = self.facts.revision() != before;
        Ok(())
    }

    async fn list(&mut self) -> Result<(), Error> {
        let called = self.facts.now();
        let collection = self.follow.collection;
        let listing =
            self.directory.list(collection, Freshness::Current).await?;
        let at = listing.at;
        if collection == Collection::Declarations {
            self.take_evacuations(&listing);
        }
        let replicas = self.take_list(listing, called);
        if collection == Collection::Replicas {
            let reliable = self.reliable();
            if let Some(sharing) = &self.follow.sharing {
                sharing.share.note_list(&replicas, at);
            }
            self.facts.replace_replicas(replicas, reliable);
        }
        self.reach(at, called);
        Ok(())
    }

    /// Takes in the declarations of a list that was asked for at a time, and
    /// returns its replicas.
    fn take_list(&self, listing: Listing, called: Time) -> Vec<Replica> {
        let routes = listing.records.iter().filter(|r| is_document(r)).count();
        let took = self.facts.now().since(called);
        let source = Source::platform("list", took, routes);
        self.facts.note_documents(routes);
        let mut replicas = Vec::new();
        for record in listing.records {
            match record {
                Ok(Record::Replica(replica)) => replicas.push(replica),
                Ok(Record::Evacuation(_)) => {}
                Ok(record) => self.facts.learn(record, source, self.synced),
                Err(error) => self.facts.refuse(&error),
            }
        }
        replicas
    }

    /// Takes in the evacuations of a list that has all of them.
    fn take_evacuations(&self, listing: &Listing) {
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

    /// Returns what is left of the time in which nobody counts on a process
    /// that has just started. All start at once with the platform, and know
    /// nobody until the first engines are listed.
    pub(super) fn settling(&self) -> Duration {
        self.follow.settling.saturating_sub(self.began.elapsed())
    }

    /// Returns how long a watch waits: not for long after a failure, since
    /// doubts have to be settled in time.
    fn wait(&self) -> Duration {
        let wait = match &self.follow.sharing {
            Some(sharing) if sharing.reader.is_alone() => {
                let left = self.settling().min(self.follow.wait);
                sharing.watch().min(self.follow.wait).max(left)
            }
            Some(sharing) => sharing.watch().min(self.follow.wait),
            None => self.follow.wait,
        };
        if self.failed.is_some() {
            wait.min(self.follow.doubt / 2)
        } else {
            wait
        }
    }
}

const fn is_routes(change: &Change) -> bool {
    matches!(change, Change::Set(Record::Routes(..)))
}

const fn is_document(record: &Result<Record, Error>) -> bool {
    matches!(record, Ok(Record::Routes(..)))
}
