//! Asking another entry for what it has read of the platform.

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
    Collection, Facts, HallNews, HallReader, ReaderAnswer, SharedQuestion,
};
use stairhinge_shell::http::Client;

use crate::dispatch::Dispatcher;
use crate::news::fetch_routes;
use crate::published::{FetchError, fetch_published};

/// The pause before an entry with old news is asked again; the question has
/// waited there for up to an eighth of the bound that it serves.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// Of so many times that an entry would wait for another's news it reads the
/// platform once: that may turn the readers of a hall away and serve the
/// others. A round of waiting takes about 0.7 s and a call that is not
/// answered 2.8 s, so of a hall's 40 entries eight are reading at any moment.
const READ_ANYWAY: u32 = 20;

/// Asks the first in rank of the entries.
pub(crate) struct HallReaders {
    dispatcher: Arc<Dispatcher>,
    facts: Arc<Facts>,
    client: Client,
    choice: Mutex<ReaderChoice>,
    own: SocketAddr,
}

impl HallReaders {
    /// Returns the choice of the entry that others reach at `own`.
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

    /// Returns whether another entry reads for this one.
    pub(crate) fn has_reader(&self) -> bool {
        let entries = self.entries();
        self.choice().choose(&entries, self.facts.now()).is_some()
    }

    /// Returns the entries that this one knows of: the first of each hall,
    /// and those that lead its own.
    fn entries(&self) -> Vec<HallEntry> {
        let mut entries = Vec::clone(&self.dispatcher.entries());
        let hall: Arc<str> = Arc::from(self.dispatcher.hall());
        for addr in self.dispatcher.ranked().iter() {
            entries.push(HallEntry { addr: *addr, hall: Arc::clone(&hall) });
        }
        entries.sort_unstable();
        entries.dedup();
        entries
    }

    /// Asks one entry, and notes how it stands.
    async fn hear(
        &self,
        entry: SocketAddr,
        question: &SharedQuestion,
    ) -> Option<ReaderAnswer> {
        match fetch_published(&self.client, entry, question).await {
            Ok(shared) => {
                self.answered(entry);
                Some(ReaderAnswer { entry, shared })
            }
            Err(unheard) => {
                self.failed(entry, &unheard);
                None
            }
        }
    }

    /// Returns the entry to ask beside a reading of the platform: one that
    /// had old news, or else one that has not been asked of late.
    fn beside_reading(&self) -> Option<SocketAddr> {
        let entries = self.entries();
        let now = self.facts.now();
        let choice = self.choice();
        let alive = choice.first_responsive(&entries);
        alive.or_else(|| choice.choose(&entries, now))
    }

    fn failed(&self, entry: SocketAddr, unheard: &FetchError) {
        let now = self.facts.now();
        let was_well = match unheard {
            FetchError::Failed(_) => self.choice().record_failure(entry, now),
            FetchError::Stale(_) => self.choice().record_stale(entry, now),
        };
        if !was_well {
            return;
        }
        let error = unheard.error();
        self.facts.log().write(&Decision::DependencyLost {
            dependency: &format!("hall reader {entry}"),
            code: error.code().number(),
            reason: error.message(),
        });
    }

    fn answered(&self, entry: SocketAddr) {
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
    fn ask(&self, question: SharedQuestion) -> BoxFuture<'_, HallNews> {
        Box::pin(async move {
            if let Some(answer) = self.ask_in_turn(&question).await {
                return HallNews::Told(answer);
            }
            if question.collection == Collection::Replicas {
                // Its changes are small, and a leaving replica must be known
                // in time whatever has become of the readers.
                return HallNews::Nobody;
            }
            let leading = self.dispatcher.ranked().len();
            let entries = self.entries();
            let awaited = self.choice().reader_to_await(&entries, leading);
            let Some(entry) = awaited else { return HallNews::Nobody };
            if rand::rng().random_ratio(1, READ_ANYWAY) {
                return HallNews::Nobody;
            }
            match self.hear(entry, &question).await {
                Some(answer) => HallNews::Told(answer),
                None => HallNews::Awaited,
            }
        })
    }

    fn news(&self, question: SharedQuestion) -> BoxFuture<'_, ReaderAnswer> {
        Box::pin(async move {
            loop {
                if let Some(entry) = self.beside_reading()
                    && let Some(answer) = self.hear(entry, &question).await
                {
                    return answer;
                }
                tokio::time::sleep(ASK_AGAIN).await;
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
