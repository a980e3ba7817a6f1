//! Placing of requests by one entry for the whole hall, the placer.
//!
//! Requester and placer share one socket: [`crate::wire`] carries datagrams,
//! [`asker`] sends questions to the placer and receives its answers, and
//! [`placer`] answers other entries from this process's dispatcher. If the
//! placer fails, the entry's own dispatcher selects the replica.

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

pub(crate) use self::asker::millis;
use self::asker::{Answer, Asker};
pub(crate) use self::chooser::Chooser;
pub(crate) use self::lease::Lease;
use self::placer::GrantedPlaces;
use crate::dispatch::{Dispatcher, NoPlace, Place};
use crate::health_gossip::HealthGossip;
use crate::peer_socket::PeerSocket;
use crate::poison::PoisonGossip;

/// The interval at which ended places are reclaimed and the entry checks
/// whether it knows enough to place requests for others.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum number of replicas to avoid, resting ones included, that are
/// named in a question to the placer, which limits the size of the datagram.
const MAX_RESTING_NAMED: usize = 32;

/// Like [`MAX_RESTING_NAMED`], for questions with the fields for admission
/// control, which take up to 120 bytes.
const MAX_RESTING_WITH_CALLER: usize = 28;

/// The maximum number of further datagrams that are read before the task
/// yields to others.
const MAX_BATCH: usize = 16;

/// Places requests through the hall's placer, if there is one.
pub(crate) struct HallPlacing {
    dispatcher: Arc<Dispatcher>,
    /// `None` if the settings do not connect entries with each other.
    peers: Option<Peers>,
}

/// The state for communication with other entries.
struct Peers {
    own: SocketAddr,
    wire: Arc<PeerSocket>,
    /// Whether one entry places requests for the whole hall.
    hall_placing: bool,
    gossip: Arc<PoisonGossip>,
    health: Arc<HealthGossip>,
    asker: Asker,
    choice: Mutex<PlacerChoice>,
    granted: Arc<GrantedPlaces>,
    /// Whether this entry can place requests for others.
    ready: AtomicBool,
}

impl HallPlacing {
    /// Returns the placing of an entry that does not reach other entries and
    /// selects replicas by itself.
    pub(crate) fn without_peers(dispatcher: Arc<Dispatcher>) -> HallPlacing {
        HallPlacing { dispatcher, peers: None }
    }

    /// Returns the placing of an entry that others reach at `own`, the address
    /// of `wire`. Without `hall_placing` each entry selects replicas by
    /// itself.
    pub(crate) fn new(
        dispatcher: Arc<Dispatcher>,
        own: SocketAddr,
        wire: Arc<PeerSocket>,
        hall_placing: bool,
        gossip: Arc<PoisonGossip>,
        health: Arc<HealthGossip>,
    ) -> HallPlacing {
        let peers = Peers {
            own,
            hall_placing,
            gossip,
            health,
            asker: Asker::new(Arc::clone(&wire)),
            wire,
            choice: Mutex::new(PlacerChoice::new(own)),
            granted: Arc::default(),
            ready: AtomicBool::new(false),
        };
        HallPlacing { dispatcher, peers: Some(peers) }
    }

    /// Returns a place at a replica, waiting until `until` for capacity. The
    /// place is used for at most `left`.
    pub(crate) async fn place(
        &self,
        mut need: Need,
        until: Instant,
        left: Duration,
    ) -> Result<Place, NoPlace> {
        let resting = self.dispatcher.resting_replicas(&need.service);
        let mut placer_need = need.clone();
        let named = if need.left_ms > 0 {
            MAX_RESTING_WITH_CALLER
        } else {
            MAX_RESTING_NAMED
        };
        let named = named.saturating_sub(need.silent.len());
        placer_need.tried.extend(resting.iter().take(named).cloned());
        need.tried.extend(resting);
        let Some(peers) = self.peers.as_ref().filter(|p| p.hall_placing)
        else {
            let no_peers = self.peers.is_none();
            let chooser =
                if no_peers { Chooser::NoPeers } else { Chooser::Independent };
            return self.choose_locally(need, until, chooser).await;
        };
        let leading = self.dispatcher.leading_entries();
        let mut own_reason = Chooser::NoPlacer;
        for _ in 0..PlacerChoice::MAX_PLACERS_ASKED {
            let now = self.dispatcher.facts().now();
            let placer = match peers.choice().choose(&leading, now) {
                None => break,
                Some(Placer::Own) => {
                    own_reason = Chooser::IsPlacer;
                    break;
                }
                Some(Placer::Other(addr)) => addr,
            };
            match self.ask(peers, placer, &placer_need, until, left).await {
                Ok(place) => return Ok(place),
                Err(AskError::Refused(
                    no_place @ (NoPlace::Full(_)
                    | NoPlace::Reason(NoPlaceReason::Room)),
                )) => return Err(no_place),
                // This entry may know of a suitable replica itself.
                Err(AskError::Refused(_)) => break,
                Err(AskError::Unavailable(reason)) => own_reason = reason,
            }
        }
        self.choose_locally(need, until, own_reason).await
    }

    /// Returns a place chosen by this entry's own dispatcher.
    async fn choose_locally(
        &self,
        need: Need,
        until: Instant,
        chooser: Chooser,
    ) -> Result<Place, NoPlace> {
        let kind = chooser.kind();
        let mut place = self.dispatcher.place(need, until, kind).await?;
        place.chooser = chooser;
        Ok(place)
    }

    /// Asks a placer for a place.
    async fn ask(
        &self,
        peers: &Peers,
        placer: SocketAddr,
        need: &Need,
        until: Instant,
        left: Duration,
    ) -> Result<Place, AskError> {
        let timeout = peers.choice().answer_timeout();
        let asked = Instant::now();
        let mut question = peers.asker.ask(placer, need, until, left);
        let mut verdict = question.answer(timeout).await;
        if verdict != Answer::Timeout {
            self.record_answer(peers, placer, asked.elapsed());
        }
        if verdict == Answer::Verdict(Verdict::Queued) {
            let wait = until.saturating_duration_since(Instant::now());
            verdict = question.answer(wait + timeout).await;
        }
        let placed = match verdict {
            Answer::Verdict(Verdict::Placed(placed)) => placed,
            Answer::Verdict(Verdict::Refused(reason)) => {
                return Err(AskError::Refused(reason.into()));
            }
            Answer::Verdict(Verdict::Full(full)) => {
                return Err(AskError::Refused(NoPlace::Full(full)));
            }
            Answer::Verdict(Verdict::Unready) => {
                let now = self.dispatcher.facts().now();
                peers.choice().record_unready(placer, now);
                return Err(AskError::Unavailable(Chooser::PlacerUnready));
            }
            Answer::Verdict(Verdict::Queued) | Answer::Timeout => {
                self.record_timeout(peers, placer);
                return Err(AskError::Unavailable(Chooser::PlacerTimeout));
            }
        };
        let lease = question.lease();
        let place = self.dispatcher.adopt(placed, need, lease, placer);
        place.ok_or(AskError::Unavailable(Chooser::UnusableChoice))
    }

    fn record_answer(
        &self,
        peers: &Peers,
        placer: SocketAddr,
        took: Duration,
    ) {
        let now = self.dispatcher.facts().now();
        let silent = peers.choice().record_answer(placer, took, now);
        let Some(silent) = silent else { return };
        self.dispatcher.facts().log().write(&Decision::DependencyRegained {
            dependency: &format!("placer {placer}"),
            lost_ms: silent.as_millis() as u64,
        });
    }

    fn record_timeout(&self, peers: &Peers, placer: SocketAddr) {
        let now = self.dispatcher.facts().now();
        if !peers.choice().record_timeout(placer, now) {
            return;
        }
        self.dispatcher.facts().log().write(&Decision::DependencyLost {
            dependency: &format!("placer {placer}"),
            code: Code::PeerLost.number(),
            reason: "questions to the placer timed out",
        });
    }

    /// Handles datagrams from other entries and reclaims their ended places,
    /// until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        let Some(peers) = &self.peers else { return };
        let mut timer = tokio::time::interval(UPKEEP_INTERVAL);
        loop {
            tokio::select! {
                got = peers.wire.receive() => {
                    self.handle_datagram(peers, got);
                    // Handle further datagrams that have already arrived.
                    for _ in 0..MAX_BATCH {
                        let Some(got) = peers.wire.try_receive() else {
                            break;
                        };
                        self.handle_datagram(peers, got);
                    }
                }
                _ = timer.tick() => self.upkeep(peers),
            }
        }
    }

    fn handle_datagram(
        &self,
        peers: &Peers,
        (from, message): (SocketAddr, Result<Message, Error>),
    ) {
        match message {
            Ok(Message::Ask(question)) => {
                let ready = peers.ready.load(Ordering::Relaxed);
                peers.granted.answer(
                    &self.dispatcher,
                    &peers.wire,
                    from,
                    question,
                    ready,
                );
            }
            Ok(Message::Answer { number, verdict }) => {
                let verdict = self.checked(peers, from, verdict);
                peers.asker.handle_answer(from, number, verdict);
            }
            Ok(Message::Event { number, event }) => {
                peers.granted.handle_event(from, number, event);
            }
            Ok(Message::Poison(news)) => peers.gossip.handle(from, news),
            Ok(Message::Health(reports)) => {
                peers.health.handle(from, reports);
            }
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

    /// Returns a verdict, or a refusal without a return time in place of one
    /// whose values are out of range, which is logged once.
    fn checked(
        &self,
        peers: &Peers,
        from: SocketAddr,
        verdict: Verdict,
    ) -> Verdict {
        let Verdict::Full(full) = &verdict else { return verdict };
        if full.is_valid() {
            return verdict;
        }
        if peers.wire.is_first_fault(from) {
            self.dispatcher.facts().log().write(&Decision::SourceFailed {
                source: &format!("entry {from}"),
                code: Code::OutOfRange.number(),
                reason: "the values of a refusal are out of range",
            });
        }
        Verdict::Refused(NoPlaceReason::Room)
    }

    fn upkeep(&self, peers: &Peers) {
        let leading = self.dispatcher.leading_entries();
        peers.choice().retain(&leading);
        let placer = HallRole::of(peers.own, &leading) == HallRole::Placer;
        let ready =
            peers.hall_placing && placer && self.dispatcher.has_hall_reports();
        peers.ready.store(ready, Ordering::Relaxed);
        peers.granted.reclaim_ended(&self.dispatcher);
    }

    /// Returns the number of places that other entries hold from this one, and
    /// the total number that were reclaimed without a report of their end.
    pub(crate) fn given(&self) -> (usize, u64) {
        self.peers.as_ref().map_or((0, 0), |peers| peers.granted.counts())
    }
}

impl Peers {
    fn choice(&self) -> MutexGuard<'_, PlacerChoice> {
        self.choice.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The reason why a question to the placer yielded no place.
enum AskError {
    /// The placer answered that there is no place.
    Refused(NoPlace),
    /// The placer gave no usable answer.
    Unavailable(Chooser),
}
