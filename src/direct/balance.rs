//! Load balancing: the choice of a replica for a request.
//!
//! An entry knows exactly only its own requests. The requests of other
//! entries are estimated as the replica's last report minus the entry's own
//! requests in it. The replica with the shortest expected time to the first
//! token is chosen.
//!
//! Entries do not see one another's choices, and the same report would make
//! all of them choose the same replica. Each entry therefore adds a fixed
//! offset per replica, derived from a hash, to the cost.

/// The outstanding requests at one replica.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests of this entry without a response yet.
    pub own_pending: u32,
    /// Prompt tokens of the requests in `own_pending`.
    pub own_pending_tokens: u32,
    /// Requests of this entry whose response has started.
    pub own_running: u32,
    /// Requests of other entries without a response yet, as of the last
    /// report.
    pub others_pending: u32,
    /// Requests of other entries whose response has started, as of the last
    /// report.
    pub others_running: u32,
}

impl Load {
    /// Returns the number of known outstanding requests of all entries.
    pub const fn total(&self) -> u32 {
        self.pending() + self.own_running + self.others_running
    }

    const fn pending(&self) -> u32 {
        self.own_pending + self.others_pending
    }

    /// Returns the number of outstanding requests of this entry.
    pub const fn own(&self) -> u32 {
        self.own_pending + self.own_running
    }

    /// Returns the load updated with the counts of a replica's report.
    #[must_use]
    pub const fn with_report(mut self, pending: u32, running: u32) -> Load {
        self.others_pending = pending.saturating_sub(self.own_pending);
        self.others_running = running.saturating_sub(self.own_running);
        self
    }

    /// Returns the load without the reported requests of other entries.
    #[must_use]
    pub const fn without_report(mut self) -> Load {
        self.others_pending = 0;
        self.others_running = 0;
        self
    }
}

/// The parameters that estimate a replica's latency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyModel {
    /// The number of requests that the replica runs concurrently.
    pub slots: u32,
    /// Prompt tokens processed per millisecond; 0 for services without
    /// prompts.
    pub tokens_per_ms: f64,
    /// The prompt length of a typical request, in tokens.
    pub usual_prompt: f64,
    /// The estimated number of entries that send to the same replicas.
    pub entries: f64,
    /// The mean time between two slots becoming free while all slots are in
    /// use, in milliseconds.
    pub slot_ms: f64,
}

impl LatencyModel {
    /// Returns the latency model of a service that is not a model engine.
    pub const fn plain(slots: u32) -> LatencyModel {
        LatencyModel {
            slots,
            tokens_per_ms: 0.0,
            usual_prompt: 0.0,
            entries: 1.0,
            slot_ms: 20.0,
        }
    }

    /// Returns the estimated time to process all pending prompts, in
    /// milliseconds.
    ///
    /// The entry's own tokens count once per entry, since other entries have
    /// on average sent as many that no report shows yet.
    pub fn backlog_ms(&self, load: &Load) -> f64 {
        if self.tokens_per_ms <= 0.0 {
            return 0.0;
        }
        let others = f64::from(load.others_pending) * self.usual_prompt;
        let tokens =
            f64::from(load.own_pending_tokens) * self.entries + others;
        tokens / self.tokens_per_ms
    }

    /// Returns the estimated delay that the load adds to the first token of
    /// a request sent now, in milliseconds.
    pub fn first_token_ms(&self, load: &Load) -> f64 {
        let mut ms = self.backlog_ms(load);
        let excess = (load.total() + 1).saturating_sub(self.slots);
        ms += f64::from(excess) * self.slot_ms;
        let utilization =
            f64::from(load.total()) / f64::from(self.slots.max(1));
        ms + utilization * LatencyModel::FULL_LOAD_MS
    }

    /// Returns the expected time to the first token of a request with this
    /// many prompt tokens at a replica with this load, in milliseconds, or
    /// `None` if the parameters do not include prompts.
    pub fn expected_first_token_ms(
        &self,
        load: &Load,
        prompt_tokens: u32,
    ) -> Option<f64> {
        let prompt = f64::from(prompt_tokens) / self.tokens_per_ms;
        (self.tokens_per_ms > 0.0).then(|| {
            self.first_token_ms(load)
                + LatencyModel::IDLE_FIRST_TOKEN_MS
                + prompt
        })
    }

    /// The latency that a fully loaded replica adds over an idle one, in
    /// milliseconds.
    const FULL_LOAD_MS: f64 = 40.0;

    /// The time to the first token on an idle replica, in milliseconds.
    const IDLE_FIRST_TOKEN_MS: f64 = 120.0;
}

/// A replica that may be chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Its known load.
    pub load: Load,
    /// Its latency parameters.
    pub latency: LatencyModel,
    /// Whether it is in the entry's data hall.
    pub near: bool,
    /// The number of requests that may be queued beyond its slots.
    pub queue: u32,
    /// The entry's fixed offset for this replica, from 0 (preferred) to 1.
    pub offset: f64,
    /// The current extra latency of the link to it, in milliseconds.
    pub link_delay_ms: f64,
    /// The reported ratio of its current to its usual processing time.
    pub slowdown: f64,
    /// The maximum time to process the pending prompts, in milliseconds. A
    /// replica with a longer backlog is not chosen.
    pub max_backlog_ms: f64,
}

impl Candidate {
    /// The cost of sending to another data hall, in milliseconds.
    const CROSS_HALL_MS: f64 = 30.0;

    /// The cost of an offset of 1, in milliseconds.
    const MAX_OFFSET_MS: f64 = 50.0;

    fn has_capacity(&self) -> bool {
        self.load.total() < self.latency.slots.saturating_add(self.queue)
            && self.latency.backlog_ms(&self.load) <= self.max_backlog_ms
    }

    /// Returns the expected time to the first token of a request with this
    /// many prompt tokens, in milliseconds, or `None` if the latency
    /// parameters do not include prompts.
    pub fn expected_first_token_ms(&self, prompt_tokens: u32) -> Option<f64> {
        self.latency.expected_first_token_ms(&self.load, prompt_tokens)
    }

    fn cost(&self) -> f64 {
        let cross_hall =
            if self.near { 0.0 } else { Candidate::CROSS_HALL_MS };
        let offset = self.offset * Candidate::MAX_OFFSET_MS;
        let first = self.latency.first_token_ms(&self.load)
            + LatencyModel::IDLE_FIRST_TOKEN_MS;
        first * self.slowdown.max(1.0)
            + cross_hall
            + offset
            + self.link_delay_ms
    }
}

/// Returns the index of the candidate with the lowest cost, or `None` if no
/// candidate has capacity.
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
