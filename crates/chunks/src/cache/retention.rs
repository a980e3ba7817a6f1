//! How a cache keeps versions that are superseded before they are complete.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use stairhinge_shell::decisions::Decision;

use super::{CacheKey, ChunkCache, FETCH_IDLE_TIMEOUT, RETENTION};

impl ChunkCache {
    /// Returns the number of chunks held of each version.
    pub fn held_by_version(&self) -> Vec<(Arc<str>, u64, usize)> {
        self.context.holdings.held_by_version()
    }

    /// Returns how often another version was chosen while one was being
    /// fetched.
    pub fn switches(&self) -> u64 {
        self.switches.load(Ordering::Relaxed)
    }

    /// Holds a version until it is evicted, and fetches it while it is the
    /// chosen version of its model.
    pub(super) async fn hold_retained(
        self: Arc<Self>,
        key: CacheKey,
        task: u64,
    ) {
        tokio::select! {
            () = self.fetch_while_chosen(&key) => {}
            () = self.until_evicted(&key, task) => {}
        }
    }

    async fn fetch_while_chosen(&self, key: &CacheKey) {
        let Some(mut choice) = self.choice(&key.0) else { return };
        let own = Some(key.1);
        loop {
            if choice.wait_for(|chosen| *chosen == own).await.is_err() {
                return;
            }
            let is_complete = tokio::select! {
                () = self.fetch_version(key) => true,
                () = self.until_idle(key, FETCH_IDLE_TIMEOUT) => false,
                _ = choice.wait_for(|chosen| *chosen != own) => continue,
            };
            if is_complete {
                // A chunk may get lost while another version is chosen.
                let other = choice.wait_for(|chosen| *chosen != own).await;
                if other.is_err() {
                    return;
                }
            } else {
                self.until_requested(key).await;
            }
        }
    }

    /// Waits until a version is no longer held by the task of this number.
    async fn until_evicted(&self, key: &CacheKey, task: u64) {
        loop {
            tokio::time::sleep(super::REQUEST_CHECK_INTERVAL).await;
            if self.lock().get(key).is_none_or(|entry| entry.task != task) {
                return;
            }
        }
    }

    /// Evicts the versions of a model that are not needed any more, or do not
    /// fit into the memory.
    pub(super) fn evict(&self, model: &Arc<str>) {
        let needed = |version| self.is_needed(&(Arc::clone(model), version));
        let keys: Vec<CacheKey> = {
            let versions = self.lock();
            versions.keys().filter(|key| key.0 == *model).cloned().collect()
        };
        let evicted = self.context.holdings.evict(model, needed);
        for (version, held) in &evicted {
            let needed = self.is_needed(&(Arc::clone(model), *version));
            self.context.facts.log().write(&Decision::VersionEvicted {
                model,
                version: *version,
                held: *held,
                needed,
            });
        }
        // Versions without a manifest hold no chunks.
        for key in keys {
            let is_evicted = evicted.iter().any(|(v, _)| *v == key.1);
            if is_evicted || !self.is_needed(&key) {
                self.lock().remove(&key);
            }
        }
    }

    /// Returns whether a version may still be served, and an agent requested
    /// it recently or a newer one is already the target.
    fn is_needed(&self, key: &CacheKey) -> bool {
        if self.has_expired(key) {
            return false;
        }
        let is_outdated = {
            let view = self.context.facts.view();
            view.targets.outdated_since(&key.0, key.1).is_some()
        };
        let at = self.lock().get(key).map(|entry| entry.last_request);
        at.is_some_and(|at| is_outdated || at.elapsed() <= RETENTION)
    }

    /// Returns whether no request may begin on a version any more. Always
    /// false without retention.
    pub(super) fn has_expired(&self, key: &CacheKey) -> bool {
        self.servable_for(key).is_zero()
    }

    /// Returns how long requests may still begin on a version.
    pub(super) fn servable_for(&self, key: &CacheKey) -> Duration {
        let Some(retention) = self.retention else { return Duration::MAX };
        let facts = &self.context.facts;
        let view = facts.view();
        match view.targets.outdated_since(&key.0, key.1) {
            None => Duration::MAX,
            Some(since) => {
                since.after(retention.version_bound).since(facts.now())
            }
        }
    }

    /// Returns whether the newest version of a model became the target while
    /// the one before it was not yet due. False without retention.
    pub(super) fn is_succession(&self, model: &str) -> bool {
        let Some(retention) = self.retention else { return false };
        let view = self.context.facts.view();
        view.targets.is_succession(model, retention.version_bound)
    }
}

#[cfg(test)]
#[path = "retention_tests.rs"]
mod tests;
