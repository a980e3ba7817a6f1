//! Reads published state from entries of the hall.
//!
//! Entries follow the platform anyway, and the cost of calls to the platform
//! grows with the number of callers. So an agent asks an entry that subscribes
//! to its feed, and asks the platform only if no entry has answered for
//! [`PLATFORM_HOLD_OFF`].

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::BoxFuture;
use stairhinge::direct::Absence;
use stairhinge::{Code, Error};
use stairhinge_chunks::log_failure;
use stairhinge_gateway::{FetchError, fetch_published, fetch_routes};
use stairhinge_shell::directory::{
    Change, Collection, Facts, HallAnswer, HallReader, Published,
    ReaderAnswer, Record, SharedQuestion, Source,
};
use stairhinge_shell::http::Client;
use tokio::sync::watch;

use crate::engine::EngineState;
use crate::entry_rotation::EntryRotation;
use crate::subscribers::Subscribers;

/// How long an agent does not ask the platform after an answer from an entry.
/// At the platform's first start the time counts from when the engine is up,
/// since entries find the agent by the engine's record in the list.
const PLATFORM_HOLD_OFF: Duration = Duration::from_millis(1_500);

/// The maximum time after its start that an agent waits for its engine.
const ENGINE_START_TIMEOUT: Duration = Duration::from_secs(6);

/// How long an agent waits for an entry to subscribe.
const SUBSCRIBE_WAIT: Duration = Duration::from_millis(150);

/// The interval at which entries are asked during a call to the platform.
const ASK_INTERVAL: Duration = Duration::from_millis(1_000);

/// The minimum time without an answer after which an entry counts as silent.
const MIN_SILENCE: Duration = Duration::from_millis(1_000);

/// The maximum age of a list of replicas.
const MAX_LIST_AGE: Duration = Duration::from_secs(5);

/// How long the platform has to answer after a failure until a replica that is
/// missing from the list has gone.
pub(crate) const UNLISTED_GRACE: Duration = Duration::from_millis(4_000);

/// The entries of the hall that subscribe to an agent's feed.
pub(crate) struct HallEntries {
    facts: Arc<Facts>,
    subscribers: Subscribers,
    hall: Arc<str>,
    own: SocketAddr,
    client: Client,
    rotation: Mutex<EntryRotation>,
    started: Instant,
    engine: watch::Receiver<Option<EngineState>>,
    /// Whether the whole platform is starting for the first time.
    first_start: bool,
    /// When an entry last answered. At the platform's first start, also the
    /// last time that the engine was seen not to be up yet.
    last_answer: Mutex<Option<Instant>>,
    /// The platform's revision of the known list of replicas, or 0.
    list_revision: AtomicU64,
}

impl HallEntries {
    /// Returns the entries of `hall` that subscribe to the agent at `own`.
    pub(crate) fn new(
        facts: Arc<Facts>,
        subscribers: Subscribers,
        hall: Arc<str>,
        own: SocketAddr,
        client: Client,
        engine: watch::Receiver<Option<EngineState>>,
        first_start: bool,
    ) -> HallEntries {
        HallEntries {
            facts,
            subscribers,
            hall,
            own,
            client,
            rotation: Mutex::default(),
            started: Instant::now(),
            engine,
            first_start,
            last_answer: Mutex::default(),
            list_revision: AtomicU64::new(0),
        }
    }

    /// Returns whether to rely on entries instead of the platform: an entry
    /// has answered recently, or no entry can have found this agent yet.
    pub(crate) fn relies_on_entries(&self) -> bool {
        let up = self.engine.borrow().is_some();
        let mut last_answer = self.last_answer();
        if self.first_start
            && !up
            && self.started.elapsed() < ENGINE_START_TIMEOUT
        {
            *last_answer = Some(Instant::now());
        }
        last_answer.is_some_and(|at| at.elapsed() < PLATFORM_HOLD_OFF)
    }

    fn next_entry(&self) -> Option<SocketAddr> {
        let entries = self.subscribers.of_hall(&self.hall);
        self.rotation().entry(self.own, entries)
    }

    /// Asks the currently selected entry.
    async fn ask_next(
        &self,
        question: &SharedQuestion,
    ) -> Result<ReaderAnswer, Error> {
        let none =
            || Error::new(Code::PeerLost, "no entry of the hall subscribes");
        let entry = self.next_entry().ok_or_else(none)?;
        let asked = Instant::now();
        let timeout = Duration::from_millis(question.wait_ms).max(MIN_SILENCE);
        match fetch_published(&self.client, entry, question).await {
            Ok(shared) => {
                self.rotation().succeeded();
                *self.last_answer() = Some(Instant::now());
                Ok(ReaderAnswer { entry, shared })
            }
            Err(unheard) => {
                // An entry with stale data is skipped like a silent one.
                let took = match &unheard {
                    FetchError::Failed(_) => asked.elapsed(),
                    FetchError::Stale(_) => timeout,
                };
                self.rotation().failed(took, timeout);
                Err(unheard.error().clone())
            }
        }
    }

    /// Updates the list of replicas from an entry.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`] if no entry provides it.
    pub(crate) async fn list_replicas(&self) -> Result<(), Error> {
        let known = self.list_revision.load(Ordering::Relaxed);
        let question = SharedQuestion {
            collection: Collection::Replicas,
            after: (known > 0).then_some(known),
            revision: self.facts.revision(),
            targets: 0,
            newest: None,
            evacuated: Vec::new(),
            wait_ms: 0,
            most_age_ms: MAX_LIST_AGE.as_millis() as u64,
            for_itself: true,
        };
        let called = self.facts.now();
        let shared = self.ask_next(&question).await?.shared;
        let sound = shared.reads(called).proves_absence(UNLISTED_GRACE);
        let Some(replicas) = shared.replicas else {
            return Err(Error::new(
                Code::PeerLost,
                "the entry's answer has no list of replicas",
            ));
        };
        let absence = if sound {
            Absence::Gone
        } else {
            Absence::Doubtful(Duration::ZERO)
        };
        if replicas.whole {
            self.facts.replace_replicas(replicas.listed, absence);
        } else {
            let set = |replica| Change::Set(Record::Replica(replica));
            let listed = replicas.listed.into_iter().map(set);
            let gone = replicas.gone.into_iter().map(Change::Gone);
            let changes = listed.chain(gone).collect();
            let (source, published) =
                (Source::new("hall"), Published::default());
            self.facts.apply_all(changes, source, absence, published);
        }
        if sound {
            self.facts.remove_doubtful(Duration::MAX);
        }
        self.list_revision.store(shared.at, Ordering::Relaxed);
        Ok(())
    }

    /// Clears the revision of the known list, after a list was read from
    /// another source.
    pub(crate) fn forget_list(&self) {
        self.list_revision.store(0, Ordering::Relaxed);
    }

    fn last_answer(&self) -> MutexGuard<'_, Option<Instant>> {
        self.last_answer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn rotation(&self) -> MutexGuard<'_, EntryRotation> {
        self.rotation.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HallReader for HallEntries {
    fn ask(&self, mut question: SharedQuestion) -> BoxFuture<'_, HallAnswer> {
        question.for_itself = true;
        Box::pin(async move {
            if self.next_entry().is_some() {
                match self.ask_next(&question).await {
                    Ok(answer) => return HallAnswer::Answered(answer),
                    Err(error) => log_failure(&self.facts, "entry", &error),
                }
            } else if self.relies_on_entries() {
                let entry = self.subscribers.wait_for_join();
                let _ = tokio::time::timeout(SUBSCRIBE_WAIT, entry).await;
            }
            if self.relies_on_entries() {
                return HallAnswer::Pending;
            }
            HallAnswer::ReadPlatform
        })
    }

    fn ask_until_fresh(
        &self,
        mut question: SharedQuestion,
    ) -> BoxFuture<'_, ReaderAnswer> {
        question.for_itself = true;
        Box::pin(async move {
            loop {
                tokio::time::sleep(ASK_INTERVAL).await;
                if let Ok(answer) = self.ask_next(&question).await {
                    return answer;
                }
            }
        })
    }

    fn is_alone(&self) -> bool {
        self.next_entry().is_none()
    }

    fn leads(&self) -> bool {
        false
    }

    fn fetch_routes(
        &self,
        entry: SocketAddr,
        within: Duration,
    ) -> BoxFuture<'_, Result<Bytes, Error>> {
        Box::pin(fetch_routes(&self.client, entry, within))
    }
}
