//! Asking the placer of the hall for places, and being the placer.
//!
//! Both sides share one socket: [`wire`] carries datagrams, [`asker`] turns a
//! request's need into a question and its answer into a [`Place`], and
//! [`placer`] answers others from this process's own dispatcher. Whatever
//! goes wrong, the dispatcher of the entry picks by itself.

mod asker;
mod chooser;
mod lease;
mod placer;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use stairhinge::placing::{
    HallRole, Message, Need, NoPlaceReason, Placer, PlacerChoice, Verdict,
};
use stairhinge::{Code, Error};
use stairhinge_shell::decisions::Decision;

use self::asker::{Answer, Asker};
pub(crate) use self::chooser::Chooser;
pub(crate) use self::lease::Lease;
use self::placer::Given;
use crate::dispatch::{Dispatcher, Place};
use crate::peer_socket::PeerSocket;
use crate::poison::PoisonGossip;

/// How often places are looked after, and whether this entry knows enough to
/// place for others.
const LOOK: Duration = Duration::from_millis(100);

/// The maximum number of resting replicas named in a question to the placer,
/// which limits the size of the datagram.
const MOST_RESTING: usize = 32;

/// The datagrams that are read before other tasks get their turn.
const AT_ONCE: usize = 16;

/// Places requests, by the hall's placer where there is one.
pub(crate) struct HallPlacing {
    dispatcher: Arc<Dispatcher>,
    /// Absent where entries do not reach one another.
    peers: Option<Peers>,
}

/// What placing by the hall needs.
struct Peers {
    own: SocketAddr,
    wire: Arc<PeerSocket>,
    /// Whether places are asked for and given.
    places: bool,
    gossip: Arc<PoisonGossip>,
    asker: Asker,
    choice: Mutex<PlacerChoice>,
    given: Arc<Given>,
    /// Whether this entry may place for others.
    ready: AtomicBool,
}

impl HallPlacing {
    /// Returns the placing of an entry that picks by itself.
    pub(crate) fn alone(dispatcher: Arc<Dispatcher>) -> HallPlacing {
        HallPlacing { dispatcher, peers: None }
    }

    /// Returns the placing of an entry that others reach at `own` by a
    /// socket. Without `places` each entry picks by itself.
    pub(crate) fn new(
        dispatcher: Arc<Dispatcher>,
        own: SocketAddr,
        wire: Arc<PeerSocket>,
        places: bool,
        gossip: Arc<PoisonGossip>,
    ) -> HallPlacing {
        let peers = Peers {
            own,
            places,
            gossip,
            asker: Asker::new(Arc::clone(&wire)),
            wire,
            choice: Mutex::new(PlacerChoice::new(own)),
            given: Arc::default(),
            ready: AtomicBool::new(false),
        };
        HallPlacing { dispatcher, peers: Some(peers) }
    }

    /// Returns a place at a replica, waiting until `until` for one. Nobody
    /// uses it for longer than `left`.
    pub(crate) async fn place(
        &self,
        mut need: Need,
        until: Instant,
        left: Duration,
    ) -> Result<Place, NoPlaceReason> {
        let resting = self.dispatcher.resting_replicas(&need.service);
        let mut placer_need = need.clone();
        placer_need.tried.extend(resting.iter().take(MOST_RESTING).cloned());
        need.tried.extend(resting);
        let Some(peers) = self.peers.as_ref().filter(|p| p.places) else {
            let alone = self.peers.is_none();
            let chooser = if alone { Chooser::Alone } else { Chooser::Apart };
            return self.own(need, until, chooser).await;
        };
        let ranked = self.dispatcher.ranked();
        let mut why = Chooser::NoPlacer;
        for _ in 0..PlacerChoice::MAX_PLACERS_ASKED {
            let now = self.dispatcher.facts().now();
            let placer = match peers.choice().choose(&ranked, now) {
                None => break,
                Some(Placer::Own) => {
                    why = Chooser::IsPlacer;
                    break;
                }
                Some(Placer::Other(addr)) => addr,
            };
            match self.ask(peers, placer, &placer_need, until, left).await {
                Ok(place) => return Ok(place),
                Err(Asked::Refused(NoPlaceReason::Room)) => {
                    return Err(NoPlaceReason::Room);
                }
                // What this entry knows of may still do.
                Err(Asked::Refused(_)) => break,
                Err(Asked::Nothing(reason)) => why = reason,
            }
        }
        self.own(need, until, why).await
    }

    async fn own(
        &self,
        need: Need,
        until: Instant,
        chooser: Chooser,
    ) -> Result<Place, NoPlaceReason> {
        let kind = chooser.kind();
        let mut place = self.dispatcher.place(need, until, kind).await?;
        place.chooser = chooser;
        Ok(place)
    }

    /// Asks one placer.
    async fn ask(
        &self,
        peers: &Peers,
        placer: SocketAddr,
        need: &Need,
        until: Instant,
        left: Duration,
    ) -> Result<Place, Asked> {
        let patience = peers.choice().answer_timeout();
        let asked = Instant::now();
        let mut question = peers.asker.ask(placer, need, until, left);
        let mut verdict = question.answer(patience).await;
        if verdict != Answer::Silence {
            self.note_answer(peers, placer, asked.elapsed());
        }
        if verdict == Answer::Verdict(Verdict::Queued) {
            let wait = until.saturating_duration_since(Instant::now());
            verdict = question.answer(wait + patience).await;
        }
        let placed = match verdict {
            Answer::Verdict(Verdict::Placed(placed)) => placed,
            Answer::Verdict(Verdict::Refused(lack)) => {
                return Err(Asked::Refused(lack));
            }
            Answer::Verdict(Verdict::Unready) => {
                let now = self.dispatcher.facts().now();
                peers.choice().record_unready(placer, now);
                return Err(Asked::Nothing(Chooser::Unready));
            }
            Answer::Verdict(Verdict::Queued) | Answer::Silence => {
                self.note_silence(peers, placer);
                return Err(Asked::Nothing(Chooser::Silent));
            }
        };
        let lease = question.lease();
        let place = self.dispatcher.adopt(placed, need, lease, placer);
        place.ok_or(Asked::Nothing(Chooser::Unknown))
    }

    fn note_answer(&self, peers: &Peers, placer: SocketAddr, took: Duration) {
        let now = self.dispatcher.facts().now();
        let silent = peers.choice().record_answer(placer, took, now);
        let Some(silent) = silent else { return };
        self.dispatcher.facts().log().write(&Decision::DependencyRegained {
            dependency: &format!("placer {placer}"),
            lost_ms: silent.as_millis() as u64,
        });
    }

    fn note_silence(&self, peers: &Peers, placer: SocketAddr) {
        let now = self.dispatcher.facts().now();
        if !peers.choice().record_timeout(placer, now) {
            return;
        }
        self.dispatcher.facts().log().write(&Decision::DependencyLost {
            dependency: &format!("placer {placer}"),
            code: Code::PeerLost.number(),
            reason: "questions had no answer",
        });
    }

    /// Answers other entries and looks after their places, until the process
    /// ends.
    pub(crate) async fn run(self: Arc<Self>) {
        let Some(peers) = &self.peers else { return };
        let mut timer = tokio::time::interval(LOOK);
        loop {
            tokio::select! {
                got = peers.wire.receive() => {
                    self.take(peers, got);
                    // Those that have come beside it need no further wait.
                    for _ in 0..AT_ONCE {
                        let Some(got) = peers.wire.try_receive() else {
                            break;
                        };
                        self.take(peers, got);
                    }
                }
                _ = timer.tick() => self.look(peers),
            }
        }
    }

    fn take(
        &self,
        peers: &Peers,
        (from, message): (SocketAddr, Result<Message, Error>),
    ) {
        match message {
            Ok(Message::Ask(question)) => {
                let ready = peers.ready.load(Ordering::Relaxed);
                peers.given.answer(
                    &self.dispatcher,
                    &peers.wire,
                    from,
                    question,
                    ready,
                );
            }
            Ok(Message::Answer { number, verdict }) => {
                peers.asker.take(from, number, verdict);
            }
            Ok(Message::Event { number, event }) => {
                peers.given.take(from, number, event);
            }
            Ok(Message::Poison(news)) => peers.gossip.take(from, news),
            Err(error) if peers.wire.is_first_fault(from) => {
                self.dispatcher.facts().log().write(&Decision::SourceFailed {
                    source: &format!("entry {from}"),
                    code: error.code().number(),
                    reason: error.message(),
                });
            }
            Err(_) => {}
        }
    }

    fn look(&self, peers: &Peers) {
        let ranked = self.dispatcher.ranked();
        peers.choice().retain(&ranked);
        let placer = HallRole::of(peers.own, &ranked) == HallRole::Placer;
        let ready = peers.places && placer && self.dispatcher.hears_hall();
        peers.ready.store(ready, Ordering::Relaxed);
        peers.given.look(&self.dispatcher);
    }

    /// Returns the places that other entries have from this one, and how many
    /// of all were taken back without a word of their end.
    pub(crate) fn given(&self) -> (usize, u64) {
        self.peers.as_ref().map_or((0, 0), |peers| peers.given.counts())
    }
}

impl Peers {
    fn choice(&self) -> MutexGuard<'_, PlacerChoice> {
        self.choice.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why a question brought no place.
enum Asked {
    /// There is none.
    Refused(NoPlaceReason),
    /// The placer could not say.
    Nothing(Chooser),
}
