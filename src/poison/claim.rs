//! Claims to the only run of a request that may be in progress.
//!
//! Entries do not wait for one another's consent. One that is about to run a
//! request which must run once at a time tells all others, and begins if it
//! hears of no better claim for a while. The claims of a moment are ordered by
//! a random number, and one whose run has begun precedes all others.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::request_state::RequestState;
use super::{Fingerprint, PoisonTable, RequestFeatures};
use crate::Time;

/// What has become of a claim.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimStage {
    /// The run begins unless there is a better claim.
    Asked,
    /// The run has begun.
    Running,
    /// The run is over, or was not begun.
    Over,
}

/// The claim of an entry to the only run of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunClaim {
    /// The request and the parts of its prompt that must run once at a time.
    pub features: Vec<Fingerprint>,
    /// A random number; the lowest one precedes the others.
    pub number: u64,
    /// What has become of it.
    pub stage: ClaimStage,
}

/// The holder of a claim to a feature.
#[derive(Clone, Copy, Debug)]
pub(super) struct Holder {
    pub number: u64,
    pub is_running: bool,
}

impl Holder {
    /// Returns whether another claim takes its place, or tells more of it.
    const fn yields_to(self, number: u64, running: bool) -> bool {
        if running {
            return !self.is_running;
        }
        !self.is_running && number < self.number
    }

    /// Returns its claim to a feature.
    fn claim(self, feature: Fingerprint) -> RunClaim {
        let stage = if self.is_running {
            ClaimStage::Running
        } else {
            ClaimStage::Asked
        };
        RunClaim { features: vec![feature], number: self.number, stage }
    }
}

/// How a claim of another entry compares with those known.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeardClaim {
    /// Whether it has changed anything here.
    pub is_new: bool,
    /// The known claim that precedes it.
    pub preceding: Option<RunClaim>,
}

impl RunClaim {
    /// How long a claimed run waits for better claims of other entries, which
    /// arrive within 20 ms from other halls.
    pub const PERIOD: Duration = Duration::from_millis(100);

    /// The maximum number of features in a claim, which is that of a request.
    pub const MAX_FEATURES: usize = RequestFeatures::MAX_PARTS + 1;
}

impl PoisonTable {
    /// Returns the claim to the run that has just been admitted, or `None` if
    /// other runs of the request may be in progress.
    pub fn begin_claim(
        &mut self,
        features: &RequestFeatures,
        number: u64,
        now: Time,
    ) -> Option<RunClaim> {
        let mut claimed = Vec::new();
        for feature in features.all() {
            let Some(state) = self.requests.get_mut(&feature) else {
                continue;
            };
            if !state.is_exclusive(now) {
                continue;
            }
            state.holder = Some(Holder { number, is_running: false });
            claimed.push(feature);
        }
        let stage = ClaimStage::Asked;
        (!claimed.is_empty()).then_some(RunClaim {
            features: claimed,
            number,
            stage,
        })
    }

    /// Begins the run of a claim. Returns whether it may begin: no other claim
    /// precedes it.
    pub fn begin_claimed_run(&mut self, claim: &RunClaim) -> bool {
        let is_lost = |state: &RequestState| {
            state.holder.is_some_and(|h| h.number != claim.number)
        };
        let states = claim.features.iter().map(|f| self.requests.get(f));
        if states.flatten().any(is_lost) {
            return false;
        }
        for feature in &claim.features {
            let state = self.requests.get_mut(feature);
            if let Some(holder) = state.and_then(|s| s.holder.as_mut()) {
                holder.is_running = true;
            }
        }
        true
    }

    /// Takes note of the claim of another entry.
    pub fn hear_claim(&mut self, claim: &RunClaim, now: Time) -> HeardClaim {
        let mut heard = HeardClaim::default();
        for feature in claim.features.iter().take(RunClaim::MAX_FEATURES) {
            if claim.stage == ClaimStage::Over {
                heard.is_new |= self.end_claim(*feature, claim.number);
                continue;
            }
            self.make_room(now);
            let state = self.requests.entry(*feature);
            let state = state.or_insert_with(|| RequestState::new(now));
            let running = claim.stage == ClaimStage::Running;
            let held = state.holder.filter(|_| state.is_exclusive(now));
            if let Some(held) = held
                && !held.yields_to(claim.number, running)
            {
                if held.number != claim.number {
                    heard.preceding = Some(held.claim(*feature));
                }
                continue;
            }
            let (number, is_running) = (claim.number, running);
            state.hold(Holder { number, is_running }, now);
            heard.is_new = true;
        }
        heard
    }

    /// Ends a claim of this process, whose run is over or was not begun.
    pub fn end_claims(&mut self, claim: &RunClaim) {
        for feature in &claim.features {
            self.end_claim(*feature, claim.number);
        }
    }

    /// Ends the claim with this number to a feature. Returns whether it was
    /// held.
    fn end_claim(&mut self, feature: Fingerprint, number: u64) -> bool {
        let Some(state) = self.requests.get_mut(&feature) else {
            return false;
        };
        let held = state.holder.is_some_and(|h| h.number == number);
        if held {
            state.end_run();
        }
        held
    }
}
