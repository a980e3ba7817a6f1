//! Pending questions of this entry to placers.

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
use crate::peer_socket::PeerSocket;

/// Sends questions to placers and receives the answers.
pub(super) struct Asker {
    wire: Arc<PeerSocket>,
    pending: Arc<Mutex<PendingQuestions>>,
}

/// The questions without a final answer.
struct PendingQuestions {
    /// The number of the last question. It starts at a random value, so that a
    /// placer does not confuse the questions of a restarted process with those
    /// of its predecessor.
    last_number: u64,
    waiting: HashMap<u64, mpsc::UnboundedSender<Verdict>>,
}

/// The result of waiting for an answer.
#[derive(Debug, PartialEq)]
pub(super) enum Answer {
    /// The placer's answer.
    Verdict(Verdict),
    /// No answer arrived in time.
    Timeout,
}

impl Asker {
    /// Returns an asker without pending questions.
    pub(super) fn new(wire: Arc<PeerSocket>) -> Asker {
        let last_number = u64::from(rand::rng().random::<u32>()) << 20;
        let pending =
            PendingQuestions { last_number, waiting: HashMap::new() };
        Asker { wire, pending: Arc::new(Mutex::new(pending)) }
    }

    /// Asks a placer for a place.
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
            pending.last_number += 1;
            let number = pending.last_number;
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

    /// Handles an answer. A place for a question that is no longer pending is
    /// returned to the placer.
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

/// Delivers an answer to the task that waits for it, or returns it if there is
/// none.
fn deliver(
    sender: Option<mpsc::UnboundedSender<Verdict>>,
    verdict: Verdict,
) -> Result<(), Verdict> {
    let Some(sender) = sender else { return Err(verdict) };
    sender.send(verdict).map_err(|unsent| unsent.0)
}

/// A pending question.
pub(super) struct PendingQuestion {
    wire: Arc<PeerSocket>,
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

    /// Returns the lease of the place that the answer granted.
    pub(super) fn lease(self) -> Lease {
        Lease::new(Arc::clone(&self.wire), self.placer, self.number)
    }
}

impl Drop for PendingQuestion {
    fn drop(&mut self) {
        lock(&self.pending).waiting.remove(&self.number);
        // An answer may have arrived just before the question was dropped.
        while let Ok(verdict) = self.answers.try_recv() {
            if matches!(verdict, Verdict::Placed(_)) {
                return_place(&self.wire, self.placer, self.number);
            }
        }
    }
}

fn return_place(wire: &PeerSocket, placer: SocketAddr, number: u64) {
    let event = PlaceEvent::ended(Outcome::Unknown, None, None);
    wire.send(placer, &Message::Event { number, event });
}

fn lock(
    pending: &Mutex<PendingQuestions>,
) -> MutexGuard<'_, PendingQuestions> {
    pending.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
