//! Counts and logs calls to the platform, since each call has a cost.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::BoxFuture;
use stairhinge::Error;

use super::{
    Collection, Directory, Freshness, Listing, PartialListing, Record, Watched,
};
use crate::decisions::{Decision, DecisionLog};

/// The kind under which a call to the platform is counted: the name of the
/// collection, and the way it was read (a list, a stale list or a watch).
pub type CallKind = (&'static str, &'static str);

/// A directory whose calls are counted and logged.
pub struct CountedDirectory {
    inner: Arc<dyn Directory>,
    log: DecisionLog,
    counts: Mutex<BTreeMap<CallKind, u64>>,
}

impl CountedDirectory {
    /// Returns a directory that counts the calls of `inner`.
    pub fn new(
        inner: Arc<dyn Directory>,
        log: DecisionLog,
    ) -> CountedDirectory {
        CountedDirectory { inner, log, counts: Mutex::default() }
    }

    /// Returns the number of calls started of each kind.
    pub fn counts(&self) -> BTreeMap<CallKind, u64> {
        self.lock().clone()
    }

    fn begin(&self, kind: CallKind) {
        *self.lock().entry(kind).or_default() += 1;
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<CallKind, u64>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call when it starts and logs it when it ends. `failure`
    /// returns why an answer is incomplete, if it is.
    async fn count<T>(
        &self,
        kind: CallKind,
        call: BoxFuture<'_, Result<T, Error>>,
        failure: impl Fn(&T) -> Option<&Error>,
    ) -> Result<T, Error> {
        self.begin(kind);
        let begun = Instant::now();
        let ended = call.await;
        let failed = match &ended {
            Ok(answer) => failure(answer),
            Err(error) => Some(error),
        };
        self.log.write(&Decision::PlatformCalled {
            collection: kind.0,
            way: kind.1,
            took_ms: begun.elapsed().as_millis() as u64,
            code: failed.map(|error| error.code().number()),
        });
        ended
    }
}

const fn list_way(freshness: Freshness) -> &'static str {
    match freshness {
        Freshness::Current => "list",
        Freshness::Stale => "stale list",
    }
}

impl Directory for CountedDirectory {
    fn list(
        &self,
        collection: Collection,
        freshness: Freshness,
    ) -> BoxFuture<'_, Result<Listing, Error>> {
        let call = self.inner.list(collection, freshness);
        let kind = (collection.name(), list_way(freshness));
        Box::pin(self.count(kind, call, |_| None))
    }

    fn list_part(
        &self,
        collection: Collection,
        freshness: Freshness,
    ) -> BoxFuture<'_, Result<PartialListing, Error>> {
        let call = self.inner.list_part(collection, freshness);
        let kind = (collection.name(), list_way(freshness));
        Box::pin(self.count(kind, call, |part| part.failure.as_ref()))
    }

    fn revision(&self) -> BoxFuture<'_, Result<u64, Error>> {
        let call = self.inner.revision();
        Box::pin(self.count(("revision", "list"), call, |_| None))
    }

    fn parse_routes(&self, document: Bytes) -> Result<Record, Error> {
        self.inner.parse_routes(document)
    }

    fn watch(
        &self,
        collection: Collection,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Watched, Error>> {
        let call = self.inner.watch(collection, after, wait);
        Box::pin(self.count((collection.name(), "watch"), call, |_| None))
    }
}
