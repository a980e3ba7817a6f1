//! Replicas from which streams of this entry get no data.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How long all streams of a replica must wait for data until it counts as
/// silent.
const SILENT_AFTER: Duration = Duration::from_millis(500);

/// The replicas that streams of this entry read from.
#[derive(Default)]
pub(crate) struct SilenceWatch {
    read: Mutex<HashMap<Arc<str>, Arc<Mutex<Heard>>>>,
}

/// When a replica was heard from.
#[derive(Debug)]
struct Heard {
    /// The number of streams that are read from it.
    streams: u32,
    /// The number of them that wait for data.
    waiting: u32,
    /// The last data, or when the first stream began to wait.
    at: Instant,
}

/// A stream that is read from a replica.
pub(crate) struct Listener {
    watch: Arc<SilenceWatch>,
    replica: Arc<str>,
    heard: Arc<Mutex<Heard>>,
    waits: bool,
}

impl SilenceWatch {
    /// Returns a listener for a stream that is read from a replica.
    pub(crate) fn listen(self: &Arc<Self>, replica: &Arc<str>) -> Listener {
        let mut read = self.lock();
        let heard = read.entry(Arc::clone(replica)).or_insert_with(|| {
            let at = Instant::now();
            Arc::new(Mutex::new(Heard { streams: 0, waiting: 0, at }))
        });
        let heard = Arc::clone(heard);
        lock(&heard).streams += 1;
        drop(read);
        let (watch, replica) = (Arc::clone(self), Arc::clone(replica));
        Listener { watch, replica, heard, waits: false }
    }

    /// Returns at most `max` silent replicas.
    pub(crate) fn silent(&self, max: usize) -> Vec<Arc<str>> {
        let mut silent = Vec::new();
        for (replica, heard) in &*self.lock() {
            if silent.len() < max && lock(heard).is_silent() {
                silent.push(Arc::clone(replica));
            }
        }
        silent
    }

    /// Returns whether a replica is silent.
    pub(crate) fn is_silent(&self, replica: &str) -> bool {
        self.lock().get(replica).is_some_and(|heard| lock(heard).is_silent())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Arc<Mutex<Heard>>>> {
        self.read.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Heard {
    fn is_silent(&self) -> bool {
        self.waiting > 0 && self.at.elapsed() >= SILENT_AFTER
    }
}

impl Listener {
    /// Records that the stream waits for data.
    pub(crate) fn wait(&mut self) {
        if std::mem::replace(&mut self.waits, true) {
            return;
        }
        let mut heard = lock(&self.heard);
        if heard.waiting == 0 {
            heard.at = Instant::now();
        }
        heard.waiting += 1;
    }

    /// Records that data has arrived.
    pub(crate) fn hear(&mut self) {
        let mut heard = lock(&self.heard);
        heard.at = Instant::now();
        if std::mem::replace(&mut self.waits, false) {
            heard.waiting -= 1;
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        let mut read = self.watch.lock();
        let mut heard = lock(&self.heard);
        heard.waiting -= u32::from(self.waits);
        heard.streams -= 1;
        if heard.streams == 0 {
            read.remove(&self.replica);
        }
    }
}

fn lock(heard: &Mutex<Heard>) -> MutexGuard<'_, Heard> {
    heard.lock().unwrap_or_else(PoisonError::into_inner)
}
