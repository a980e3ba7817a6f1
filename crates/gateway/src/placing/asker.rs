//! Questions that this entry has out.

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

/// Asks placers.
pub(super) struct Asker {
    wire: Arc<PeerSocket>,
    out: Arc<Mutex<Out>>,
}

/// The questions without a last answer.
struct Out {
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
    Silence,
}

impl Asker {
    /// Returns an asker without questions.
    pub(super) fn new(wire: Arc<PeerSocket>) -> Asker {
        let next = u64::from(rand::rng().random::<u32>()) << 20;
        let out = Out { next, waiting: HashMap::new() };
        Asker { wire, out: Arc::new(Mutex::new(out)) }
    }

    /// Asks for a place.
    pub(super) fn ask(
        &self,
        placer: SocketAddr,
        need: &Need,
        until: Instant,
        left: Duration,
    ) -> Asking {
        let (sender, answers) = mpsc::unbounded_channel();
        let number = {
            let mut out = lock(&self.out);
            out.next += 1;
            let number = out.next;
            out.waiting.insert(number, sender);
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
        Asking {
            wire: Arc::clone(&self.wire),
            out: Arc::clone(&self.out),
            placer,
            number,
            answers,
        }
    }

    /// Takes in an answer. A place that nobody waits for any more is given
    /// back.
    pub(super) fn take(
        &self,
        from: SocketAddr,
        number: u64,
        verdict: Verdict,
    ) {
        let sender = lock(&self.out).waiting.get(&number).cloned();
        let Err(verdict) = deliver(sender, verdict) else { return };
        if matches!(verdict, Verdict::Placed(_)) {
            give_back(&self.wire, from, number);
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

/// A question that is out.
pub(super) struct Asking {
    wire: Arc<PeerSocket>,
    out: Arc<Mutex<Out>>,
    placer: SocketAddr,
    number: u64,
    answers: mpsc::UnboundedReceiver<Verdict>,
}

impl Asking {
    /// Waits for the next answer.
    pub(super) async fn answer(&mut self, within: Duration) -> Answer {
        let answer = tokio::time::timeout(within, self.answers.recv()).await;
        match answer {
            Ok(Some(verdict)) => Answer::Verdict(verdict),
            Ok(None) | Err(_) => Answer::Silence,
        }
    }

    /// Returns the place that the answer has brought.
    pub(super) fn lease(self) -> Lease {
        Lease::new(Arc::clone(&self.wire), self.placer, self.number)
    }
}

impl Drop for Asking {
    fn drop(&mut self) {
        lock(&self.out).waiting.remove(&self.number);
        // One may have come in the moment in which it was given up.
        while let Ok(verdict) = self.answers.try_recv() {
            if matches!(verdict, Verdict::Placed(_)) {
                give_back(&self.wire, self.placer, self.number);
            }
        }
    }
}

fn give_back(wire: &PeerSocket, placer: SocketAddr, number: u64) {
    let event = PlaceEvent::Ended { outcome: Outcome::Unknown };
    wire.send(placer, &Message::Event { number, event });
}

fn lock(out: &Mutex<Out>) -> MutexGuard<'_, Out> {
    out.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(super) fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
