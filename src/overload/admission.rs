//! Decisions about requests of overloaded services.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::calendar::{Calendar, Returning};
use super::estimate::{LoadEstimate, ServiceLoad, work};
use super::order::{Rank, Standing};
use super::refusal::{Full, FullReason, shortage_retry_after_ms};
use super::refused_callers::RefusedCallers;
use super::served_share::ServedShare;
use super::settings::{OverloadSettings, Policy};
use super::usual_left::UsualLeft;
use crate::Time;
use crate::direct::Engine;
use crate::placing::Need;

/// The window of the served share of a class.
const CLASS_WINDOW: Duration = Duration::from_secs(1);

/// The window of the served share of a workspace. It is longer than that of a
/// class, since small workspaces send a few requests a second.
const WORKSPACE_WINDOW: Duration = Duration::from_secs(4);

/// The maximum number of workspaces of a service whose shares are kept; at
/// most 1 MB for each service.
const MAX_WORKSPACES: usize = 1_024;

/// The maximum number of classes of a service. Routes define them, and a
/// service has a few.
const MAX_CLASSES: usize = 64;

/// The maximum number of services. Routes define them; the bound limits the
/// memory if other processes send other names.
const MAX_SERVICES: usize = 256;

/// The part of the objective up to which the time to the first token is
/// subtracted from it. If it usually takes longer, the objective is missed
/// anyway.
const MAX_FIRST_FRACTION: f64 = 0.5;

/// The number of consecutive places that classes below their floor share may
/// get before one goes by urgency. Without a limit, all waiting requests of
/// such a class would go first, and urgent requests would be refused
/// meanwhile. The floors together need less than half of the places unless
/// the shortage is extreme.
const MAX_RAISED_RUN: u32 = 1;

/// The weight of a new observation in the mean time to the first token, and
/// in the mean length of answers.
const MEAN_WEIGHT: f64 = 0.05;

/// The maximum length of an answer that is counted, in tokens, so that one
/// wrong hint does not outweigh all other requests of a second.
const MAX_ANSWER_TOKENS: f64 = 100_000.0;

/// The maximum length of an answer that is counted, as a multiple of the usual
/// one of the engine. A caller's hint is not checked, and it enters the mean
/// of its class.
const MAX_ANSWER_FACTOR: f64 = 8.0;

/// The shortage from which an entry without a placer assumes that requests
/// wait at other entries. Less is within the noise of an estimate over a
/// second.
const MIN_SHORTAGE: f64 = 0.1;

/// How much longer than its wait the expected wait has to be until a request
/// does not wait at all. The estimate of a queue of a few requests may be off
/// by this factor.
const BEHIND_FACTOR: f64 = 2.0;

/// The state of a class: the requests of a service with the same urgency and
/// objective.
#[derive(Debug)]
struct Class {
    usual: UsualLeft,
    /// The mean length of the answers for which a hint was given, in tokens.
    answer: Option<f64>,
}

/// The state of a service.
#[derive(Debug, Default)]
struct ServiceState {
    classes: HashMap<((u8, u8), Duration), Class>,
    /// The served shares of new callers by urgency.
    shares: BTreeMap<(u8, u8), ServedShare>,
    workspaces: HashMap<Arc<str>, (ServedShare, Time)>,
    estimate: LoadEstimate,
    calendar: Calendar,
    refused: RefusedCallers,
    /// The number of consecutive places that went to classes below their floor
    /// share.
    raised_run: u32,
    /// The mean time from a place to the first token, in milliseconds.
    first_ms: f64,
    /// The number of callers that returned as promised.
    returned: u64,
}

/// Whether a request that got no place at once waits for one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Wait {
    /// It waits.
    Yes,
    /// It is refused at once.
    No(FullReason),
}

/// Decides which requests of overloaded services are served first, which are
/// refused at once, and when refused callers may return.
#[derive(Debug)]
pub struct Admission {
    settings: OverloadSettings,
    services: HashMap<Arc<str>, ServiceState>,
}

/// The totals of all services, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdmissionTotals {
    /// The largest shortage of a service, from 0 to 1.
    pub shortage: f64,
    /// The return times that are promised and have not passed.
    pub promised: usize,
    /// The callers that returned as promised, since the start.
    pub returned: u64,
}

impl Admission {
    /// Returns the state of a process that has seen no request.
    pub fn new(settings: OverloadSettings) -> Admission {
        Admission { settings, services: HashMap::new() }
    }

    /// Records a request that arrives at `now`, and returns the standing of
    /// its caller.
    pub fn record_arrival(
        &mut self,
        need: &Need,
        engine: Option<&Engine>,
        now: Time,
    ) -> Standing {
        if self.services.len() >= MAX_SERVICES
            && !self.services.contains_key(&need.service)
        {
            self.services.clear();
        }
        let service = match self.services.get_mut(&need.service) {
            Some(service) => service,
            None => {
                self.services.entry(Arc::clone(&need.service)).or_default()
            }
        };
        service.record_arrival(need, engine, now)
    }

    /// Returns the rank of a request at `now`. `arrival` is the number of its
    /// arrival.
    pub fn rank(
        &self,
        service: &str,
        standing: &Standing,
        arrival: u64,
        now: Time,
    ) -> Rank {
        let state = self.services.get(service);
        let floor = self.settings.floor;
        let raised =
            state.is_some_and(|s| s.is_raised(standing.urgency, floor, now));
        let share = state.map_or(1.0, |s| s.workspace_share(standing, now));
        Rank {
            starts: !standing.continued,
            late: standing.is_late(now),
            above_floor: !raised,
            urgency: standing.urgency,
            unpromised: !standing.promised,
            share: (share.clamp(0.0, 1.0) * 1_000.0) as u16,
            arrival,
        }
    }

    /// Returns whether a request that got no place waits for up to `wait`.
    /// `queued` are the waiting requests of its service. `is_placer` says
    /// whether these are all of the hall; otherwise, requests that can be in
    /// time wait at other entries while there is a shortage.
    pub fn wait<'a>(
        &self,
        service: &str,
        (rank, standing): (&Rank, &Standing),
        queued: impl Iterator<Item = (&'a Rank, &'a Standing)>,
        wait: Duration,
        is_placer: bool,
        now: Time,
    ) -> Wait {
        if standing.continued {
            return Wait::Yes;
        }
        let mut ahead = standing.work;
        for (other, waiting) in queued {
            if rank.is_late() && !other.is_late() {
                return Wait::No(FullReason::Late);
            }
            if other < rank {
                ahead += waiting.work;
            }
        }
        let Some(load) = self.load(service, now) else { return Wait::Yes };
        let short = load.shortage() >= MIN_SHORTAGE;
        if short && !is_placer {
            if rank.is_late() {
                return Wait::No(FullReason::Late);
            }
            if self.is_ahead_of_more_urgent(service, standing.urgency, now) {
                return Wait::No(FullReason::Behind);
            }
        }
        let enough = load.capacity * wait.as_secs_f64() * BEHIND_FACTOR;
        if ahead > enough.max(standing.work) {
            return Wait::No(FullReason::Behind);
        }
        Wait::Yes
    }

    /// Returns whether a class got a larger share than a more urgent one.
    fn is_ahead_of_more_urgent(
        &self,
        service: &str,
        urgency: (u8, u8),
        now: Time,
    ) -> bool {
        let Some(state) = self.services.get(service) else { return false };
        let Some(share) = state.share(urgency, now) else { return false };
        let mut more_urgent = state.shares.range(..urgency);
        more_urgent.any(|(_, s)| s.share(now).is_some_and(|s| s < share))
    }

    /// Records that a request was given a place.
    pub fn record_grant(
        &mut self,
        service: &str,
        standing: &Standing,
        now: Time,
    ) {
        let floor = self.settings.floor;
        let Some(state) = self.services.get_mut(service) else { return };
        if state.is_raised(standing.urgency, floor, now) {
            state.raised_run += 1;
        } else {
            state.raised_run = 0;
        }
        state.estimate.record_granted(standing.work, now);
        if !standing.is_new {
            return;
        }
        if let Some(share) = state.shares.get_mut(&standing.urgency) {
            share.record_served(now);
        }
        let workspace = standing.workspace.as_ref();
        let known = workspace.and_then(|w| state.workspaces.get_mut(w));
        if let Some((share, _)) = known {
            share.record_served(now);
        }
    }

    /// Records that a request of a service waits or is refused for lack of
    /// capacity.
    pub fn record_contention(&mut self, service: &str, now: Time) {
        if let Some(state) = self.services.get_mut(service) {
            state.estimate.record_contention(now);
        }
    }

    /// Records the time from a place to the first token of an answer.
    pub fn record_begin(&mut self, service: &str, took: Duration) {
        let Some(state) = self.services.get_mut(service) else { return };
        let took_ms = took.as_millis() as f64;
        state.first_ms += MEAN_WEIGHT * (took_ms - state.first_ms);
    }

    /// Returns the refusal of a request. Only a placer
    /// promises a time, since its callers return to it whichever entry they
    /// call. `jitter` is a random number from 0 to 1.
    pub fn refuse(
        &mut self,
        need: &Need,
        standing: &Standing,
        reason: FullReason,
        is_placer: bool,
        now: Time,
        jitter: f64,
    ) -> Full {
        let waited = now.since(standing.arrived).as_millis() as u32;
        let left_ms = need.left_ms.saturating_sub(waited);
        let load = self.load(&need.service, now);
        let settled = load.filter(ServiceLoad::is_settled);
        let spare = settled.map_or(0.0, |load| self.spare_per_s(&load));
        let state = self.services.get_mut(&need.service);
        let delay = state.and_then(|state| {
            let began = standing.begun.unwrap_or(standing.arrived);
            state.refused.record(need, began, standing.arrived);
            // A caller that has returned once does not return again.
            if !standing.is_new || !is_placer {
                return None;
            }
            let caller = Returning { left_ms, ..returning(need, standing) };
            state.calendar.promise(caller, spare, now, jitter)
        });
        let shortage = load.map_or(0.0, |load| load.shortage());
        let retry_after_ms = delay.map_or_else(
            || shortage_retry_after_ms(shortage, left_ms, jitter),
            |delay| delay.as_millis() as u32,
        );
        let age = load.map_or(Duration::ZERO, |load| load.age);
        Full {
            retry_after_ms,
            reason,
            promised: delay.is_some(),
            capacity: load.map_or(0.0, |load| load.capacity),
            demand: load.map_or(0.0, |load| load.demand),
            age_ms: age.as_millis() as u32,
        }
    }

    /// Returns the work per second that may be promised to returning callers.
    fn spare_per_s(&self, load: &ServiceLoad) -> f64 {
        let new_first = (load.capacity - load.demand).max(0.0);
        let floor = load.demand * self.settings.floor;
        let promised_first = (load.capacity - floor).max(0.0);
        match self.settings.policy {
            Policy::NewFirst => new_first,
            Policy::PromisedFirst => promised_first,
            Policy::Shared => f64::midpoint(new_first, promised_first),
        }
    }

    /// Returns the estimated load of a service, or `None` if it was not short
    /// of capacity within the last second.
    pub fn load(&self, service: &str, now: Time) -> Option<ServiceLoad> {
        self.services.get(service)?.estimate.load(now)
    }

    /// Returns the served share of the new callers of a class in the window,
    /// or `None` if there were none.
    pub fn share(
        &self,
        service: &str,
        urgency: (u8, u8),
        now: Time,
    ) -> Option<f64> {
        self.services.get(service)?.shares.get(&urgency)?.share(now)
    }

    /// Returns the totals of all services.
    pub fn totals(&self, now: Time) -> AdmissionTotals {
        let mut totals = AdmissionTotals::default();
        for state in self.services.values() {
            let shortage =
                state.estimate.load(now).map_or(0.0, |l| l.shortage());
            totals.shortage = totals.shortage.max(shortage);
            totals.promised += state.calendar.len();
            totals.returned += state.returned;
        }
        totals
    }
}

impl ServiceState {
    fn record_arrival(
        &mut self,
        need: &Need,
        engine: Option<&Engine>,
        now: Time,
    ) -> Standing {
        let urgency = need.urgency();
        let key = (urgency, need.objective);
        if self.classes.len() >= MAX_CLASSES
            && !self.classes.contains_key(&key)
        {
            self.classes.clear();
        }
        let class = self.classes.entry(key).or_insert_with(|| Class {
            usual: UsualLeft::new(),
            answer: None,
        });
        let usual_answer =
            engine.map(|e| e.usual_answer).filter(|usual| *usual > 0.0);
        let max_answer = usual_answer.map_or(MAX_ANSWER_TOKENS, |usual| {
            MAX_ANSWER_TOKENS.min(usual * MAX_ANSWER_FACTOR)
        });
        let hint =
            need.answer_tokens.map(|hint| f64::from(hint).min(max_answer));
        if let Some(hint) = hint {
            let mean = class.answer.get_or_insert(hint);
            *mean += MEAN_WEIGHT * (hint - *mean);
        }
        let answer =
            hint.or(class.answer).or(usual_answer).unwrap_or_default();
        let answer = answer.min(max_answer);
        let mut standing = Standing {
            arrived: now,
            begun: None,
            place_by: None,
            is_new: false,
            promised: false,
            continued: need.continued,
            urgency,
            workspace: need.workspace.clone(),
            work: work(engine, need.prompt_tokens, answer),
        };
        // Requesters of previous builds do not send the time left.
        if need.continued || need.left_ms == 0 {
            return standing;
        }
        let workspace = need.workspace.as_ref();
        let ago = class.usual.begun_ago(workspace, need.left_ms, now);
        class.usual.record(workspace, need.left_ms, now);
        let began = self
            .refused
            .take(need, now)
            .or_else(|| (!ago.is_zero()).then(|| now.before(ago)));
        let max_first = need.objective.as_millis() as f64 * MAX_FIRST_FRACTION;
        let first = Duration::from_millis(self.first_ms.min(max_first) as u64);
        let begun = began.unwrap_or(now);
        standing.begun = Some(begun);
        standing.place_by =
            Some(begun.after(need.objective.saturating_sub(first)));
        standing.is_new = began.is_none();
        if standing.is_new {
            self.record_asked(&standing, now);
        } else {
            let caller = returning(need, &standing);
            standing.promised = self.calendar.take_up(&caller, now);
            self.returned += u64::from(standing.promised);
        }
        standing
    }

    fn record_asked(&mut self, standing: &Standing, now: Time) {
        self.estimate.record_asked(standing.work, now);
        if self.shares.len() < MAX_CLASSES {
            self.shares
                .entry(standing.urgency)
                .or_insert_with(|| ServedShare::new(CLASS_WINDOW));
        }
        if let Some(share) = self.shares.get_mut(&standing.urgency) {
            share.record_asked(now);
        }
        let Some(workspace) = &standing.workspace else { return };
        if let Some((share, last)) = self.workspaces.get_mut(workspace) {
            share.record_asked(now);
            *last = now;
            return;
        }
        if self.workspaces.len() >= MAX_WORKSPACES {
            self.workspaces
                .retain(|_, (_, last)| now.since(*last) <= WORKSPACE_WINDOW);
        }
        if self.workspaces.len() >= MAX_WORKSPACES {
            return;
        }
        let mut share = ServedShare::new(WORKSPACE_WINDOW);
        share.record_asked(now);
        self.workspaces.insert(Arc::clone(workspace), (share, now));
    }

    /// Returns whether a class is served before more urgent ones: its share is
    /// below the floor and below that of every more urgent class.
    fn is_raised(&self, urgency: (u8, u8), floor: f64, now: Time) -> bool {
        let Some(share) = self.share(urgency, now) else { return false };
        if self.raised_run >= MAX_RAISED_RUN
            || share >= floor * self.overall_share(now)
        {
            return false;
        }
        for more_urgent in self.shares.range(..urgency) {
            let other = more_urgent.1.share(now);
            if other.is_some_and(|other| other <= share) {
                return false;
            }
        }
        true
    }

    fn share(&self, urgency: (u8, u8), now: Time) -> Option<f64> {
        self.shares.get(&urgency)?.share(now)
    }

    /// Returns the served share of the new callers of all classes.
    fn overall_share(&self, now: Time) -> f64 {
        let mut asked = 0.0;
        let mut served = 0.0;
        for share in self.shares.values() {
            let count = share.asked(now);
            asked += count;
            served += count * share.share(now).unwrap_or_default();
        }
        if asked > 0.0 { served / asked } else { 1.0 }
    }

    fn workspace_share(&self, standing: &Standing, now: Time) -> f64 {
        let workspace = standing.workspace.as_ref();
        let known = workspace.and_then(|w| self.workspaces.get(w));
        known.and_then(|(share, _)| share.share(now)).unwrap_or(1.0)
    }
}

fn returning(need: &Need, standing: &Standing) -> Returning {
    Returning {
        urgency: need.urgency(),
        workspace: need.workspace.clone(),
        left_ms: need.left_ms,
        work: standing.work,
    }
}
