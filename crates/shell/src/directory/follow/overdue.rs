//! Limits how long a process leaves the reading of the platform to others.
//!
//! Other processes may be unable to read the platform while this one can, and
//! can't tell it. So whatever they answer, a process whose data is too old
//! makes a small read, without documents, which also shows that its own path
//! works. If the others still have nothing, it then reads the documents. It
//! does so a little later than those ranked before it, so that not all
//! processes of a hall read documents at the same time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt as _;
use stairhinge::direct::{Absence, ReaderChoice};
use stairhinge::{Code, Error, Time};

use super::{ASK_INTERVAL, Follower};
use crate::decisions::Decision;
use crate::directory::{
    Collection, Freshness, Published, ReaderAnswer, Sharing, Source, Watched,
};

/// A small read of the platform.
#[derive(Clone, Copy, Debug)]
pub(super) struct SmallRead {
    /// The platform revision up to which all target versions are known.
    at: u64,
    /// When they were known.
    synced: Time,
}

impl Follower {
    /// Returns how long this process may still leave the reading to others.
    pub(super) fn reliance(&self) -> Duration {
        let Some(sharing) = &self.follow.sharing else {
            return Duration::ZERO;
        };
        let now = self.facts.now();
        let age = self.synced.map(|at| now.since(at));
        let left = match (age, self.first_due) {
            (Some(age), _) if self.may_serve() => {
                sharing.overdue().saturating_sub(age)
            }
            (_, Some(due)) => {
                let waited = due.elapsed().min(age.unwrap_or(Duration::MAX));
                sharing.bound.saturating_sub(waited)
            }
            (_, None) => Duration::MAX,
        };
        let now = Instant::now();
        left.max(self.next_small.saturating_duration_since(now))
    }

    /// Returns whether this process may serve callers by what it knows. One
    /// without routes doesn't.
    fn may_serve(&self) -> bool {
        let documents = self.follow.collection == Collection::Declarations;
        !documents || self.facts.revision() > 0
    }

    /// Returns whether other processes read documents before this one.
    pub(super) fn leaves_documents(&self) -> bool {
        let documents = self.follow.collection == Collection::Declarations;
        documents && self.readers_before() >= ReaderChoice::LEADERS
    }

    fn readers_before(&self) -> usize {
        let sharing = self.follow.sharing.as_ref();
        sharing.map_or(0, |sharing| sharing.reader.readers_before())
    }

    /// Reads the platform for this process alone, which others should have
    /// done: first without documents, then, unless another process has fresh
    /// data by then, completely.
    pub(super) async fn read_overdue(&mut self) -> Result<(), Error> {
        let Some(sharing) = self.follow.sharing.clone() else {
            return self.read().await;
        };
        let newer = self.ask_for_newer(&sharing);
        let (answer, called) = tokio::select! {
            due = self.until_due(&sharing) => {
                due?;
                self.facts.log().write(&Decision::PlatformReadAlone {
                    collection: self.follow.collection.name(),
                    age_ms: self.age_ms(),
                });
                return self.read().await;
            }
            newer = newer => newer,
        };
        self.take(answer, called, &sharing).await
    }

    fn age_ms(&self) -> Option<u64> {
        let age = self.synced.map(|at| self.facts.now().since(at));
        age.map(|age| age.as_millis() as u64)
    }

    /// Makes a small read and waits until this process should read documents.
    async fn until_due(&mut self, sharing: &Sharing) -> Result<(), Error> {
        let pause =
            sharing.bound.mul_f64(rand::rng().random_range(0.75..1.25));
        let next = Instant::now() + pause;
        let reading = self.read_small();
        let read = tokio::time::timeout(sharing.small_read(), reading).await;
        let late = || Error::new(Code::PlatformLost, "no answer in time");
        if let Err(error) = read.map_err(|_| late()).flatten() {
            self.next_small = next;
            return Err(error);
        }
        tokio::time::sleep(self.documents_delay(sharing)).await;
        Ok(())
    }

    /// Returns how long this process leaves the documents to others after a
    /// small read that was answered.
    ///
    /// If the platform did not answer before, it may have failed for all
    /// processes, which then recover at the same time. The delay is then
    /// longer than it takes the first ones to find that out, which probe the
    /// platform four times in the bound.
    fn documents_delay(&self, sharing: &Sharing) -> Duration {
        let random: f64 = rand::rng().random();
        if self.lost_since.is_some() {
            return sharing.bound.mul_f64(0.3 + 0.3 * random);
        }
        let slot = sharing.documents_slot();
        match self.readers_before() {
            before if before < ReaderChoice::LEADERS => Duration::ZERO,
            before if before < ReaderChoice::MAX_ASKED => {
                let slots = before - ReaderChoice::LEADERS + 1;
                slot * slots as u32
            }
            _ => (slot * 2).mul_f64(1.0 + random),
        }
    }

    /// Reads the target versions and the evacuations.
    async fn read_small(&mut self) -> Result<(), Error> {
        let Some(known) = self.at else { return Ok(()) };
        let after = self.small.map_or(known, |small| small.at);
        let called = self.facts.now();
        let versions = Collection::Targets;
        let watched =
            self.directory.watch(versions, after, Duration::ZERO).await?;
        let Watched::Changes(changes, at) = watched else {
            // The complete read that follows finds out as well.
            return Ok(());
        };
        let took = self.facts.now().since(called);
        let source = Source::platform("watch", took, 0);
        let synced = self.small.map(|small| small.synced).max(self.synced);
        for change in changes {
            let published = Published::after(synced).watched();
            self.facts.apply(change, source, Absence::Gone, published);
        }
        self.small = Some(SmallRead { at, synced: called });
        let halls = Collection::Evacuations;
        let evacuated = self.directory.list(halls, Freshness::Current).await?;
        self.take_evacuations(&evacuated);
        Ok(())
    }

    /// Returns a future that asks other processes until one knows more than
    /// this one, and returns its answer and when it was asked.
    ///
    /// Processes that take data from each other would otherwise keep each
    /// other from reading the platform until their data is too old.
    pub(super) fn ask_for_newer(
        &self,
        sharing: &Sharing,
    ) -> impl Future<Output = (ReaderAnswer, Time)> + Send + 'static {
        let reader = Arc::clone(&sharing.reader);
        let facts = Arc::clone(&self.facts);
        let question = self.question(sharing);
        let known = self.synced;
        async move {
            loop {
                let called = facts.now();
                let asked = reader.ask_until_fresh(question.clone());
                let answer = asked.await;
                let synced = answer.shared.synced(called);
                if known.is_none_or(|known| synced > known)
                    || answer.shared.has_newer_routes(&question)
                {
                    return (answer, called);
                }
                tokio::time::sleep(ASK_INTERVAL).await;
            }
        }
    }
}
