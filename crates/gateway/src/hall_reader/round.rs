//! Hedged requests to the entries of a hall, in order of rank.
//!
//! A reader that is frozen or partitioned does not answer, and waiting for its
//! timeout would use up the propagation bound. So the next entry is asked as
//! soon as the previous one is late, and the platform is read only once all
//! known entries have failed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use stairhinge::direct::{HallEntry, ReaderChoice};
use stairhinge::{Code, Error};
use stairhinge_shell::directory::{ReaderAnswer, SharedQuestion};

use super::HallReaders;
use crate::published::FetchError;

/// The number of entries that are asked with a delay in between; the others
/// are then asked at the same time. With waits of an eighth of the bound and
/// five entries that do not answer, the platform is read after 0.63 of the
/// bound.
const MAX_DELAYED: usize = 2;

/// An entry that has been asked and has not answered yet.
#[derive(Clone, Copy)]
struct PendingEntry {
    entry: SocketAddr,
    at: Instant,
}

/// Returns the delay after which the next entry is asked as well: 1.5 times
/// the maximum wait of the question. The excess covers the network and busy
/// processors.
fn hedge_delay(question: &SharedQuestion) -> Duration {
    Duration::from_millis(question.wait_ms) * 3 / 2
}

impl HallReaders {
    /// Asks entries in order of rank until one has fresh data.
    pub(super) async fn ask_by_rank(
        &self,
        question: &SharedQuestion,
    ) -> Option<ReaderAnswer> {
        let entries = self.entries();
        let mut count = 0;
        let mut pending: Vec<PendingEntry> = Vec::new();
        let mut answers = FuturesUnordered::new();
        loop {
            let next = self.next(&entries, &pending, count);
            if let Some(entry) = next {
                count += 1;
                pending.push(PendingEntry { entry, at: Instant::now() });
                answers.push(async move {
                    (entry, self.query(entry, question).await)
                });
            }
            let delay = self.delay(question, next, count);
            tokio::select! {
                answer = answers.next() => {
                    let (entry, data) = answer?;
                    pending.retain(|asked| asked.entry != entry);
                    if data.is_some() {
                        self.record_late(&pending, hedge_delay(question));
                        return data;
                    }
                }
                () = tokio::time::sleep(delay), if next.is_some() => {}
            }
        }
    }

    /// Returns the next entry to ask, or `None` if there is no other.
    fn next(
        &self,
        entries: &[HallEntry],
        pending: &[PendingEntry],
        count: usize,
    ) -> Option<SocketAddr> {
        if count >= ReaderChoice::MAX_ASKED {
            return None;
        }
        let asked: Vec<SocketAddr> = pending.iter().map(|a| a.entry).collect();
        self.choice().choose_next(entries, &asked, self.facts.now())
    }

    /// Returns the delay between asking an entry and asking the next one. It
    /// is zero for an entry that failed before and may still be unresponsive.
    fn delay(
        &self,
        question: &SharedQuestion,
        asked: Option<SocketAddr>,
        count: usize,
    ) -> Duration {
        let has_failed = asked.is_some_and(|e| self.choice().has_failed(e));
        if has_failed || count > MAX_DELAYED {
            return Duration::ZERO;
        }
        hedge_delay(question)
    }

    /// Records the pending entries as failed that have had enough time to
    /// answer.
    fn record_late(&self, pending: &[PendingEntry], timeout: Duration) {
        let now = self.facts.now();
        for asked in pending {
            if self.choice().has_failed(asked.entry) {
                self.choice().extend_backoff(asked.entry, now);
                continue;
            }
            let waited = asked.at.elapsed();
            if waited < timeout {
                continue;
            }
            let why = format!("no answer in {} ms", waited.as_millis());
            let failure = FetchError::Failed(Error::new(Code::PeerLost, why));
            self.record_failure(asked.entry, &failure);
        }
    }
}
