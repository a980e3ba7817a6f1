//! Selects a replica for each request and queues requests while none has
//! capacity.

mod admit;
mod confirmed;
mod find;
mod hall;
mod health;
mod health_reports;
mod known;
mod news;
mod no_place;
mod notice;
mod outcome;
mod place;
mod queue;
mod terms;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use stairhinge::Time;
use stairhinge::direct::{
    AllowedRegions, Contention, EvacuationBound, HallEntry, HallRegions,
    ReplicaState,
};
use stairhinge::overload::{Admission, OverloadSettings};
use stairhinge::placing::{
    ChooserKind, Need, NoPlaceReason, RecentObjectives,
};
use stairhinge_shell::directory::{Facts, FactsView};
use tokio::sync::Notify;

use self::admit::Arrived;
use self::confirmed::ConfirmedLoad;
pub(crate) use self::confirmed::Verdict;
use self::find::layer_count;
pub(crate) use self::health::HealthBounds;
use self::health::HealthState;
use self::known::{KnownReplica, ReceivedReport};
pub(crate) use self::no_place::NoPlace;
pub(crate) use self::place::Place;
pub(crate) use self::queue::PlaceResult;
use self::queue::Queue;
use crate::report::EngineReport;
use crate::settings::ColdLimits;

#[derive(Debug, Default)]
struct State {
    known: HashMap<Arc<str>, KnownReplica>,
    /// Whether any agent has reported to this entry.
    has_agents: bool,
    waiting: Queue,
    /// Admission control under overload, if the settings enable it.
    admission: Option<Admission>,
    contention: Contention,
    recent_objectives: RecentObjectives,
    health: HealthState,
    /// The first-ranked entries of each hall, as reported by agents of this
    /// hall.
    entries: Arc<Vec<HallEntry>>,
    /// The upper bound on the number of entries in this hall, as reported by
    /// its agents; 0 if none has reported one.
    listening: usize,
    /// The addresses of this hall's leading entries, in the order in which
    /// they are preferred as placer.
    leading: Arc<Vec<SocketAddr>>,
    /// The engines that stopped answering since they were last taken.
    down_engines: Vec<DownEngine>,
}

/// The time limits, rate bounds and regions that restrict dispatching.
#[derive(Clone, Debug)]
pub(crate) struct DispatchBounds {
    /// The time within which a new target version has to be served.
    pub version: Duration,
    /// The time within which an evacuated hall stops getting requests.
    pub evacuation: EvacuationBound,
    /// The limits on requests to a cold replica.
    pub cold: ColdLimits,
    /// The region of each hall.
    pub regions: HallRegions,
    /// Admission control under overload; `None` disables it.
    pub overload: Option<OverloadSettings>,
    /// The limits on the exclusion of failing replicas, if it is enabled.
    pub health: Option<HealthBounds>,
}

/// The number of replicas of a service, by whether they can take a request.
/// Each replica that is excluded is counted under the first reason that
/// applies.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReplicaCount {
    /// All listed replicas.
    pub listed: usize,
    /// Replicas that can take the request once they have capacity.
    pub suitable: usize,
    /// Replicas in a region where the request must not be served.
    pub barred: usize,
    /// Replicas in an evacuated hall.
    pub evacuated: usize,
    /// Replicas that are leaving, by their list entry or their answers.
    pub leaving: usize,
    /// Replicas whose `Retry-After` to this entry has not expired.
    pub resting: usize,
    /// The shortest remaining `Retry-After` of the resting replicas.
    pub min_retry_after: Option<Duration>,
    /// Suitable replicas that have set a rate limit.
    pub limited: usize,
}

/// The numbers of listed replicas subject to each kind of restriction. A
/// replica can be counted under several.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RestrictedCount {
    /// Replicas that are cold and receive a bounded number of requests.
    pub cold: usize,
    /// Replicas with a rate limit.
    pub limited: usize,
    /// Replicas that announced that they are leaving.
    pub leaving: usize,
    /// Replicas whose `Retry-After` to this entry has not expired.
    pub resting: usize,
}

/// How long a replica gets no requests after it declined one for lack of
/// capacity.
const FULL_BACKOFF: Duration = Duration::from_millis(60);

/// The maximum time from an engine's exit to the report of its agent: an
/// interval between the agent's queries, and the delay of the link.
const MAX_DOWN_DELAY: Duration = Duration::from_millis(150);

/// The maximum number of engines remembered as having stopped answering.
const MAX_DOWN_ENGINES: usize = 128;

/// Selects replicas for the requests of one entry.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    facts: Arc<Facts>,
    instance: Arc<str>,
    hall: Arc<str>,
    bounds: DispatchBounds,
    state: Mutex<State>,
    this: Weak<Dispatcher>,
    /// Notified when an agent reports that its engine stopped answering.
    engine_down: Notify,
    /// Notified when there are reports on the health of replicas to send.
    health_changed: Notify,
}

/// An engine that stopped answering its agent.
#[derive(Clone, Debug)]
pub(crate) struct DownEngine {
    pub incarnation: Arc<str>,
    /// When it was last reported as answering.
    pub after: Time,
}

impl Dispatcher {
    /// Returns a dispatcher that decides by the process's directory.
    pub(crate) fn new(
        facts: Arc<Facts>,
        instance: Arc<str>,
        hall: Arc<str>,
        bounds: DispatchBounds,
    ) -> Arc<Dispatcher> {
        let admission = bounds.overload.map(Admission::new);
        let state = State { admission, ..State::default() };
        Arc::new_cyclic(|this| Dispatcher {
            facts,
            instance,
            hall,
            bounds,
            state: Mutex::new(state),
            this: Weak::clone(this),
            engine_down: Notify::new(),
            health_changed: Notify::new(),
        })
    }

    /// Returns the entry's data hall.
    pub(crate) fn hall(&self) -> &Arc<str> {
        &self.hall
    }

    /// Returns the directory that it decides by.
    pub(crate) const fn facts(&self) -> &Arc<Facts> {
        &self.facts
    }

    /// Returns a place at a replica, waiting until `until` for capacity.
    pub(crate) async fn place(
        &self,
        need: Need,
        until: Instant,
        kind: ChooserKind,
    ) -> Result<Place, NoPlace> {
        let wait = until.saturating_duration_since(Instant::now());
        match self.request_place(need, wait, kind) {
            PlaceResult::Place(place) => Ok(place),
            PlaceResult::NoPlace(no_place) => Err(no_place),
            PlaceResult::Queued(pending) => {
                pending.wait(wait).await.map_err(|u| self.refuse_unplaced(u))
            }
        }
    }

    /// Returns a place at a replica. If no suitable replica has capacity, the
    /// request is queued for up to `wait`, or refused at once under admission
    /// control.
    pub(crate) fn request_place(
        &self,
        need: Need,
        wait: Duration,
        kind: ChooserKind,
    ) -> PlaceResult {
        let mut state = self.lock();
        let now = self.facts.now();
        state.recent_objectives.record(&need, now);
        let view = self.facts.view();
        if let Some(admission) = &mut state.admission {
            let engine = view.engine(&need.service);
            let standing =
                admission.record_arrival(&need, engine.as_ref(), now);
            let arrived = Arrived { need, standing, wait, kind };
            return self.admit(&mut state, &view, arrived, now);
        }
        let ahead = state.waiting.has_waiter_ahead_of(&need);
        if !ahead
            && let Some(place) =
                self.find_place(&mut state, &view, &need, kind, None)
        {
            return PlaceResult::Place(place);
        }
        if !self.has_suitable_replica(&state, &view, &need) {
            return PlaceResult::NoPlace(
                self.no_place_reason(&state, &view, need).into(),
            );
        }
        if wait.is_zero() {
            return PlaceResult::NoPlace(NoPlaceReason::Room.into());
        }
        PlaceResult::Queued(state.waiting.join(need, kind, None))
    }

    /// Returns why no replica can serve the request: either there is none, or
    /// all are outside its allowed regions.
    fn no_place_reason(
        &self,
        state: &State,
        view: &FactsView,
        mut need: Need,
    ) -> NoPlaceReason {
        if !need.regions.is_restricted() {
            return NoPlaceReason::Replica;
        }
        need.regions = AllowedRegions::default();
        if self.has_suitable_replica(state, view, &need) {
            NoPlaceReason::Region
        } else {
            NoPlaceReason::Replica
        }
    }

    /// Counts the replicas of a service by whether they can take a request.
    pub(crate) fn count(&self, need: &Need) -> ReplicaCount {
        let state = self.lock();
        let view = self.facts.view();
        let now = self.facts.now();
        let layers = layer_count(&view, need);
        let mut count = ReplicaCount::default();
        for (replica, _) in view.of_service(&need.service) {
            count.listed += 1;
            if !self.is_allowed(need, &replica.hall) {
                count.barred += 1;
                continue;
            }
            if self.evacuation_capacity(&view, &replica.hall) <= 0.0 {
                count.evacuated += 1;
                continue;
            }
            let known = state.known.get(&replica.incarnation);
            let current = known.filter(|k| k.matches_process(replica));
            let announced = current.is_some_and(|k| k.leaving.is_leaving());
            if announced || replica.state == ReplicaState::Draining {
                count.leaving += 1;
                continue;
            }
            let remaining = current.and_then(|k| k.retry_after.remaining(now));
            if let Some(remaining) = remaining {
                count.resting += 1;
                let min = count.min_retry_after.unwrap_or(remaining);
                count.min_retry_after = Some(min.min(remaining));
                continue;
            }
            let terms = self.terms(&state, &view, need, replica, layers, now);
            if terms.is_none() {
                continue;
            }
            count.suitable += 1;
            let limited = known.is_some_and(|k| k.limit.limit().is_some());
            count.limited += usize::from(limited);
        }
        count
    }

    /// Assigns available capacity to queued requests. `only` limits this to
    /// the one replica whose state has changed.
    pub(crate) fn dispatch_waiting(&self, only: Option<&Arc<str>>) {
        let mut state = self.lock();
        if state.waiting.is_empty() {
            return;
        }
        let view = self.facts.view();
        let now = self.facts.now();
        let mut granted = Vec::new();
        for waiter in state.take_waiters(now) {
            let (need, kind) = (&waiter.need, waiter.kind);
            match self.find_place(&mut state, &view, need, kind, only) {
                Some(place) => {
                    state.record_grant(&waiter, now);
                    granted.push((waiter, place));
                }
                None => state.waiting.put_back(waiter),
            }
        }
        state.remove_late(now);
        drop(state);
        for (waiter, place) in granted {
            // If the waiter has been cancelled, dropping the place releases
            // it.
            let _ = waiter.sender.send(place);
        }
    }

    /// Records an agent's report about the engine on its instance. Returns
    /// what the agent should know of the load that it has found.
    pub(crate) fn record_report(
        &self,
        incarnation: &Arc<str>,
        mut report: EngineReport,
    ) -> Option<Verdict> {
        let mut state = self.lock();
        let known = state.known.entry(Arc::clone(incarnation)).or_default();
        let verdict = known.confirmed.record(&report, Instant::now());
        state.has_agents = true;
        let known = state.known.entry(Arc::clone(incarnation)).or_default();
        let reports_entries =
            report.entries.is_some() || report.leading.is_some();
        let mut down = None;
        if let Some(last) = &mut known.reported {
            report.fill_missing_from(&mut last.report);
            if last.report.up && !report.up {
                let age = last.at.elapsed().min(MAX_DOWN_DELAY);
                down = Some(self.facts.now().before(age));
            }
        }
        let all = report.queued + report.running;
        let own = known.load.own();
        known.load = known.load.with_report(report.queued, report.running);
        known.reported = Some(ReceivedReport { report, at: Instant::now() });
        known.awaits_agent = false;
        state.contention.record_report(own, all);
        if let Some(after) = down
            && state.down_engines.len() < MAX_DOWN_ENGINES
        {
            let incarnation = Arc::clone(incarnation);
            state.down_engines.push(DownEngine { incarnation, after });
            self.engine_down.notify_one();
        }
        if reports_entries {
            self.rank_entries(&mut state);
        }
        drop(state);
        self.dispatch_waiting(Some(incarnation));
        verdict
    }

    /// Records that this entry follows a replica's agent from now on.
    pub(crate) fn expect_report(&self, incarnation: &Arc<str>) {
        let mut state = self.lock();
        let known = state.known.entry(Arc::clone(incarnation)).or_default();
        known.confirmed.expect(Instant::now());
        known.awaits_agent = true;
    }

    /// Forgets what the agents of a replica have confirmed, since this entry
    /// no longer reads their reports.
    pub(crate) fn forget_confirmed(&self, incarnation: &Arc<str>) {
        if let Some(known) = self.lock().known.get_mut(incarnation) {
            known.confirmed = ConfirmedLoad::default();
        }
    }

    /// Waits until engines stopped answering their agents, and returns them.
    pub(crate) async fn down_engines(&self) -> Vec<DownEngine> {
        self.engine_down.notified().await;
        std::mem::take(&mut self.lock().down_engines)
    }

    /// Renews the time of a replica's last report, which is unchanged.
    pub(crate) fn confirm_report(&self, incarnation: &Arc<str>) {
        let mut state = self.lock();
        let known = state.known.get_mut(incarnation);
        if let Some(reported) = known.and_then(|k| k.reported.as_mut()) {
            reported.at = Instant::now();
        }
    }

    /// Drops the report of a replica whose agent is unreachable.
    pub(crate) fn drop_report(&self, incarnation: &Arc<str>) {
        let mut state = self.lock();
        if let Some(known) = state.known.get_mut(incarnation) {
            let had_report = known.drop_report();
            // This is called on each retry while the agent is unreachable;
            // only the first call changes anything.
            if had_report {
                self.rank_entries(&mut state);
            }
        }
    }

    /// Drops the state of replicas that are no longer listed, unless requests
    /// are in progress there or a recent notice must be retained in case an
    /// expired list entry is restored.
    pub(crate) fn sweep(&self) {
        let view = self.facts.view();
        let mut state = self.lock();
        let now = self.facts.now();
        state.known.retain(|incarnation, known| {
            if view.is_listed(incarnation) {
                return true;
            }
            let kept = known.load.own() > 0 || known.has_recent_notice(now);
            if kept && known.load.own() == 0 {
                known.drop_report();
            }
            kept
        });
    }

    /// Returns the numbers of this entry's requests at replicas and in the
    /// queue.
    pub(crate) fn load(&self) -> (usize, usize) {
        let state = self.lock();
        let own: u32 = state.known.values().map(|k| k.load.own()).sum();
        (own as usize, state.waiting.len())
    }

    /// Counts the listed replicas subject to each kind of restriction.
    pub(crate) fn count_restricted(&self) -> RestrictedCount {
        let now = self.facts.now();
        let view = self.facts.view();
        let state = self.lock();
        let mut count = RestrictedCount::default();
        for (incarnation, known) in &state.known {
            if !view.replicas.contains_key(incarnation) {
                continue;
            }
            count.cold += usize::from(known.is_cold(now));
            count.limited += usize::from(known.limit.limit().is_some());
            count.leaving += usize::from(known.leaving.is_leaving());
            let resting = known.retry_after.remaining(now).is_some();
            count.resting += usize::from(resting);
        }
        count
    }

    /// Returns whether the last report says that the replica's engine is
    /// down.
    pub(crate) fn is_engine_down(&self, incarnation: &str) -> bool {
        let state = self.lock();
        let reported =
            state.known.get(incarnation).and_then(|k| k.reported.as_ref());
        reported.is_some_and(|r| !r.report.up)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
