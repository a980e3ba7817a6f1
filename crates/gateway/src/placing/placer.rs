//! Answering other entries' questions.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stairhinge::placing::{
    ChooserKind, Message, NoPlaceReason, Outcome, PlaceEvent, PlaceKey,
    PlaceTable, Placed, Question, Verdict,
};

use crate::dispatch::{Dispatcher, Found, Place};
use crate::peer_socket::PeerSocket;

/// The places that other entries have from this one.
#[derive(Default)]
pub(super) struct Given {
    table: Mutex<PlaceTable<Place>>,
}

impl Given {
    /// Answers a question, at once or once there is room.
    pub(super) fn answer(
        self: &Arc<Self>,
        dispatcher: &Arc<Dispatcher>,
        wire: &Arc<PeerSocket>,
        from: SocketAddr,
        question: Question,
        ready: bool,
    ) {
        let key = PlaceKey { requester: from, number: question.number };
        if self.lock().get_mut(&key).is_some() {
            // The answer to a doubled question would be taken for one that
            // came too late, and its place would be given back.
            return;
        }
        let say = |verdict| {
            let number = key.number;
            wire.send(from, &Message::Answer { number, verdict });
        };
        if !ready {
            return say(Verdict::Unready);
        }
        let wait = Duration::from_millis(u64::from(question.wait_ms));
        let left = Duration::from_millis(u64::from(question.left_ms));
        match dispatcher.request(
            question.need,
            !wait.is_zero(),
            ChooserKind::Placer,
        ) {
            Found::Place(place) => {
                if let Some(placed) = self.give(dispatcher, key, place, left) {
                    say(placed);
                }
            }
            Found::Nothing(lack) => say(Verdict::Refused(lack)),
            Found::Waits(found) => {
                say(Verdict::Queued);
                let given = Arc::clone(self);
                let dispatcher = Arc::clone(dispatcher);
                let wire = Arc::clone(wire);
                tokio::spawn(async move {
                    let place = found.within(wait).await;
                    let verdict = match place {
                        Some(place) => {
                            given.give(&dispatcher, key, place, left)
                        }
                        None => Some(Verdict::Refused(NoPlaceReason::Room)),
                    };
                    let number = key.number;
                    let Some(verdict) = verdict else { return };
                    wire.send(from, &Message::Answer { number, verdict });
                });
            }
        }
    }

    /// Notes a place as given, for `left` at most, and returns the answer;
    /// none if the question has had one.
    fn give(
        &self,
        dispatcher: &Dispatcher,
        key: PlaceKey,
        place: Place,
        left: Duration,
    ) -> Option<Verdict> {
        let now = dispatcher.facts().now();
        let begin_by = place.begin_by.map(|at| at.since(now));
        let placed = Placed {
            replica: Arc::clone(&place.replica.incarnation),
            version: place.version,
            begin_in_ms: begin_by.map(|span| span.as_millis() as u64),
            load: place.load,
            delay_ms: place.delay_ms,
            report_age_ms: place.report_age.map(|a| a.as_millis() as u64),
            limit: place.limit,
        };
        let doubled = self.lock().insert(key, place, now, left);
        doubled.is_none().then_some(Verdict::Placed(placed))
    }

    /// Takes in how a place was used.
    pub(super) fn take(
        &self,
        from: SocketAddr,
        number: u64,
        event: PlaceEvent,
    ) {
        let key = PlaceKey { requester: from, number };
        match event {
            PlaceEvent::Began { took_ms } => {
                let took = Duration::from_millis(u64::from(took_ms));
                if let Some(place) = self.lock().get_mut(&key) {
                    place.begin_after(took);
                }
            }
            PlaceEvent::Limit { limit, sent_ms, received_ms } => {
                let [sent, received] = [sent_ms, received_ms]
                    .map(|ms| Duration::from_millis(u64::from(ms)));
                if let Some(place) = self.lock().get_mut(&key) {
                    place.apply_limit(limit, sent, received);
                }
            }
            PlaceEvent::Leaving { received_ms, born } => {
                let received = Duration::from_millis(u64::from(received_ms));
                if let Some(place) = self.lock().get_mut(&key) {
                    place.apply_leaving(received, born);
                }
            }
            PlaceEvent::Rejected { retry_after_ms } => {
                let retry_after =
                    Duration::from_millis(u64::from(retry_after_ms));
                if let Some(place) = self.lock().get_mut(&key) {
                    place.apply_rejected(retry_after);
                }
            }
            PlaceEvent::Ended { outcome } => {
                let ended = self.lock().remove(&key);
                let Some(mut place) = ended else { return };
                if outcome != Outcome::Unknown {
                    place.note(outcome);
                }
            }
        }
    }

    /// Takes back what is over without a word.
    pub(super) fn look(&self, dispatcher: &Dispatcher) {
        let now = dispatcher.facts().now();
        let totals = dispatcher.reported_totals();
        let mut table = self.lock();
        let expired = table.remove_expired(now);
        let name = |place: &Place| Arc::clone(&place.replica.incarnation);
        let unseen = table.remove_unreported(now, name, &totals);
        drop(table);
        drop((expired, unseen));
    }

    /// Returns how many places are out, and how many were taken back without
    /// a word of their end.
    pub(super) fn counts(&self) -> (usize, u64) {
        self.lock().counts()
    }

    fn lock(&self) -> MutexGuard<'_, PlaceTable<Place>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
