//! Continuous batching: a step at a time, a token for each request in it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::{Notify, mpsc};
use tokio::time::MissedTickBehavior;

use crate::Gate;

/// One request in or before the batch.
struct Job {
    tokens: u32,
    done: u32,
    tx: mpsc::Sender<u32>,
}

#[derive(Default)]
struct Queue {
    seq: u64,
    /// By priority, then arrival.
    waiting: BTreeMap<(u8, u64), Job>,
    running: Vec<Job>,
}

/// An engine's batch.
pub(crate) struct Batch {
    queue: Mutex<Queue>,
    most: usize,
    wake: Notify,
}

impl Batch {
    /// Returns a batch of at most `most` requests, and starts its steps, which
    /// wait at a gate.
    pub(crate) fn start(
        most: usize,
        step: Duration,
        gate: Arc<Gate>,
    ) -> Arc<Batch> {
        let queue = Mutex::default();
        let batch = Arc::new(Batch { queue, most, wake: Notify::new() });
        tokio::spawn(steps(Arc::downgrade(&batch), step, gate));
        batch
    }

    /// Adds a request; its tokens' numbers come out of the channel. Dropping
    /// the receiver cancels it.
    pub(crate) fn add(
        &self,
        priority: u8,
        tokens: u32,
    ) -> mpsc::Receiver<u32> {
        let (tx, rx) = mpsc::channel(tokens.max(1) as usize);
        let mut queue = self.queue();
        queue.seq += 1;
        let place = (priority, queue.seq);
        queue.waiting.insert(place, Job { tokens, done: 0, tx });
        drop(queue);
        self.wake.notify_one();
        rx
    }

    /// Returns the requests in the batch and before it.
    pub(crate) fn load(&self) -> (usize, usize) {
        let queue = self.queue();
        (queue.running.len(), queue.waiting.len())
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// One step; false if there was nothing to do.
    fn step(&self) -> bool {
        let mut queue = self.queue();
        while queue.running.len() < self.most {
            let Some((_, job)) = queue.waiting.pop_first() else { break };
            queue.running.push(job);
        }
        queue.running.retain_mut(|job| {
            let sent = job.tx.try_send(job.done).is_ok();
            job.done += 1;
            sent && job.done < job.tokens
        });
        !queue.running.is_empty() || !queue.waiting.is_empty()
    }
}

async fn steps(
    batch: std::sync::Weak<Batch>,
    step: Duration,
    gate: Arc<Gate>,
) {
    let mut ticks = tokio::time::interval(step.max(Duration::from_millis(1)));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        gate.passed().await;
        let Some(batch) = batch.upgrade() else { return };
        if batch.step() {
            continue;
        }
        // Woken often enough to notice that the engine has gone.
        let woken = batch.wake.notified();
        let _ = tokio::time::timeout(Duration::from_secs(1), woken).await;
    }
}
