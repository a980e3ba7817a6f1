//! Questions that this entry has pending.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::RngExt as _;
use stairhinge::placing::{
    Message, Need, Outcome, PlaceEvent, Question, Verdict,
};
use tokio::sync::mpsc;

use super::lease::Lease;
use crate::wire::Wire;

/// Asks placers.
pub(super) struct Asker {
    wire: Arc<Wire>,
    pending: Arc<Mutex<PendingQuestions>>,
}

/// The questions without a last answer.
struct PendingQuestions {
    /// The number of the next question. The first is drawn, so that a placer
    /// takes none of a new process for one of its predecessor.
    next: u64,
    waiting: HashMap<u64, mpsc::UnboundedSender<Verdict>>,
}

/// What came back.
#[derive(Debug, PartialEq)]
pub(super) enum Answer {
    /// The placer's word.
    Verdict(Verdict),
    /// Nothing in time.
    Timeout,
}

impl Asker {
    /// Returns an asker without questions.
    pub(super) fn new(wire: Arc<Wire>) -> Asker {
        let next = u64::from(rand::rng().random::<u32>()) << 20;
        let pending = PendingQuestions { next, waiting: HashMap::new() };
        Asker { wire, pending: Arc::new(Mutex::new(pending)) }
    }

    /// Asks for a place.
    pub(super) fn ask(
        &self,
        placer: SocketAddr,
        need: &Need,
        until: Instant,
        left: Duration,
    ) -> PendingQuestion {
        let (sender, answers) = mpsc::unbounded_channel();
        let number = {
            let mut pending = lock(&self.pending);
            pending.next += 1;
            let number = pending.next;
            pending.waiting.insert(number, sender);
            number
        };
        let wait = until.saturating_duration_since(Instant::now());
        let question = Question {
            number,
            need: need.clone(),
            wait_ms: millis(wait),
            left_ms: millis(left),
        };
        self.wire.send(placer, &Message::Ask(question));
        PendingQuestion {
            wire: Arc::clone(&self.wire),
            pending: Arc::clone(&self.pending),
            placer,
            number,
            answers,
        }
    }

    /// Takes in an answer. A place that nobody waits for any more is given
    /// back.
    pub(super) fn handle_answer(
        &self,
        from: SocketAddr,
        number: u64,
        verdict: Verdict,
    ) {
        let sender = lock(&self.pending).waiting.get(&number).cloned();
        let Err(verdict) = deliver(sender, verdict) else { return };
        if matches!(verdict, Verdict::Placed(_)) {
            return_place(&self.wire, from, number);
        }
    }
}

/// Hands an answer to who waits for it, or returns it.
fn deliver(
    sender: Option<mpsc::UnboundedSender<Verdict>>,
    verdict: Verdict,
) -> Result<(), Verdict> {
    let Some(sender) = sender else { return Err(verdict) };
    sender.send(verdict).map_err(|unsent| unsent.0)
}

/// A question that is pending.
pub(super) struct PendingQuestion {
    wire: Arc<Wire>,
    pending: Arc<Mutex<PendingQuestions>>,
    placer: SocketAddr,
    number: u64,
    answers: mpsc::UnboundedReceiver<Verdict>,
}

impl PendingQuestion {
    /// Waits for the next answer.
    pub(super) async fn answer(&mut self, timeout: Duration) -> Answer {
        let answer = tokio::time::timeout(timeout, self.answers.recv()).await;
        match answer {
            Ok(Some(verdict)) => Answer::Verdict(verdict),
            Ok(None) | Err(_) => Answer::Timeout,
        }
    }

    /// Returns the place that the answer has brought.
    pub(super) fn lease(self) -> Lease {
        Lease::new(Arc::clone(&self.wire), self.placer, self.number)
    }
}

impl Drop for PendingQuestion {
    fn drop(&mut self) {
        lock(&self.pending).waiting.remove(&self.number);
        // One may have come in the moment in which it was given up.
        while let Ok(verdict) = self.answers.try_recv() {
            if matches!(verdict, Verdict::Placed(_)) {
                return_place(&self.wire, self.placer, self.number);
            }
        }
    }
}

fn return_place(wire: &Wire, placer: SocketAddr, number: u64) {
    let event = PlaceEvent::Ended { outcome: Outcome::Unknown };
    wire.send(placer, &Message::Event { number, event });
}

fn lock(
    pending: &Mutex<PendingQuestions>,
) -> MutexGuard<'_, PendingQuestions> {
    pending.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(super) fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
