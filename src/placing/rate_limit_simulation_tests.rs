//! Simulates a rate-limited replica behind many entries that share no state.

use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

use super::{ChooserKind, KnownLimit, RateLimit, SendPace, SentWindow};
use crate::Time;

/// The duration of the load, in milliseconds.
const DURATION_MS: u64 = 40_000;

/// When the limit starts to be checked, in milliseconds.
const CHECK_FROM_MS: u64 = 3_000;

/// The span over which replicas count requests, in milliseconds.
const SPAN_MS: u64 = 4_000;

/// The maximum transit time of a request to the replica, in milliseconds.
const MAX_TRANSIT_MS: u64 = 40;

/// An entry that chooses the replica.
struct Chooser {
    pace: SendPace,
    offset: f64,
    sent: SentWindow,
    known: KnownLimit,
}

/// A fleet of halls with the same number of entries in each.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    halls: usize,
    /// The number of placers in each hall.
    placers: usize,
    /// The number of entries in each hall that choose for themselves.
    others: usize,
    /// The kind of the `others`.
    other_kind: ChooserKind,
}

impl Fleet {
    fn choosers(self, limit: RateLimit, rng: &mut SmallRng) -> Vec<Chooser> {
        let entries = Some(self.halls * (self.placers + self.others));
        let mut choosers = Vec::new();
        for hall in 0..self.halls {
            for i in 0..self.placers + self.others {
                let placer = i < self.placers;
                let kind =
                    if placer { ChooserKind::Placer } else { self.other_kind };
                let near = hall == 0;
                choosers.push(Chooser {
                    pace: limit.pace(kind, near, self.halls, entries),
                    offset: rng.random(),
                    sent: SentWindow::default(),
                    known: KnownLimit::default(),
                });
            }
        }
        choosers
    }

    /// Sends requests whenever a chooser has room; returns the maximum number
    /// that arrived within [`SPAN_MS`], and the mean rate per second.
    fn simulate(self, limit: RateLimit, seed: u64) -> (usize, f64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut choosers = self.choosers(limit, &mut rng);
        let mut arrived = Vec::new();
        for ms in 0..DURATION_MS {
            let now = Time::from_millis(ms);
            for chooser in &mut choosers {
                if ms == 0 {
                    chooser.known.update(Some(limit), now, now);
                }
                let Chooser { pace, offset, sent, known } = chooser;
                let wanted = rng.random_ratio(1, 8);
                if wanted && known.has_room(*pace, sent, *offset, now) {
                    sent.record(now);
                    arrived.push(ms + rng.random_range(0..MAX_TRANSIT_MS));
                }
            }
        }
        arrived.retain(|ms| *ms >= CHECK_FROM_MS);
        arrived.sort_unstable();
        let within = |from: &u64| {
            let end = arrived.partition_point(|ms| *ms < from + SPAN_MS);
            end - arrived.partition_point(|ms| ms < from)
        };
        let max = arrived.iter().map(within).max().unwrap_or(0);
        let span_s = (DURATION_MS - CHECK_FROM_MS) as f64 / 1_000.0;
        (max, arrived.len() as f64 / span_s)
    }
}

const LIMITS: [f64; 6] = [0.0, 0.4, 1.7, 2.7, 8.0, 40.0];

fn tolerated(per_s: f64) -> usize {
    (per_s * 4.0 * 1.5 + 5.0) as usize
}

#[test]
fn two_placers_in_each_hall_and_fallback_entries_stay_within_a_limit() {
    for halls in [1, 3, 5, 17] {
        for per_s in LIMITS {
            let limit = RateLimit::new(per_s).unwrap();
            for seed in 0..8 {
                let other_kind = ChooserKind::Fallback;
                let fleet =
                    Fleet { halls, placers: 2, others: 18, other_kind };
                let (max, _) = fleet.simulate(limit, seed);
                let case =
                    format!("{fleet:?}, {per_s} requests/s, seed {seed}");
                assert!(max <= tolerated(per_s), "{case}: {max}");
            }
        }
    }
}

#[test]
fn independent_entries_stay_within_a_limit() {
    for halls in [1, 5, 17] {
        for per_s in LIMITS {
            let limit = RateLimit::new(per_s).unwrap();
            for seed in 0..8 {
                let other_kind = ChooserKind::Independent;
                let fleet =
                    Fleet { halls, placers: 0, others: 20, other_kind };
                let (max, _) = fleet.simulate(limit, seed);
                let case =
                    format!("{fleet:?}, {per_s} requests/s, seed {seed}");
                assert!(max <= tolerated(per_s), "{case}: {max}");
            }
        }
    }
}

#[test]
fn one_placer_in_each_hall_uses_between_half_and_all_of_a_limit() {
    for halls in [1, 3, 5] {
        for per_s in [1.7, 2.7, 8.0, 40.0] {
            let limit = RateLimit::new(per_s).unwrap();
            let other_kind = ChooserKind::Fallback;
            let fleet = Fleet { halls, placers: 1, others: 0, other_kind };
            let (_, rate) = fleet.simulate(limit, 3);
            let case = format!("{halls} halls, {per_s} requests/s");
            assert!(rate <= per_s * 1.01, "{case}: {rate}");
            assert!(rate >= per_s * 0.5, "{case}: {rate}");
        }
    }
}

#[test]
fn a_replica_with_a_limit_of_zero_is_probed_occasionally() {
    let limit = RateLimit::new(0.0).unwrap();
    let other_kind = ChooserKind::Fallback;
    let fleet = Fleet { halls: 3, placers: 1, others: 0, other_kind };
    let (_, rate) = fleet.simulate(limit, 5);
    assert!(rate > 0.0 && rate < 0.3, "{rate}");
}
