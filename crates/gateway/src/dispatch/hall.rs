//! The other entries of the hall, and places granted by its placer.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use stairhinge::direct::balance::LatencyModel;
use stairhinge::direct::{HallEntry, Replica, ReplicaState};
use stairhinge::placing::{Need, Placed, leading_entries};
use stairhinge_shell::directory::FactsView;

use super::find::layer_count;
use super::known::KnownReplica;
use super::place::PlaceOutcome;
use super::terms::{expected_wait, held_version, send_by};
use super::{Dispatcher, Place, State};
use crate::placing::{Chooser, Lease};

impl Dispatcher {
    /// Returns the first-ranked entries of each hall, as reported by agents of
    /// this hall.
    pub(crate) fn entries(&self) -> Arc<Vec<HallEntry>> {
        Arc::clone(&self.lock().entries)
    }

    /// Returns the leading entries of this hall, in the order in which they
    /// are preferred as placer.
    pub(crate) fn leading_entries(&self) -> Arc<Vec<SocketAddr>> {
        Arc::clone(&self.lock().leading)
    }

    /// Returns whether all agents that can be reached have told this entry of
    /// others: one has, or none of them is there.
    pub(crate) fn knows_entries(&self) -> bool {
        let view = self.facts.view();
        let state = self.lock();
        let awaits = |incarnation: &Arc<str>| {
            let known = state.known.get(incarnation);
            known.is_some_and(|known| known.awaits_agent)
        };
        let is_listed = view.routes.is_some() && !view.replicas.is_empty();
        !state.leading.is_empty()
            || (is_listed && !view.replicas.keys().any(awaits))
    }

    /// Returns the number of entries of this hall that read an agent's feed,
    /// rounded up to a power of two; 0 if it is not known.
    pub(crate) fn hall_entries(&self) -> usize {
        self.lock().listening
    }

    /// Returns an estimate of the number of entries in the fleet, or `None` if
    /// no agent has reported those of this hall. All halls are assumed to have
    /// the same number. If they differ, the entries of each hall still share
    /// one hall's part of a limit, so the total over the fleet is the same.
    pub(crate) fn fleet_entries(&self) -> Option<usize> {
        let state = self.lock();
        self.fleet_entries_in(&state)
    }

    /// Like [`Self::fleet_entries`], for callers that hold the lock.
    pub(super) fn fleet_entries_in(&self, state: &State) -> Option<usize> {
        let listening = state.listening;
        let halls = self
            .bounds
            .regions
            .hall_count()
            .unwrap_or_else(|| self.replica_hall_count());
        (listening > 0).then_some(listening * halls.max(1))
    }

    /// Returns the number of data halls that have replicas.
    fn replica_hall_count(&self) -> usize {
        let view = self.facts.view();
        let halls = view.replicas.values().map(|(r, _)| &r.hall);
        halls.collect::<HashSet<_>>().len()
    }

    /// Recomputes the known and the leading entries from agents' reports.
    pub(super) fn rank_entries(&self, state: &mut State) {
        let mut entries: Vec<HallEntry> = Vec::new();
        let mut leading: Vec<SocketAddr> = Vec::new();
        let mut listening = 0;
        for known in state.known.values() {
            let Some(reported) = &known.reported else { continue };
            entries.extend(reported.report.entries.iter().flatten().cloned());
            leading.extend(reported.report.leading.iter().flatten());
            let count = reported.report.listening.unwrap_or_default();
            listening = listening.max(count);
        }
        entries.sort_unstable();
        entries.dedup();
        state.leading = Arc::new(leading_entries(leading));
        state.listening = listening;
        state.entries = Arc::new(entries);
    }

    /// Returns whether this entry knows enough to place requests for the hall:
    /// it has recent reports from at least half of the listed engines there.
    pub(crate) fn has_hall_reports(&self) -> bool {
        let view = self.facts.view();
        let state = self.lock();
        let mut listed = 0;
        let mut reporting = 0;
        for (replica, standing) in view.replicas.values() {
            let near = replica.hall == self.hall;
            let sound = standing.is_listed();
            if !near || !sound || view.engine(&replica.service).is_none() {
                continue;
            }
            listed += 1;
            let known = state.known.get(&replica.incarnation);
            let reported = known.and_then(|k| k.reported.as_ref());
            let is_reporting = reported.is_some_and(|r| r.is_fresh());
            reporting += usize::from(is_reporting);
        }
        reporting * 2 >= listed
    }

    /// Returns the number of requests at each replica with a recent report.
    pub(crate) fn reported_totals(&self) -> HashMap<Arc<str>, u32> {
        let state = self.lock();
        let mut totals = HashMap::new();
        for (incarnation, known) in &state.known {
            let Some(reported) = &known.reported else { continue };
            if reported.is_fresh() {
                let total = reported.report.total();
                totals.insert(Arc::clone(incarnation), total);
            }
        }
        totals
    }

    /// Returns the replicas of a service whose `Retry-After` to this entry has
    /// not expired.
    pub(crate) fn resting_replicas(&self, service: &str) -> Vec<Arc<str>> {
        let now = self.facts.now();
        let view = self.facts.view();
        let state = self.lock();
        let mut resting = Vec::new();
        for (incarnation, known) in &state.known {
            if known.retry_after.remaining(now).is_none() {
                continue;
            }
            let listed = view.replicas.get(incarnation);
            let current = listed.is_some_and(|(r, _)| {
                *r.service == *service && known.matches_process(r)
            });
            if current {
                resting.push(Arc::clone(incarnation));
            }
        }
        resting
    }

    /// Takes a place that the placer has granted, or returns `None` if this
    /// entry knows that the replica must not be used.
    pub(crate) fn adopt(
        &self,
        placed: Placed,
        need: &Need,
        lease: Lease,
        placer: SocketAddr,
    ) -> Option<Place> {
        let view = self.facts.view();
        let (replica, standing) = view.replicas.get(&placed.replica)?;
        let is_left_out =
            !standing.is_listed() && view.has_listed(&replica.service);
        if replica.state == ReplicaState::Draining
            || is_left_out
            || !self.is_allowed(need, &replica.hall)
            || self.evacuation_capacity(&view, &replica.hall) <= 0.0
        {
            return None;
        }
        let now = self.facts.now();
        let placer_bound =
            placed.begin_in_ms.map(|ms| now.after(Duration::from_millis(ms)));
        let mut begin_by = placer_bound;
        // A placer that doesn't know of a newer version names none.
        let version =
            placed.version.or_else(|| self.outdated_version(need, replica));
        if let Some(since) = outdated_since(&view, need, version) {
            let own_bound = self.begin_by(since, false, now)?;
            begin_by =
                Some(placer_bound.map_or(own_bound, |at| at.min(own_bound)));
        }
        let mut state = self.lock();
        let incarnation = Arc::clone(&replica.incarnation);
        let known = state.known.entry(incarnation).or_default();
        known.reset_if_restarted(replica);
        let expected = granted_wait(&view, need, replica, known, &placed);
        let send_by = begin_by.map(|at| send_by(at, expected));
        // The placer's answer may be late, or its date of the version.
        if send_by.is_some_and(|at| now >= at) {
            return None;
        }
        if let Some(at) = known.leaving.last_at() {
            // The placer may not have received the announcement yet.
            lease.report_leaving(now.since(at), known.born);
            return None;
        }
        if known.retry_after.remaining(now).is_some() {
            return None;
        }
        known.record_assigned(need, now);
        if placed.limit.is_none()
            && let Some((limit, at)) = known.limit.last_set()
        {
            // A placer that has just started has not seen the limit yet.
            lease.report_limit(Some(limit), now.since(at), now.since(at));
        }
        Some(Place {
            replica: Arc::clone(replica),
            version,
            begin_by,
            send_by,
            load: placed.load,
            delay_ms: placed.delay_ms,
            report_age: placed.report_age_ms.map(Duration::from_millis),
            limit: placed.limit,
            chooser: Chooser::Placer(placer),
            lease: Some(Box::new(lease)),
            prompt_tokens: need.prompt_tokens,
            given_at: Instant::now(),
            began: false,
            outcome: Box::new(PlaceOutcome {
                tried: need.tried.clone(),
                ..PlaceOutcome::default()
            }),
            dispatcher: Weak::clone(&self.this),
        })
    }
}

impl Dispatcher {
    /// Returns the version that a replica holds, if it is outdated.
    fn outdated_version(&self, need: &Need, replica: &Replica) -> Option<u64> {
        let view = self.facts.view();
        let model = need.model.as_ref()?;
        let layers = layer_count(&view, need);
        let state = self.lock();
        let known = state.known.get(&replica.incarnation);
        let held = held_version(&state, known, replica, model, layers);
        held.filter(|v| view.targets.outdated_since(model, *v).is_some())
    }
}

/// Returns the expected time from sending a request to its first token at a
/// replica that the placer has chosen.
fn granted_wait(
    view: &FactsView,
    need: &Need,
    replica: &Replica,
    known: &KnownReplica,
    placed: &Placed,
) -> Duration {
    let latency = view.engine(&need.service).map_or_else(
        || LatencyModel::plain(replica.slots),
        |engine| engine.latency_model(replica.slots),
    );
    let mut load = known.load;
    // The placer counts this request, too.
    let others = placed.load.saturating_sub(1);
    load.others_running += others.saturating_sub(load.total());
    let delay_ms = placed.delay_ms as f64;
    let (slowdown, tokens) = (known.slowdown(), need.prompt_tokens);
    expected_wait(&latency, &load, slowdown, delay_ms, tokens)
}

/// Returns the time at which a version became outdated, if it is.
fn outdated_since(
    view: &FactsView,
    need: &Need,
    version: Option<u64>,
) -> Option<stairhinge::Time> {
    view.targets.outdated_since(need.model.as_ref()?, version?)
}
