//! How long a request may be made to wait at a replica for the sake of those
//! that are more urgent.
//!
//! A replica has room for a request only while the prompts that wait there can
//! be read within a part of the request's objective. Under lasting overload
//! the kind with the longest objective finds room where no other does, and all
//! replicas are filled up to that: the most patient kind would go before the
//! most urgent. So a request counts with the shortest objective of all that
//! are at least as urgent and came to the same service of late.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::Need;
use crate::Time;

/// The shortest objectives of the requests that came of late.
#[derive(Clone, Debug, Default)]
pub struct RecentObjectives {
    services: HashMap<Arc<str>, BTreeMap<(u8, u8), Shortest>>,
}

/// The shortest objective of two spans that follow one another, so that each
/// is remembered for one to two of them.
#[derive(Clone, Copy, Debug)]
struct Shortest {
    begun: Time,
    now: Duration,
    before: Duration,
}

impl RecentObjectives {
    /// How long a kind counts of which nothing more comes, at least.
    pub const REMEMBERED: Duration = Duration::from_secs(2);

    /// Takes note of a request.
    pub fn record(&mut self, need: &Need, now: Time) {
        let service = match self.services.get_mut(&need.service) {
            Some(service) => service,
            None => {
                self.services.entry(Arc::clone(&need.service)).or_default()
            }
        };
        let shortest = service.entry(need.urgency()).or_insert(Shortest {
            begun: now,
            now: Duration::MAX,
            before: Duration::MAX,
        });
        shortest.roll(now);
        shortest.now = shortest.now.min(need.objective);
    }

    /// Returns the objective with which a request counts.
    pub fn effective_objective(&self, need: &Need, now: Time) -> Duration {
        let Some(service) = self.services.get(&need.service) else {
            return need.objective;
        };
        let mut least = need.objective;
        for (_, shortest) in service.range(..=need.urgency()) {
            least = least.min(shortest.at(now));
        }
        least
    }
}

impl Shortest {
    fn roll(&mut self, now: Time) {
        let spans = now.since(self.begun).as_millis()
            / RecentObjectives::REMEMBERED.as_millis();
        if spans == 0 {
            return;
        }
        self.before = if spans == 1 { self.now } else { Duration::MAX };
        self.now = Duration::MAX;
        self.begun = now;
    }

    /// Returns the shortest objective as of a time.
    fn at(mut self, now: Time) -> Duration {
        self.roll(now);
        self.now.min(self.before)
    }
}
