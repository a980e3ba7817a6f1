//! A shaped link.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use stairhinge::Time;
use stairhinge::weights::Bucket;

/// Shapes what goes over one link; clones share it.
#[derive(Clone, Debug)]
pub struct Shaper {
    start: Instant,
    bucket: Arc<Mutex<Bucket>>,
}

impl Shaper {
    /// The span whose bytes may go at once.
    const BURST_MS: u64 = 20;

    /// The least burst: a few frames.
    const LEAST_BURST: u64 = 16 * 1024;

    /// Returns a shaper to `rate` bytes a second; 0 does not shape.
    pub fn new(rate: u64) -> Shaper {
        let burst = (rate * Shaper::BURST_MS / 1000).max(Shaper::LEAST_BURST);
        let bucket = Arc::new(Mutex::new(Bucket::new(rate, burst)));
        Shaper { start: Instant::now(), bucket }
    }

    /// Waits until `bytes` may be sent.
    pub async fn take(&self, bytes: u64) {
        let wait = {
            let now = self.start.elapsed().as_millis() as u64;
            let mut bucket = self.bucket.lock().unwrap_or_else(|e| {
                // A bucket is a few numbers; there is no broken state.
                e.into_inner()
            });
            bucket.take(bytes, Time::from_millis(now))
        };
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }
}
