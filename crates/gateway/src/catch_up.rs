//! Holds requests back until this entry knows what other entries know.
//!
//! An entry that has just started, or continues after a pause, may not have
//! heard of a quarantine that all others know. It reads the tables of its
//! peers before it sends requests ([`CatchUp`]).

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};

use rand::RngExt as _;
use stairhinge::Time;
use stairhinge::serving::{CatchUp, CatchUpEnd, CatchUpStep};
use stairhinge_shell::decisions::Decision;
use stairhinge_shell::directory::Facts;
use tokio::sync::watch;

use crate::peer_list::PeerList;
use crate::poison::PoisonGossip;

/// The interval of the ticks that reveal a pause.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The interval of steps while the entry catches up.
const STEP_INTERVAL: Duration = Duration::from_millis(10);

/// The longest time between two ticks that does not count as a pause.
const MAX_TICK_GAP: Duration = Duration::from_millis(300);

/// Whether this entry is up to date with its peers.
pub(crate) struct CatchUpGate {
    facts: Arc<Facts>,
    /// Whether the settings connect it with other entries.
    has_peers: bool,
    state: Mutex<State>,
    is_current: watch::Sender<bool>,
    /// Whether it has been up to date since the start.
    has_started: AtomicBool,
}

#[derive(Debug)]
struct State {
    /// The catch-up in progress, unless the entry is up to date.
    catch_up: Option<CatchUp>,
    /// When it was last up to date with a peer that was so itself.
    informed_at: Option<Time>,
    last_tick: Tick,
}

/// A moment by the clock of the process, which does not run while the machine
/// is suspended, and by the time of day.
#[derive(Clone, Copy, Debug)]
struct Tick {
    process: Time,
    wall: SystemTime,
}

impl Tick {
    fn now(facts: &Facts) -> Tick {
        Tick { process: facts.now(), wall: SystemTime::now() }
    }

    /// Returns the time until `later` by the clock that has advanced further.
    fn until(self, later: Tick) -> Duration {
        let wall = later.wall.duration_since(self.wall).unwrap_or_default();
        later.process.since(self.process).max(wall)
    }
}

impl CatchUpGate {
    /// Returns the gate of an entry that has just started. It is up to date if
    /// nobody knows more: without peers, or if all start for the first time.
    pub(crate) fn new(
        facts: Arc<Facts>,
        has_peers: bool,
        first_start: bool,
    ) -> CatchUpGate {
        let last_tick = Tick::now(&facts);
        let is_current = !has_peers || first_start;
        let catch_up = (!is_current).then(|| begin(last_tick.process));
        CatchUpGate {
            facts,
            has_peers,
            state: Mutex::new(State {
                catch_up,
                informed_at: None,
                last_tick,
            }),
            is_current: watch::Sender::new(is_current),
            has_started: AtomicBool::new(is_current),
        }
    }

    /// Returns whether the entry has been up to date since its start.
    pub(crate) fn has_started(&self) -> bool {
        self.has_started.load(Ordering::Relaxed)
    }

    /// Returns whether the entry is up to date.
    pub(crate) fn is_current(&self) -> bool {
        *self.is_current.borrow()
    }

    /// Returns how long ago a peer that was up to date told everything, in
    /// milliseconds, if one has done so since the start.
    pub(crate) fn informed_ms(&self) -> Option<u64> {
        let at = self.lock().informed_at?;
        Some(self.facts.now().since(at).as_millis() as u64)
    }

    /// Waits until the entry is up to date: for at most
    /// [`CatchUp::MAX_SPAN`] once it has routes.
    pub(crate) async fn wait(&self) {
        self.detect_pause();
        if self.is_current() {
            return;
        }
        let mut current = self.is_current.subscribe();
        let _ = current.wait_for(|is_current| *is_current).await;
    }

    /// Asks peers until the entry is up to date, again after each pause, until
    /// the process ends.
    pub(crate) async fn run(
        self: Arc<Self>,
        gossip: Arc<PoisonGossip>,
        peers: Arc<PeerList>,
    ) {
        let mut current = self.is_current.subscribe();
        loop {
            let is_current = *current.borrow_and_update();
            let interval =
                if is_current { TICK_INTERVAL } else { STEP_INTERVAL };
            // A request may notice a pause before the next tick.
            let _ = tokio::time::timeout(interval, current.changed()).await;
            self.detect_pause();
            if !self.is_current() {
                self.step(&gossip, &peers);
            }
        }
    }

    /// Records that a peer has told everything for a catch-up, and whether it
    /// is up to date itself.
    pub(crate) fn record_answer(
        &self,
        from: SocketAddr,
        number: u64,
        is_current: bool,
    ) {
        if let Some(catch_up) = &mut self.lock().catch_up {
            catch_up.record_answer(from, number, is_current);
        }
    }

    /// Begins to catch up if the process has been paused since this was last
    /// called. If the time of day was set forward, it catches up in vain.
    fn detect_pause(&self) {
        if !self.has_peers {
            return;
        }
        let now = Tick::now(&self.facts);
        let gap = {
            let mut state = self.lock();
            let gap = state.last_tick.until(now);
            state.last_tick = now;
            if gap <= MAX_TICK_GAP {
                return;
            }
            state.catch_up = Some(begin(now.process));
            self.is_current.send_replace(false);
            gap
        };
        let paused_ms = gap.as_millis() as u64;
        self.facts.log().write(&Decision::Paused { paused_ms });
    }

    /// Asks peers that have not answered, or ends the catch-up.
    fn step(&self, gossip: &PoisonGossip, peers: &PeerList) {
        let known = peers.catch_up_peers();
        let has_routes = self.facts.view().routes.is_some();
        let now = self.facts.now();
        let (step, number) = {
            let mut state = self.lock();
            let Some(catch_up) = &mut state.catch_up else { return };
            (catch_up.step(&known, has_routes, now), catch_up.number())
        };
        match step {
            CatchUpStep::Ask(asked) => {
                for peer in asked {
                    gossip.ask_everything(peer, number);
                }
            }
            CatchUpStep::End(end) => self.finish(end, now),
        }
    }

    /// Lets requests pass from now on.
    fn finish(&self, end: CatchUpEnd, now: Time) {
        let catch_up = {
            let mut state = self.lock();
            let Some(catch_up) = state.catch_up.take() else { return };
            if end == CatchUpEnd::Informed {
                state.informed_at = Some(now);
            }
            self.has_started.store(true, Ordering::Relaxed);
            self.is_current.send_replace(true);
            catch_up
        };
        self.facts.log().write(&Decision::CaughtUp {
            end: end.name(),
            asked: catch_up.asked(),
            took_ms: now.since(catch_up.begun()).as_millis() as u64,
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns a catch-up that begins at `now`.
fn begin(now: Time) -> CatchUp {
    CatchUp::new(rand::rng().random_range(1..=u64::MAX), now)
}
