//! Asking another entry for what it has read of the platform.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use hyper::Request;
use hyper::header::CONTENT_TYPE;
use stairhinge::direct::{HallEntry, ReaderChoice};
use stairhinge::{Code, Error};
use stairhinge_shell::decisions::Decision;
use stairhinge_shell::directory::{
    Facts, HallReader, ReaderAnswer, SharedAnswer, SharedQuestion,
};
use stairhinge_shell::http::{Client, full, read};

use crate::dispatch::Dispatcher;
use crate::news::fetch_routes;

/// The path at which an entry answers others of its hall.
pub(crate) const PUBLISHED: &str = "/published";

/// The largest answer, in bytes.
const MOST_ANSWER: usize = 16 << 20;

/// Asks the first in rank of the entries.
pub(crate) struct HallReaders {
    dispatcher: Arc<Dispatcher>,
    facts: Arc<Facts>,
    client: Client,
    choice: Mutex<ReaderChoice>,
}

impl HallReaders {
    /// Returns the choice of the entry that others reach at `own`.
    pub(crate) fn new(
        dispatcher: Arc<Dispatcher>,
        own: SocketAddr,
    ) -> HallReaders {
        let hall = Arc::from(dispatcher.hall());
        let own = HallEntry { addr: own, hall };
        HallReaders {
            facts: Arc::clone(dispatcher.facts()),
            dispatcher,
            client: Client::new(),
            choice: Mutex::new(ReaderChoice::new(own)),
        }
    }

    /// Returns whether another entry reads for this one.
    pub(crate) fn has_reader(&self) -> bool {
        let entries = self.dispatcher.entries();
        self.choice().choose(&entries, self.facts.now()).is_some()
    }

    /// Asks one entry, and takes nothing old from it.
    async fn ask_entry(
        &self,
        entry: SocketAddr,
        question: &SharedQuestion,
    ) -> Result<SharedAnswer, Error> {
        let wait = Duration::from_millis(question.wait_ms);
        // An answer that takes twice as long as it waits at most has lost
        // its way.
        let within = wait * 2;
        let json = serde_json::to_vec(question)
            .map_err(|e| Error::new(Code::Internal, e))?;
        let request = Request::post(PUBLISHED)
            .header(CONTENT_TYPE, "application/json")
            .body(full(json))
            .map_err(|e| Error::new(Code::Internal, e))?;
        let lost = |why: String| Error::new(Code::PeerLost, why);
        let response = self
            .client
            .send(entry, request, within)
            .await
            .map_err(|e| lost(e.to_string()))?;
        if !response.status().is_success() {
            return Err(lost(format!("answers {}", response.status())));
        }
        let bytes = read(response.into_body(), MOST_ANSWER, within).await?;
        let answer: SharedAnswer = serde_json::from_slice(&bytes)
            .map_err(|e| Error::new(Code::MalformedJson, e))?;
        if answer.age_ms > question.most_age_ms {
            let (age, most) = (answer.age_ms, question.most_age_ms);
            return Err(lost(format!(
                "its news are {age} ms old, over {most}"
            )));
        }
        if question.after.is_some_and(|after| after > answer.at) {
            return Err(lost(format!("it is behind, at {}", answer.at)));
        }
        Ok(answer)
    }

    fn failed(&self, entry: SocketAddr, error: &Error) {
        let now = self.facts.now();
        if !self.choice().failed(entry, now) {
            return;
        }
        self.facts.log().write(&Decision::DependencyLost {
            dependency: &format!("hall reader {entry}"),
            code: error.code().number(),
            reason: error.message(),
        });
    }

    fn answered(&self, entry: SocketAddr) {
        let now = self.facts.now();
        let Some(lost) = self.choice().answered(entry, now) else { return };
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
    fn ask(
        &self,
        question: SharedQuestion,
    ) -> BoxFuture<'_, Option<ReaderAnswer>> {
        Box::pin(async move {
            for _ in 0..ReaderChoice::MOST_ASKED {
                let entries = self.dispatcher.entries();
                let now = self.facts.now();
                let entry = self.choice().choose(&entries, now)?;
                match self.ask_entry(entry, &question).await {
                    Ok(shared) => {
                        self.answered(entry);
                        return Some(ReaderAnswer { entry, shared });
                    }
                    Err(error) => self.failed(entry, &error),
                }
            }
            None
        })
    }

    fn fetch_routes(
        &self,
        entry: SocketAddr,
        within: Duration,
    ) -> BoxFuture<'_, Result<Bytes, Error>> {
        Box::pin(fetch_routes(&self.client, entry, within))
    }
}
