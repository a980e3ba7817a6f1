//! Admission under load: bounded, by deadline, fair between workspaces.
//!
//! An entry runs a bounded number of requests and queues a bounded number
//! for each workspace. The queue is served by stride scheduling (Waldspurger
//! and Weihl, 1995): each workspace advances by 1/weight for each request
//! started, and the one furthest behind goes next. The weight is the declared
//! share, doubled for each step of priority, so a high priority goes first
//! without ever starving a low one. A request that would not start before its
//! deadline is refused at once, with when to come back.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::declaration::Workspace;
use crate::{Code, Error, Time};

/// Bounds of one entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionLimits {
    running: usize,
    queued: usize,
}

impl AdmissionLimits {
    /// Returns bounds on requests running and, for each workspace, queued.
    pub const fn new(running: usize, queued: usize) -> AdmissionLimits {
        AdmissionLimits { running, queued }
    }
}

/// A place in the queue.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// What becomes of a request that asks for admission.
#[derive(Clone, Debug)]
pub enum AdmissionDecision {
    /// It starts now.
    Start,
    /// It waits until its ticket is called.
    Wait(Ticket),
    /// It is refused; the caller may come back after the given span.
    Refuse(Error, Duration),
}

#[derive(Clone, Debug, Default)]
struct Line {
    pass: f64,
    weight: f64,
    waiting: VecDeque<(Ticket, Time)>,
}

/// The admission of one entry.
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    limits: AdmissionLimits,
    running: usize,
    tickets: u64,
    pass: f64,
    lines: BTreeMap<Arc<str>, Line>,
    usual: Duration,
}

impl AdmissionControl {
    /// How much one finished request moves the usual duration.
    const GAIN: f64 = 0.1;

    /// The shortest time after which a refused caller may come back.
    pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

    /// Returns the admission of an entry with nothing running. `usual` is
    /// how long a request is taken to run until some have finished.
    pub fn new(limits: AdmissionLimits, usual: Duration) -> AdmissionControl {
        AdmissionControl {
            limits,
            running: 0,
            tickets: 0,
            pass: 0.0,
            lines: BTreeMap::new(),
            usual,
        }
    }

    /// Takes in a request that must start before `deadline`. `noise` between
    /// 0 and 1 spreads the returns of those refused.
    pub fn admit(
        &mut self,
        workspace: &Workspace,
        deadline: Time,
        now: Time,
        noise: f64,
    ) -> AdmissionDecision {
        let idle = self.lines.values().all(|l| l.waiting.is_empty());
        if idle && self.running < self.limits.running {
            self.advance(workspace);
            self.running += 1;
            return AdmissionDecision::Start;
        }
        let wait = self.wait(workspace);
        let line = self.line(workspace);
        let queued = line.waiting.len();
        let back = AdmissionControl::spread(wait, noise);
        if queued >= self.limits.queued {
            let err = Error::new(
                Code::Overloaded,
                format_args!(
                    "workspace {} has {queued} requests queued, allowed: {}",
                    workspace.name(),
                    self.limits.queued
                ),
            );
            return AdmissionDecision::Refuse(err, back);
        }
        if now.after(wait) > deadline {
            let err = Error::new(
                Code::Overloaded,
                format_args!(
                    "would wait {} ms, allowed: {}",
                    wait.as_millis(),
                    deadline.since(now).as_millis()
                ),
            );
            return AdmissionDecision::Refuse(err, back);
        }
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let line = self.line(workspace);
        line.waiting.push_back((ticket, deadline));
        AdmissionDecision::Wait(ticket)
    }

    /// Takes note that a running request ended after `span`, and returns the
    /// tickets called to start now.
    pub fn finish(&mut self, span: Duration, now: Time) -> Vec<Ticket> {
        self.running = self.running.saturating_sub(1);
        let usual = self.usual.as_secs_f64();
        let moved =
            usual + AdmissionControl::GAIN * (span.as_secs_f64() - usual);
        self.usual = Duration::from_secs_f64(moved);
        self.call(now)
    }

    /// Takes note that a waiting caller has gone; false if it was called
    /// already.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        for line in self.lines.values_mut() {
            let before = line.waiting.len();
            line.waiting.retain(|(t, _)| *t != ticket);
            if line.waiting.len() < before {
                return true;
            }
        }
        false
    }

    fn call(&mut self, now: Time) -> Vec<Ticket> {
        let mut called = Vec::new();
        while self.running < self.limits.running {
            let Some(ticket) = self.pick(now) else { break };
            self.running += 1;
            called.push(ticket);
        }
        called
    }

    /// Takes the ticket of the workspace furthest behind. One whose deadline
    /// has passed is left out; its shell has given up on it by then.
    fn pick(&mut self, now: Time) -> Option<Ticket> {
        for line in self.lines.values_mut() {
            while line.waiting.front().is_some_and(|(_, d)| *d < now) {
                line.waiting.pop_front();
            }
        }
        let line = self
            .lines
            .values_mut()
            .filter(|l| !l.waiting.is_empty())
            .min_by(|a, b| a.pass.total_cmp(&b.pass))?;
        let (ticket, _) = line.waiting.pop_front()?;
        self.pass = self.pass.max(line.pass);
        line.pass += 1.0 / line.weight;
        Some(ticket)
    }

    fn advance(&mut self, workspace: &Workspace) {
        let line = self.line(workspace);
        line.pass += 1.0 / line.weight;
    }

    fn line(&mut self, workspace: &Workspace) -> &mut Line {
        let pass = self.pass;
        let name = Arc::clone(workspace.name());
        let line = self.lines.entry(name).or_default();
        line.weight = AdmissionControl::weight(workspace);
        // A workspace that was idle does not save up for a burst.
        if line.waiting.is_empty() {
            line.pass = line.pass.max(pass);
        }
        line
    }

    fn weight(workspace: &Workspace) -> f64 {
        let steps = 9 - u32::from(workspace.priority().min(9));
        f64::from(workspace.share()) * f64::from(1u32 << steps)
    }

    /// How long a workspace's next request would wait: those of its own
    /// queue, at its share of the rate at which requests end.
    fn wait(&self, workspace: &Workspace) -> Duration {
        let mine = AdmissionControl::weight(workspace);
        let mut total = mine;
        let mut own = 0;
        for (name, line) in &self.lines {
            if name == workspace.name() {
                own = line.waiting.len();
                continue;
            }
            if !line.waiting.is_empty() {
                total += line.weight;
            }
        }
        let rate = self.limits.running.max(1) as f64 * mine / total;
        self.usual.mul_f64((own + 1) as f64 / rate)
    }

    fn spread(wait: Duration, noise: f64) -> Duration {
        let base = wait.max(AdmissionControl::MIN_RETRY_AFTER);
        base.mul_f64(1.0 + noise.clamp(0.0, 1.0))
    }

    /// Returns how long a request is taken to run.
    pub fn expected_duration(&self) -> Duration {
        self.usual
    }

    /// Returns the requests running and queued.
    pub fn load(&self) -> (usize, usize) {
        let queued = self.lines.values().map(|l| l.waiting.len()).sum();
        (self.running, queued)
    }
}
