//! One round of questions: the first in rank, and others while it is silent.
//!
//! A reader that is frozen or cut off says nothing, and to wait for it costs
//! time that the bound does not have often. So the next one is asked while
//! the one before is late, and an entry reads the platform itself only once
//! all that it knows of have failed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use stairhinge::direct::{HallEntry, ReaderChoice};
use stairhinge::{Code, Error};
use stairhinge_shell::directory::{ReaderAnswer, SharedQuestion};

use super::HallReaders;
use crate::published::FetchError;

/// How many silent ones are waited for one after the other. The others are
/// asked at a time: with waits of an eighth of the bound and five entries,
/// the platform is read after 0.63 of the bound if all of them are silent.
const IN_TURN: usize = 2;

/// An entry that has been asked.
#[derive(Clone, Copy)]
struct Asked {
    entry: SocketAddr,
    at: Instant,
}

/// Returns how long one is waited for before the next is asked too: half as
/// long again as a question waits there at most. The rest is for its way and
/// for a processor that is busy.
fn patience(question: &SharedQuestion) -> Duration {
    Duration::from_millis(question.wait_ms) * 3 / 2
}

impl HallReaders {
    /// Asks entries in the order of their rank until one tells something.
    pub(super) async fn ask_in_turn(
        &self,
        question: &SharedQuestion,
    ) -> Option<ReaderAnswer> {
        let entries = self.entries();
        let mut count = 0;
        let mut pending: Vec<Asked> = Vec::new();
        let mut answers = FuturesUnordered::new();
        loop {
            let next = self.next(&entries, &pending, count);
            if let Some(entry) = next {
                count += 1;
                pending.push(Asked { entry, at: Instant::now() });
                answers.push(async move {
                    (entry, self.hear(entry, question).await)
                });
            }
            let pause = self.pause(question, next, count);
            tokio::select! {
                answer = answers.next() => {
                    let (entry, heard) = answer?;
                    pending.retain(|asked| asked.entry != entry);
                    if heard.is_some() {
                        self.leave(&pending, patience(question));
                        return heard;
                    }
                }
                () = tokio::time::sleep(pause), if next.is_some() => {}
            }
        }
    }

    /// Returns the next entry to ask, if there is one.
    fn next(
        &self,
        entries: &[HallEntry],
        pending: &[Asked],
        count: usize,
    ) -> Option<SocketAddr> {
        if count >= ReaderChoice::MAX_ASKED {
            return None;
        }
        let asked: Vec<SocketAddr> = pending.iter().map(|a| a.entry).collect();
        self.choice().choose_next(entries, &asked, self.facts.now())
    }

    /// Returns how long after an entry the next one is asked. One that has
    /// failed before may still be silent, and is not waited for.
    fn pause(
        &self,
        question: &SharedQuestion,
        asked: Option<SocketAddr>,
        count: usize,
    ) -> Duration {
        let doubted = asked.is_some_and(|e| self.choice().has_failed(e));
        if doubted || count > IN_TURN {
            return Duration::ZERO;
        }
        patience(question)
    }

    /// Notes of those that have not answered that they are silent, where they
    /// have had the time to answer.
    fn leave(&self, pending: &[Asked], patience: Duration) {
        let now = self.facts.now();
        for asked in pending {
            if self.choice().has_failed(asked.entry) {
                self.choice().extend_backoff(asked.entry, now);
                continue;
            }
            let silent = asked.at.elapsed();
            if silent < patience {
                continue;
            }
            let why = format!("no answer in {} ms", silent.as_millis());
            let lost = FetchError::Failed(Error::new(Code::PeerLost, why));
            self.failed(asked.entry, &lost);
        }
    }
}
