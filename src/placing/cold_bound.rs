//! The bound on requests that are sent to a cold replica.
//!
//! A replica that has just started can serve only a few requests per second
//! and becomes overloaded if it receives more. All entries of the fleet
//! together must stay within a bound for each such replica, although they
//! share no state and do not know what the others send.
//!
//! The bound is divided among the placers of the halls; see [`ChooserKind`].
//! An entry that chooses by itself because it has no placer sends nothing to a
//! cold replica, because the number of such entries is unknown.

use std::time::Duration;

use super::chooser_kind::{ChooserKind, MAX_PLACERS};
use super::sent_window::SendPace;

/// The maximum number of requests that reach one cold replica in any second,
/// from all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// The requests per second that the replica can serve, multiplied by the
    /// allowed overage.
    rate: f64,
    /// The requests that are allowed in addition, per second.
    slack: f64,
}

impl ColdBound {
    /// The share of the bound for the replica's own hall.
    const NEAR_SHARE: f64 = 0.7;

    /// The span over which requests are counted. It is slightly longer than a
    /// second because requests sent more than a second apart may arrive within
    /// one.
    const SPAN: Duration = Duration::from_millis(1_050);

    /// Returns the bound for replicas that can serve `per_s` requests per
    /// second while cold. They may receive `overage` times as many requests
    /// plus `slack`. Returns `None` for replicas that are never cold.
    pub fn new(per_s: f64, overage: f64, slack: f64) -> Option<ColdBound> {
        let bound = ColdBound { rate: per_s * overage, slack };
        (per_s > 0.0 && bound.max_per_second() > 0.0).then_some(bound)
    }

    /// Returns how many requests may reach a replica in any second.
    pub fn max_per_second(&self) -> f64 {
        self.rate.max(0.0) + self.slack.max(0.0)
    }

    /// Returns the pace at which one chooser may send to a replica. `near` is
    /// whether the replica is in the chooser's hall, and `halls` the number of
    /// halls with choosers.
    pub fn pace(
        &self,
        kind: ChooserKind,
        near: bool,
        halls: usize,
    ) -> SendPace {
        let placer = self.max_per_second() / MAX_PLACERS as f64;
        let others = halls.saturating_sub(1);
        let share = match kind {
            ChooserKind::Fallback | ChooserKind::Independent => 0.0,
            ChooserKind::Sole => self.max_per_second(),
            ChooserKind::Placer if others == 0 => placer,
            ChooserKind::Placer if near => placer * ColdBound::NEAR_SHARE,
            ChooserKind::Placer => {
                placer * (1.0 - ColdBound::NEAR_SHARE) / others as f64
            }
        };
        SendPace::new(share as usize, ColdBound::SPAN)
    }
}
