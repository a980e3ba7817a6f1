//! A shaped link.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use stairhinge::Time;
use stairhinge::weights::TokenBucket;

/// Shapes what goes over one link; clones share it.
#[derive(Clone, Debug)]
pub struct Shaper {
    start: Instant,
    bucket: Arc<Mutex<TokenBucket>>,
    turn: Arc<tokio::sync::Mutex<()>>,
}

impl Shaper {
    /// The span whose bytes may go at once.
    const BURST_MS: u64 = 20;

    /// The least burst: a few frames.
    const LEAST_BURST: u64 = 16 * 1024;

    /// Returns a shaper to `rate` bytes a second; 0 does not shape.
    pub fn new(rate: u64) -> Shaper {
        let burst = (rate * Shaper::BURST_MS / 1000).max(Shaper::LEAST_BURST);
        let bucket = Arc::new(Mutex::new(TokenBucket::new(rate, burst)));
        Shaper { start: Instant::now(), bucket, turn: Arc::default() }
    }

    /// Shapes to another rate from now on.
    pub fn set_rate(&self, rate: u64) {
        self.lock().set_rate(rate);
    }

    fn lock(&self) -> MutexGuard<'_, TokenBucket> {
        // A bucket is a few numbers; there is no broken state.
        self.bucket.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until `bytes` may be sent and all who came before have sent
    /// theirs. Who gives up while it waits takes nothing.
    pub async fn take_in_turn(&self, bytes: u64) {
        let _turn = self.turn.lock().await;
        self.take(bytes).await;
    }

    /// Waits until `bytes` may be sent.
    pub async fn take(&self, bytes: u64) {
        let now = self.start.elapsed().as_millis() as u64;
        let wait = self.lock().take(bytes, Time::from_millis(now));
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }
}
