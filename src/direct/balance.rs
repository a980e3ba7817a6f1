//! Which replica takes a request.
//!
//! An entry knows for certain only its own requests. What others have sent
//! is known from the replica's last report, less what of it was the entry's
//! own. Taken is the replica where the first token is expected soonest.
//!
//! Entries do not see one another's choices, so each leans towards other
//! replicas than its fellows do: a fixed offset, drawn by hash, spreads them
//! before the same report makes all of them pick the same replica.

/// Requests at one replica.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests of this entry that have had no answer yet.
    pub own_pending: u32,
    /// Prompt tokens of these.
    pub own_pending_tokens: u32,
    /// Requests of this entry that are being answered.
    pub own_running: u32,
    /// Requests of others that had no answer yet, by the last report.
    pub others_pending: u32,
    /// Requests of others that were being answered, by the last report.
    pub others_running: u32,
}

impl Load {
    /// Returns all requests at the replica, as far as known.
    pub const fn total(&self) -> u32 {
        self.pending() + self.own_running + self.others_running
    }

    const fn pending(&self) -> u32 {
        self.own_pending + self.others_pending
    }

    /// Returns this entry's requests at the replica.
    pub const fn own(&self) -> u32 {
        self.own_pending + self.own_running
    }

    /// Returns the load with a report taken in.
    #[must_use]
    pub const fn with_report(mut self, pending: u32, running: u32) -> Load {
        self.others_pending = pending.saturating_sub(self.own_pending);
        self.others_running = running.saturating_sub(self.own_running);
        self
    }

    /// Returns the load without what others were reported to have sent.
    #[must_use]
    pub const fn without_report(mut self) -> Load {
        self.others_pending = 0;
        self.others_running = 0;
        self
    }
}

/// How long a kind of replica takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyModel {
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Prompt tokens read in a millisecond; 0 where there are none.
    pub tokens_per_ms: f64,
    /// Prompt tokens of a usual request.
    pub usual_prompt: f64,
    /// Entries that send to the same replicas.
    pub entries: f64,
    /// Between two slots that get free while all are taken, in milliseconds.
    pub slot_ms: f64,
}

impl LatencyModel {
    /// Returns the pace of a plain service.
    pub const fn plain(slots: u32) -> LatencyModel {
        LatencyModel {
            slots,
            tokens_per_ms: 0.0,
            usual_prompt: 0.0,
            entries: 1.0,
            slot_ms: 20.0,
        }
    }

    /// Returns how long it takes to read the prompts that are known to wait,
    /// in milliseconds.
    pub fn backlog_ms(&self, load: &Load) -> f64 {
        if self.tokens_per_ms <= 0.0 {
            return 0.0;
        }
        let others = f64::from(load.others_pending) * self.usual_prompt;
        let tokens =
            f64::from(load.own_pending_tokens) * self.entries + others;
        tokens / self.tokens_per_ms
    }

    /// Returns how long until the first token of a request that is sent now,
    /// in milliseconds.
    pub fn first_token_ms(&self, load: &Load) -> f64 {
        let mut ms = self.backlog_ms(load);
        let over = (load.total() + 1).saturating_sub(self.slots);
        ms += f64::from(over) * self.slot_ms;
        let filled = f64::from(load.total()) / f64::from(self.slots.max(1));
        ms + filled * LatencyModel::FULL_LOAD_MS
    }

    /// How much slower a full replica is than an empty one.
    const FULL_LOAD_MS: f64 = 40.0;
}

/// A replica that could take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// What is known of its load.
    pub load: Load,
    /// How long it takes.
    pub latency: LatencyModel,
    /// Whether it is in the entry's data hall.
    pub near: bool,
    /// How many more requests than slots it may get.
    pub queue: u32,
    /// The entry's leaning, from 0 (towards it) to 1.
    pub offset: f64,
    /// How much longer than usual the way there takes, in milliseconds.
    pub link_delay_ms: f64,
    /// How many times slower than usual the replica says it is.
    pub slowdown: f64,
    /// How long prompts that are still to be read may take at most, in
    /// milliseconds.
    pub max_backlog_ms: f64,
}

impl Candidate {
    /// The cost of going to another data hall, in milliseconds.
    const CROSS_HALL_MS: f64 = 30.0;

    /// How long the first token takes where nobody else is served.
    const IDLE_FIRST_TOKEN_MS: f64 = 120.0;

    /// The most that a leaning weighs, in milliseconds.
    const MAX_OFFSET_MS: f64 = 50.0;

    fn has_capacity(&self) -> bool {
        self.load.total() < self.latency.slots + self.queue
            && self.latency.backlog_ms(&self.load) <= self.max_backlog_ms
    }

    fn cost(&self) -> f64 {
        let far = if self.near { 0.0 } else { Candidate::CROSS_HALL_MS };
        let offset = self.offset * Candidate::MAX_OFFSET_MS;
        let first = self.latency.first_token_ms(&self.load)
            + Candidate::IDLE_FIRST_TOKEN_MS;
        first * self.slowdown.max(1.0) + far + offset + self.link_delay_ms
    }
}

/// Returns the index of the replica to take, or `None` if none has room.
pub fn choose(candidates: &[Candidate]) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    for (i, candidate) in candidates.iter().enumerate() {
        if !candidate.has_capacity() {
            continue;
        }
        let cost = candidate.cost();
        if best.is_none_or(|(_, least)| cost < least) {
            best = Some((i, cost));
        }
    }
    best.map(|(i, _)| i)
}
