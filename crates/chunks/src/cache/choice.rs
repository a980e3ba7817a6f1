//! The choice of the version that a cache fetches first.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future::join_all;
use stairhinge::weights::{
    ChunkTransferTimes, FetchCandidate, FetchLimits, choose_fetch,
};
use stairhinge::{Code, Error};
use stairhinge_shell::decisions::{Decision, VersionInputs};
use tokio::sync::watch;
use tokio::time::Instant;

use super::{CacheKey, ChunkCache, Retention};
use crate::owner::log_failure;
use crate::peers::{CacheStatus, cache_status};

/// How often a cache reconsiders its choice while there are several versions.
/// Between two choices the origin's link carries 6 chunks of 48 KB.
const CHOICE_INTERVAL: Duration = Duration::from_millis(250);

/// The age from which the status of another cache does not count any more:
/// two missed answers.
const MAX_STATUS_AGE: Duration = Duration::from_millis(1_000);

/// How long after a failure the origin is taken to be unreachable. A cache that
/// is responsible for a missing chunk repeats its request every 200 ms.
const ORIGIN_FAILURE_RECENT: Duration = Duration::from_millis(3_000);

type Choices = HashMap<Arc<str>, watch::Sender<Option<u64>>>;

/// The last status of a version at another cache.
struct PeerStatus {
    hall: Arc<str>,
    at: Instant,
    status: CacheStatus,
}

type PeerStatuses = HashMap<(SocketAddr, u64), PeerStatus>;

impl ChunkCache {
    /// Returns a receiver of the chosen version of a model.
    pub(super) fn choice(
        &self,
        model: &Arc<str>,
    ) -> Option<watch::Receiver<Option<u64>>> {
        self.choices().get(model).map(watch::Sender::subscribe)
    }

    /// Starts to choose between the versions of a model, if that does not run
    /// yet. The only version is chosen at once.
    pub(super) fn start_choice(self: &Arc<Self>, key: &CacheKey) {
        let mut choices = self.choices();
        if choices.contains_key(&key.0) {
            self.requested.notify_waiters();
            return;
        }
        let chosen = watch::Sender::new(Some(key.1));
        choices.insert(Arc::clone(&key.0), chosen);
        drop(choices);
        let model = Arc::clone(&key.0);
        tokio::spawn(Arc::clone(self).choose_repeatedly(model));
    }

    async fn choose_repeatedly(self: Arc<Self>, model: Arc<str>) {
        let mut statuses = PeerStatuses::new();
        loop {
            self.evict(&model);
            let versions = self.versions_of(&model);
            let mut choices = self.choices();
            if self.versions_of(&model).is_empty() {
                choices.remove(&model);
                return;
            }
            drop(choices);
            if let [version] = versions.as_slice() {
                self.set_choice(&model, Some(*version), Vec::new());
            } else {
                self.ask_caches(&model, &versions, &mut statuses).await;
                self.choose(&model, &versions, &statuses);
            }
            let requested = self.requested.notified();
            let _ = tokio::time::timeout(CHOICE_INTERVAL, requested).await;
        }
    }

    /// Returns the versions of a model that are held, newest first.
    fn versions_of(&self, model: &Arc<str>) -> Vec<u64> {
        let versions = self.lock();
        let of_model = versions.keys().filter(|key| key.0 == *model);
        let mut found: Vec<u64> = of_model.map(|key| key.1).collect();
        found.sort_unstable_by(|a, b| b.cmp(a));
        found
    }

    /// Asks the caches of all halls what they hold of each version.
    async fn ask_caches(
        &self,
        model: &Arc<str>,
        versions: &[u64],
        statuses: &mut PeerStatuses,
    ) {
        statuses.retain(|_, s| s.at.elapsed() <= MAX_STATUS_AGE);
        let client = &self.context.client;
        let mut questions = Vec::new();
        for entry in self.peers.entries() {
            if entry.addr == self.context.addr {
                continue;
            }
            for version in versions {
                let (addr, version) = (entry.addr, *version);
                let hall = Arc::clone(&entry.hall);
                questions.push(async move {
                    let status =
                        cache_status(client, addr, model, version, false);
                    (addr, version, hall, status.await)
                });
            }
        }
        for (addr, version, hall, status) in join_all(questions).await {
            let checked = status.and_then(|status| {
                self.check(model, version, &status).map(|()| status)
            });
            match checked {
                Ok(status) => {
                    let at = Instant::now();
                    let found = PeerStatus { hall, at, status };
                    statuses.insert((addr, version), found);
                }
                // A cache that does not answer is noticed by the fetch.
                Err(error) if error.code() == Code::MalformedJson => {
                    let facts = &self.context.facts;
                    log_failure(facts, &addr.to_string(), &error);
                }
                Err(_) => {}
            }
        }
    }

    /// Checks that a status names one bit per chunk.
    fn check(
        &self,
        model: &Arc<str>,
        version: u64,
        status: &CacheStatus,
    ) -> Result<(), Error> {
        let chunks = self.chunks_of(&(Arc::clone(model), version));
        let is_bit = |b: u8| b == b'0' || b == b'1';
        let valid = status.bits.is_empty()
            || (status.bits.bytes().all(is_bit)
                && (chunks == 0 || status.bits.len() == chunks));
        if valid && status.held <= status.chunks {
            return Ok(());
        }
        let why = format!(
            "status of {model} {version} has {} bits and {} of {} chunks",
            status.bits.len(),
            status.held,
            status.chunks
        );
        Err(Error::new(Code::MalformedJson, why))
    }

    /// Returns the number of chunks of a version, or 0 if it is unknown.
    fn chunks_of(&self, key: &CacheKey) -> usize {
        let manifest = self.context.holdings.manifest(&key.0, key.1);
        if let Some(manifest) = manifest {
            return manifest.digests.len();
        }
        let view = self.context.facts.view();
        let routes = view.routes.as_ref();
        let engine = routes.and_then(|r| r.engine_for_model(&key.0));
        engine.map_or(0, |engine| engine.chunks as usize)
    }

    fn choose(
        &self,
        model: &Arc<str>,
        versions: &[u64],
        statuses: &PeerStatuses,
    ) {
        let Some(retention) = self.retention else { return };
        let mut candidates = Vec::new();
        let mut inputs = Vec::new();
        // All versions of a model have the same number of chunks. It is known
        // from any manifest, even if that of the newest has not arrived.
        let chunks = versions
            .iter()
            .map(|version| self.chunks_of(&(Arc::clone(model), *version)));
        let chunks = chunks.max().unwrap_or(0);
        for version in versions {
            let key = (Arc::clone(model), *version);
            let input = self.inputs(&key, chunks, statuses);
            inputs.push(input);
            candidates.push(FetchCandidate {
                version: *version,
                chunks: input.chunks,
                missing: input.chunks - input.held,
                missing_in_fleet: input.chunks - input.in_fleet,
                servable_for: self.servable_for(&key),
            });
        }
        let limits = self.limits(model, versions, retention);
        let known = candidates.iter().any(|c| c.chunks > 0);
        let choice = known
            .then(|| choose_fetch(&candidates, &limits))
            .flatten()
            .or_else(|| versions.first().copied());
        self.set_choice(model, choice, inputs);
    }

    fn limits(
        &self,
        model: &Arc<str>,
        versions: &[u64],
        retention: Retention,
    ) -> FetchLimits {
        let facts = &self.context.facts;
        let manifests = versions
            .iter()
            .find_map(|v| self.context.holdings.manifest(model, *v));
        let bytes = manifests.map_or(0, |m| m.chunk_bytes);
        let rate = retention.link_rate.max(1);
        let micros = u64::from(bytes) * 1_000_000 / rate;
        let link = Duration::from_micros(micros);
        let view = facts.view();
        let origin = view.routes.as_ref().and_then(|r| r.origin());
        let origin = origin.and_then(|o| o.transfer(bytes)).unwrap_or(link);
        let newest = versions.first().copied().unwrap_or(0);
        let targeted = view.targets.targeted_at(model, newest);
        let due = targeted.map_or(Duration::MAX, |at| {
            at.after(retention.version_bound).since(facts.now())
        });
        FetchLimits {
            origin_reachable: !self.is_origin_lost(),
            times: ChunkTransferTimes { link, origin },
            newest_due_in: due,
        }
    }

    /// Returns what is held of a version here, in the hall and in the fleet.
    fn inputs(
        &self,
        key: &CacheKey,
        chunks: usize,
        statuses: &PeerStatuses,
    ) -> VersionInputs {
        let holdings = &self.context.holdings;
        let manifest = holdings.manifest(&key.0, key.1);
        let own = manifest.map_or_else(String::new, |m| holdings.bits(&m));
        let mut here = vec![false; chunks];
        let held = add_bits(&mut here, &own, 0);
        let (mut hall, mut fleet) = (here.clone(), here);
        let (mut in_hall, mut in_fleet) = (held, held);
        for ((_, version), peer) in statuses {
            if *version != key.1 {
                continue;
            }
            let status = &peer.status;
            if peer.hall == self.context.hall {
                in_hall = add_bits(&mut hall, &status.bits, status.held)
                    .max(in_hall);
            }
            in_fleet =
                add_bits(&mut fleet, &status.bits, status.held).max(in_fleet);
        }
        let facts = &self.context.facts;
        let targeted = facts.view().targets.targeted_at(&key.0, key.1);
        let age = targeted.map(|at| facts.now().since(at));
        VersionInputs {
            version: key.1,
            chunks,
            held,
            in_hall,
            in_fleet,
            age_ms: age.map(|age| age.as_millis() as u64),
        }
    }

    /// Sets the version to fetch first, and logs a change with its inputs.
    fn set_choice(
        &self,
        model: &Arc<str>,
        choice: Option<u64>,
        candidates: Vec<VersionInputs>,
    ) {
        let choices = self.choices();
        let Some(sender) = choices.get(model) else { return };
        let previous = *sender.borrow();
        if previous == choice {
            return;
        }
        sender.send_replace(choice);
        drop(choices);
        self.switches.fetch_add(1, Ordering::Relaxed);
        self.context.facts.log().write(&Decision::VersionChosen {
            model,
            version: choice,
            previous,
            origin: !self.is_origin_lost(),
            candidates,
        });
    }

    /// Records whether a request to the origin failed.
    pub(super) fn set_origin_failed(&self, failed: bool) {
        *self.origin_failed() = failed.then(Instant::now);
    }

    /// Returns whether the origin is taken to be unreachable. A cache that has
    /// nothing to request from it learns of its return by other caches'
    /// chunks, or after [`ORIGIN_FAILURE_RECENT`].
    pub(super) fn is_origin_lost(&self) -> bool {
        let failed = *self.origin_failed();
        failed.is_some_and(|at| at.elapsed() < ORIGIN_FAILURE_RECENT)
    }

    fn origin_failed(&self) -> MutexGuard<'_, Option<Instant>> {
        self.origin_failed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn choices(&self) -> MutexGuard<'_, Choices> {
        self.choices.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Adds the chunks that a cache holds to the known ones, and returns how many
/// are known. A cache that names no chunks only tells that it holds `held`.
fn add_bits(known: &mut [bool], bits: &str, held: usize) -> usize {
    for (known, bit) in known.iter_mut().zip(bits.bytes()) {
        *known |= bit == b'1';
    }
    let count = known.iter().filter(|known| **known).count();
    count.max(held.min(known.len()))
}
