//! Admission control: bounded, deadline-aware and fair between workspaces.
//!
//! An entry runs a bounded number of requests and queues a bounded number
//! for each workspace. The queues are served by stride scheduling (Waldspurger
//! and Weihl, 1995): the pass value of a workspace advances by 1/weight for
//! each request started, and the workspace with the lowest pass goes next. The
//! weight is the declared share, doubled for each step of priority, so that a
//! high priority is preferred without starving a low one. A request that
//! would not start before its deadline is refused at once, with the time after
//! which to retry.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::declaration::Workspace;
use crate::{Code, Error, Time};

/// The limits of an entry's admission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionLimits {
    running: usize,
    queued: usize,
}

impl AdmissionLimits {
    /// Returns limits on the requests running at the entry and on those queued
    /// for each workspace.
    pub const fn new(running: usize, queued: usize) -> AdmissionLimits {
        AdmissionLimits { running, queued }
    }
}

/// Identifies a queued request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// The decision on a request that asks for admission.
#[derive(Clone, Debug)]
pub enum AdmissionDecision {
    /// The request starts now.
    Start,
    /// The request is queued until its ticket is returned by
    /// [`AdmissionControl::finish`].
    Wait(Ticket),
    /// The request is refused; the caller may retry after the given time.
    Refuse(Error, Duration),
}

/// The queue of one workspace, with its state in the stride scheduler.
#[derive(Clone, Debug, Default)]
struct WorkspaceQueue {
    pass: f64,
    weight: f64,
    waiting: VecDeque<(Ticket, Time)>,
}

/// The admission control of one entry.
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    limits: AdmissionLimits,
    running: usize,
    last_ticket: u64,
    pass: f64,
    queues: BTreeMap<Arc<str>, WorkspaceQueue>,
    expected_duration: Duration,
}

impl AdmissionControl {
    /// The weight of one finished request in the moving average of durations.
    const EWMA_WEIGHT: f64 = 0.1;

    /// The shortest time after which a refused caller may retry.
    pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

    /// Returns the admission control of an entry with nothing running.
    /// `expected_duration` is the initial value of the moving average of
    /// request durations.
    pub fn new(
        limits: AdmissionLimits,
        expected_duration: Duration,
    ) -> AdmissionControl {
        AdmissionControl {
            limits,
            running: 0,
            last_ticket: 0,
            pass: 0.0,
            queues: BTreeMap::new(),
            expected_duration,
        }
    }

    /// Starts, queues or refuses a request that must start before `deadline`.
    ///
    /// `jitter`, from 0 to 1, lengthens the retry time of a refused request by
    /// up to a factor of 2, so that refused callers do not retry all at once.
    pub fn admit(
        &mut self,
        workspace: &Workspace,
        deadline: Time,
        now: Time,
        jitter: f64,
    ) -> AdmissionDecision {
        let idle = self.queues.values().all(|q| q.waiting.is_empty());
        if idle && self.running < self.limits.running {
            self.advance(workspace);
            self.running += 1;
            return AdmissionDecision::Start;
        }
        let expected_wait = self.expected_wait(workspace);
        let queue = self.queue_mut(workspace);
        let queued = queue.waiting.len();
        let retry_after = AdmissionControl::retry_after(expected_wait, jitter);
        if queued >= self.limits.queued {
            let err = Error::new(
                Code::Overloaded,
                format_args!(
                    "workspace {} has {queued} requests queued, allowed: {}",
                    workspace.name(),
                    self.limits.queued
                ),
            );
            return AdmissionDecision::Refuse(err, retry_after);
        }
        if now.after(expected_wait) > deadline {
            let err = Error::new(
                Code::Overloaded,
                format_args!(
                    "expected wait of {} ms, allowed: {} ms",
                    expected_wait.as_millis(),
                    deadline.since(now).as_millis()
                ),
            );
            return AdmissionDecision::Refuse(err, retry_after);
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let queue = self.queue_mut(workspace);
        queue.waiting.push_back((ticket, deadline));
        AdmissionDecision::Wait(ticket)
    }

    /// Records that a running request ended after `duration`, and returns the
    /// tickets of the queued requests that start now.
    pub fn finish(&mut self, duration: Duration, now: Time) -> Vec<Ticket> {
        self.running = self.running.saturating_sub(1);
        let average = self.expected_duration.as_secs_f64();
        let updated = average
            + AdmissionControl::EWMA_WEIGHT
                * (duration.as_secs_f64() - average);
        self.expected_duration = Duration::from_secs_f64(updated);
        self.start_queued(now)
    }

    /// Removes a queued request whose caller has gone. Returns false if the
    /// request is not queued any more, as when it has been started.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        for queue in self.queues.values_mut() {
            let before = queue.waiting.len();
            queue.waiting.retain(|(t, _)| *t != ticket);
            if queue.waiting.len() < before {
                return true;
            }
        }
        false
    }

    fn start_queued(&mut self, now: Time) -> Vec<Ticket> {
        let mut started = Vec::new();
        while self.running < self.limits.running {
            let Some(ticket) = self.dequeue(now) else { break };
            self.running += 1;
            started.push(ticket);
        }
        started
    }

    /// Dequeues the next request of the workspace with the lowest pass.
    /// Requests whose deadline has passed are dropped: the entry has answered
    /// them by then.
    fn dequeue(&mut self, now: Time) -> Option<Ticket> {
        for queue in self.queues.values_mut() {
            while queue.waiting.front().is_some_and(|(_, d)| *d < now) {
                queue.waiting.pop_front();
            }
        }
        let queue = self
            .queues
            .values_mut()
            .filter(|q| !q.waiting.is_empty())
            .min_by(|a, b| a.pass.total_cmp(&b.pass))?;
        let (ticket, _) = queue.waiting.pop_front()?;
        self.pass = self.pass.max(queue.pass);
        queue.pass += 1.0 / queue.weight;
        Some(ticket)
    }

    fn advance(&mut self, workspace: &Workspace) {
        let queue = self.queue_mut(workspace);
        queue.pass += 1.0 / queue.weight;
    }

    fn queue_mut(&mut self, workspace: &Workspace) -> &mut WorkspaceQueue {
        let pass = self.pass;
        let name = Arc::clone(workspace.name());
        let queue = self.queues.entry(name).or_default();
        queue.weight = AdmissionControl::weight(workspace);
        // An idle workspace earns no credit for a later burst.
        if queue.waiting.is_empty() {
            queue.pass = queue.pass.max(pass);
        }
        queue
    }

    fn weight(workspace: &Workspace) -> f64 {
        let steps = 9 - u32::from(workspace.priority().min(9));
        f64::from(workspace.share()) * f64::from(1u32 << steps)
    }

    /// Returns how long the next request of a workspace would wait: the length
    /// of the workspace's queue divided by its share of the rate at which
    /// requests finish.
    fn expected_wait(&self, workspace: &Workspace) -> Duration {
        let own_weight = AdmissionControl::weight(workspace);
        let mut total_weight = own_weight;
        let mut own_queued = 0;
        for (name, queue) in &self.queues {
            if name == workspace.name() {
                own_queued = queue.waiting.len();
                continue;
            }
            if !queue.waiting.is_empty() {
                total_weight += queue.weight;
            }
        }
        let rate =
            self.limits.running.max(1) as f64 * own_weight / total_weight;
        self.expected_duration.mul_f64((own_queued + 1) as f64 / rate)
    }

    fn retry_after(expected_wait: Duration, jitter: f64) -> Duration {
        let base = expected_wait.max(AdmissionControl::MIN_RETRY_AFTER);
        base.mul_f64(1.0 + jitter.clamp(0.0, 1.0))
    }

    /// Returns the moving average of request durations.
    pub fn expected_duration(&self) -> Duration {
        self.expected_duration
    }

    /// Returns the number of requests running and the number queued.
    pub fn load(&self) -> (usize, usize) {
        let queued = self.queues.values().map(|q| q.waiting.len()).sum();
        (self.running, queued)
    }
}
