//! Handing on to a hall's other processes what was read of the platform.
//!
//! One entry of a hall reads, the others ask it. A question waits until
//! there is something that the asker does not know; an answer says how old
//! it may be, so that the asker can tell a reader that has lost the platform
//! from a platform on which nothing happens.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use stairhinge::Time;
use stairhinge::direct::{PublishedReplicas, Replica};
use tokio::sync::watch;
use tokio::time::Instant;

use super::held_documents::{HeldDocument, HeldDocuments};
use super::shared_messages::{
    SharedAnswer, SharedQuestion, SharedReplicas, SharedRoutes,
};
use super::{Change, Collection, Facts, Record};

/// The longest that a question waits.
const MOST_WAIT: Duration = Duration::from_secs(2);

/// A process that was asked within this span reads for others.
const READS_FOR_OTHERS: Duration = Duration::from_secs(2);

/// How well a collection is known.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    at: Option<u64>,
    /// When all changes up to `at` were known.
    synced: Option<Time>,
    failed: Option<Time>,
}

/// What one process can hand on.
#[derive(Debug)]
pub struct Share {
    facts: Arc<Facts>,
    state: Mutex<State>,
    moved: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    declarations: Contact,
    replicas: Contact,
    published: PublishedReplicas,
    documents: HeldDocuments,
    asked: Option<Instant>,
}

impl State {
    const fn contact(&mut self, collection: Collection) -> &mut Contact {
        match collection {
            Collection::Replicas => &mut self.replicas,
            _ => &mut self.declarations,
        }
    }
}

impl Share {
    /// Returns a share of these beliefs, with nothing read yet.
    pub fn new(facts: Arc<Facts>) -> Share {
        Share { facts, state: Mutex::default(), moved: watch::Sender::new(0) }
    }

    /// Returns the beliefs that it hands on.
    pub const fn facts(&self) -> &Arc<Facts> {
        &self.facts
    }

    /// Returns whether others have asked of late.
    pub fn reads_for_others(&self) -> bool {
        let asked = self.lock().asked;
        asked.is_some_and(|at| at.elapsed() < READS_FOR_OTHERS)
    }

    /// Takes in changes up to a revision.
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

    /// Takes in a whole list of replicas.
    pub(super) fn note_list(&self, replicas: &[Replica], at: u64) {
        self.lock().published.replace(replicas.to_vec(), at);
    }

    /// Takes in that all changes of a collection up to a revision were known
    /// at a time. What they are is noted, and believed, before.
    pub fn reach(&self, collection: Collection, at: u64, synced: Time) {
        let mut state = self.lock();
        if collection == Collection::Replicas {
            state.published.advance_to(at);
        }
        let contact = state.contact(collection);
        contact.at = contact.at.max(Some(at));
        contact.synced = contact.synced.max(Some(synced));
        drop(state);
        if collection != Collection::Replicas && self.reads_for_others() {
            self.hold_document();
        }
        self.moved.send_modify(|count| *count += 1);
    }

    /// Takes in that the platform failed at a time.
    pub(super) fn fail(&self, collection: Collection, at: Time) {
        let mut state = self.lock();
        let contact = state.contact(collection);
        contact.failed = contact.failed.max(Some(at));
    }

    /// Answers a question, or returns `None` while nothing has been read.
    pub async fn answer(
        &self,
        question: &SharedQuestion,
    ) -> Option<SharedAnswer> {
        if !question.for_itself {
            self.lock().asked = Some(Instant::now());
        }
        let wait = Duration::from_millis(question.wait_ms).min(MOST_WAIT);
        let until = Instant::now() + wait;
        let most_age = Duration::from_millis(question.most_age_ms);
        let collection = question.collection;
        let mut moved = self.moved.subscribe();
        let mut changes = self.facts.changes();
        let fresh_at_first = self.age(collection) <= most_age;
        loop {
            let left = most_age.checked_sub(self.age(collection));
            let answers = match left {
                Some(_) => self.has_news(question),
                // It has just lost the platform: the asker should know. Newer
                // routes from elsewhere are news all the same.
                None => fresh_at_first || self.has_newer_routes(question),
            };
            if answers || Instant::now() >= until {
                return self.compose(question);
            }
            let stale = Instant::now() + left.unwrap_or(MOST_WAIT) + TICK;
            tokio::select! {
                changed = moved.changed() => changed.ok()?,
                changed = changes.changed() => changed.ok()?,
                () = tokio::time::sleep_until(until.min(stale)) => {}
            }
        }
    }

    /// Returns how long ago a collection was last known whole.
    fn age(&self, collection: Collection) -> Duration {
        let synced = self.lock().contact(collection).synced;
        synced.map_or(Duration::MAX, |at| self.facts.now().since(at))
    }

    fn has_newer_routes(&self, question: &SharedQuestion) -> bool {
        question.collection == Collection::Declarations
            && self.facts.revision() > question.revision
    }

    fn has_news(&self, question: &SharedQuestion) -> bool {
        if question.collection != Collection::Replicas {
            let named = self.facts.target_ages().len();
            let newer = self.has_newer_routes(question);
            let named = named > question.targets;
            if question.collection == Collection::Targets {
                return named;
            }
            return newer || named || self.has_evacuations(question);
        }
        let state = self.lock();
        let published = &state.published;
        question.after.is_none_or(|after| published.changed_after(after))
    }

    /// Returns whether evacuations have begun or ended since the asker knew
    /// all.
    fn has_evacuations(&self, question: &SharedQuestion) -> bool {
        let at = self.lock().contact(question.collection).at;
        let ahead = at > question.after;
        ahead && !self.facts.view().evacuations.matches(&question.evacuated)
    }

    fn compose(&self, question: &SharedQuestion) -> Option<SharedAnswer> {
        let now = self.facts.now();
        let mut state = self.lock();
        let contact = *state.contact(question.collection);
        let mut answer = SharedAnswer {
            at: contact.at?,
            age_ms: now.since(contact.synced?).as_millis() as u64,
            failed_ms: contact
                .failed
                .map(|at| now.since(at).as_millis() as u64),
            revision: self.facts.revision(),
            routes: None,
            targets: Vec::new(),
            evacuations: None,
            replicas: None,
        };
        if question.collection == Collection::Replicas {
            if answer.age_ms > question.most_age_ms {
                // The asker takes nothing so old, and a whole list is large.
                return Some(answer);
            }
            let changes = state.published.changes_since(question.after)?;
            answer.replicas = Some(SharedReplicas::new(changes));
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

    /// Returns how to get to the routes in force from an older revision.
    fn routes_after(&self, known: u64) -> Option<SharedRoutes> {
        let newest = self.hold_document()?;
        if newest.revision <= known {
            return None;
        }
        // While a patch is made others wait for it, in place of making it too.
        let patch = self.lock().documents.patch(known, &newest);
        let small = patch.filter(|p| p.size() < newest.packed.len());
        Some(small.map_or(SharedRoutes::Fetch, SharedRoutes::Patch))
    }

    /// Returns the document in force, packed, if any is known.
    pub fn packed_routes(&self) -> Option<Bytes> {
        Some(self.hold_document()?.packed)
    }

    /// Holds the document in force, and returns it.
    fn hold_document(&self) -> Option<HeldDocument> {
        let view = self.facts.view();
        let revision = view.routes.as_ref()?.revision();
        self.lock().documents.hold(revision, &view.document)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The clock of beliefs counts whole milliseconds.
const TICK: Duration = Duration::from_millis(1);
