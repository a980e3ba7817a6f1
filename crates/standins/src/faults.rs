//! Faults that a stand-in can be told to have.

use std::sync::atomic::{AtomicU64, Ordering};

/// Faults of an origin; 0 is off.
#[derive(Debug, Default)]
pub struct Faults {
    corrupt: AtomicU64,
    quota: AtomicU64,
    served: AtomicU64,
}

impl Faults {
    /// Corrupts one in `every` answers.
    pub fn corrupt(&self, every: u64) {
        self.corrupt.store(every, Ordering::Relaxed);
    }

    /// Answers nothing any more after `bytes` in all.
    pub fn quota(&self, bytes: u64) {
        self.quota.store(bytes, Ordering::Relaxed);
    }

    /// Whether the next answer is to be corrupt.
    pub(crate) fn next_corrupt(&self) -> bool {
        let every = self.corrupt.load(Ordering::Relaxed);
        let n = self.served.fetch_add(1, Ordering::Relaxed) + 1;
        every > 0 && n.is_multiple_of(every)
    }

    /// Whether nothing is answered after this many bytes.
    pub(crate) fn spent(&self, bytes: u64) -> bool {
        let quota = self.quota.load(Ordering::Relaxed);
        quota > 0 && bytes >= quota
    }
}
