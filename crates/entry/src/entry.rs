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
use crate::choose::AgentLoads;

/// Admission, with those who wait for their ticket to be called.
pub(crate) struct AdmissionQueue {
    pub(crate) admission: AdmissionControl,
    pub(crate) waiting: HashMap<Ticket, oneshot::Sender<()>>,
}

/// The shared state of an entry.
pub struct Entry {
    pub(crate) node: Arc<Node>,
    pub(crate) settings: Settings,
    pub(crate) door: Mutex<AdmissionQueue>,
    pub(crate) seats: Mutex<AgentLoads>,
    pub(crate) budget: Mutex<RetryBudget>,
    seq: AtomicU64,
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
        let budget = RetryBudget::new(
            values.number("retry_percent") as f64 / 100.0,
            values.number("retry_saved") as f64,
        );
        Arc::new(Entry {
            node,
            settings: settings.clone(),
            door: Mutex::new(AdmissionQueue {
                admission,
                waiting: HashMap::new(),
            }),
            seats: Mutex::default(),
            budget: Mutex::new(budget),
            seq: AtomicU64::new(0),
        })
    }

    /// Returns a name for one attempt, never used before.
    pub(crate) fn attempt(&self) -> Attempt {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed);
        let name = &self.node.identity().name;
        Attempt::new(name, self.node.incarnation(), seq)
    }

    pub(crate) fn door(&self) -> MutexGuard<'_, AdmissionQueue> {
        lock(&self.door)
    }

    pub(crate) fn seats(&self) -> MutexGuard<'_, AgentLoads> {
        lock(&self.seats)
    }

    pub(crate) fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.budget)
    }

    pub(crate) fn millis(&self, name: &str) -> Duration {
        self.settings.values.millis(name)
    }
}

/// A panic while holding one of these locks leaves whole values.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
