//! A process's view of the published records.

mod evacuations;
mod targets;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use bytes::Bytes;
use stairhinge::Time;
use stairhinge::direct::{
    Engine, Evacuations, Replica, ReplicaState, RouteTable, VersionTargets,
};
use tokio::sync::watch;

pub use self::evacuations::EvacuationAge;
pub use self::targets::TargetAge;
use super::{Change, Published, Record, Source};
use crate::decisions::{Decision, DecisionLog};

/// Whether the list of replicas still confirms a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// It is in the list.
    Listed,
    /// It disappeared from the list while the platform was failing, possibly
    /// only because of that failure.
    Doubtful,
}

/// A snapshot of [`Facts`].
#[derive(Clone, Debug, Default)]
pub struct FactsView {
    /// The current routes, once any are known.
    pub routes: Option<Arc<RouteTable>>,
    /// The document that the routes were parsed from.
    pub document: Bytes,
    /// The target versions of models.
    pub targets: VersionTargets,
    /// The data halls that get no requests.
    pub evacuations: Evacuations,
    /// The replicas by incarnation.
    pub replicas: HashMap<Arc<str>, (Arc<Replica>, Standing)>,
}

impl FactsView {
    /// Returns the kind of engine of a service, if it has one.
    pub fn engine(&self, service: &str) -> Option<Engine> {
        self.routes.as_ref()?.service(service)?.engine
    }

    /// Whether the current routes contain a service; without routes, every
    /// service counts as known.
    pub fn knows_service(&self, service: &str) -> bool {
        self.routes.as_ref().is_none_or(|r| r.service(service).is_some())
    }

    /// Returns the replicas of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a (Arc<Replica>, Standing)> {
        self.replicas.values().filter(move |(r, _)| &*r.service == service)
    }
}

/// A process's view of the published records. Reads take no lock; changes are
/// serialized.
#[derive(Debug)]
pub struct Facts {
    view: ArcSwap<FactsView>,
    writing: Mutex<()>,
    changed: watch::Sender<u64>,
    log: DecisionLog,
    start: Instant,
    presumed_age: Duration,
    /// When all published routes were last known, in milliseconds of the
    /// process's clock; 0 if never.
    routes_known: AtomicU64,
    /// The number of full routes documents read from the platform.
    documents: AtomicU64,
    /// When the platform last failed before the first sync, in milliseconds
    /// of the process's clock; the start if it did not.
    out_of_reach: AtomicU64,
}

/// The process's clock at its start. It isn't 0, so that times before the
/// start can be represented.
const START: Time = Time::from_millis(24 * 3_600_000);

impl Facts {
    /// Creates an empty view.
    ///
    /// A target version that was set before the process started, or while it
    /// could not reach the platform after that, is presumed to have been
    /// `presumed_age` old then, unless the process has been in sync since.
    pub fn new(log: DecisionLog, presumed_age: Duration) -> Facts {
        Facts {
            presumed_age,
            routes_known: AtomicU64::new(0),
            documents: AtomicU64::new(0),
            out_of_reach: AtomicU64::new(START.as_millis()),
            view: ArcSwap::default(),
            writing: Mutex::new(()),
            changed: watch::Sender::new(0),
            log,
            start: Instant::now(),
        }
    }

    /// Returns the current snapshot.
    pub fn view(&self) -> arc_swap::Guard<Arc<FactsView>> {
        self.view.load()
    }

    /// Returns the time of the process's clock.
    pub fn now(&self) -> Time {
        START.after(self.start.elapsed())
    }

    /// Returns the log of decisions.
    pub const fn log(&self) -> &DecisionLog {
        &self.log
    }

    /// Returns a receiver that is notified of each change.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Applies a record if it is newer than the known one.
    pub fn learn(&self, record: Record, source: Source, published: Published) {
        match record {
            Record::Routes(table, document) => {
                self.learn_routes(table, document, source);
            }
            Record::Target(target) => {
                self.learn_target(&target, source.way(), published);
            }
            Record::Evacuation(hall) => {
                let earliest = published.earliest;
                self.learn_evacuation(hall, source.way(), earliest);
            }
            Record::Replica(replica) => self.learn_replica(replica),
        }
    }

    /// Applies a change. Without `reliable`, which says that the platform
    /// hasn't failed recently, a replica that is gone is only marked as
    /// doubtful.
    pub fn apply(
        &self,
        change: Change,
        source: Source,
        reliable: bool,
        published: Published,
    ) {
        match change {
            Change::Set(record) => self.learn(record, source, published),
            Change::EvacuationEnded(hall) => {
                self.end_evacuation(&hall, source.way());
            }
            Change::Gone(incarnation) => self.remove(&incarnation, reliable),
            Change::Invalid(error) => self.refuse(&error),
        }
    }

    /// Logs a published record that is invalid.
    pub fn refuse(&self, error: &stairhinge::Error) {
        self.log.write(&Decision::RecordRefused {
            code: error.code().number(),
            reason: error.message(),
        });
    }

    /// Applies a full list of replicas: all others are gone, or doubtful
    /// without `reliable`.
    pub fn replace_replicas(&self, listed: Vec<Replica>, reliable: bool) {
        let mut absent = Vec::new();
        for incarnation in self.view().replicas.keys() {
            if listed.iter().all(|r| r.incarnation != *incarnation) {
                absent.push(Arc::clone(incarnation));
            }
        }
        for replica in listed {
            self.learn_replica(replica);
        }
        for incarnation in absent {
            self.remove(&incarnation, reliable);
        }
    }

    /// Returns the revision of the current routes, 0 without any.
    pub fn revision(&self) -> u64 {
        self.view().routes.as_ref().map_or(0, |r| r.revision())
    }

    /// Records that all routes published until a time are known.
    pub fn note_routes_known(&self, at: Time) {
        let at = at.as_millis();
        self.routes_known.fetch_max(at, Ordering::Relaxed);
    }

    /// Returns how long ago all published routes were last known, if ever.
    pub fn routes_age(&self) -> Option<Duration> {
        self.last_synced().map(|at| self.now().since(at))
    }

    /// Returns the latest time up to which all published routes and target
    /// versions are known, if there is one.
    fn last_synced(&self) -> Option<Time> {
        let at = self.routes_known.load(Ordering::Relaxed);
        (at > 0).then_some(Time::from_millis(at))
    }

    /// Returns whether the process has ever been fully in sync with the
    /// declarations that it follows.
    pub fn knows_declarations(&self) -> bool {
        self.routes_known.load(Ordering::Relaxed) > 0
    }

    /// Counts full routes documents that the platform has sent.
    pub fn note_documents(&self, count: usize) {
        self.documents.fetch_add(count as u64, Ordering::Relaxed);
    }

    /// Returns how many full routes documents the platform has sent.
    pub fn documents(&self) -> u64 {
        self.documents.load(Ordering::Relaxed)
    }

    /// Records that the platform has not answered. Until the first sync this
    /// defers the time from which on the process has to be up to date.
    pub fn note_out_of_reach(&self) {
        if !self.knows_declarations() {
            let now = self.now().as_millis();
            self.out_of_reach.fetch_max(now, Ordering::Relaxed);
        }
    }

    /// Returns since when a target version counts as set that the process
    /// found without having been in sync before.
    fn presumed_since(&self) -> Time {
        let at = self.out_of_reach.load(Ordering::Relaxed);
        Time::from_millis(at).before(self.presumed_age)
    }

    fn ago(&self, span: Duration) -> Time {
        let ms = span.as_millis() as u64;
        Time::from_millis(self.now().as_millis().saturating_sub(ms))
    }

    /// Removes the doubtful replicas, once the platform has recovered.
    pub fn remove_doubtful(&self) {
        let mut doubtful = Vec::new();
        for (incarnation, (_, standing)) in &self.view().replicas {
            if *standing == Standing::Doubtful {
                doubtful.push(Arc::clone(incarnation));
            }
        }
        for incarnation in doubtful {
            self.remove(&incarnation, true);
        }
    }

    fn learn_routes(
        &self,
        table: Arc<RouteTable>,
        document: Bytes,
        source: Source,
    ) {
        let revision = table.revision();
        let mut taken = false;
        self.change(|view| {
            let known = view.routes.as_ref().map(|r| r.revision());
            taken = known.is_none_or(|k| k < revision);
            if taken {
                view.routes = Some(table);
                view.document = document;
            }
            taken
        });
        if taken {
            self.log.write(&Decision::RoutesTaken {
                revision,
                source: source.way(),
                from: source.sender(),
                took_ms: source.took_ms(),
                documents: source.documents(),
            });
        }
    }

    fn learn_replica(&self, replica: Replica) {
        let replica = Arc::new(replica);
        let known = self
            .view()
            .replicas
            .get(&replica.incarnation)
            .is_some_and(|(r, s)| *r == replica && *s == Standing::Listed);
        if known {
            return;
        }
        let view = self.view();
        let known = view.replicas.get(&replica.incarnation);
        if known.is_some_and(|(known, _)| replica.is_older_than(known)) {
            return;
        }
        let others = || view.replicas.values().map(|(other, _)| other);
        let takes_over = |new: &Replica, old: &Replica| {
            old.is_replaced_by(new) && view.knows_service(&new.service)
        };
        if others().any(|other| takes_over(other, &replica)) {
            return;
        }
        let replaced: Vec<Arc<str>> = others()
            .filter(|other| takes_over(&replica, other))
            .map(|other| Arc::clone(&other.incarnation))
            .collect();
        for incarnation in replaced {
            self.remove(&incarnation, true);
        }
        self.log.write(&Decision::ReplicaListed {
            replica: &replica.incarnation,
            addr: replica.addr,
            draining: replica.state == ReplicaState::Draining,
        });
        self.change(|view| {
            let key = Arc::clone(&replica.incarnation);
            view.replicas.insert(key, (replica, Standing::Listed));
            true
        });
    }

    fn remove(&self, incarnation: &Arc<str>, reliable: bool) {
        let mut changed = false;
        self.change(|view| {
            let Some(entry) = view.replicas.get_mut(incarnation) else {
                return false;
            };
            if reliable {
                view.replicas.remove(incarnation);
                changed = true;
            } else {
                changed = entry.1 != Standing::Doubtful;
                entry.1 = Standing::Doubtful;
            }
            changed
        });
        if changed {
            self.log.write(&Decision::ReplicaUnlisted {
                replica: incarnation,
                reliable,
            });
        }
    }

    fn change(&self, apply: impl FnOnce(&mut FactsView) -> bool) {
        let _writing =
            self.writing.lock().unwrap_or_else(PoisonError::into_inner);
        let mut view = FactsView::clone(&self.view.load());
        if !apply(&mut view) {
            return;
        }
        self.view.store(Arc::new(view));
        self.changed.send_modify(|count| *count += 1);
    }
}
