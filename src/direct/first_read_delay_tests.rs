use std::time::Duration;

use super::FirstReadDelay;

/// The time until entries discover the other entries of their hall.
const DISCOVERY: Duration = Duration::from_millis(500);

/// Returns the delays of `count` processes with evenly spread fractions.
fn delays(
    count: u32,
    delay: impl Fn(FirstReadDelay) -> Duration,
) -> impl Iterator<Item = Duration> {
    let fraction = move |i| f64::from(i) / f64::from(count);
    (0..count).map(move |i| delay(FirstReadDelay::new(fraction(i))))
}

#[test]
fn few_processes_of_a_large_hall_read_before_discovery() {
    let entries =
        delays(40, |r| r.for_entry(200)).filter(|delay| *delay < DISCOVERY);
    let agents =
        delays(40, |r| r.for_agent(200)).filter(|delay| *delay < DISCOVERY);
    // 11 processes that fetch 260 KB each take 0.8 s over a link of
    // 26 Mbit/s, instead of 6.4 s for all 80.
    assert!(entries.count() + agents.count() <= 11);
}

#[test]
fn delays_are_short_in_a_small_fleet() {
    assert!(delays(9, |r| r.for_entry(20)).all(|delay| delay <= DISCOVERY));
    let max = Duration::from_millis(600);
    assert!(delays(12, |r| r.for_agent(20)).all(|delay| delay <= max));
}

#[test]
fn delays_are_bounded_without_a_replica_list() {
    let max = Duration::from_secs(7);
    assert!(delays(40, |r| r.for_entry(0)).all(|delay| delay <= max));
    assert!(delays(40, |r| r.for_agent(0)).all(|delay| delay <= max));
    assert!(delays(40, |r| r.for_agent(100_000)).all(|delay| delay <= max));
}
