//! Requests to other entries for the data that they read from the platform.

mod round;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
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

/// An entry that would wait for another's data instead reads the platform with
/// a probability of 1 in this number, since the platform may reject the
/// readers of a hall and serve the other entries. A round of waiting takes
/// about 0.7 s and an unanswered call 2.8 s, so of a hall's 40 entries eight
/// are reading at any time.
const READ_ODDS: u32 = 20;

/// The entries that one entry asks for published data, in order of rank.
pub(crate) struct HallReaders {
    dispatcher: Arc<Dispatcher>,
    facts: Arc<Facts>,
    client: Client,
    choice: Mutex<ReaderChoice>,
    own: SocketAddr,
}

impl HallReaders {
    /// Returns the readers for the entry that others reach at `own`.
    pub(crate) fn new(
        dispatcher: Arc<Dispatcher>,
        own: SocketAddr,
    ) -> HallReaders {
        let hall = Arc::from(dispatcher.hall());
        let entry = HallEntry { addr: own, hall };
        HallReaders {
            own,
            facts: Arc::clone(dispatcher.facts()),
            dispatcher,
            client: Client::new(),
            choice: Mutex::new(ReaderChoice::new(entry)),
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
        let hall: Arc<str> = Arc::from(self.dispatcher.hall());
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
        self.choice.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HallReader for HallReaders {
    fn ask(&self, question: SharedQuestion) -> BoxFuture<'_, HallAnswer> {
        Box::pin(async move {
            if let Some(answer) = self.ask_by_rank(&question).await {
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
            if rand::rng().random_ratio(1, READ_ODDS) {
                return HallAnswer::ReadPlatform;
            }
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
            loop {
                if let Some(entry) = self.entry_during_read()
                    && let Some(answer) = self.query(entry, &question).await
                {
                    return answer;
                }
                tokio::time::sleep(RETRY_DELAY).await;
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

    fn fetch_routes(
        &self,
        entry: SocketAddr,
        within: Duration,
    ) -> BoxFuture<'_, Result<Bytes, Error>> {
        Box::pin(fetch_routes(&self.client, entry, within))
    }
}
