//! How many requests a cold replica may be sent.
//!
//! A replica that has just started bears few requests a second, and falls
//! over under many. All entries of the fleet together have to keep a bound
//! for each such replica, and they share no state: neither do they talk about
//! it, nor does one know what the others send.
//!
//! The bound is divided among the placers of the halls; see [`ChooserKind`].
//! An entry that chooses by itself, with no placer, sends nothing to a cold
//! replica: of such entries nobody knows how many there are.

use std::time::Duration;

use super::chooser_kind::{ChooserKind, PLACERS};
use super::sent_window::SendPace;

/// The bound on requests that reach one cold replica in any second, over all
/// entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Requests a second that it bears, times the overage allowed.
    rate: f64,
    /// Requests that are allowed beside.
    slack: f64,
}

impl ColdBound {
    /// The part of the bound that is for the replica's own hall.
    const NEAR: f64 = 0.7;

    /// The span over which requests are counted. It is slightly longer than a
    /// second because requests sent more than a second apart may arrive within
    /// one.
    const SPAN: Duration = Duration::from_millis(1_050);

    /// Returns the bound for replicas that bear `per_s` requests a second, of
    /// which `overage` times as many and `slack` more may come; `None` for
    /// replicas that are never cold.
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
        access: ChooserKind,
        near: bool,
        halls: usize,
    ) -> SendPace {
        let placer = self.max_per_second() / PLACERS as f64;
        let others = halls.saturating_sub(1);
        let part = match access {
            ChooserKind::Fallback | ChooserKind::Independent => 0.0,
            ChooserKind::Sole => self.max_per_second(),
            ChooserKind::Placer if others == 0 => placer,
            ChooserKind::Placer if near => placer * ColdBound::NEAR,
            ChooserKind::Placer => {
                placer * (1.0 - ColdBound::NEAR) / others as f64
            }
        };
        SendPace::new(part as usize, ColdBound::SPAN)
    }
}
