//! An estimate of how many entries send to the same replicas.
//!
//! Entries do not see one another's requests until replicas report them.
//! Since the last report the other entries have on average sent as much as
//! this one, so its own unreported requests count once per entry. The number
//! of entries is not published; it is estimated as the ratio of all requests
//! at the replicas to this entry's own.

/// An entry's share of the requests at replicas, estimated from reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Contention {
    own: f64,
    all: f64,
}

impl Contention {
    /// The weight that older reports keep with each new one. Half is left
    /// after 346 reports, which 20 replicas that report 25 times a second
    /// send in 0.7 s.
    const DECAY: f64 = 0.998;

    /// The upper limit of the estimate, so that an entry whose share is too
    /// small to measure can still send.
    const MAX_ENTRIES: f64 = 16.0;

    /// Returns an estimate of one entry, until reports are recorded.
    pub const fn new() -> Contention {
        Contention { own: 1.0, all: 1.0 }
    }

    /// Records a report of a replica that has `all` requests, `own` of them
    /// sent by this entry.
    pub fn record_report(&mut self, own: u32, all: u32) {
        self.own = self.own * Contention::DECAY + f64::from(own.min(all));
        self.all = self.all * Contention::DECAY + f64::from(all);
    }

    /// Returns the estimated number of entries, at least 1.
    pub fn entries(&self) -> f64 {
        if self.own <= 0.0 {
            return Contention::MAX_ENTRIES;
        }
        (self.all / self.own).clamp(1.0, Contention::MAX_ENTRIES)
    }
}

impl Default for Contention {
    fn default() -> Contention {
        Contention::new()
    }
}
