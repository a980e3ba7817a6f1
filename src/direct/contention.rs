//! How many entries choose among the same replicas.
//!
//! Entries do not see one another's requests until replicas report them.
//! What one has sent since, the others have sent as well on average, so its
//! own requests that no report shows yet count once for each entry. Nobody
//! tells how many there are: the requests at replicas that are one's own,
//! against all that they report, say it.

/// The share of an entry in the requests at replicas, learned from reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Contention {
    own: f64,
    all: f64,
}

impl Contention {
    /// What is left of older reports with each new one: half after 346, which
    /// 20 replicas that report 25 times a second make in 0.7 s.
    const DECAY: f64 = 0.998;

    /// The most entries that are counted on: a share too small to measure
    /// must not keep an entry from sending at all.
    const MAX_ENTRIES: f64 = 16.0;

    /// Returns a share of all: the only entry, until reports say otherwise.
    pub const fn new() -> Contention {
        Contention { own: 1.0, all: 1.0 }
    }

    /// Takes in a report of a replica that has `all` requests, `own` of them
    /// this entry's.
    pub fn record_report(&mut self, own: u32, all: u32) {
        self.own = self.own * Contention::DECAY + f64::from(own.min(all));
        self.all = self.all * Contention::DECAY + f64::from(all);
    }

    /// Returns how many entries share the replicas, from 1 on.
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
