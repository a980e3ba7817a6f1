//! Learning from entries of the hall what is published.
//!
//! Entries follow the platform anyway, and each call there has a price that
//! grows with the number of callers. So an agent asks an entry that listens
//! to it, and the platform only while none has told it anything for a while.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::BoxFuture;
use stairhinge::{Code, Error};
use stairhinge_chunks::log_failure;
use stairhinge_gateway::{FetchError, fetch_published, fetch_routes};
use stairhinge_shell::directory::{
    Change, Collection, Facts, HallNews, HallReader, ReaderAnswer, Record,
    SharedQuestion, Source,
};
use stairhinge_shell::http::Client;
use tokio::sync::watch;

use crate::engine::EngineState;
use crate::entry_turn::EntryTurn;
use crate::listeners::Listeners;

/// How long an agent leaves the platform to entries after one has told it
/// something. At the platform's first start the time counts from when its
/// engine is up, since entries find it by the engine's record in the list.
const HOLD: Duration = Duration::from_millis(1_500);

/// How long after its start an agent waits for its engine to come up.
const ENGINE: Duration = Duration::from_secs(6);

/// How long an agent waits for an entry that begins to listen.
const LOOK: Duration = Duration::from_millis(150);

/// The pause before entries are asked again beside a call to the platform.
const ASK_AGAIN: Duration = Duration::from_millis(1_000);

/// An entry that has not answered for so long counts as silent.
const SILENCE: Duration = Duration::from_millis(1_000);

/// How old a list of replicas may be.
const LIST_AGE: Duration = Duration::from_secs(5);

/// The entries of the hall that listen to an agent.
pub(crate) struct HallEntries {
    facts: Arc<Facts>,
    listeners: Listeners,
    hall: Arc<str>,
    own: SocketAddr,
    client: Client,
    turn: Mutex<EntryTurn>,
    began: Instant,
    engine: watch::Receiver<Option<EngineState>>,
    /// Whether the whole platform starts for the first time.
    first_start: bool,
    /// When an entry last told something; at the platform's first start, when
    /// the engine was not yet up.
    heard: Mutex<Option<Instant>>,
    /// The platform's revision of the list of replicas; 0 without one.
    listed_at: AtomicU64,
}

impl HallEntries {
    /// Returns the entries of `hall` that listen to the agent at `own`.
    pub(crate) fn new(
        facts: Arc<Facts>,
        listeners: Listeners,
        hall: Arc<str>,
        own: SocketAddr,
        client: Client,
        engine: watch::Receiver<Option<EngineState>>,
        first_start: bool,
    ) -> HallEntries {
        HallEntries {
            facts,
            listeners,
            hall,
            own,
            client,
            turn: Mutex::default(),
            began: Instant::now(),
            engine,
            first_start,
            heard: Mutex::default(),
            listed_at: AtomicU64::new(0),
        }
    }

    /// Returns whether the platform is left to entries: one has told something
    /// of late, or none can have found this agent yet.
    pub(crate) fn may_tell(&self) -> bool {
        let up = self.engine.borrow().is_some();
        let mut heard = self.heard();
        if self.first_start && !up && self.began.elapsed() < ENGINE {
            *heard = Some(Instant::now());
        }
        heard.is_some_and(|at| at.elapsed() < HOLD)
    }

    fn next(&self) -> Option<SocketAddr> {
        let near = self.listeners.of_hall(&self.hall);
        self.turn().entry(self.own, near)
    }

    /// Asks the entry whose turn it is.
    async fn hear(
        &self,
        question: &SharedQuestion,
    ) -> Result<ReaderAnswer, Error> {
        let none =
            || Error::new(Code::PeerLost, "no entry of the hall listens");
        let entry = self.next().ok_or_else(none)?;
        let asked = Instant::now();
        let patience = Duration::from_millis(question.wait_ms).max(SILENCE);
        match fetch_published(&self.client, entry, question).await {
            Ok(shared) => {
                self.turn().heard();
                *self.heard() = Some(Instant::now());
                Ok(ReaderAnswer { entry, shared })
            }
            Err(unheard) => {
                // One with old news is passed over like a silent one.
                let took = match &unheard {
                    FetchError::Failed(_) => asked.elapsed(),
                    FetchError::Stale(_) => patience,
                };
                self.turn().failed(took, patience);
                Err(unheard.error().clone())
            }
        }
    }

    /// Brings the list of replicas up to date by what an entry knows.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`] if no entry tells it.
    pub(crate) async fn list_replicas(&self) -> Result<(), Error> {
        let known = self.listed_at.load(Ordering::Relaxed);
        let question = SharedQuestion {
            collection: Collection::Replicas,
            after: (known > 0).then_some(known),
            revision: self.facts.revision(),
            targets: 0,
            evacuated: Vec::new(),
            wait_ms: 0,
            most_age_ms: LIST_AGE.as_millis() as u64,
            for_itself: true,
        };
        let shared = self.hear(&question).await?.shared;
        let Some(replicas) = shared.replicas else {
            return Err(Error::new(
                Code::PeerLost,
                "an answer without a list",
            ));
        };
        if replicas.whole {
            self.facts.replace_replicas(replicas.listed, true);
        } else {
            let set = |replica| Change::Set(Record::Replica(replica));
            let listed = replicas.listed.into_iter().map(set);
            let gone = replicas.gone.into_iter().map(Change::Gone);
            for change in listed.chain(gone) {
                let source = Source::new("hall");
                self.facts.apply(change, source, true, None);
            }
        }
        self.listed_at.store(shared.at, Ordering::Relaxed);
        Ok(())
    }

    /// Forgets which list is known: another one was read meanwhile.
    pub(crate) fn forget_list(&self) {
        self.listed_at.store(0, Ordering::Relaxed);
    }

    fn heard(&self) -> MutexGuard<'_, Option<Instant>> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn turn(&self) -> MutexGuard<'_, EntryTurn> {
        self.turn.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HallReader for HallEntries {
    fn ask(&self, mut question: SharedQuestion) -> BoxFuture<'_, HallNews> {
        question.for_itself = true;
        Box::pin(async move {
            if self.next().is_some() {
                match self.hear(&question).await {
                    Ok(answer) => return HallNews::Told(answer),
                    Err(error) => log_failure(&self.facts, "entry", &error),
                }
            } else if self.may_tell() {
                let entry = self.listeners.joined();
                let _ = tokio::time::timeout(LOOK, entry).await;
            }
            if self.may_tell() {
                return HallNews::Awaited;
            }
            HallNews::Nobody
        })
    }

    fn news(
        &self,
        mut question: SharedQuestion,
    ) -> BoxFuture<'_, ReaderAnswer> {
        question.for_itself = true;
        Box::pin(async move {
            loop {
                tokio::time::sleep(ASK_AGAIN).await;
                if let Ok(answer) = self.hear(&question).await {
                    return answer;
                }
            }
        })
    }

    fn is_alone(&self) -> bool {
        self.next().is_none()
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
