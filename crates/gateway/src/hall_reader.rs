//! Requests to other entries for the data that they read from the platform.

mod round;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt as _;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use rand::RngExt as _;
use stairhinge::Error;
use stairhinge::direct::{HallEntry, ReaderChoice};
use stairhinge_shell::decisions::Decision;
use stairhinge_shell::directory::{
    Collection, Facts, HallAnswer, HallReader, ReaderAnswer, SharedQuestion,
};
use stairhinge_shell::http::Client;

use crate::dispatch::Dispatcher;
use crate::news::fetch_routes;
use crate::published::{FetchError, fetch_published};

/// The delay before an entry with stale data is asked again. The question has
/// already waited there for up to an eighth of the propagation bound.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// An entry that has no data yet and would wait for another's instead reads
/// the platform with a probability of 1 in this number, since the platform may
/// reject the readers of a hall and serve the other entries.
const READ_ODDS: u32 = 20;

/// The entries that one entry asks for published data, in order of rank.
pub(crate) struct HallReaders {
    dispatcher: Arc<Dispatcher>,
    facts: Arc<Facts>,
    client: Client,
    choice: Mutex<ReaderChoice>,
    own: SocketAddr,
    /// The entry that had fresh data when those to ask by rank had none.
    source: Mutex<Option<SocketAddr>>,
    /// The entry that this one waits for.
    awaited: Mutex<Option<SocketAddr>>,
}

impl HallReaders {
    /// Returns the readers for the entry that others reach at `own`.
    pub(crate) fn new(
        dispatcher: Arc<Dispatcher>,
        own: SocketAddr,
    ) -> HallReaders {
        let hall = Arc::clone(dispatcher.hall());
        let entry = HallEntry { addr: own, hall };
        HallReaders {
            own,
            facts: Arc::clone(dispatcher.facts()),
            dispatcher,
            client: Client::new(),
            choice: Mutex::new(ReaderChoice::new(entry)),
            source: Mutex::default(),
            awaited: Mutex::default(),
        }
    }

    /// Returns whether another entry reads the platform for this one.
    pub(crate) fn has_reader(&self) -> bool {
        let entries = self.entries();
        self.choice().choose(&entries, self.facts.now()).is_some()
    }

    /// Returns the known entries: the first-ranked of each hall, and the
    /// leading ones of its own.
    fn entries(&self) -> Vec<HallEntry> {
        let mut entries = Vec::clone(&self.dispatcher.entries());
        let hall = Arc::clone(self.dispatcher.hall());
        for addr in self.dispatcher.leading_entries().iter() {
            entries.push(HallEntry { addr: *addr, hall: Arc::clone(&hall) });
        }
        entries.sort_unstable();
        entries.dedup();
        entries
    }

    /// Asks an entry, and records whether it answered with fresh data.
    async fn query(
        &self,
        entry: SocketAddr,
        question: &SharedQuestion,
    ) -> Option<ReaderAnswer> {
        match fetch_published(&self.client, entry, question).await {
            Ok(shared) => {
                self.record_success(entry);
                Some(ReaderAnswer { entry, shared })
            }
            Err(error) => {
                self.record_failure(entry, &error);
                None
            }
        }
    }

    /// Returns the entry to ask while a read of the platform is in progress:
    /// one that had stale data, or else one that is not excluded.
    fn entry_during_read(&self) -> Option<SocketAddr> {
        let entries = self.entries();
        let now = self.facts.now();
        let choice = self.choice();
        let responsive = choice.first_responsive(&entries);
        responsive.or_else(|| choice.choose(&entries, now))
    }

    /// Asks the entry that had fresh data when the others had none.
    async fn ask_source(
        &self,
        question: &SharedQuestion,
    ) -> Option<ReaderAnswer> {
        let source = *lock(&self.source);
        let answer = self.query(source?, question).await;
        if answer.is_none() {
            *lock(&self.source) = None;
        }
        answer
    }

    /// Asks the first entry by rank until it has fresh data.
    async fn ask_first(&self, question: &SharedQuestion) -> ReaderAnswer {
        loop {
            if let Some(entry) = self.entry_during_read()
                && let Some(answer) = self.query(entry, question).await
            {
                return answer;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Asks all known entries of the hall until one has fresh data, once the
    /// data of this one is too old. One that is ranked behind this one, or
    /// behind others with old data, may be the only one that can read.
    async fn ask_others(&self, question: &SharedQuestion) -> ReaderAnswer {
        let most_age = Duration::from_millis(question.most_age_ms);
        loop {
            let age = self.facts.routes_age().unwrap_or(most_age);
            let fresh_for = most_age.saturating_sub(age);
            if !fresh_for.is_zero() {
                tokio::time::sleep(fresh_for).await;
                continue;
            }
            let entries = self.entries();
            let others = self.choice().responsive(&entries, self.facts.now());
            let asked = others.into_iter().map(|e| self.query(e, question));
            let mut answers: FuturesUnordered<_> = asked.collect();
            while let Some(answer) = answers.next().await {
                let Some(answer) = answer else { continue };
                // Entries that follow each other would have no data between
                // them, so only those behind in rank follow.
                if answer.entry < self.own && self.readers_before() > 0 {
                    *lock(&self.source) = Some(answer.entry);
                }
                return answer;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Logs which entry this one begins to wait for.
    fn record_awaited(&self, entry: Option<SocketAddr>) {
        let before = std::mem::replace(&mut *lock(&self.awaited), entry);
        let Some(entry) = entry.filter(|_| before != entry) else { return };
        let age = self.facts.routes_age();
        self.facts.log().write(&Decision::ReaderAwaited {
            entry,
            age_ms: age.map(|age| age.as_millis() as u64),
        });
    }

    fn record_failure(&self, entry: SocketAddr, failure: &FetchError) {
        let now = self.facts.now();
        let was_healthy = match failure {
            FetchError::Failed(_) => self.choice().record_failure(entry, now),
            FetchError::Stale(_) => self.choice().record_stale(entry, now),
        };
        if !was_healthy {
            return;
        }
        let error = failure.error();
        self.facts.log().write(&Decision::DependencyLost {
            dependency: &format!("hall reader {entry}"),
            code: error.code().number(),
            reason: error.message(),
        });
    }

    fn record_success(&self, entry: SocketAddr) {
        let now = self.facts.now();
        let Some(lost) = self.choice().record_success(entry, now) else {
            return;
        };
        self.facts.log().write(&Decision::DependencyRegained {
            dependency: &format!("hall reader {entry}"),
            lost_ms: lost.as_millis() as u64,
        });
    }

    fn choice(&self) -> MutexGuard<'_, ReaderChoice> {
        lock(&self.choice)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl HallReader for HallReaders {
    fn ask(&self, question: SharedQuestion) -> BoxFuture<'_, HallAnswer> {
        Box::pin(async move {
            let mut answer = self.ask_by_rank(&question).await;
            if answer.is_none() {
                answer = self.ask_source(&question).await;
            }
            if let Some(answer) = answer {
                self.record_awaited(None);
                return HallAnswer::Answered(answer);
            }
            if question.collection == Collection::Replicas {
                // Its changes are small, and leaving replicas must be known
                // in time even if the readers have failed.
                return HallAnswer::ReadPlatform;
            }
            let leading = self.dispatcher.leading_entries().len();
            let entries = self.entries();
            let awaited = self.choice().reader_to_await(&entries, leading);
            let Some(entry) = awaited else { return HallAnswer::ReadPlatform };
            let has_data = question.after.is_some();
            if !has_data && rand::rng().random_ratio(1, READ_ODDS) {
                return HallAnswer::ReadPlatform;
            }
            self.record_awaited(Some(entry));
            match self.query(entry, &question).await {
                Some(answer) => HallAnswer::Answered(answer),
                None => HallAnswer::Pending,
            }
        })
    }

    fn ask_until_fresh(
        &self,
        question: SharedQuestion,
    ) -> BoxFuture<'_, ReaderAnswer> {
        Box::pin(async move {
            tokio::select! {
                answer = self.ask_first(&question) => answer,
                answer = self.ask_others(&question) => answer,
            }
        })
    }

    fn is_alone(&self) -> bool {
        let entries = self.entries();
        entries.iter().all(|entry| entry.addr == self.own)
    }

    fn leads(&self) -> bool {
        self.choice().leads(&self.entries())
    }

    fn readers_before(&self) -> usize {
        if self.dispatcher.leading_entries().len() < ReaderChoice::MAX_ASKED {
            // In a small hall all entries may read.
            return 0;
        }
        self.choice().readers_before(&self.entries())
    }

    fn fetch_routes(
        &self,
        entry: SocketAddr,
        within: Duration,
    ) -> BoxFuture<'_, Result<Bytes, Error>> {
        Box::pin(fetch_routes(&self.client, entry, within))
    }
}
