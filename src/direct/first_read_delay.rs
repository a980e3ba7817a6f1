//! How long a process that has just started leaves the routes to others.
//!
//! After a loss of everything all processes start at once, and the document
//! of routes is large: 40 entries and 40 agents of a hall that draw 260 KB
//! each over a link of 26 Mbit/s between regions fill it for 6 s, and calls
//! that time out meanwhile begin again. Within about half a second entries
//! hear of their neighbours through agents, and the few that lead a hall read
//! for all. Each process draws its part of the longest span once, so that
//! some read early where nobody answers.

use std::time::Duration;

/// When one process reads the routes if nobody has them for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstReadDelay {
    part: f64,
}

impl FirstReadDelay {
    /// The longest span of an entry for each listed replica: with 200
    /// replicas 5 of a hall's 30 entries read within 0.5 s, with 20 nobody
    /// waits longer than 0.3 s.
    const PER_REPLICA_ENTRY: Duration = Duration::from_millis(15);

    /// The longest span of an agent for each listed replica: entries are to
    /// have the routes first, and with 20 replicas nobody waits longer than
    /// 0.6 s.
    const PER_REPLICA_AGENT: Duration = Duration::from_millis(30);

    /// How long the list of replicas, which says how large the fleet is, is
    /// waited for at least. It comes within 0.2 s where links are free.
    const LIST_TIMEOUT: Duration = Duration::from_millis(1_000);

    /// The longest span of any process. Before the list has come links are
    /// full, and the routes are far larger.
    const MAX_DELAY: Duration = Duration::from_millis(6_000);

    /// Returns the reading of a process that has drawn `part`, from 0 to 1.
    pub const fn new(part: f64) -> FirstReadDelay {
        FirstReadDelay { part: part.clamp(0.0, 1.0) }
    }

    /// Returns how long after its start an entry reads, given how many
    /// replicas are listed; 0 if none are known yet.
    pub fn for_entry(&self, listed: usize) -> Duration {
        match self.max_delay_part(FirstReadDelay::PER_REPLICA_ENTRY, listed) {
            Some(span) => span,
            None => {
                FirstReadDelay::LIST_TIMEOUT
                    + FirstReadDelay::MAX_DELAY.mul_f64(self.part)
            }
        }
    }

    /// Returns how long after its start an agent reads, given how many
    /// replicas are listed; 0 if none are known yet.
    pub fn for_agent(&self, listed: usize) -> Duration {
        let span =
            self.max_delay_part(FirstReadDelay::PER_REPLICA_AGENT, listed);
        span.unwrap_or_else(|| FirstReadDelay::MAX_DELAY.mul_f64(self.part))
    }

    fn max_delay_part(
        &self,
        each: Duration,
        listed: usize,
    ) -> Option<Duration> {
        if listed == 0 {
            return None;
        }
        let listed = u32::try_from(listed).unwrap_or(u32::MAX);
        let longest =
            each.saturating_mul(listed).min(FirstReadDelay::MAX_DELAY);
        Some(longest.mul_f64(self.part))
    }
}
