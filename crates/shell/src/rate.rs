//! Rate limiting of the traffic on a link.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use stairhinge::Time;
use stairhinge::weights::TokenBucket;

/// A rate limiter for the traffic on one link, shared by its clones.
#[derive(Clone, Debug)]
pub struct Shaper {
    start: Instant,
    bucket: Arc<Mutex<TokenBucket>>,
    turn: Arc<tokio::sync::Mutex<()>>,
}

impl Shaper {
    /// The largest burst, as a time at the full rate.
    const BURST_MS: u64 = 20;

    /// The lower bound of the burst, a few network frames.
    const MIN_BURST_BYTES: u64 = 16 * 1024;

    /// Returns a limiter to `rate` bytes per second; 0 means no limit.
    pub fn new(rate: u64) -> Shaper {
        let burst =
            (rate * Shaper::BURST_MS / 1000).max(Shaper::MIN_BURST_BYTES);
        let bucket = Arc::new(Mutex::new(TokenBucket::new(rate, burst)));
        Shaper { start: Instant::now(), bucket, turn: Arc::default() }
    }

    /// Changes the rate in bytes per second, where 0 means no limit.
    pub fn set_rate(&self, rate: u64) {
        self.lock().set_rate(rate);
    }

    fn lock(&self) -> MutexGuard<'_, TokenBucket> {
        // The bucket holds a few numbers, which are valid after any panic.
        self.bucket.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until `bytes` may be sent, after all earlier calls of this
    /// method. A call that is dropped before its turn uses no bandwidth.
    pub async fn take_in_turn(&self, bytes: u64) {
        let _turn = self.turn.lock().await;
        self.take(bytes).await;
    }

    /// Waits until `bytes` may be sent, ahead of calls of
    /// [`Shaper::take_in_turn`] that still wait for their turn.
    pub async fn take(&self, bytes: u64) {
        let now = self.start.elapsed().as_millis() as u64;
        let wait = self.lock().take(bytes, Time::from_millis(now));
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }
}
