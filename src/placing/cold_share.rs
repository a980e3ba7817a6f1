//! How many requests a cold replica may be sent.
//!
//! A replica that has just started bears few requests a second, and falls
//! over under many. All entries of the fleet together have to keep a bound
//! for each such replica, and they share no state: neither do they talk about
//! it, nor does one know what the others send.
//!
//! So the bound is divided among those who choose for many. Each hall has one
//! placer; for a moment two entries may take themselves for it, so one placer
//! uses half of its hall's part. The replica's own hall has the larger part.
//! An entry that chooses by itself, with no placer, sends nothing to a cold
//! replica: of such entries nobody knows how many there are.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Time;

/// The bound on requests that reach one cold replica in any second, over all
/// entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Requests a second that it bears, times the overage allowed.
    rate: f64,
    /// Requests that are allowed beside.
    slack: f64,
}

/// Who chooses a replica, as far as the bound is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdAccess {
    /// The only entry that chooses.
    All,
    /// The placer of a hall, for all of the hall's entries.
    Placer,
    /// An entry that chooses for itself beside others.
    Nobody,
}

impl ColdBound {
    /// How many entries may place for one hall at a time.
    const PLACERS: f64 = 2.0;

    /// The part of the bound that is for the replica's own hall.
    const NEAR: f64 = 0.7;

    /// Returns the bound for replicas that bear `per_s` requests a second, of
    /// which `overage` times as many and `slack` more may come; `None` for
    /// replicas that are never cold.
    pub fn new(per_s: f64, overage: f64, slack: f64) -> Option<ColdBound> {
        let bound = ColdBound { rate: per_s * overage, slack };
        (per_s > 0.0 && bound.most() > 0.0).then_some(bound)
    }

    /// Returns how many requests may reach a replica in any second.
    pub fn most(&self) -> f64 {
        self.rate.max(0.0) + self.slack.max(0.0)
    }

    /// Returns how many requests one who chooses may send to a replica in any
    /// second: `near` tells whether it is in the own hall, `halls` how many
    /// halls choose.
    pub fn share(
        &self,
        access: ColdAccess,
        near: bool,
        halls: usize,
    ) -> usize {
        let placer = self.most() / ColdBound::PLACERS;
        let others = halls.saturating_sub(1);
        let part = match access {
            ColdAccess::Nobody => 0.0,
            ColdAccess::All => self.most(),
            ColdAccess::Placer if others == 0 => placer,
            ColdAccess::Placer if near => placer * ColdBound::NEAR,
            ColdAccess::Placer => {
                placer * (1.0 - ColdBound::NEAR) / others as f64
            }
        };
        part as usize
    }
}

/// The requests that one who chooses has sent to one replica in the last
/// second.
#[derive(Clone, Debug, Default)]
pub struct ColdWindow {
    sent: VecDeque<Time>,
}

impl ColdWindow {
    /// The span that the bound is counted over; slightly longer, since what
    /// is sent in one second may arrive in another.
    const SPAN: Duration = Duration::from_millis(1_050);

    /// Returns whether another request keeps within a share.
    pub fn has_room(&mut self, share: usize, now: Time) -> bool {
        while let Some(first) = self.sent.front() {
            if now.since(*first) < ColdWindow::SPAN {
                break;
            }
            self.sent.pop_front();
        }
        self.sent.len() < share
    }

    /// Counts a request that is sent.
    pub fn note(&mut self, now: Time) {
        self.sent.push_back(now);
    }
}
