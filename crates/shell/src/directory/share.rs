//! Serves what was read from the platform to the other processes of a data
//! hall.
//!
//! One entry of a data hall reads the platform, and the others ask it. A
//! question is held until there is something new for the asker. An answer
//! states how old its data may be, so that the asker can tell a reader that
//! has lost the platform from a platform without changes.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use stairhinge::Time;
use stairhinge::direct::{AnsweredSpan, PublishedReplicas, Replica};
use tokio::sync::watch;
use tokio::time::Instant;

use super::held_documents::{HeldDocument, HeldDocuments};
use super::shared_messages::{
    SharedAnswer, SharedQuestion, SharedReplicas, SharedRoutes,
};
use super::{Change, Collection, Facts, Record};

/// The maximum time for which a question is held.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// How long after a question a process counts as a reader for others.
const READER_WINDOW: Duration = Duration::from_secs(2);

/// The newest target version of each model.
type Newest = BTreeMap<Arc<str>, u64>;

/// How far a collection is in sync with the platform.
#[derive(Clone, Copy, Debug, Default)]
struct SyncStatus {
    at: Option<u64>,
    /// The time at which all changes up to `at` were known.
    synced: Option<Time>,
    /// The reads of the platform that the data comes from, whoever made them.
    reads: Option<AnsweredSpan>,
}

/// The data that a process serves to others.
#[derive(Debug)]
pub struct Share {
    facts: Arc<Facts>,
    state: Mutex<State>,
    synced_count: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    declarations: SyncStatus,
    replicas: SyncStatus,
    published: PublishedReplicas,
    documents: HeldDocuments,
    last_asked: Option<Instant>,
}

impl State {
    const fn sync_status(
        &mut self,
        collection: Collection,
    ) -> &mut SyncStatus {
        match collection {
            Collection::Replicas => &mut self.replicas,
            _ => &mut self.declarations,
        }
    }
}

impl Share {
    /// Creates a share that serves `facts`, in sync with no revision yet.
    pub fn new(facts: Arc<Facts>) -> Share {
        Share {
            facts,
            state: Mutex::default(),
            synced_count: watch::Sender::new(0),
        }
    }

    /// Returns the facts that it serves.
    pub const fn facts(&self) -> &Arc<Facts> {
        &self.facts
    }

    /// Returns whether another process has asked recently.
    pub fn reads_for_others(&self) -> bool {
        let last_asked = self.lock().last_asked;
        last_asked.is_some_and(|at| at.elapsed() < READER_WINDOW)
    }

    /// Records the replica changes among `changes`, which the platform told of
    /// up to revision `at`.
    pub(super) fn note(&self, changes: &[Change], at: u64) {
        let mut state = self.lock();
        for change in changes {
            match change {
                Change::Set(Record::Replica(replica)) => {
                    state.published.set(replica.clone(), at);
                }
                Change::Gone(incarnation) => {
                    state.published.remove(Arc::clone(incarnation), at);
                }
                _ => {}
            }
        }
    }

    /// Records the changes that another process told of, up to revision `at`.
    pub(super) fn note_relayed(&self, replicas: &SharedReplicas, at: u64) {
        let published = &mut self.lock().published;
        if replicas.whole {
            published.replace(replicas.listed.clone(), at);
            return;
        }
        for replica in &replicas.listed {
            published.update(replica.clone(), at);
        }
        for incarnation in &replicas.gone {
            published.remove(Arc::clone(incarnation), at);
        }
        for gap in &replicas.gaps {
            published.note_gap(*gap);
        }
    }

    /// Records a full list of replicas at revision `at`.
    pub(super) fn note_list(&self, replicas: &[Replica], at: u64) {
        self.lock().published.replace(replicas.to_vec(), at);
    }

    /// Records that all changes of a collection up to revision `at` were known
    /// at `synced`. The changes themselves must be recorded here, and applied
    /// to the facts, beforehand.
    pub fn reach(&self, collection: Collection, at: u64, synced: Time) {
        let mut state = self.lock();
        if collection == Collection::Replicas {
            state.published.advance_to(at);
        }
        let sync_status = state.sync_status(collection);
        sync_status.at = sync_status.at.max(Some(at));
        sync_status.synced = sync_status.synced.max(Some(synced));
        drop(state);
        if collection != Collection::Replicas && self.reads_for_others() {
            self.hold_document();
        }
        self.synced_count.send_modify(|count| *count += 1);
    }

    /// Records the reads that the data of a collection comes from.
    pub(super) fn note_reads(
        &self,
        collection: Collection,
        reads: Option<AnsweredSpan>,
    ) {
        self.lock().sync_status(collection).reads = reads;
    }

    /// Answers a question; returns `None` while nothing has been read yet.
    pub async fn answer(
        &self,
        question: &SharedQuestion,
    ) -> Option<SharedAnswer> {
        if !question.for_itself {
            self.lock().last_asked = Some(Instant::now());
        }
        let wait = Duration::from_millis(question.wait_ms).min(MAX_WAIT);
        let until = Instant::now() + wait;
        let most_age = Duration::from_millis(question.most_age_ms);
        let collection = question.collection;
        let mut synced_count = self.synced_count.subscribe();
        let mut changes = self.facts.changes();
        let fresh_at_first = self.age(collection) <= most_age;
        let known = self.known_targets(question);
        loop {
            let left = most_age.checked_sub(self.age(collection));
            let answers = match left {
                Some(_) => self.has_changes(question, &known),
                // This process has just lost the platform, which the asker
                // should learn at once. Newer routes from other processes are
                // worth an answer even so.
                None => fresh_at_first || self.has_newer_routes(question),
            };
            if answers || Instant::now() >= until {
                return self.compose(question);
            }
            let stale =
                Instant::now() + left.unwrap_or(MAX_WAIT) + CLOCK_RESOLUTION;
            tokio::select! {
                changed = synced_count.changed() => changed.ok()?,
                changed = changes.changed() => changed.ok()?,
                () = tokio::time::sleep_until(until.min(stale)) => {}
            }
        }
    }

    /// Returns how long ago a collection was last fully in sync.
    fn age(&self, collection: Collection) -> Duration {
        let synced = self.lock().sync_status(collection).synced;
        synced.map_or(Duration::MAX, |at| self.facts.now().since(at))
    }

    fn has_newer_routes(&self, question: &SharedQuestion) -> bool {
        question.collection == Collection::Declarations
            && self.facts.revision() > question.revision
    }

    /// Returns the newest target version of each model that an asker knows.
    ///
    /// A number of versions does not tell whether the asker lacks the newest
    /// one, or one that it does not take because it knows a newer one. So
    /// an asker that tells only their number is answered at once only when a
    /// new version arrives, or if it knows none.
    fn known_targets(&self, asked: &SharedQuestion) -> Newest {
        match &asked.newest {
            Some(newest) => newest.clone(),
            None if asked.targets == 0 => Newest::new(),
            None => self.facts.newest_targets(),
        }
    }

    /// Returns whether a target version is newer than those `known`.
    fn has_newer_target(&self, known: &Newest) -> bool {
        let view = self.facts.view();
        let newer = |(model, version): (&Arc<str>, u64)| {
            known.get(model).is_none_or(|known| *known < version)
        };
        view.targets.newest().any(newer)
    }

    fn has_changes(&self, question: &SharedQuestion, known: &Newest) -> bool {
        if question.collection != Collection::Replicas {
            let newer = self.has_newer_routes(question);
            let named = self.has_newer_target(known);
            if question.collection == Collection::Targets {
                return named;
            }
            return newer || named || self.has_evacuation_changes(question);
        }
        let state = self.lock();
        let published = &state.published;
        question.after.is_none_or(|after| published.changed_after(after))
    }

    /// Returns whether the evacuations differ from those that the asker knows,
    /// and are newer.
    fn has_evacuation_changes(&self, question: &SharedQuestion) -> bool {
        let at = self.lock().sync_status(question.collection).at;
        let ahead = at > question.after;
        ahead && !self.facts.view().evacuations.matches(&question.evacuated)
    }

    fn compose(&self, question: &SharedQuestion) -> Option<SharedAnswer> {
        let now = self.facts.now();
        let mut state = self.lock();
        let sync_status = *state.sync_status(question.collection);
        let synced = sync_status.synced?;
        let reads = sync_status.reads;
        let failed = reads.and_then(|reads| reads.failed);
        let since = reads.map(|reads| reads.since);
        let mut answer = SharedAnswer {
            at: sync_status.at?,
            age_ms: now.since(synced).as_millis() as u64,
            failed_ms: failed.map(|at| now.since(at).as_millis() as u64),
            answered_ms: since.map(|at| synced.since(at).as_millis() as u64),
            revision: self.facts.revision(),
            routes: None,
            targets: Vec::new(),
            evacuations: None,
            replicas: None,
        };
        if question.collection == Collection::Replicas {
            if answer.age_ms > question.most_age_ms {
                // The asker would discard data this old, and a full list is
                // large.
                return Some(answer);
            }
            let changes = state.published.changes_since(question.after)?;
            let replicas = SharedReplicas::new(changes);
            answer.replicas = Some(Box::new(replicas));
            return Some(answer);
        }
        drop(state);
        answer.targets = self.facts.target_ages();
        if question.collection == Collection::Targets {
            return Some(answer);
        }
        answer.evacuations = Some(self.facts.evacuation_ages());
        answer.routes = self.routes_after(question.revision);
        Some(answer)
    }

    /// Returns how to get from the routes of revision `known` to the current
    /// ones; `None` if there are no newer ones.
    fn routes_after(&self, known: u64) -> Option<SharedRoutes> {
        let newest = self.hold_document()?;
        if newest.revision <= known {
            return None;
        }
        // The lock is held while a patch is computed, so that other askers
        // wait for it instead of computing it again.
        let patch = self.lock().documents.patch(known, &newest);
        let small = patch.filter(|p| p.size() < newest.packed.len());
        Some(small.map_or(SharedRoutes::Fetch, SharedRoutes::Patch))
    }

    /// Returns the current document of routes, packed, if any is known.
    pub fn packed_routes(&self) -> Option<Bytes> {
        Some(self.hold_document()?.packed)
    }

    /// Stores the current document of routes and returns it.
    fn hold_document(&self) -> Option<HeldDocument> {
        let view = self.facts.view();
        let revision = view.routes.as_ref()?.revision();
        self.lock().documents.hold(revision, &view.document)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The resolution of the clock of [`Facts`], which counts whole milliseconds.
const CLOCK_RESOLUTION: Duration = Duration::from_millis(1);
