//! A process's view of the published records.

mod evacuations;
mod readings;
mod targets;

use std::collections::HashSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use bytes::Bytes;
use stairhinge::Time;
pub use stairhinge::direct::Standing;
use stairhinge::direct::{
    Absence, Engine, Evacuations, Replica, ReplicaList, ReplicaState,
    Replicas, RouteTable, VersionTargets,
};
use tokio::sync::watch;

pub use self::evacuations::EvacuationAge;
use self::readings::Readings;
pub use self::readings::{ReadState, Reading};
pub use self::targets::TargetAge;
use super::{Change, Published, Record, Source};
use crate::decisions::{Decision, DecisionLog};

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
    /// The replicas in use, by incarnation.
    pub replicas: Arc<Replicas>,
    /// All replicas of the list, also those that another one has replaced at
    /// their address.
    listed: Arc<ReplicaList>,
}

impl FactsView {
    /// Returns the kind of engine of a service, if it has one.
    pub fn engine(&self, service: &str) -> Option<Engine> {
        self.routes.as_ref()?.service(service)?.engine
    }

    /// Whether the current routes contain a service; without routes, none is
    /// known.
    pub fn knows_service(&self, service: &str) -> bool {
        self.routes.as_ref().is_some_and(|r| r.service(service).is_some())
    }

    /// Returns whether a replica is in the list, in use or not, or has
    /// disappeared from it in doubt.
    pub fn is_listed(&self, incarnation: &str) -> bool {
        self.listed.get(incarnation).is_some()
    }

    /// Returns whether any replica of a service is listed. Doubtful ones get
    /// requests only if none is.
    pub fn has_listed(&self, service: &str) -> bool {
        self.of_service(service).any(|(_, standing)| standing.is_listed())
    }

    /// Returns whether a replica is in the list, but another one has its
    /// address.
    fn is_replaced(&self, incarnation: &str) -> bool {
        self.is_listed(incarnation) && !self.replicas.contains_key(incarnation)
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
    readings: Readings,
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
            readings: Readings::default(),
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

    /// Applies a change. `absence` tells what it means for a replica that it
    /// is no longer listed.
    pub fn apply(
        &self,
        change: Change,
        source: Source,
        absence: Absence,
        published: Published,
    ) {
        match change {
            Change::Set(record) => self.learn(record, source, published),
            Change::EvacuationEnded(hall) => {
                self.end_evacuation(&hall, source.way());
            }
            Change::Gone(incarnation) => self.remove(&incarnation, absence),
            Change::Invalid(error) => self.refuse(&error),
        }
    }

    /// Applies the changes of one answer, like [`Facts::apply`]. Those of
    /// replicas become visible together, since each change of a long list
    /// costs time.
    pub fn apply_all(
        &self,
        changes: Vec<Change>,
        source: Source,
        absence: Absence,
        published: Published,
    ) {
        let mut of_list = Vec::new();
        for change in changes {
            match change {
                Change::Set(Record::Replica(_)) | Change::Gone(_) => {
                    of_list.push(change);
                }
                other => self.apply(other, source, absence, published),
            }
        }
        let known = Arc::clone(&self.view().listed);
        let is_news = |change: &Change| match change {
            Change::Set(Record::Replica(replica)) => known.accepts(replica),
            Change::Gone(name) => known.get(name).is_some(),
            _ => false,
        };
        // Most answers repeat what is known.
        if !of_list.iter().any(is_news) {
            return;
        }
        self.change_list(|list| {
            let mut changes = Vec::new();
            for change in of_list {
                match change {
                    Change::Set(Record::Replica(replica)) => {
                        changes.extend(set(list, replica));
                    }
                    Change::Gone(name) => {
                        changes.extend(unlist(list, name, absence));
                    }
                    _ => {}
                }
            }
            changes
        });
    }

    /// Logs a published record that is invalid.
    pub fn refuse(&self, error: &stairhinge::Error) {
        self.log.write(&Decision::RecordRefused {
            code: error.code().number(),
            reason: error.message(),
        });
    }

    /// Applies a full list of replicas, from which all others are absent.
    pub fn replace_replicas(&self, listed: Vec<Replica>, absence: Absence) {
        self.replace_read(listed, |_| Some(absence));
    }

    /// Applies a list of replicas. `absence` tells what it means for a replica
    /// that it is missing, or `None` if the list does not tell of its name.
    pub fn replace_read(
        &self,
        listed: Vec<Replica>,
        absence: impl Fn(&str) -> Option<Absence>,
    ) {
        let names: HashSet<Arc<str>> =
            listed.iter().map(|r| Arc::clone(&r.incarnation)).collect();
        self.change_list(|list| {
            let known = list.incarnations().cloned();
            let absent: Vec<Arc<str>> =
                known.filter(|name| !names.contains(name)).collect();
            let mut changes = Vec::new();
            for replica in listed {
                changes.extend(set(list, replica));
            }
            for name in absent {
                let Some(absence) = absence(&name) else { continue };
                changes.extend(unlist(list, name, absence));
            }
            changes
        });
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

    /// Removes the replicas whose doubt began at or before `until`, as in
    /// [`Absence::Doubtful`].
    pub fn remove_doubtful(&self, until: Duration) {
        if self.view().listed.doubtful(until).is_empty() {
            return;
        }
        self.change_list(|list| {
            let mut changes = Vec::new();
            for name in list.doubtful(until) {
                changes.extend(unlist(list, name, Absence::Gone));
            }
            changes
        });
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
        // Most records repeat what is known, and the list is long.
        if !self.view().listed.accepts(&replica) {
            return;
        }
        self.change_list(|list| set(list, replica).into_iter().collect());
    }

    fn remove(&self, incarnation: &Arc<str>, absence: Absence) {
        let name = Arc::clone(incarnation);
        self.change_list(|list| {
            unlist(list, name, absence).into_iter().collect()
        });
    }

    /// Applies changes of the list, if there are any, and logs them.
    fn change_list(
        &self,
        apply: impl FnOnce(&mut ReplicaList) -> Vec<ListChange>,
    ) {
        let mut changes = Vec::new();
        self.change(|view| {
            let mut list = ReplicaList::clone(&view.listed);
            changes = apply(&mut list);
            view.listed = Arc::new(list);
            !changes.is_empty()
        });
        for change in changes {
            self.log.write(&change.decision());
        }
    }

    fn change(&self, apply: impl FnOnce(&mut FactsView) -> bool) {
        let _writing =
            self.writing.lock().unwrap_or_else(PoisonError::into_inner);
        let before = self.view.load();
        let mut view = FactsView::clone(&before);
        if !apply(&mut view) {
            return;
        }
        if has_other_replicas(&before, &view) {
            let in_use = view.listed.in_use(|name| view.knows_service(name));
            view.replicas = Arc::new(in_use);
            self.log_replaced(&before, &view);
        }
        self.view.store(Arc::new(view));
        self.changed.send_modify(|count| *count += 1);
    }

    /// Logs which replicas of the list are no longer in use, or again.
    fn log_replaced(&self, before: &FactsView, view: &FactsView) {
        for name in view.listed.incarnations() {
            let was_replaced = before.is_replaced(name);
            if was_replaced == view.is_replaced(name) {
                continue;
            }
            self.log.write(&if was_replaced {
                Decision::ReplicaRestored { replica: name }
            } else {
                Decision::ReplicaReplaced { replica: name }
            });
        }
    }
}

/// Whether the list or the known services differ, on which the replicas in
/// use depend.
fn has_other_replicas(before: &FactsView, view: &FactsView) -> bool {
    let same_routes = match (&before.routes, &view.routes) {
        (Some(before), Some(routes)) => Arc::ptr_eq(before, routes),
        (before, routes) => before.is_none() && routes.is_none(),
    };
    !same_routes || !Arc::ptr_eq(&before.listed, &view.listed)
}

/// A change of the list, to be logged.
enum ListChange {
    Listed(Arc<Replica>),
    Unlisted { name: Arc<str>, reliable: bool },
}

impl ListChange {
    fn decision(&self) -> Decision<'_> {
        match self {
            ListChange::Listed(replica) => Decision::ReplicaListed {
                replica: &replica.incarnation,
                addr: replica.addr,
                draining: replica.state == ReplicaState::Draining,
            },
            ListChange::Unlisted { name, reliable } => {
                Decision::ReplicaUnlisted {
                    replica: name,
                    reliable: *reliable,
                }
            }
        }
    }
}

fn set(list: &mut ReplicaList, replica: Replica) -> Option<ListChange> {
    let replica = Arc::new(replica);
    let changed = list.set(Arc::clone(&replica));
    changed.then_some(ListChange::Listed(replica))
}

fn unlist(
    list: &mut ReplicaList,
    name: Arc<str>,
    absence: Absence,
) -> Option<ListChange> {
    let changed = match absence {
        Absence::Gone => list.remove(&name),
        Absence::Doubtful(since) => list.doubt(&name, since),
    };
    let reliable = absence == Absence::Gone;
    changed.then_some(ListChange::Unlisted { name, reliable })
}
