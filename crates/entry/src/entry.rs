//! The shared state of an entry.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use stairhinge::request::{
    AdmissionControl, AdmissionLimits, Attempt, RetryBudget, Ticket,
};
use stairhinge_shell::node::Node;
use tokio::sync::oneshot;

use crate::Settings;
use crate::choose::AgentStates;

/// Admission control, with a channel to each queued request.
pub(crate) struct AdmissionQueue {
    pub(crate) admission: AdmissionControl,
    pub(crate) waiters: HashMap<Ticket, oneshot::Sender<()>>,
}

/// The shared state of an entry.
pub struct Entry {
    pub(crate) node: Arc<Node>,
    pub(crate) settings: Settings,
    pub(crate) admission_queue: Mutex<AdmissionQueue>,
    pub(crate) agent_states: Mutex<AgentStates>,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    attempt_seq: AtomicU64,
}

impl Entry {
    /// Returns the state of an entry that has no requests.
    pub fn new(node: Arc<Node>, settings: &Settings) -> Arc<Entry> {
        let values = &settings.values;
        let limits = AdmissionLimits::new(
            values.number("running") as usize,
            values.number("queued") as usize,
        );
        let admission =
            AdmissionControl::new(limits, values.millis("usual_ms"));
        let retry_budget = RetryBudget::new(
            values.number("retry_percent") as f64 / 100.0,
            values.number("retry_saved") as f64,
        );
        Arc::new(Entry {
            node,
            settings: settings.clone(),
            admission_queue: Mutex::new(AdmissionQueue {
                admission,
                waiters: HashMap::new(),
            }),
            agent_states: Mutex::default(),
            retry_budget: Mutex::new(retry_budget),
            attempt_seq: AtomicU64::new(0),
        })
    }

    /// Returns a new attempt with an id that is never reused.
    pub(crate) fn new_attempt(&self) -> Attempt {
        let attempt_seq = self.attempt_seq.fetch_add(1, Ordering::Relaxed);
        let name = &self.node.identity().name;
        Attempt::new(name, self.node.incarnation(), attempt_seq)
    }

    pub(crate) fn admission_queue(&self) -> MutexGuard<'_, AdmissionQueue> {
        lock(&self.admission_queue)
    }

    pub(crate) fn agent_states(&self) -> MutexGuard<'_, AgentStates> {
        lock(&self.agent_states)
    }

    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retry_budget)
    }

    pub(crate) fn millis(&self, name: &str) -> Duration {
        self.settings.values.millis(name)
    }
}

/// Locks a mutex even if it is poisoned: a panic leaves these values
/// consistent.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
