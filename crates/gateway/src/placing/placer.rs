//! The placer's side: answers to other entries' questions.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stairhinge::placing::{
    ChooserKind, Message, Outcome, PlaceEvent, PlaceKey, PlaceTable, Placed,
    Question, Verdict,
};

use crate::dispatch::{Dispatcher, NoPlace, Place, PlaceResult};
use crate::peer_socket::PeerSocket;

/// The places that this entry has granted to other entries.
#[derive(Default)]
pub(super) struct GrantedPlaces {
    table: Mutex<PlaceTable<Place>>,
}

impl GrantedPlaces {
    /// Answers a question, at once or when there is capacity.
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
            // The requester would treat the answer to a duplicate question as
            // late and return its place.
            return;
        }
        let reply = |verdict| {
            let number = key.number;
            wire.send(from, &Message::Answer { number, verdict });
        };
        if !ready {
            return reply(Verdict::Unready);
        }
        let wait = Duration::from_millis(u64::from(question.wait_ms));
        let left = Duration::from_millis(u64::from(question.left_ms));
        match dispatcher.request_place(
            question.need,
            wait,
            ChooserKind::Placer,
        ) {
            PlaceResult::Place(place) => {
                if let Some(placed) = self.grant(dispatcher, key, place, left)
                {
                    reply(placed);
                }
            }
            PlaceResult::NoPlace(no_place) => reply(refusal(no_place)),
            PlaceResult::Queued(pending) => {
                reply(Verdict::Queued);
                let places = Arc::clone(self);
                let dispatcher = Arc::clone(dispatcher);
                let wire = Arc::clone(wire);
                tokio::spawn(async move {
                    let place = pending.wait(wait).await;
                    let verdict = match place {
                        Ok(place) => {
                            places.grant(&dispatcher, key, place, left)
                        }
                        Err(unplaced) => {
                            Some(refusal(dispatcher.refuse_unplaced(unplaced)))
                        }
                    };
                    let number = key.number;
                    let Some(verdict) = verdict else { return };
                    wire.send(from, &Message::Answer { number, verdict });
                });
            }
        }
    }

    /// Records a place as granted for at most `left`, and returns the answer,
    /// or `None` if the question has already been answered.
    fn grant(
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
        let duplicate = self.lock().insert(key, place, now, left);
        duplicate.is_none().then_some(Verdict::Placed(placed))
    }

    /// Handles a requester's report about the use of a place.
    pub(super) fn handle_event(
        &self,
        from: SocketAddr,
        number: u64,
        event: PlaceEvent,
    ) {
        let key = PlaceKey { requester: from, number };
        match event {
            PlaceEvent::Began { took_ms, errored } => {
                let took = Duration::from_millis(u64::from(took_ms));
                if let Some(place) = self.lock().get_mut(&key) {
                    place.record_begin_after(took, errored);
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
                    place.apply_retry_after(retry_after);
                }
            }
            PlaceEvent::Ended { outcome, errored, source, took_ms } => {
                let ended = self.lock().remove(&key);
                let Some(mut place) = ended else { return };
                let outcome = if errored { Outcome::Errored } else { outcome };
                let took = took_ms.map(u64::from).map(Duration::from_millis);
                place.record_reported_end(outcome, source, took);
            }
        }
    }

    /// Reclaims places that ended without a report of their end.
    pub(super) fn reclaim_ended(&self, dispatcher: &Dispatcher) {
        let now = dispatcher.facts().now();
        let totals = dispatcher.reported_totals();
        let mut table = self.lock();
        let expired = table.remove_expired(now);
        let name = |place: &Place| Arc::clone(&place.replica.incarnation);
        let unseen = table.remove_unreported(now, name, &totals);
        drop(table);
        drop((expired, unseen));
    }

    /// Returns the number of granted places, and the total number that were
    /// reclaimed without a report of their end.
    pub(super) fn counts(&self) -> (usize, u64) {
        self.lock().counts()
    }

    fn lock(&self) -> MutexGuard<'_, PlaceTable<Place>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

const fn refusal(no_place: NoPlace) -> Verdict {
    match no_place {
        NoPlace::Reason(reason) => Verdict::Refused(reason),
        NoPlace::Full(full) => Verdict::Full(full),
    }
}
