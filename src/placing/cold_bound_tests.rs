//! Simulates a cold replica behind many placers that share no state, in
//! virtual time.

use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use super::{ChooserKind, ColdBound, SendPace, SentWindow};
use crate::Time;

/// The duration of the load, in milliseconds.
const DURATION_MS: u64 = 8_000;

/// The maximum transit time of a request to the replica, in milliseconds.
const MAX_TRANSIT_MS: u64 = 40;

/// Sends one replica as many requests as two placers in each hall and entries
/// without a placer may send. Returns the maximum number of requests that were
/// both sent and received within the same second.
fn max_requests_in_a_second(
    bound: ColdBound,
    halls: usize,
    seed: u64,
) -> usize {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut choosers: Vec<(SendPace, SentWindow)> = Vec::new();
    for hall in 0..halls {
        for _ in 0..2 {
            let pace = bound.pace(ChooserKind::Placer, hall == 0, halls);
            choosers.push((pace, SentWindow::default()));
        }
        for _ in 0..20 {
            let pace = bound.pace(ChooserKind::Fallback, hall == 0, halls);
            choosers.push((pace, SentWindow::default()));
        }
    }
    let mut sent = Vec::new();
    for ms in 0..DURATION_MS {
        let now = Time::from_millis(ms);
        for (pace, window) in &mut choosers {
            let wanted = rng.random_ratio(1, 8);
            if wanted && window.has_room(*pace, now) {
                window.record(now);
                sent.push((ms, ms + rng.random_range(0..MAX_TRANSIT_MS)));
            }
        }
    }
    let within = |from: u64| {
        let inside = |ms: u64| (from..from + 1_000).contains(&ms);
        sent.iter()
            .filter(|(at, arrived)| inside(*at) && inside(*arrived))
            .count()
    };
    (0..DURATION_MS).map(within).max().unwrap_or(0)
}

#[test]
fn placers_stay_within_the_bound_of_a_cold_replica() {
    for halls in [1, 3, 5, 17] {
        for per_s in [4.0, 14.0, 26.0, 90.0] {
            let bound = ColdBound::new(per_s, 1.5, 5.0).unwrap();
            let max = max_requests_in_a_second(bound, halls, 7);
            let case = format!("{halls} halls, {per_s} requests/s");
            assert!(max as f64 <= bound.max_per_second(), "{case}: {max}");
            assert!(max > 0, "{case}: no request may be sent");
        }
    }
}

#[test]
fn the_replicas_own_hall_has_the_larger_share() {
    let bound = ColdBound::new(14.0, 1.5, 5.0).unwrap();
    let near = bound.pace(ChooserKind::Placer, true, 3).max_requests();
    let far = bound.pace(ChooserKind::Placer, false, 3).max_requests();
    assert!(near > far && far > 0, "{near} and {far}");
    assert_eq!(bound.pace(ChooserKind::Fallback, true, 3).max_requests(), 0);
    assert_eq!(bound.pace(ChooserKind::Sole, true, 1).max_requests(), 26);
    assert_eq!(ColdBound::new(0.0, 1.5, 5.0), None, "never cold");
}

proptest! {
    #[test]
    fn a_window_never_admits_more_than_its_maximum(
        max in 0usize..30,
        gaps in prop::collection::vec(0u64..200, 1..300),
    ) {
        let mut window = SentWindow::default();
        let pace = SendPace::new(max, Duration::from_millis(1_050));
        let (mut now, mut sent) = (0, Vec::new());
        for gap in gaps {
            now += gap;
            if window.has_room(pace, Time::from_millis(now)) {
                window.record(Time::from_millis(now));
                sent.push(now);
            }
        }
        let second = Duration::from_secs(1).as_millis() as u64;
        for from in &sent {
            let inside = sent.iter().filter(|at| {
                (*from..from + second).contains(at)
            });
            prop_assert!(inside.count() <= max);
        }
    }
}
